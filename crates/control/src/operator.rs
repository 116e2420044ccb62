//! The operators' HTTP interface.
//!
//! Handlers run on the thread of the HTTP worker and send [`OperatorRequest`] messages to the
//! node's thread, where [`crate::operator_handler`] answers them. [`settings::operator`] defines
//! the requests and answers.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::error::InternalError;
use actix_web::http::StatusCode;
use actix_web::http::header::RETRY_AFTER;
use actix_web::{App, HttpMessage, HttpRequest, HttpResponse, HttpServer, web};
use fault::{Fault, FaultKind};
use kernel::body::BodyIntake;
use kernel::http::ConnectionLimiter;
use serde::Deserialize;
use serde_json::Value;
use settings::history::MAX_TREE_BYTES;
use settings::operator::{ChangeRequest, DEFAULT_HISTORY_LIMIT, FaultResponse, parse_fingerprint};
use settings::process::LimitSettings;
use tokio::sync::{mpsc, oneshot};
use watch::page::{PAGE_CONTENT_TYPE, PAGE_POLICY, render};
use watch::{FleetStatus, TEXT_CONTENT_TYPE};
use wire::id::{FingerprintHash, SettingsVersion};

use crate::node::ControlNode;
use crate::operator_handler::OperatorHandler;

/// Capacity of the queue of requests to the node.
const QUEUE_REQUESTS: usize = 64;
/// Maximum body size of a settings change: the largest edits, escaped as JSON.
const MAX_CHANGE_BYTES: usize = 2 * MAX_TREE_BYTES;

/// A request of an operator.
#[derive(Debug)]
pub enum OperatorAction {
    /// Reads a branch of the settings.
    Get(SettingsQuery),
    /// Changes the settings.
    Change(ChangeRequest),
    /// Reads the last changes.
    History {
        /// Maximum number of changes.
        limit: usize,
    },
    /// Compares two versions of the settings.
    Diff(DiffQuery),
    /// Reads the status of the fleet and the quorum.
    Status,
    /// Reads whether this instance is ready. Needs no key.
    Ready,
    /// Reads the metrics. Needs no key.
    Metrics,
    /// Lists the quarantined requests.
    Quarantine,
    /// Lifts a quarantine.
    Lift(FingerprintHash),
}

/// Query of `GET /operator/settings`.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SettingsQuery {
    /// Dotted path; empty for the root.
    pub path: String,
    /// Whether to resolve inheritance and report the origin of each value.
    pub origin: bool,
    /// The version; the current one when absent.
    pub version: Option<SettingsVersion>,
}

/// Query of `GET /operator/diff`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiffQuery {
    /// The version before the edits.
    pub from: SettingsVersion,
    /// The version after the edits.
    pub to: SettingsVersion,
}

#[derive(Deserialize)]
struct HistoryQuery {
    limit: Option<usize>,
}

/// A request to the node's thread.
pub struct OperatorRequest {
    /// The `authorization` header.
    pub(crate) authorization: Option<String>,
    /// The requested action.
    pub(crate) action: OperatorAction,
    /// Receives the answer.
    pub(crate) answer: oneshot::Sender<Result<Value, Fault>>,
}

/// Queue from the HTTP workers to the node.
pub type OperatorQueue = mpsc::Sender<OperatorRequest>;

/// Creates the queue to the node, and its receiving end.
pub fn operator_queue() -> (OperatorQueue, mpsc::Receiver<OperatorRequest>) {
    mpsc::channel(QUEUE_REQUESTS)
}

/// Answers operators' requests until the process ends.
pub async fn serve_operators(node: Rc<ControlNode>, mut requests: mpsc::Receiver<OperatorRequest>) {
    let handler = Rc::new(OperatorHandler::new(node));
    while let Some(request) = requests.recv().await {
        let handler = Rc::clone(&handler);
        actix_rt::spawn(async move {
            let authorization = request.authorization.as_deref();
            let answer = handler.handle(authorization, request.action).await;
            let _ = request.answer.send(answer);
        });
    }
}

/// Serves the operators' HTTP interface until the process ends.
///
/// # Errors
/// The address can't be bound, or the HTTP server failed.
pub async fn serve_http(
    address: SocketAddr,
    limits: &LimitSettings,
    queue: OperatorQueue,
) -> std::io::Result<()> {
    let limiter = ConnectionLimiter::new(limits);
    let bodies = BodyIntake::new(limits);
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(queue.clone()))
            .app_data(web::Data::new(bodies.clone()))
            .configure(add_routes)
    })
    .on_connect(move |connection, extensions| limiter.admit(connection, extensions))
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run()
    .await
}

/// Adds the routes for operators.
pub fn add_routes(config: &mut web::ServiceConfig) {
    let query = web::QueryConfig::default().error_handler(|error, _| malformed(error));
    config
        .app_data(query)
        .route("/healthz", web::get().to(HttpResponse::Ok))
        .route("/operator/settings", web::get().to(get_settings))
        .route("/operator/changes", web::post().to(post_change))
        .route("/operator/history", web::get().to(get_history))
        .route("/operator/diff", web::get().to(get_diff))
        .route("/operator/status", web::get().to(get_status))
        .route("/status", web::get().to(get_status_page))
        .route("/readyz", web::get().to(get_ready))
        .route("/metrics", web::get().to(get_metrics))
        .route("/operator/quarantine", web::get().to(get_quarantine))
        .route(
            "/operator/quarantine/{fingerprint}",
            web::delete().to(delete_quarantine),
        );
}

