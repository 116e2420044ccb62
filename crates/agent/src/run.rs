//! One attempt at the endpoint.

use std::rc::Rc;
use std::time::Duration;

use awc::http::Method;
use crc32fast::Hasher;
use fault::{Fault, FaultKind, RunOutcome};
use futures::StreamExt;
use link::LinkSender;
use tokio::sync::Notify;
use wire::LinkMessage;
use wire::answer::{
    AdmitNotice, AnswerChunk, AnswerEnd, AnswerHead, HeaderField, RefuseNotice, SubmitRequest,
};
use wire::member::EndpointState;

use crate::state::AgentState;

/// Header by which an endpoint reports the prompt tokens found in its cache.
const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";

/// Runs one attempt and streams its answer to the entry.
pub async fn run_attempt(state: Rc<AgentState>, submit: SubmitRequest, sender: LinkSender) {
    let key = submit.key;
    if state.endpoint_state() != EndpointState::Serving {
        let fault = FaultKind::Draining.because("the endpoint takes no new work");
        refuse(&state, &sender, &submit, fault).await;
        return;
    }
    let cancelled = Rc::new(Notify::new());
    state
        .attempts
        .borrow_mut()
        .insert(key, Rc::clone(&cancelled));
    let notice = AdmitNotice {
        key,
        load: state.load(),
        incarnation: state.incarnation,
    };
    let _ = sender.send(LinkMessage::Admitted(notice)).await;
    let result = tokio::select! {
        result = call_endpoint(&state, &submit, &sender) => result,
        () = cancelled.notified() => Err(FaultKind::Cancelled.because("the caller left")),
    };
    state.attempts.borrow_mut().remove(&key);
    if let Err(fault) = result {
        refuse(&state, &sender, &submit, fault).await;
    }
}

async fn refuse(state: &AgentState, sender: &LinkSender, submit: &SubmitRequest, fault: Fault) {
    let notice = RefuseNotice {
        key: submit.key,
        fault,
        load: state.load(),
    };
    let _ = sender.send(LinkMessage::Refused(notice)).await;
}

async fn call_endpoint(
    state: &AgentState,
    submit: &SubmitRequest,
    sender: &LinkSender,
) -> fault::Result<()> {
    let failed = |error: &dyn std::fmt::Display| {
        FaultKind::EndpointFailed.because(format!("the endpoint failed: {error}"))
    };
    let request = build_request(state, submit)?;
    let sent = request.send_body(submit.body.clone()).await;
    let mut response = sent.map_err(|error| failed(&error))?;
    let head = AnswerHead {
        key: submit.key,
        status: response.status().as_u16(),
        headers: pass_headers(response.headers()),
        cached_tokens: cached_tokens(response.headers()),
        queue_wait: Duration::ZERO,
    };
    let _ = sender.send(LinkMessage::Head(head)).await;
    let mut offset = 0;
    let mut checksum = Hasher::new();
    while let Some(chunk) = response.next().await {
        let bytes = chunk.map_err(|error| failed(&error))?;
        checksum.update(&bytes);
        let length = bytes.len() as u64;
        let chunk = AnswerChunk {
            key: submit.key,
            offset,
            bytes,
        };
        let _ = sender.send(LinkMessage::Chunk(chunk)).await;
        offset += length;
    }
    let end = AnswerEnd {
        key: submit.key,
        length: offset,
        checksum: checksum.finalize(),
        outcome: RunOutcome::Ran,
        load: state.load(),
    };
    let _ = sender.send(LinkMessage::End(end)).await;
    Ok(())
}

fn build_request(state: &AgentState, submit: &SubmitRequest) -> fault::Result<awc::ClientRequest> {
    let method = Method::from_bytes(submit.method.as_bytes())
        .map_err(|_| FaultKind::MalformedRequest.because("the method is invalid"))?;
    let uri = format!("http://{}{}", state.settings.endpoint_http, submit.path);
    let client = awc::Client::builder().timeout(submit.deadline).finish();
    let mut request = client.request(method, uri).no_decompress();
    for header in &submit.headers {
        request = request.insert_header((header.name.as_str(), header.value.as_str()));
    }
    Ok(request)
}

fn pass_headers(headers: &awc::http::header::HeaderMap) -> Vec<HeaderField> {
    let passed = [
        "content-type",
        "cache-control",
        "location",
        "etag",
        "x-method",
        "x-path",
    ];
    let found = passed.iter().filter_map(|name| {
        let value = headers.get(*name)?.to_str().ok()?;
        Some(HeaderField {
            name: (*name).to_owned(),
            value: value.to_owned(),
        })
    });
    found.collect()
}

fn cached_tokens(headers: &awc::http::header::HeaderMap) -> u32 {
    let value = headers
        .get(CACHED_TOKENS_HEADER)
        .and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()).unwrap_or(0)
}
