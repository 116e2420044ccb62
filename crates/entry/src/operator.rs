//! Decisions, status and metrics over HTTP.

use actix_web::{HttpRequest, HttpResponse, web};
use fault::FaultKind;
use serde::Deserialize;
use serde_json::json;
use watch::record::request_from_text;
use watch::{DecisionRecord, RecordFilter, TEXT_CONTENT_TYPE};
use wire::id::RequestId;

use crate::answer::fault_response;
use crate::core::EntryCore;

/// Records that one request returns at most.
const MAX_RECORDS: usize = 500;

/// Adds the routes for operators and for the platform.
pub fn add_routes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(get_ready))
        .route("/metrics", web::get().to(get_metrics))
        .route("/operator/decisions", web::get().to(get_decisions));
}

async fn get_ready(core: web::Data<EntryCore>) -> HttpResponse {
    if core.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn get_metrics(core: web::Data<EntryCore>) -> HttpResponse {
    core.metrics.set_in_flight(core.active());
    match core.metrics.process.expose() {
        Ok(text) => HttpResponse::Ok()
            .content_type(TEXT_CONTENT_TYPE)
            .body(text),
        Err(error) => HttpResponse::InternalServerError().body(error.to_string()),
    }
}

/// What an operator asks for: one request, or what came after a sequence number.
#[derive(Deserialize)]
struct DecisionQuery {
    request: Option<String>,
    #[serde(default)]
    after: u64,
    account: Option<String>,
    service: Option<String>,
    endpoint: Option<String>,
}

async fn get_decisions(
    core: web::Data<EntryCore>,
    request: HttpRequest,
    query: web::Query<DecisionQuery>,
) -> HttpResponse {
    if let Err(fault) = check_operator(&core, &request) {
        return fault_response(&fault, rand::random());
    }
    let query = query.into_inner();
    match query.request {
        Some(text) => match request_from_text(&text) {
            Some(id) => find_decisions(&core, id),
            None => {
                let fault = FaultKind::MalformedRequest.because("request is no request id");
                fault_response(&fault, rand::random())
            }
        },
        None => {
            let filter = RecordFilter {
                account: query.account,
                service: query.service,
                endpoint: query.endpoint,
            };
            let batch = core.decisions().follow(query.after, &filter, MAX_RECORDS);
            HttpResponse::Ok().json(batch)
        }
    }
}

fn find_decisions(core: &EntryCore, id: RequestId) -> HttpResponse {
    let ring = core.decisions();
    let records: Vec<&DecisionRecord> = ring.find(id);
    HttpResponse::Ok().json(json!({"records": records}))
}

/// Checks the operator key of a request.
///
/// # Errors
/// `MissingKey` or `UnknownKey`.
fn check_operator(core: &EntryCore, request: &HttpRequest) -> fault::Result<()> {
    let value = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| FaultKind::MissingKey.because("an operator key is needed"))?;
    let fleet = core.fleet.load();
    match fleet.operator_of_key(key) {
        Some(_) => Ok(()),
        None => Err(FaultKind::UnknownKey.because("no operator has this key")),
    }
}
