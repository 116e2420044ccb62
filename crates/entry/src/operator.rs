//! HTTP routes for decision records, status and metrics.

use std::net::SocketAddr;

use actix_web::{HttpRequest, HttpResponse, web};
use fault::FaultKind;
use serde::Deserialize;
use serde_json::json;
use settings::fleet::OperatorRole;
use watch::record::{DecisionPart, request_from_text};
use watch::{DecisionRecord, RecordFilter, TEXT_CONTENT_TYPE};
use wire::id::{RequestId, name_id};

use crate::answer::fault_response;
use crate::core::EntryCore;
use crate::intake::header_text;
use crate::status::fleet_status;

/// Largest number of records in one response.
const MAX_RECORDS: usize = 500;

/// Adds the routes for operators and for health checks and metrics.
pub fn add_routes(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/readyz", web::get().to(get_ready))
        .route("/metrics", web::get().to(get_metrics))
        .route("/status", web::get().to(get_status_page))
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

/// Query for the records of one request, or for those after a sequence number.
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
            Some(id) => find_decisions(&core, id).await,
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

/// The records of a request at this entry and at the agents to which it was sent.
async fn find_decisions(core: &EntryCore, id: RequestId) -> HttpResponse {
    let mut records: Vec<DecisionRecord> = core.decisions().find(id).into_iter().cloned().collect();
    let addresses = agent_addresses(core, &records);
    for text in core.pool.ask_decisions(id, &addresses).await {
        records.extend(serde_json::from_str::<Vec<DecisionRecord>>(&text).unwrap_or_default());
    }
    HttpResponse::Ok().json(json!({"records": records}))
}

/// Addresses of the agents to which the attempts in `records` were sent.
fn agent_addresses(core: &EntryCore, records: &[DecisionRecord]) -> Vec<SocketAddr> {
    let selector = core.selector.lock();
    let attempts = records.iter().flat_map(|record| match &record.part {
        DecisionPart::Entry(decision) => decision.attempts.as_slice(),
        DecisionPart::Agent(_) => &[],
    });
    let mut addresses: Vec<SocketAddr> = attempts
        .filter_map(|attempt| selector.table.address(name_id(&attempt.endpoint)))
        .collect();
    addresses.sort_unstable();
    addresses.dedup();
    addresses
}

/// Checks that a request carries the key of an operator who may read.
///
/// # Errors
/// `MissingKey`, `UnknownKey` or `Forbidden`.
fn check_operator(core: &EntryCore, request: &HttpRequest) -> fault::Result<()> {
    let header = header_text(request, "authorization");
    core.fleet
        .load()
        .authorize_operator(header, OperatorRole::Read)?;
    Ok(())
}

/// The status page. Without a valid key, the browser prompts for it as the password of basic
/// authentication.
async fn get_status_page(core: web::Data<EntryCore>, request: HttpRequest) -> HttpResponse {
    match check_operator(&core, &request) {
        Ok(()) => {
            let page = watch::page::render(&fleet_status(&core));
            HttpResponse::Ok()
                .content_type(watch::page::PAGE_CONTENT_TYPE)
                .insert_header(("content-security-policy", watch::page::PAGE_POLICY))
                .body(page)
        }
        Err(fault) => HttpResponse::Unauthorized()
            .insert_header(("www-authenticate", "Basic realm=\"operators\""))
            .body(fault.message),
    }
}
