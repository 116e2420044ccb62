//! Builds the HTTP response from the answer of an endpoint.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use fault::{Fault, RunOutcome};
use futures::stream;
use route::WarmHint;
use serde_json::json;
use tokio::task::yield_now;
use watch::record::request_to_text;
use wire::answer::{HeaderField, states_end};
use wire::command::RecordedAnswer;
use wire::id::{EndpointId, RequestId};

use crate::attempt::{AttemptEvent, AttemptStream};
use crate::caller::CallerConnection;
use crate::core::CallGuard;
use crate::dispatch::StartedAnswer;
use crate::trace::CallTrace;

/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with what is known about the execution of the request.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header with the locations where a chat is cached.
pub const WARM_HINT_HEADER: &str = "x-warm-hint";
/// Header with the number of prompt tokens found in the prefix cache.
pub const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";

/// The body of an answer that is streamed to the caller.
struct CallerStream {
    stream: AttemptStream,
    trace: CallTrace,
    /// Bytes handed to the HTTP layer that are not yet counted as consumed by the caller.
    unacknowledged: usize,
    is_over: bool,
    /// The connection that the answer ends with, if it does not state its end.
    ends_with: Option<CallerConnection>,
    endpoint: EndpointId,
    /// Counts the call as active until the answer has ended.
    guard: CallGuard,
}

impl CallerStream {
    /// The next part of the body. An error aborts the response, so that the caller sees that it is
    /// incomplete.
    async fn next_part(&mut self) -> Option<Result<Bytes, Fault>> {
        if self.is_over {
            return None;
        }
        self.stream
            .acknowledge(std::mem::take(&mut self.unacknowledged));
        loop {
            match self.stream.next_event().await {
                AttemptEvent::Bytes(bytes) => {
                    self.trace.record_part();
                    self.unacknowledged = bytes.len();
                    return Some(Ok(bytes));
                }
                AttemptEvent::Complete(load) => {
                    let core = self.guard.core();
                    core.selector.observe_load(self.endpoint, load);
                    self.trace.finish();
                    self.is_over = true;
                    if let Some(connection) = &self.ends_with {
                        connection.end_until_close();
                    }
                    return None;
                }
                AttemptEvent::Refused(notice) => return Some(Err(self.fail(notice.fault).await)),
                AttemptEvent::Failed(fault) => return Some(Err(self.fail(fault).await)),
                AttemptEvent::Admitted(_) | AttemptEvent::Head(_) => {}
            }
        }
    }

    async fn fail(&mut self, fault: Fault) -> Fault {
        log::warn!("entry: aborted an incomplete answer: {fault}.");
        self.trace.fail(&fault);
        self.is_over = true;
        // The server drops what it holds of the answer when the body fails, and writes it when the body
        // has to be waited for.
        yield_now().await;
        fault
    }
}

/// The response that streams an answer of which the head has arrived.
pub fn started_response(
    started: StartedAnswer,
    hint: &WarmHint,
    id: RequestId,
    mut trace: CallTrace,
    guard: CallGuard,
    connection: &CallerConnection,
) -> HttpResponse {
    let head = &started.head;
    trace.record_head(head);
    let states_end = states_end(&head.headers) && connection.knows_chunks;
    let mut response = response_of(head.status, id, RunOutcome::Ran);
    insert_headers(&mut response, &head.headers);
    response.insert_header((
        WARM_HINT_HEADER,
        hint.moved_to(started.location).to_string(),
    ));
    response.insert_header((CACHED_TOKENS_HEADER, head.cached_tokens.to_string()));
    let stream = CallerStream {
        endpoint: started.location.endpoint,
        stream: started.stream,
        trace,
        unacknowledged: 0,
        is_over: false,
        ends_with: (!states_end).then(|| connection.clone()),
        guard,
    };
    let body = stream::unfold(stream, |mut stream| async move {
        let part = stream.next_part().await?;
        Some((part, stream))
    });
    if states_end {
        return response.streaming(body);
    }
    let mut response = response.force_close().streaming(body);
    connection.begin_until_close(&mut response);
    response
}

/// The response with the recorded answer of a call that ran before.
pub fn recorded_response(answer: RecordedAnswer, id: RequestId) -> HttpResponse {
    let mut response = response_of(answer.status, id, RunOutcome::Ran);
    insert_headers(&mut response, &answer.headers);
    response.insert_header(("x-recorded", "true"));
    match answer.body {
        Some(body) if states_end(&answer.headers) => response.body(body),
        Some(body) => {
            let body = stream::iter([Ok::<Bytes, Fault>(body)]);
            let mut response = response.force_close().streaming(body);
            response.head_mut().no_chunking(true);
            response
        }
        None => response.finish(),
    }
}

/// Adds the headers of an endpoint's answer, but for the mark of an answer that does not state its
/// end.
fn insert_headers(response: &mut HttpResponseBuilder, headers: &[HeaderField]) {
    for header in headers.iter().filter(|header| !header.is_until_close()) {
        response.insert_header((header.name.as_str(), header.value.as_str()));
    }
}

/// The response to a call that failed.
pub fn fault_response(fault: &Fault, id: RequestId) -> HttpResponse {
    let answer = fault.kind.answer();
    log::log!(
        answer.level,
        "entry: request {} failed: {fault}.",
        request_to_text(id)
    );
    let mut response = response_of(answer.status, id, answer.outcome);
    if let Some(wait) = fault.retry_after.or(answer.retry_after) {
        let seconds = wait.as_secs_f64().ceil().max(1.0);
        response.insert_header(("retry-after", format!("{seconds:.0}")));
    }
    response.json(json!({"error": {
        "kind": fault.kind.to_string(),
        "outcome": answer.outcome.to_string(),
        "message": fault.message,
        "request": request_to_text(id),
    }}))
}

fn response_of(status: u16, id: RequestId, outcome: RunOutcome) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((REQUEST_ID_HEADER, request_to_text(id)));
    response.insert_header((OUTCOME_HEADER, outcome.to_string()));
    response
}
