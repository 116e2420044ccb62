//! The callers' HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bytes::Bytes;
use fault::{Fault, FaultKind};
use futures::stream;
use serde_json::json;
use settings::FleetSettings;
use settings::fleet::ServiceKind;
use wire::answer::{AttemptKey, HeaderField, SubmitRequest};
use wire::id::{RequestId, name_id};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::AnswerStream;
use crate::chat::ChatRequest;
use crate::core::EntryCore;
use crate::dispatch::{StartedAnswer, dispatch};

/// Largest body in bytes that the server reads before settings are known.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Serves callers until the process ends.
///
/// # Errors
/// The error of the HTTP server.
pub async fn serve_http(address: SocketAddr, core: Arc<EntryCore>) -> std::io::Result<()> {
    HttpServer::new(move || {
        App::new()
            .app_data(web::Data::from(Arc::clone(&core)))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .route("/healthz", web::get().to(HttpResponse::Ok))
            .route("/v1/chat/completions", web::post().to(complete_chat))
            .route("/service/{name}/{path:.*}", web::route().to(call_service))
    })
    .workers(2)
    .disable_signals()
    .bind(address)?
    .run()
    .await
}

async fn complete_chat(
    core: web::Data<EntryCore>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let id: RequestId = rand::random();
    let submit = chat_submit(&core, &request, body, id);
    answer(&core, submit, id).await
}

async fn call_service(
    core: web::Data<EntryCore>,
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: Bytes,
) -> HttpResponse {
    let id: RequestId = rand::random();
    let (service, path) = path.into_inner();
    let submit = service_submit(&core, &request, &service, &path, body, id);
    answer(&core, submit, id).await
}

fn chat_submit(
    core: &EntryCore,
    request: &HttpRequest,
    body: Bytes,
    id: RequestId,
) -> fault::Result<SubmitRequest> {
    let fleet = core.fleet.load();
    let account = find_account(&fleet, request)?;
    let chat = ChatRequest::read(&body)?;
    let found = fleet.service_of_model(&chat.model);
    let (service, _, _) =
        found.ok_or_else(|| FaultKind::UnknownModel.because(format!("no model {}", chat.model)))?;
    let parts = SubmitParts {
        account,
        service: service.to_owned(),
        path: request_path(request),
    };
    let submit = parts.build(&fleet, request, body, id);
    Ok(SubmitRequest {
        model: Some(name_id(&chat.model)),
        idempotent: true,
        prefixes: chat.prefixes(),
        prompt_tokens: chat.prompt_tokens(),
        ..submit
    })
}

fn service_submit(
    core: &EntryCore,
    request: &HttpRequest,
    service: &str,
    path: &str,
    body: Bytes,
    id: RequestId,
) -> fault::Result<SubmitRequest> {
    let fleet = core.fleet.load();
    let account = find_account(&fleet, request)?;
    let found = fleet
        .services
        .get(service)
        .filter(|found| found.kind == ServiceKind::Plain);
    let settings =
        found.ok_or_else(|| FaultKind::UnknownService.because(format!("no service {service}")))?;
    let method = request.method().as_str();
    let idempotent = !settings
        .non_idempotent_methods
        .iter()
        .any(|found| found == method);
    let query = request.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    let path = format!("/{path}{separator}{query}");
    let parts = SubmitParts {
        account,
        service: service.to_owned(),
        path,
    };
    Ok(SubmitRequest {
        idempotent,
        ..parts.build(&fleet, request, body, id)
    })
}

fn find_account(fleet: &FleetSettings, request: &HttpRequest) -> fault::Result<String> {
    let header = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let key = header.and_then(|value| value.strip_prefix("Bearer "));
    let key = key.ok_or_else(|| FaultKind::MissingKey.because("an account key is needed"))?;
    let found = fleet.account_of_key(key);
    let (name, _) =
        found.ok_or_else(|| FaultKind::UnknownKey.because("no client account has this key"))?;
    Ok(name.to_owned())
}

fn request_path(request: &HttpRequest) -> String {
    request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned()
}

/// What a submit needs beside the HTTP request.
struct SubmitParts {
    account: String,
    service: String,
    path: String,
}

impl SubmitParts {
    fn build(
        self,
        fleet: &FleetSettings,
        request: &HttpRequest,
        body: Bytes,
        id: RequestId,
    ) -> SubmitRequest {
        let policy = fleet.request_policy(&self.account, &self.service);
        let method = request.method().as_str().to_owned();
        let work = format!(
            "{}\n{}\n{}\n{}\n",
            self.account, self.service, method, self.path
        );
        SubmitRequest {
            key: AttemptKey {
                request: id,
                attempt: 0,
            },
            account: name_id(&self.account),
            service: name_id(&self.service),
            model: None,
            class: policy.class,
            idempotent: true,
            claim: None,
            fingerprint: xxh3_64(&[work.as_bytes(), &body].concat()),
            prefixes: Vec::new(),
            prompt_tokens: 0,
            deadline: stated_deadline(request).unwrap_or(policy.deadline),
            hops: 0,
            method,
            path: self.path,
            headers: pass_headers(request),
            body,
        }
    }
}

fn stated_deadline(request: &HttpRequest) -> Option<Duration> {
    let text = request.headers().get("x-deadline-ms")?.to_str().ok()?;
    text.parse().ok().map(Duration::from_millis)
}

fn pass_headers(request: &HttpRequest) -> Vec<HeaderField> {
    let passed = ["content-type", "accept"];
    let found = passed.iter().filter_map(|name| {
        let value = request.headers().get(*name)?.to_str().ok()?;
        Some(HeaderField {
            name: (*name).to_owned(),
            value: value.to_owned(),
        })
    });
    found.collect()
}

async fn answer(
    core: &EntryCore,
    submit: fault::Result<SubmitRequest>,
    id: RequestId,
) -> HttpResponse {
    let started = match submit {
        Ok(submit) => dispatch(core, submit).await,
        Err(fault) => Err(fault),
    };
    match started {
        Ok(started) => stream_response(started, id),
        Err(fault) => fault_response(&fault, id),
    }
}

fn stream_response(started: StartedAnswer, id: RequestId) -> HttpResponse {
    let head = started.head;
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    for header in &head.headers {
        response.insert_header((header.name.as_str(), header.value.as_str()));
    }
    response.insert_header(("x-request-id", format!("{id:032x}")));
    response.insert_header(("x-outcome", "ran"));
    response.insert_header(("x-cached-tokens", head.cached_tokens.to_string()));
    response.streaming(stream::unfold(started.stream, next_item))
}

async fn next_item(
    mut stream: AnswerStream,
) -> Option<(std::result::Result<Bytes, Fault>, AnswerStream)> {
    let item = stream.next_bytes().await?;
    Some((item, stream))
}

fn fault_response(fault: &Fault, id: RequestId) -> HttpResponse {
    let answer = fault.kind.answer();
    log::log!(answer.level, "entry: request {id:032x}: {fault}");
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    response.insert_header(("x-request-id", format!("{id:032x}")));
    response.insert_header(("x-outcome", answer.outcome.to_string()));
    if let Some(wait) = fault.retry_after.or(answer.retry_after) {
        let seconds = wait.as_secs_f64().ceil().max(1.0);
        response.insert_header(("retry-after", format!("{seconds:.0}")));
    }
    response.json(json!({"error": {
        "kind": fault.kind.to_string(),
        "outcome": answer.outcome.to_string(),
        "message": fault.message,
        "request": format!("{id:032x}"),
    }}))
}
