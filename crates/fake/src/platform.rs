//! The platform's list of instances.

use std::net::SocketAddr;
use std::sync::Mutex;

use actix_web::{App, HttpResponse, HttpServer, web};
use serde::{Deserialize, Serialize};

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlatformState {
    /// The instance runs.
    Live,
    /// The instance stops soon.
    Leaving,
}

/// One line of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformInstance {
    /// Name of the endpoint on the instance.
    pub name: String,
    /// What the platform says of it.
    pub state: PlatformState,
}

/// The list, as the platform publishes it.
type PlatformList = web::Data<Mutex<Vec<PlatformInstance>>>;

/// Serves until the process is told to stop.
///
/// # Errors
/// The error of the HTTP server.
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
