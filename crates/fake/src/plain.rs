//! Fake plain service that counts its orders and echoes all other requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::middleware::from_fn;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use kernel::http::set_nodelay;
use serde_json::json;

use crate::request_id::echo_request_id;

/// Settings of a fake plain service.
#[derive(Clone, Debug)]
pub struct PlainSettings {
    /// Address of the HTTP server.
    pub http: SocketAddr,
    /// Duration of every call except counts and health checks.
    pub pause: Duration,
}

struct PlainState {
    settings: PlainSettings,
    orders: AtomicU64,
}

/// Serves until the process is terminated.
///
/// # Errors
/// The address can't be bound, or the HTTP server fails.
pub async fn serve(settings: PlainSettings) -> std::io::Result<()> {
    let address = settings.http;
    let state = web::Data::new(PlainState {
        settings,
        orders: AtomicU64::new(0),
    });
    HttpServer::new(move || {
        App::new()
            .wrap(from_fn(echo_request_id))
            .app_data(state.clone())
            .app_data(web::PayloadConfig::new(64 * 1024 * 1024))
            .route("/orders", web::post().to(place_order))
            .route("/orders", web::get().to(count_orders))
            .route("/stats", web::get().to(count_orders))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .default_service(web::to(echo))
    })
    .on_connect(set_nodelay)
    .workers(1)
    .bind(address)?
    .run()
    .await
}

async fn place_order(state: web::Data<PlainState>, body: web::Bytes) -> HttpResponse {
    actix_rt::time::sleep(state.settings.pause).await;
    let number = state.orders.fetch_add(1, Ordering::Relaxed) + 1;
    HttpResponse::Created().json(json!({"order": number, "bytes": body.len()}))
}

async fn count_orders(state: web::Data<PlainState>) -> HttpResponse {
    HttpResponse::Ok().json(json!({"orders": state.orders.load(Ordering::Relaxed)}))
}

async fn echo(
    state: web::Data<PlainState>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    actix_rt::time::sleep(state.settings.pause).await;
    HttpResponse::Ok()
        .insert_header(("x-method", request.method().as_str()))
        .insert_header(("x-path", request.uri().to_string()))
        .body(body)
}
