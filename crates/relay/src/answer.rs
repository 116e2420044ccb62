//! Forwarding of an endpoint's answer to the caller.

use std::time::Duration;

use actix_http::StatusCode;
use bytes::{Bytes, BytesMut};

use crate::attempt::{
    AnswerEnd, AttemptResult, EndpointAttempt, FailedAttempt, OpenAnswer, with_time_limit,
};
use crate::health::CallOutcome;
use crate::pool::idle_share;
use crate::record::CallEnd;
use crate::reply::{WholeAnswer, deliver_whole};
use crate::retry::AttemptEnd;
use crate::session;
use crate::state::{OccupiedSlot, RelayState};
use exchange::connection::{self, AnswerFraming, EndpointConnection, EndpointError};

impl EndpointAttempt<'_> {
    /// Processes an answer whose head has arrived: streams a successful answer of a stream route,
    /// reads any other whole. A successful answer without the endpoint's signature counts as a
    /// broken attempt.
    pub(crate) async fn take_answer(
        &mut self,
        answer: OpenAnswer,
        slot: &OccupiedSlot,
    ) -> AttemptResult {
        let is_good = answer.head.status.is_success() && !answer.metadata.is_not_run;
        if is_good && !answer.metadata.is_signed {
            return AttemptResult::Failed(self.note_break(&EndpointError::Unsigned, true));
        }
        if is_good && self.call.route.kind.is_stream() {
            return self.forward_stream(answer, slot).await;
        }
        self.take_whole(answer, slot).await
    }

    async fn take_whole(&mut self, mut answer: OpenAnswer, slot: &OccupiedSlot) -> AttemptResult {
        let reading = read_whole(self.state, &mut answer.connection);
        let read = with_time_limit(self.progress.silence_limit, reading).await;
        self.note_end(answer.connection.framing, read.is_ok(), 0);
        let body = match read {
            Ok(body) => body,
            Err(_) if answer.metadata.is_not_run => Bytes::new(),
            Err(error) => return AttemptResult::Failed(self.note_break(&error, true)),
        };
        self.end_answer(answer.connection, answer.metadata.keep_alive, slot);
        let status = answer.head.status;
        if answer.metadata.is_not_run {
            return AttemptResult::Failed(self.note_not_run(status));
        }
        let headers = answer.head.headers();
        let whole = WholeAnswer {
            status,
            headers: self.state.dialect.forward_answer(headers),
            body,
        };
        if status.is_server_error() || promises_no_run(status) {
            return AttemptResult::Failed(self.note_failure(whole));
        }
        self.note_served();
        match deliver_whole(self.state, whole, self.writer).await {
            CallEnd::Answered(status) => AttemptResult::Delivered(status),
            _ => AttemptResult::CallerLost,
        }
    }

    async fn forward_stream(
        &mut self,
        mut answer: OpenAnswer,
        slot: &OccupiedSlot,
    ) -> AttemptResult {
        let mut has_first = false;
        loop {
            let waiting = answer.connection.next_chunk();
            let chunk = match with_time_limit(self.progress.silence_limit, waiting).await {
                Ok(chunk) => chunk,
                Err(error) => {
                    self.note_end(answer.connection.framing, false, 0);
                    self.progress.events.drop_partial();
                    return AttemptResult::Failed(self.note_break(&error, true));
                }
            };
            let state = self.state;
            slot.note_alive();
            state
                .table
                .borrow_mut()
                .note_activity(state.now(), self.endpoint);
            let bytes = match &chunk {
                Some(chunk) => self.progress.events.push(chunk),
                None => {
                    let rest = self.progress.events.take_rest();
                    self.note_end(answer.connection.framing, true, rest.len());
                    Some(rest)
                }
            };
            let Some(bytes) = bytes else {
                continue;
            };
            if !has_first {
                has_first = true;
                self.note_served();
            }
            let is_end = chunk.is_none();
            if self.send_events(&answer, bytes, is_end).await.is_err() {
                return AttemptResult::CallerLost;
            }
            if is_end {
                self.end_answer(answer.connection, answer.metadata.keep_alive, slot);
                return AttemptResult::Delivered(answer.head.status);
            }
        }
    }

    /// Sends whole events to the caller, preceded by the head of the answer if nothing has been
    /// sent.
    async fn send_events(
        &mut self,
        answer: &OpenAnswer,
        bytes: Bytes,
        is_end: bool,
    ) -> session::Result<()> {
        let state = self.state;
        if !self.writer.has_started {
            let headers = state.dialect.forward_answer(answer.head.headers());
            let status = answer.head.status;
            self.writer
                .put_stream_head(status, headers, state.is_stopping())?;
        }
        self.writer.send_bytes(bytes).await?;
        match is_end {
            true => self.writer.finish().await,
            false => Ok(()),
        }
    }

    /// Records how an answer ended. `rest_bytes` is the number of bytes after the last whole event
    /// of a stream.
    fn note_end(&mut self, framing: AnswerFraming, is_read: bool, rest_bytes: usize) {
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
    fn note_served(&mut self) {
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

    /// Records whether the answer is whole, and keeps its connection for further calls.
    fn end_answer(
        &self,
        connection: EndpointConnection,
        keep_alive: Option<Duration>,
        slot: &OccupiedSlot,
    ) {
        if connection.is_whole() {
            slot.note_whole();
        }
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

/// Reads the body of an answer, up to the limit of `whole_answer_bytes`.
async fn read_whole(
    state: &RelayState,
    connection: &mut EndpointConnection,
) -> connection::Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = connection.next_chunk().await? {
        if body.len() + chunk.len() > state.settings.whole_answer_bytes {
            return Err(EndpointError::Oversized);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
