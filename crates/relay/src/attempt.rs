//! One attempt of a call at one endpoint.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use exchange::connection::{self, AnswerFraming, EndpointConnection, EndpointError};
use exchange::events::EventSplitter;
use tokio::time::{Instant, timeout};
use wire::id::{EndpointId, StreamId, VersionId};
use wire::process::ProcessStart;

use crate::admission::MetLoad;
use crate::call::{AnswerMetadata, CallMetadata, ForwardMetadata};
use crate::health::CallOutcome;
use crate::placement;
use crate::reach_check::wait_while_reachable;
use crate::relay_call::RelayCall;
use crate::reply::WholeAnswer;
use crate::retry::AttemptEnd;
use crate::session::SessionWriter;
use crate::slot::OccupiedSlot;
use crate::state::RelayState;

/// Multiple of the expected wait for a slot that is added to the silence limit while the head of
/// the answer is awaited, as an endpoint sends nothing for a call that waits in its queue.
const QUEUE_WAIT_FACTOR: u32 = 2;

/// Result of an attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The whole answer was sent to the caller.
    Delivered(StatusCode),
    /// The attempt ended without a good answer.
    Failed(FailedAttempt),
    /// The connection to the caller failed.
    CallerLost,
}

/// An attempt that ended without a good answer.
#[derive(Debug)]
pub struct FailedAttempt {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The endpoint's failure answer, if it may be forwarded to the caller.
    pub answer: Option<WholeAnswer>,
    /// Whether the connection broke or fell silent, as when the endpoint crashes.
    pub is_lost: bool,
}

impl FailedAttempt {
    /// Creates a failed attempt without an answer to forward.
    pub fn without_answer(end: AttemptEnd) -> Self {
        Self {
            end,
            answer: None,
            is_lost: false,
        }
    }
}

/// Progress of a call over its attempts. It outlives an attempt that the deadline cancels.
#[derive(Default)]
pub struct CallProgress {
    /// Splitter of the answer's event stream. It keeps the id of the last event that was sent.
    pub events: EventSplitter,
    /// Software version of the endpoint of the current attempt, by the list when it began.
    pub attempt_version: VersionId,
    /// Address of the endpoint of the current attempt.
    pub attempt_address: Option<SocketAddrV4>,
    /// When the process of the current attempt started, if it stated that.
    pub process_start: Option<ProcessStart>,
    /// When the endpoint accepted the connection of the current attempt.
    pub accepted_at: Duration,
    /// Id by which other instances know the stream; `None` until they were told.
    pub published_stream: Option<StreamId>,
    /// Whether the version that began the stream is not certain yet, so that it goes on nowhere
    /// else.
    pub is_begun_uncertain: bool,
    /// Software version that began the stream, in this call or in the one that it resumes; `None`
    /// until then. Only endpoints of this version may go on.
    pub begun_by: Option<VersionId>,
    /// The endpoint of the current attempt, until the head of its answer arrives or the attempt
    /// fails.
    pub unanswered: Option<EndpointId>,
    /// Whether bytes of the call may have been sent to the endpoint of the current attempt.
    pub may_run: bool,
    /// When the current attempt began, on the clock of [`RelayState::now`].
    pub attempted_at: Duration,
    /// How long the endpoint of the current attempt may send nothing; `None` for no limit.
    pub silence_limit: Option<Duration>,
    /// Rank of the current attempt in the endpoint's queue; 0 is the most urgent.
    pub rank: u8,
    /// Expected wait of the current attempt for a slot at its endpoint.
    pub queue_wait: Duration,
    /// The same by the loads that were known when it was placed.
    pub known_wait: Duration,
    /// Time from the arrival of the call until a good answer began to be forwarded.
    pub first_byte: Option<Duration>,
    /// How the last answer ended, for the log.
    pub answer_end: Option<AnswerEnd>,
    /// Why the last attempt failed, for the log.
    pub last_error: Option<String>,
}

impl CallProgress {
    /// Id of the last event that the caller of the call has received, from an attempt of the call
    /// or before it; `None` if the stream has not begun.
    pub fn resume_after<'a>(&'a self, metadata: &'a CallMetadata) -> Option<&'a str> {
        let own_events = self.events.last_id();
        own_events.or(metadata.resume_after.as_deref())
    }

    /// Whether another attempt can go on exactly where the answer stands: it has not begun, or its
    /// last event carries an id and the version that began it is certain.
    pub fn may_go_on(&self, writer: &SessionWriter) -> bool {
        !writer.has_started || (self.events.ends_at_id() && !self.is_begun_uncertain)
    }
}

/// How an endpoint's answer whose head had arrived ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// How the answer stated its end.
    pub framing: AnswerFraming,
    /// Whether the body was read to an end, stated or not.
    pub is_read: bool,
    /// Number of bytes after the last whole event of a stream.
    pub rest_bytes: usize,
}

impl AnswerEnd {
    /// Label for the log and the metrics.
    pub fn label(self) -> &'static str {
        match (self.is_read, self.rest_bytes) {
            (false, _) => "broken",
            (true, 0) => "read",
            (true, _) => "inside-event",
        }
    }
}

