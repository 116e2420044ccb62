//! Parses and checks HTTP requests and builds calls from them.

use std::str::FromStr;
use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::web::Payload;
use bytes::Bytes;
use fault::{Fault, FaultKind};
use quota::budget::HeldBytes;
use route::WarmHint;
use route::preference::{AffinityKey, chat_key};
use settings::fleet::{ServiceKind, ServiceSettings};
use settings::{FleetSettings, PolicySettings};
use wire::answer::{AttemptKey, HeaderField, PriorityClass, SubmitRequest};
use wire::id::{RequestId, name_id};
use xxhash_rust::xxh3::Xxh3;

use crate::chat::ChatRequest;
use crate::core::EntryCore;

/// Largest accepted length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// Request headers that are forwarded to the endpoint.
const FORWARDED_HEADERS: [&str; 5] = [
    "content-type",
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
];

/// Result of parsing and checking a request.
pub type Result<T> = std::result::Result<T, Fault>;

/// A call that passed the checks of the entry.
pub struct CallRequest {
    /// The request for an agent. Its attempt number is 0 and replaced in each attempt.
    pub submit: SubmitRequest,
    /// Name of the client account.
    pub account: String,
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: Option<String>,
    /// Policy that applies to this account and service.
    pub policy: PolicySettings,
    /// Locations where the chat is cached, as sent by the caller.
    pub hint: WarmHint,
    /// Affinity key of the call, which determines the endpoints that it prefers.
    pub affinity: AffinityKey,
    /// When the call arrived.
    pub arrived: Instant,
    /// Charge for the body.
    pub held: HeldBytes,
}

/// Account, service, path and policy of a request that is being checked.
struct CallTarget {
    account: String,
    service: String,
    path: String,
    policy: PolicySettings,
}

/// Reads and checks a chat completion request.
///
/// # Errors
/// Why the request is rejected; it was not sent to any agent.
pub async fn read_chat(
    core: &EntryCore,
    request: &HttpRequest,
    payload: Payload,
    id: RequestId,
) -> Result<CallRequest> {
    let arrived = Instant::now();
    let fleet = core.fleet.load_full();
    let account = find_account(&fleet, request)?;
    let limit = fleet.request_policy(&account, "").max_body_bytes;
    let (body, held) = core.bodies.read(request, payload, limit).await?;
    let chat = ChatRequest::read(&body)?;
    let (service, _, model) = fleet
        .service_of_model(&chat.model)
        .ok_or_else(|| FaultKind::UnknownModel.because(format!("no model {}", chat.model)))?;
    let target = CallTarget {
        policy: PolicySettings {
            load_bound: model.policy.load_bound,
            load_aim: model.policy.load_aim,
            deadline: model.policy.deadline,
            ..fleet.request_policy(&account, service)
        },
        account,
        service: service.to_owned(),
        path: request_path(request),
    };
    target.check(core, &fleet)?;
    let mut call = target.build(request, (body, held), id, arrived)?;
    call.submit.model = Some(name_id(&chat.model));
    call.submit.idempotent = true;
    call.submit.claim = None;
    call.submit.prefixes = chat.prefixes();
    call.submit.prompt_tokens = chat.prompt_tokens();
    call.affinity = chat_affinity(request, &call, &chat);
    call.model = Some(chat.model);
    Ok(call)
}

/// Reads and checks a call of a plain service.
///
/// # Errors
/// Why the request is rejected; it was not sent to any agent.
pub async fn read_service_call(
    core: &EntryCore,
    request: &HttpRequest,
    service: &str,
    payload: Payload,
    id: RequestId,
) -> Result<CallRequest> {
    let arrived = Instant::now();
    let fleet = core.fleet.load_full();
    let account = find_account(&fleet, request)?;
    let settings = find_plain_service(&fleet, service)?;
    let idempotent = !settings
        .non_idempotent_methods
        .iter()
        .any(|method| request.method() == method.as_str());
    let target = CallTarget {
        policy: fleet.request_policy(&account, service),
        account,
        service: service.to_owned(),
        path: endpoint_path(request, service),
    };
    target.check(core, &fleet)?;
    let limit = target.policy.max_body_bytes;
    let (body, held) = core.bodies.read(request, payload, limit).await?;
    let mut call = target.build(request, (body, held), id, arrived)?;
    call.submit.idempotent = idempotent;
    if idempotent {
        call.submit.claim = None;
    }
    Ok(call)
}

impl CallTarget {
    fn check(&self, core: &EntryCore, fleet: &FleetSettings) -> Result<()> {
        let account = fleet.accounts.get(&self.account);
        let is_allowed = account.is_some_and(|found| {
            found.services.is_empty() || found.services.contains(&self.service)
        });
        if !is_allowed {
            let message = format!("this account may not use {}", self.service);
            return Err(FaultKind::Forbidden.because(message));
        }
        core.check_lease(&self.service)
    }

