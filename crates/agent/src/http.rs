//! HTTP server for health, metrics and decision records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use actix_web::dev::Server;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use fault::{Fault, FaultKind};
use kernel::http::ConnectionLimiter;
use serde::Deserialize;
use serde_json::json;
use settings::fleet::OperatorRole;
use settings::process::LimitSettings;
use watch::record::request_from_text;
use watch::{RecordFilter, TEXT_CONTENT_TYPE};

use crate::core::AgentShared;

/// Maximum number of decision records in one answer.
const MAX_RECORDS: usize = 500;

/// Binds the server, which serves while the returned future is polled.
///
/// # Errors
/// An I/O error if the address can't be bound.
pub fn bind_server(
    address: SocketAddr,
    limits: &LimitSettings,
    shared: Arc<AgentShared>,
) -> std::io::Result<Server> {
    let limiter = ConnectionLimiter::new(limits);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&shared)))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/readyz", web::get().to(get_ready))
            .route("/metrics", web::get().to(get_metrics))
            .route("/operator/decisions", web::get().to(get_decisions))
    });
    Ok(server
        .on_connect(move |connection, extensions| limiter.admit(connection, extensions))
        .workers(1)
        .disable_signals()
        .bind(address)?
        .run())
}

async fn get_ready(shared: web::Data<AgentShared>) -> HttpResponse {
    if shared.is_serving.load(Ordering::Relaxed) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn get_metrics(shared: web::Data<AgentShared>) -> HttpResponse {
    match shared.metrics.process.expose() {
        Ok(text) => HttpResponse::Ok()
            .content_type(TEXT_CONTENT_TYPE)
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// Query of an operator: the records of one request, or all records after a sequence number.
#[derive(Deserialize)]
struct DecisionQuery {
    request: Option<String>,
    #[serde(default)]
    after: u64,
}

async fn get_decisions(
    shared: web::Data<AgentShared>,
    request: HttpRequest,
    query: web::Query<DecisionQuery>,
) -> HttpResponse {
    if let Err(fault) = check_operator(&shared, &request) {
        return fault_response(&fault);
    }
    let Some(text) = &query.request else {
        let filter = RecordFilter::default();
        let batch = shared.decisions().follow(query.after, &filter, MAX_RECORDS);
        return HttpResponse::Ok().json(batch);
    };
    match request_from_text(text) {
        Some(id) => HttpResponse::Ok().json(json!({"records": shared.decisions().find(id)})),
        None => fault_response(&FaultKind::MalformedRequest.because("request is no request id")),
    }
}

fn check_operator(shared: &AgentShared, request: &HttpRequest) -> fault::Result<()> {
    let header = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    shared
        .fleet
        .load()
        .authorize_operator(header, OperatorRole::Read)?;
    Ok(())
}

fn fault_response(fault: &Fault) -> HttpResponse {
    let answer = fault.kind.answer();
    let status = actix_web::http::StatusCode::from_u16(answer.status);
    let status = status.unwrap_or(actix_web::http::StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).json(json!({"error": {
        "kind": fault.kind.to_string(),
        "outcome": answer.outcome.to_string(),
        "message": fault.message,
    }}))
}