/// An attempt in progress.
pub struct EndpointAttempt<'a> {
    /// State that all calls of the instance share.
    pub state: &'a Rc<RelayState>,
    /// The call that is attempted.
    pub call: &'a RelayCall<'a>,
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Endpoints that the call has tried, this one included.
    pub tried: &'a [EndpointId],
    /// Progress of the call over its attempts.
    pub progress: &'a mut CallProgress,
    /// Writer of the caller's connection.
    pub writer: &'a mut SessionWriter,
}

/// An answer whose head has arrived and whose body has not been read.
pub(crate) struct OpenAnswer {
    pub(crate) connection: EndpointConnection,
    pub(crate) head: ResponseHead,
    pub(crate) metadata: AnswerMetadata,
    /// Whether the answer names the call that it belongs to, or the call has no id to be named by.
    pub(crate) is_named: bool,
}

impl EndpointAttempt<'_> {
    /// Sends the call to the endpoint and forwards the answer. Counts the call as running at the
    /// endpoint in the meantime.
    pub async fn run(mut self) -> AttemptResult {
        let slot = self.state.occupy(self.call, self.endpoint);
        let progress = &mut *self.progress;
        progress.queue_wait = slot.wait;
        progress.unanswered = Some(self.endpoint);
        progress.may_run = false;
        progress.attempted_at = self.state.now();
        let opened = self.open_answer(&slot).await;
        self.progress.unanswered = None;
        let result = match opened {
            Ok(answer) => self.take_answer(answer, &slot).await,
            Err(EndpointError::Exhausted) => AttemptResult::Failed(self.note_exhausted()),
            Err(error @ EndpointError::OtherProcess) => {
                self.progress.last_error = Some(error.to_string());
                AttemptResult::Failed(FailedAttempt::without_answer(AttemptEnd::OtherProcess))
            }
            Err(error) => AttemptResult::Failed(self.note_break(&error, self.progress.may_run)),
        };
        match &result {
            AttemptResult::Delivered(status) => slot.complete(status.is_success()),
            AttemptResult::Failed(failed) if failed.is_lost => slot.lose(),
            AttemptResult::Failed(_) => slot.end(),
            AttemptResult::CallerLost => drop::<OccupiedSlot>(slot),
        }
        result
    }

    async fn open_answer(&mut self, slot: &OccupiedSlot) -> connection::Result<OpenAnswer> {
        let (state, call) = (self.state, self.call);
        let (address, name, version) = {
            let table = state.table.borrow();
            let row = table.row(self.endpoint);
            let row = row.ok_or(EndpointError::ConnectTimeout)?;
            (row.address, row.name.clone(), row.version_id)
        };
        self.progress.attempt_version = version;
        self.progress.attempt_address = Some(address);
        // An idle connection may lead to an endpoint that was replaced under its name, which may be
        // in another region.
        let idle = state.pool.take(state.now(), self.endpoint);
        // Nor may an answer be taken for this call's that is a second one to an earlier call.
        let attempt_id = call.metadata.attempt_id.as_deref();
        let idle =
            idle.filter(|idle| idle.address == address.into() && idle.tells_answer_to(attempt_id));
        let is_reused = idle.is_some();
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.open_connection(address.into()).await?,
        };
        let is_asked = self.learn_process(&mut connection, is_reused).await?;
        // After a report, the next answer may be a second one to that.
        let is_reused = is_reused || is_asked;
        self.progress.process_start = connection.process_start;
        self.progress.accepted_at = state.now().saturating_sub(connection.age());
        let headers = {
            let metadata = self.forward_metadata(&name);
            let incoming = call.head.head().headers();
            state.dialect.forward_call(incoming, &metadata)
        };
        let method = call.head.method().clone();
        let head = connection::request_head(method, call.head.uri().clone(), headers);
        connection.charge_heads_to(&self.writer.share);
        self.progress.may_run = true;
        slot.note_alive();
        let exchange = connection.exchange(&state.http, head, call.body);
        let limit = self.head_limit();
        let exchanged = wait_while_reachable(state, self.endpoint, limit, exchange).await;
        self.progress.may_run = connection.has_sent;
        let head = exchanged?;
        slot.note_head();
        let metadata = self.read_head(&head)?;
        let is_named = self.is_named(&metadata);
        if is_reused && !is_named {
            // It may be a second answer to an earlier call on the connection.
            return Err(EndpointError::Misdelivered);
        }
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            let (since, sent_at) = (self.progress.accepted_at, self.progress.attempted_at);
            state.note_process(self.endpoint, since, sent_at);
        }
        let statement = metadata.statement.of_answer(head.status);
        state.note_statement(self.endpoint, self.progress.attempted_at, statement);
        Ok(OpenAnswer {
            connection,
            head,
            metadata,
            is_named,
        })
    }

    /// Opens a connection. An endpoint that accepts none is recorded as down.
    pub(crate) async fn open_connection(
        &self,
        address: SocketAddr,
    ) -> connection::Result<EndpointConnection> {
        let state = self.state;
        let opened = EndpointConnection::open(address, state.settings.connect_limit).await;
        if opened.is_err() {
            state.note_endpoint_down(self.endpoint);
        }
        opened
    }

    /// Whether another endpoint can take the call over, so that a silent one need not be awaited
    /// until the deadline.
    pub(crate) fn may_go_on_elsewhere(&self) -> bool {
        let query = self
            .call
            .query(self.state, self.progress.begun_by, self.tried);
        let has_other = placement::has_sound(&self.state.table.borrow(), &query);
        has_other && self.progress.may_go_on(self.writer)
    }

    fn forward_metadata<'b>(&'b self, name: &'b str) -> ForwardMetadata<'b> {
        let (state, call) = (self.state, self.call);
        let query = call.query(state, None, &[]);
        ForwardMetadata {
            warm_source: placement::warm_source(&state.table.borrow(), &query, self.endpoint),
            time_left: call.deadline.saturating_duration_since(Instant::now()),
            endpoint: name,
            account: call.account.map(|account| account.name.as_str()),
            rank: self.progress.rank,
            resume_after: self.progress.resume_after(&call.metadata),
        }
    }

    /// How long the head of the answer may take; `None` for no limit, as for a stream that can go
    /// on nowhere else.
    fn head_limit(&self) -> Option<Duration> {
        let is_bound = self.progress.begun_by.is_some() && !self.may_go_on_elsewhere();
        let queue_wait = self.progress.queue_wait * QUEUE_WAIT_FACTOR;
        let limit = self.progress.silence_limit.filter(|_| !is_bound);
        limit.map(|limit| limit + queue_wait)
    }

    /// Reads the metadata of an answer's head and records the endpoint's activity and load. Runs at
    /// the endpoint that were lost before the attempt were not lost in a crash, unless the answer is
    /// another endpoint's. Fails if the answer carries the attempt id of another call.
    fn read_head(&self, head: &ResponseHead) -> connection::Result<AnswerMetadata> {
        let state = self.state;
        let now = state.now();
        state.table.borrow_mut().note_activity(now, self.endpoint);
        match head.status {
            StatusCode::MISDIRECTED_REQUEST => state.note_endpoint_down(self.endpoint),
            _ => {
                let sent_at = self.progress.attempted_at;
                state.note_answer(self.endpoint, sent_at, now);
                state.note_endpoint_alive(self.endpoint, sent_at);
            }
        }
        let metadata = state.dialect.read_answer(head.headers());
        if metadata.attempt_id.is_some() && metadata.attempt_id != self.call.metadata.attempt_id {
            return Err(EndpointError::Misdelivered);
        }
        if let Some(report) = metadata.load {
            let mut table = state.table.borrow_mut();
            let met = MetLoad {
                service: self.call.service,
                endpoint: self.endpoint,
                known_wait: self.progress.known_wait,
                report,
            };
            state.admission.borrow_mut().note_met(now, &table, met);
            table.note_report(now, self.endpoint, report);
        }
        Ok(metadata)
    }

    /// Whether an answer, which does not name another call, names this one.
    fn is_named(&self, metadata: &AnswerMetadata) -> bool {
        metadata.attempt_id.is_some() || self.call.metadata.attempt_id.is_none()
    }

    /// Records that the endpoint could not be reached or that the connection to it broke. A call
    /// that waited too long for bytes counts against the endpoint only if the endpoint was silent
    /// to all calls of this instance.
    pub(crate) fn note_break(&mut self, error: &EndpointError, may_run: bool) -> FailedAttempt {
        let state = self.state;
        let reason = error.to_string();
        let is_silent_call = matches!(error, EndpointError::Silent);
        if !is_silent_call {
            state.note_maybe_cold(self.endpoint);
        }
        if !is_silent_call || state.is_silent(self.endpoint) {
            state.note_health(self.endpoint, CallOutcome::Broken, &reason);
            if error.is_lost_connection() {
                state.note_restart_sign(self.endpoint);
                if self.progress.begun_by.is_some() {
                    state.check_processes(&[self.endpoint]);
                }
            }
        }
        self.progress.last_error = Some(reason);
        if !may_run {
            return FailedAttempt::without_answer(AttemptEnd::NotSent);
        }
        FailedAttempt {
            is_lost: error.is_lost_connection(),
            ..FailedAttempt::without_answer(AttemptEnd::Broken)
        }
    }
}

/// Waits for the endpoint, and fails with [`EndpointError::Silent`] after `limit`. The limit is
/// `None` if the call can't be retried elsewhere.
pub(crate) async fn with_time_limit<T>(
    limit: Option<Duration>,
    wait: impl Future<Output = connection::Result<T>>,
) -> connection::Result<T> {
    match limit {
        Some(limit) => timeout(limit, wait)
            .await
            .unwrap_or(Err(EndpointError::Silent)),
        None => wait.await,
    }
}