    fn build(
        self,
        request: &HttpRequest,
        (body, held): (Bytes, HeldBytes),
        id: RequestId,
        arrived: Instant,
    ) -> Result<CallRequest> {
        let method = request.method().as_str().to_owned();
        let submit = SubmitRequest {
            key: AttemptKey {
                request: id,
                attempt: 0,
            },
            account: name_id(&self.account),
            service: name_id(&self.service),
            model: None,
            class: requested_class(request, self.policy.class)?,
            idempotent: true,
            claim: idempotency_key(request)?,
            fingerprint: self.fingerprint(&method, &body),
            prefixes: Vec::new(),
            prompt_tokens: 0,
            deadline: requested_deadline(request)?.unwrap_or(self.policy.deadline),
            hops: 0,
            method,
            path: self.path,
            headers: forwarded_headers(request),
            body,
        };
        Ok(CallRequest {
            affinity: default_affinity(request, submit.account, submit.fingerprint),
            submit,
            account: self.account,
            service: self.service,
            model: None,
            policy: self.policy,
            hint: warm_hint(request),
            arrived,
            held,
        })
    }

    fn fingerprint(&self, method: &str, body: &[u8]) -> u64 {
        let mut hash = Xxh3::new();
        for part in [self.account.as_str(), &self.service, method, &self.path] {
            hash.update(part.as_bytes());
            hash.update(b"\n");
        }
        hash.update(body);
        hash.digest()
    }
}

fn find_account(fleet: &FleetSettings, request: &HttpRequest) -> Result<String> {
    let (name, _) = fleet.authorize_account(header_text(request, "authorization"))?;
    Ok(name.to_owned())
}

fn find_plain_service<'a>(fleet: &'a FleetSettings, name: &str) -> Result<&'a ServiceSettings> {
    let found = fleet
        .services
        .get(name)
        .filter(|found| found.kind == ServiceKind::Plain);
    found.ok_or_else(|| FaultKind::UnknownService.because(format!("no plain service {name}")))
}

fn request_path(request: &HttpRequest) -> String {
    request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned()
}

/// Path and query without the `/service/{name}` prefix.
fn endpoint_path(request: &HttpRequest, service: &str) -> String {
    let path = request_path(request);
    let prefix = format!("/service/{service}");
    match path.strip_prefix(&prefix) {
        Some(rest) if rest.starts_with('/') => rest.to_owned(),
        Some(rest) => format!("/{rest}"),
        None => path,
    }
}

fn chat_affinity(request: &HttpRequest, call: &CallRequest, chat: &ChatRequest) -> AffinityKey {
    match header_text(request, "x-chat-id") {
        Some(chat_id) => chat_key(call.submit.account, chat_id),
        None => chat_key(call.submit.account, &chat.opening()),
    }
}

fn default_affinity(request: &HttpRequest, account: u64, fingerprint: u64) -> AffinityKey {
    header_text(request, "x-chat-id").map_or(fingerprint, |chat_id| chat_key(account, chat_id))
}

/// The warm hint of a request. An unreadable hint counts as empty, which only costs the caller a
/// warm cache.
fn warm_hint(request: &HttpRequest) -> WarmHint {
    let text = header_text(request, "x-warm-hint").unwrap_or_default();
    WarmHint::from_str(text).unwrap_or_default()
}

/// The priority class that the caller requests, limited to `highest`.
fn requested_class(request: &HttpRequest, highest: PriorityClass) -> Result<PriorityClass> {
    let requested = match header_text(request, "x-class") {
        None => return Ok(highest),
        Some("urgent") => PriorityClass::Urgent,
        Some("interactive") => PriorityClass::Interactive,
        Some("batch") => PriorityClass::Batch,
        Some(_) => {
            let message = "x-class is none of urgent, interactive and batch";
            return Err(FaultKind::MalformedRequest.because(message));
        }
    };
    Ok(requested.max(highest))
}

fn idempotency_key(request: &HttpRequest) -> Result<Option<String>> {
    match header_text(request, "idempotency-key") {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            let message = format!("idempotency-key has not 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
            Err(FaultKind::MalformedRequest.because(message))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

fn requested_deadline(request: &HttpRequest) -> Result<Option<Duration>> {
    let Some(text) = header_text(request, "x-deadline-ms") else {
        return Ok(None);
    };
    let millis = text.parse().map_err(|_| {
        FaultKind::MalformedRequest.because("x-deadline-ms is no whole number of milliseconds")
    })?;
    Ok(Some(Duration::from_millis(millis)))
}

fn forwarded_headers(request: &HttpRequest) -> Vec<HeaderField> {
    let found = FORWARDED_HEADERS.iter().filter_map(|name| {
        let value = header_text(request, name)?.to_owned();
        Some(HeaderField {
            name: (*name).to_owned(),
            value,
        })
    });
    found.collect()
}

/// The text of a header; `None` when it is absent or not visible ASCII.
pub fn header_text<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
