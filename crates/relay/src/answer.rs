//! Forwarding of an endpoint's answer to the caller.

use std::time::Duration;

use actix_http::header::{CONTENT_ENCODING, CONTENT_LENGTH};
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use exchange::connection::{self, AnswerFraming, EndpointConnection, EndpointError, is_bodiless};
use exchange::events::ContentKind;
use exchange::pool::idle_share;
use quota::budget::{BudgetExhausted, HeldBytes};

use crate::attempt::{
    AnswerEnd, AttemptResult, EndpointAttempt, FailedAttempt, OpenAnswer, with_time_limit,
};
use crate::health::CallOutcome;
use crate::reach_check::wait_while_reachable;
use crate::record::CallEnd;
use crate::reply::{WholeAnswer, deliver_whole};
use crate::retry::AttemptEnd;
use crate::session::CallerFraming;
use crate::slot::OccupiedSlot;

/// Maximum size of the body of a refusal that is read so that its connection can be kept, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// Maximum time for reading that body.
const REFUSAL_BODY_LIMIT: Duration = Duration::from_millis(50);

impl EndpointAttempt<'_> {
    /// Processes an answer whose head has arrived: streams a successful answer of a stream route,
    /// reads any other whole. A successful answer without the endpoint's signature, or one that can't
    /// be the rest of a stream that has begun, counts as a broken attempt.
    pub(crate) async fn take_answer(
        &mut self,
        answer: OpenAnswer,
        slot: &OccupiedSlot,
    ) -> AttemptResult {
        let is_good = answer.head.status.is_success() && !answer.metadata.is_not_run;
        if is_good && !answer.metadata.is_signed {
            return AttemptResult::Failed(self.note_break(&EndpointError::Unsigned, true));
        }
        if is_good && self.writer.has_started && !is_rest_of_stream(&answer) {
            return AttemptResult::Failed(self.note_break(&EndpointError::NotContinued, true));
        }
        let has_body = answer.connection.framing != AnswerFraming::Bodiless;
        if is_good && has_body && self.call.route.kind.is_stream() {
            return self.forward_stream(answer, slot).await;
        }
        if answer.metadata.is_not_run {
            return self.take_refusal(answer, slot).await;
        }
        self.take_whole(answer, slot).await
    }

    /// Processes the answer of an endpoint that did not run the call. Its body matters only for
    /// further use of the connection.
    async fn take_refusal(&mut self, mut answer: OpenAnswer, slot: &OccupiedSlot) -> AttemptResult {
        let status = answer.head.status;
        let mut held = HeldBytes::new(&self.writer.share);
        let reading = read_whole(&mut answer.connection, MAX_REFUSAL_BYTES, &mut held);
        let read = with_time_limit(Some(REFUSAL_BODY_LIMIT), reading).await;
        let is_read = matches!(read, Ok(Some(_)));
        self.note_end(answer.connection.framing, is_read, 0);
        if let Some(id) = &self.call.metadata.attempt_id {
            answer.connection.note_refused(id);
        }
        if is_read {
            self.end_answer(answer, slot);
        }
        AttemptResult::Failed(self.note_not_run(status))
    }

    async fn take_whole(&mut self, mut answer: OpenAnswer, slot: &OccupiedSlot) -> AttemptResult {
        let limit = self.state.settings.whole_answer_bytes;
        let mut held = HeldBytes::new(&self.writer.share);
        let reading = read_whole(&mut answer.connection, limit, &mut held);
        let limit = self.progress.silence_limit;
        let read = wait_while_reachable(self.state, self.endpoint, limit, reading).await;
        let framing = answer.connection.framing;
        self.note_end(framing, matches!(read, Ok(Some(_))), 0);
        let body = match read {
            Ok(Some(body)) => body,
            Ok(None) => return AttemptResult::Failed(self.note_exhausted()),
            Err(error) => return AttemptResult::Failed(self.note_break(&error, true)),
        };
        let status = answer.head.status;
        let headers = answer.head.headers();
        let whole = WholeAnswer {
            status,
            framing: caller_framing(framing, &answer.head, body.len()),
            headers: self.state.dialect.forward_answer(headers),
            body,
            held,
        };
        self.end_answer(answer, slot);
        // Nothing but the rest of its stream can follow an answer that has begun.
        if status.is_server_error() || promises_no_run(status) || self.writer.has_started {
            return AttemptResult::Failed(self.note_failure(whole));
        }
        self.note_served();
        match deliver_whole(self.state, whole, self.writer).await {
            CallEnd::Answered(status) => AttemptResult::Delivered(status),
            _ => AttemptResult::CallerLost,
        }
    }

    /// Records how an answer ended. `rest_bytes` is the number of bytes after the last whole event
    /// of a stream.
    pub(crate) fn note_end(&mut self, framing: AnswerFraming, is_read: bool, rest_bytes: usize) {
        let end = AnswerEnd {
            framing,
            is_read,
            rest_bytes,
        };
        self.progress.answer_end = Some(end);
        let metrics = &self.state.metrics;
        metrics.count_answer_end(framing.label(), end.label());
    }

    /// Records that a good answer is about to be forwarded, in the progress of the call and in the
    /// health of the endpoint. The recorded time counts from the arrival of the call and includes
    /// earlier attempts.
    pub(crate) fn note_served(&mut self) {
        let first_byte = self.call.started.elapsed();
        self.progress.first_byte.get_or_insert(first_byte);
        let outcome = CallOutcome::Served(first_byte);
        self.state.note_health(self.endpoint, outcome, "");
    }

    /// Records that the endpoint declined the call without running it. Status 421 means that
    /// another endpoint has taken over the address, so idle connections to it are closed.
    fn note_not_run(&mut self, status: StatusCode) -> FailedAttempt {
        if status == StatusCode::MISDIRECTED_REQUEST {
            self.state.table.borrow_mut().note_misplaced(self.endpoint);
            self.state.pool.close(self.endpoint);
        }
        self.progress.last_error = Some(format!("not run, status {}", status.as_u16()));
        FailedAttempt::without_answer(AttemptEnd::NotRun)
    }

    /// Records that the endpoint ran the call and answered with a failure. The answer is kept for
    /// the caller unless its status would promise that the call did not run.
    fn note_failure(&mut self, whole: WholeAnswer) -> FailedAttempt {
        let reason = format!("status {}", whole.status.as_u16());
        let state = self.state;
        state.note_health(self.endpoint, CallOutcome::Failed, &reason);
        self.progress.last_error = Some(reason);
        FailedAttempt {
            end: AttemptEnd::Failed,
            answer: (!promises_no_run(whole.status)).then_some(whole),
            is_lost: false,
        }
    }

    /// Records that the byte budget had no room for an answer of an endpoint that may have run the
    /// call. The endpoint is not to blame.
    pub(crate) fn note_exhausted(&mut self) -> FailedAttempt {
        self.progress.last_error = Some(BudgetExhausted.to_string());
        FailedAttempt::without_answer(AttemptEnd::Broken)
    }

    /// Records whether the answer is whole, and keeps its connection for further calls if its
    /// answers can be told apart.
    pub(crate) fn end_answer(&self, answer: OpenAnswer, slot: &OccupiedSlot) {
        let connection = answer.connection;
        if connection.is_whole() {
            slot.note_whole();
        }
        if !answer.is_named {
            // An answer to a later call on the connection could not be told from a second one.
            return;
        }
        let keep_alive = answer.metadata.keep_alive;
        let state = self.state;
        let instances = state.budget.borrow().instances();
        let max_idle = idle_share(self.call.max_connections, instances);
        state
            .pool
            .put(state.now(), self.endpoint, connection, keep_alive, max_idle);
    }
}