/// The answer to a query or body that can't be parsed.
fn malformed(error: impl std::fmt::Display) -> actix_web::Error {
    let fault = FaultKind::MalformedRequest.because(error.to_string());
    let response = fault_response(&fault);
    InternalError::from_response(fault, response).into()
}

async fn get_settings(
    request: HttpRequest,
    query: web::Query<SettingsQuery>,
    queue: web::Data<OperatorQueue>,
) -> HttpResponse {
    respond_json(&request, &queue, OperatorAction::Get(query.into_inner())).await
}

async fn post_change(
    request: HttpRequest,
    payload: web::Payload,
    queue: web::Data<OperatorQueue>,
) -> actix_web::Result<HttpResponse> {
    if !request.content_type().ends_with("json") {
        return Err(malformed("the content type is not JSON"));
    }
    let bodies = request.app_data::<web::Data<BodyIntake>>().cloned();
    let bodies = bodies.unwrap_or_else(|| web::Data::new(BodyIntake::default()));
    let read = bodies
        .read(&request, payload, MAX_CHANGE_BYTES as u64)
        .await;
    let (body, held) = match read {
        Ok(read) => read,
        Err(fault) => return Ok(fault_response(&fault)),
    };
    let change: ChangeRequest = serde_json::from_slice(&body).map_err(malformed)?;
    drop(body);
    let answer = respond_json(&request, &queue, OperatorAction::Change(change)).await;
    drop(held);
    Ok(answer)
}

async fn get_history(
    request: HttpRequest,
    query: web::Query<HistoryQuery>,
    queue: web::Data<OperatorQueue>,
) -> HttpResponse {
    let limit = query.limit.unwrap_or(DEFAULT_HISTORY_LIMIT);
    respond_json(&request, &queue, OperatorAction::History { limit }).await
}

async fn get_diff(
    request: HttpRequest,
    query: web::Query<DiffQuery>,
    queue: web::Data<OperatorQueue>,
) -> HttpResponse {
    respond_json(&request, &queue, OperatorAction::Diff(query.into_inner())).await
}

async fn get_status(request: HttpRequest, queue: web::Data<OperatorQueue>) -> HttpResponse {
    respond_json(&request, &queue, OperatorAction::Status).await
}

async fn get_ready(request: HttpRequest, queue: web::Data<OperatorQueue>) -> HttpResponse {
    respond_json(&request, &queue, OperatorAction::Ready).await
}

async fn get_metrics(request: HttpRequest, queue: web::Data<OperatorQueue>) -> HttpResponse {
    match ask_node(&request, &queue, OperatorAction::Metrics).await {
        Ok(Value::String(text)) => HttpResponse::Ok()
            .content_type(TEXT_CONTENT_TYPE)
            .body(text),
        Ok(_) => fault_response(&FaultKind::Internal.because("metrics are no text")),
        Err(fault) => fault_response(&fault),
    }
}

/// The status page. Faults are answered with an HTTP Basic challenge, so that a browser asks for
/// the operator's key as the password.
async fn get_status_page(request: HttpRequest, queue: web::Data<OperatorQueue>) -> HttpResponse {
    let answer = ask_node(&request, &queue, OperatorAction::Status).await;
    let status = answer.map(serde_json::from_value::<FleetStatus>);
    match status {
        Ok(Ok(status)) => HttpResponse::Ok()
            .content_type(PAGE_CONTENT_TYPE)
            .insert_header(("content-security-policy", PAGE_POLICY))
            .body(render(&status)),
        Ok(Err(error)) => fault_response(&FaultKind::Internal.because(error.to_string())),
        Err(fault) => HttpResponse::Unauthorized()
            .insert_header(("www-authenticate", "Basic realm=\"operators\""))
            .body(fault.message),
    }
}

async fn get_quarantine(request: HttpRequest, queue: web::Data<OperatorQueue>) -> HttpResponse {
    respond_json(&request, &queue, OperatorAction::Quarantine).await
}

async fn delete_quarantine(
    request: HttpRequest,
    fingerprint: web::Path<String>,
    queue: web::Data<OperatorQueue>,
) -> HttpResponse {
    match parse_fingerprint(&fingerprint) {
        Some(fingerprint) => {
            respond_json(&request, &queue, OperatorAction::Lift(fingerprint)).await
        }
        None => fault_response(&FaultKind::MalformedRequest.because("this is no fingerprint")),
    }
}

async fn respond_json(
    request: &HttpRequest,
    queue: &OperatorQueue,
    action: OperatorAction,
) -> HttpResponse {
    match ask_node(request, queue, action).await {
        Ok(value) => HttpResponse::Ok().json(value),
        Err(fault) => fault_response(&fault),
    }
}

async fn ask_node(
    request: &HttpRequest,
    queue: &OperatorQueue,
    action: OperatorAction,
) -> fault::Result<Value> {
    let header = request.headers().get("authorization");
    let (answer, answered) = oneshot::channel();
    let sent = queue
        .send(OperatorRequest {
            authorization: header.and_then(|value| Some(value.to_str().ok()?.to_owned())),
            action,
            answer,
        })
        .await;
    let stopping = || FaultKind::Draining.because("the node is stopping");
    sent.map_err(|_| stopping())?;
    answered.await.map_err(|_| stopping())?
}

fn fault_response(fault: &Fault) -> HttpResponse {
    let status = StatusCode::from_u16(fault.kind.answer().status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(time) = fault.kind.answer().retry_after {
        response.insert_header((RETRY_AFTER, time.as_secs()));
    }
    response.json(FaultResponse::from(fault))
}
