//! The operators' HTTP interface.
//!
//! Handlers run on the HTTP worker's thread and reach the node by [`OperatorRequest`] messages.

use std::net::SocketAddr;
use std::rc::Rc;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use fault::{Fault, FaultKind};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use settings::fleet::OperatorRole;
use tokio::sync::{mpsc, oneshot};
use wire::command::{ControlCommand, ControlReply, SettingEdit, SettingsChange};

use crate::node::ControlNode;

/// Requests that wait for the node.
const QUEUE_REQUESTS: usize = 64;

/// What an operator asks.
#[derive(Debug)]
pub enum OperatorAction {
    /// Reads a branch of the settings.
    Get {
        /// Dotted path.
        path: String,
    },
    /// Changes the settings.
    Change(OperatorChange),
    /// Reads who is there.
    Status,
}

/// Body of a change.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorChange {
    /// Chosen by the client; equal for a resend.
    pub change_id: String,
    /// Version that the operator saw.
    pub base: u64,
    /// Edits.
    pub edits: Vec<SettingEdit>,
}

/// An action on its way to the node.
pub struct OperatorRequest {
    key: String,
    action: OperatorAction,
    answer: oneshot::Sender<Result<Value, Fault>>,
}

/// Handle of the HTTP workers to the node.
pub type OperatorQueue = mpsc::Sender<OperatorRequest>;

/// A queue to the node, and its other end.
pub fn operator_queue() -> (OperatorQueue, mpsc::Receiver<OperatorRequest>) {
    mpsc::channel(QUEUE_REQUESTS)
}

/// Answers operators' requests until the process ends.
pub async fn serve_operators(node: Rc<ControlNode>, mut requests: mpsc::Receiver<OperatorRequest>) {
    while let Some(request) = requests.recv().await {
        let node = Rc::clone(&node);
        actix_rt::spawn(async move {
            let answer = act(&node, &request.key, request.action).await;
            let _ = request.answer.send(answer);
        });
    }
}

async fn act(node: &ControlNode, key: &str, action: OperatorAction) -> Result<Value, Fault> {
    let (operator, role) = find_operator(node, key)?;
    match action {
        OperatorAction::Get { path } => get(node, &path),
        OperatorAction::Status => json_of(&node.fleet_status()),
        OperatorAction::Change(change) => {
            if role < OperatorRole::Change {
                return Err(FaultKind::Forbidden.because("this operator may only read"));
            }
            change_settings(node, operator, change).await
        }
    }
}

fn find_operator(node: &ControlNode, key: &str) -> Result<(String, OperatorRole), Fault> {
    let state = node.state.borrow();
    let fleet = state.settings.resolved().unwrap_or_default();
    let found = fleet.operator_of_key(key);
    let (name, operator) =
        found.ok_or_else(|| FaultKind::UnknownKey.because("no operator has this key"))?;
    Ok((name.to_owned(), operator.role))
}

fn get(node: &ControlNode, path: &str) -> Result<Value, Fault> {
    let state = node.state.borrow();
    let found = state.settings.tree().get(path);
    let value =
        found.ok_or_else(|| FaultKind::MalformedRequest.because(format!("no setting {path}")))?;
    Ok(json!({"version": state.settings.version(), "value": value}))
}

fn json_of<T: Serialize>(value: &T) -> Result<Value, Fault> {
    serde_json::to_value(value).map_err(|error| FaultKind::Internal.because(error.to_string()))
}

async fn change_settings(
    node: &ControlNode,
    operator: String,
    change: OperatorChange,
) -> Result<Value, Fault> {
    let change = SettingsChange {
        change_id: change.change_id,
        base: change.base,
        operator,
        edits: change.edits,
    };
    match node.propose(ControlCommand::ChangeSettings(change)).await {
        ControlReply::SettingsAccepted(version) => Ok(json!({"version": version})),
        ControlReply::Refused(fault) => Err(fault),
        other => Err(FaultKind::Internal.because(format!("unexpected reply {other:?}"))),
    }
}

/// Serves until the process ends.
///
/// # Errors
/// The error of the HTTP server.
pub async fn serve_http(address: SocketAddr, queue: OperatorQueue) -> std::io::Result<()> {
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(queue.clone()))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/operator/settings", web::get().to(get_settings))
            .route("/operator/changes", web::post().to(post_change))
            .route("/operator/status", web::get().to(get_status))
    })
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run()
    .await
}

#[derive(Deserialize)]
struct PathQuery {
    #[serde(default)]
    path: String,
}

async fn get_settings(
    request: HttpRequest,
    query: web::Query<PathQuery>,
    queue: web::Data<OperatorQueue>,
) -> HttpResponse {
    ask(
        &request,
        &queue,
        OperatorAction::Get {
            path: query.into_inner().path,
        },
    )
    .await
}

async fn post_change(
    request: HttpRequest,
    change: web::Json<OperatorChange>,
    queue: web::Data<OperatorQueue>,
) -> HttpResponse {
    ask(
        &request,
        &queue,
        OperatorAction::Change(change.into_inner()),
    )
    .await
}

async fn get_status(request: HttpRequest, queue: web::Data<OperatorQueue>) -> HttpResponse {
    ask(&request, &queue, OperatorAction::Status).await
}

async fn ask(request: &HttpRequest, queue: &OperatorQueue, action: OperatorAction) -> HttpResponse {
    let Some(key) = bearer_key(request) else {
        return fault_response(&FaultKind::MissingKey.because("an operator key is needed"));
    };
    let (answer, answered) = oneshot::channel();
    let sent = queue
        .send(OperatorRequest {
            key,
            action,
            answer,
        })
        .await;
    let result = match sent {
        Ok(()) => answered.await.ok(),
        Err(_) => None,
    };
    match result {
        Some(Ok(value)) => HttpResponse::Ok().json(value),
        Some(Err(fault)) => fault_response(&fault),
        None => fault_response(&FaultKind::Internal.because("the node is stopping")),
    }
}

fn bearer_key(request: &HttpRequest) -> Option<String> {
    let value = request.headers().get("authorization")?.to_str().ok()?;
    Some(value.strip_prefix("Bearer ")?.to_owned())
}

fn fault_response(fault: &Fault) -> HttpResponse {
    let answer = fault.kind.answer();
    let status = actix_web::http::StatusCode::from_u16(answer.status);
    HttpResponse::build(status.unwrap_or(actix_web::http::StatusCode::INTERNAL_SERVER_ERROR)).json(
        json!({"kind": fault.kind.to_string(), "outcome": answer.outcome.to_string(),
            "message": fault.message}),
    )
}
