//! Answers that are sent to the caller in one piece, refusals included.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use quota::budget::HeldBytes;

use crate::record::CallEnd;
use crate::refusal::CallRefusal;
use crate::session::{CallerFraming, SessionWriter};
use crate::state::RelayState;

/// An answer of an endpoint that was received whole.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
    /// How the answer states its end to the caller.
    pub framing: CallerFraming,
    /// Charge for the body.
    pub held: HeldBytes,
}

/// Sends a whole answer to the caller.
pub async fn deliver_whole(
    state: &RelayState,
    answer: WholeAnswer,
    writer: &mut SessionWriter,
) -> CallEnd {
    let status = answer.status;
    let close = state.is_stopping();
    writer.hold(answer.held);
    let sent = writer.send_whole(status, answer.headers, answer.body, answer.framing, close);
    match sent.await {
        Ok(()) => CallEnd::Answered(status),
        Err(_) => CallEnd::CallerLost,
    }
}

/// Answers a call with a fault of this instance. Returns how the call ended and the retry time that
/// the caller was given.
pub async fn refuse(
    state: &RelayState,
    refusal: &CallRefusal,
    writer: &mut SessionWriter,
) -> (CallEnd, Option<Duration>) {
    let kind = refusal.kind;
    let answer = kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let retry_after = answer
        .retry_after
        .map(|_| refusal.wait_before_retry(rand::random()));
    if let Some(wait) = retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    let body = format!("{{\"kind\":\"{kind}\",\"outcome\":\"{}\"}}", answer.outcome);
    let close = state.is_stopping();
    let framing = CallerFraming::Length(body.len() as u64);
    let sent = writer.send_whole(status, headers, Bytes::from(body), framing, close);
    match sent.await {
        Ok(()) => (CallEnd::Refused(kind), retry_after),
        Err(_) => (CallEnd::CallerLost, retry_after),
    }
}