/// Whether callers take a status as a promise that the call did not run. An endpoint that answers
/// with such a status but does not state explicitly that the call did not run may have run it.
fn promises_no_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Whether the head of a successful answer may be that of the rest of an event stream. It names its
/// call, as nothing else ties its events to those that the caller has.
fn is_rest_of_stream(answer: &OpenAnswer) -> bool {
    let headers = answer.head.headers();
    let is_plain = !headers.contains_key(CONTENT_ENCODING);
    let is_stream = ContentKind::of(headers) == ContentKind::Events;
    answer.head.status == StatusCode::OK && is_stream && is_plain && answer.is_named
}

/// How a caller is told the end of an answer that was read to its end. An answer whose endpoint did
/// not state it may have been broken off, so the caller is not told either.
fn caller_framing(framing: AnswerFraming, head: &ResponseHead, length: usize) -> CallerFraming {
    match framing {
        AnswerFraming::Length | AnswerFraming::Chunks => CallerFraming::Length(length as u64),
        AnswerFraming::UntilClose => CallerFraming::UntilClose,
        AnswerFraming::Bodiless => match stated_length(head) {
            Some(length) => CallerFraming::Length(length),
            None => CallerFraming::Bodiless,
        },
    }
}

/// The length in the answer to a HEAD request: that of the body that a GET would have had.
fn stated_length(head: &ResponseHead) -> Option<u64> {
    if is_bodiless(head.status) {
        return None;
    }
    let value = head.headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

/// Reads the body of an answer of at most `limit` bytes, each part of which is charged to `held`.
/// Returns `None` if the byte budget is exhausted.
async fn read_whole(
    connection: &mut EndpointConnection,
    limit: usize,
    held: &mut HeldBytes,
) -> connection::Result<Option<Bytes>> {
    let mut body = BytesMut::new();
    while let Some(chunk) = connection.next_chunk().await? {
        let length = body.len() + chunk.len();
        if length > limit {
            return Err(EndpointError::Oversized);
        }
        if held.grow_to(length).await.is_err() {
            return Ok(None);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(Some(body.freeze()))
}
