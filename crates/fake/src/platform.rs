//! Fake platform API that serves the list of instances.

use std::net::SocketAddr;
use std::sync::Mutex;

use actix_web::{App, HttpResponse, HttpServer, web};
use serde::{Deserialize, Serialize};

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The instance runs.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// One entry of the list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformInstance {
    /// Name of the endpoint on the instance.
    pub name: String,
    /// State of the instance.
    pub state: PlatformState,
}

/// The list of instances, shared by the workers of the HTTP server.
type PlatformList = web::Data<Mutex<Vec<PlatformInstance>>>;

/// Serves until the process is terminated.
///
/// # Errors
/// The address can't be bound, or the HTTP server fails.
pub async fn serve(http: SocketAddr) -> std::io::Result<()> {
    let list: PlatformList = web::Data::new(Mutex::default());
    HttpServer::new(move || {
        App::new()
            .app_data(list.clone())
            .route("/instances", web::get().to(read_list))
            .route("/instances", web::put().to(replace_list))
            .route("/healthz", web::get().to(HttpResponse::Ok))
    })
    .workers(1)
    .bind(http)?
    .run()
    .await
}

async fn read_list(list: PlatformList) -> HttpResponse {
    HttpResponse::Ok().json(
        &*list
            .lock()
            .expect("no thread panics while it holds the list"),
    )
}

async fn replace_list(
    list: PlatformList,
    instances: web::Json<Vec<PlatformInstance>>,
) -> HttpResponse {
    let mut held = list
        .lock()
        .expect("no thread panics while it holds the list");
    *held = instances.into_inner();
    HttpResponse::NoContent().finish()
}
