//! Health, metrics and decisions.

use actix_web::{App, HttpResponse, HttpServer, web};
use std::net::SocketAddr;

/// Serves until the process ends.
///
/// # Errors
/// The error of the HTTP server.
pub async fn serve_http(address: SocketAddr) -> std::io::Result<()> {
    HttpServer::new(|| App::new().route("/healthz", web::get().to(HttpResponse::Ok)))
        .workers(1)
        .disable_signals()
        .bind(address)?
        .run()
        .await
}
