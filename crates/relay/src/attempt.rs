//! One try of a call at one endpoint.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{ResponseHead, StatusCode};
use tokio::time::{Instant, timeout};
use wire::gateway::CrashReport;
use wire::id::EndpointId;

use crate::call::{AnswerMetadata, ForwardMetadata};
use crate::endpoint::{self, EndpointConnection, EndpointError};
use crate::events::EventSplitter;
use crate::health::CallOutcome;
use crate::placement;
use crate::relay_call::RelayCall;
use crate::reply::WholeAnswer;
use crate::retry::AttemptEnd;
use crate::session::SessionWriter;
use crate::state::{OccupiedSlot, RelayState};

/// Factor of the expected wait for a place by which an answer may be late before the endpoint counts
/// as silent.
const QUEUE_WAIT_FACTOR: u32 = 2;

/// How a try ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// The caller has the whole answer.
    Delivered(StatusCode),
    /// No good answer.
    Failed(FailedAttempt),
    /// The caller's connection failed.
    CallerLost,
}

/// A try without a good answer.
#[derive(Debug)]
pub struct FailedAttempt {
    /// How it ended.
    pub end: AttemptEnd,
    /// The endpoint's failure, if there is one to pass on.
    pub answer: Option<WholeAnswer>,
}

impl FailedAttempt {
    /// A try that leaves nothing to pass on.
    pub fn without_answer(end: AttemptEnd) -> Self {
        Self { end, answer: None }
    }
}

/// What the tries of a call leave behind, also when they are cut short.
#[derive(Default)]
pub struct CallProgress {
    /// Events of the stream so far.
    pub events: EventSplitter,
    /// The endpoint that has the call and has not answered yet.
    pub unanswered: Option<EndpointId>,
    /// Whether bytes of the call may have left for the endpoint that has it.
    pub may_run: bool,
    /// When the current try began, by the clock of the desk.
    pub tried_at: Duration,
    /// How long the current try may be silent.
    pub silence_limit: Option<Duration>,
    /// Rank of the current try; 0 is the most urgent.
    pub rank: u8,
    /// How long the current try was expected to wait for a place at its endpoint.
    pub queue_wait: Duration,
    /// Time from the arrival of the call to the first byte of an answer.
    pub first_byte: Option<Duration>,
    /// Why the last try ended, for the log.
    pub last_error: Option<String>,
}

/// A try that is under way.
pub struct EndpointAttempt<'a> {
    /// What all calls share.
    pub state: &'a Rc<RelayState>,
    /// The call.
    pub call: &'a RelayCall<'a>,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What the tries of the call leave behind.
    pub progress: &'a mut CallProgress,
    /// The caller.
    pub writer: &'a mut SessionWriter,
}

/// An answer of which the head has arrived.
pub(crate) struct OpenAnswer {
    pub(crate) connection: EndpointConnection,
    pub(crate) head: ResponseHead,
    pub(crate) metadata: AnswerMetadata,
}

impl EndpointAttempt<'_> {
    /// Tries the call at the endpoint.
    pub async fn run(mut self) -> AttemptResult {
        let (call, progress) = (self.call, &mut *self.progress);
        let slot = self
            .state
            .occupy(call.service, self.endpoint, call.account_name());
        progress.queue_wait = slot.wait;
        progress.unanswered = Some(self.endpoint);
        progress.may_run = false;
        progress.tried_at = self.state.now();
        let opened = self.open_answer().await;
        self.progress.unanswered = None;
        let result = match opened {
            Ok(answer) => self.take_answer(answer).await,
            Err(error) => AttemptResult::Failed(self.note_break(&error, self.progress.may_run)),
        };
        match result {
            AttemptResult::Delivered(_) => slot.complete(),
            _ => drop::<OccupiedSlot>(slot),
        }
        result
    }

    async fn open_answer(&mut self) -> endpoint::Result<OpenAnswer> {
        let (state, call) = (self.state, self.call);
        let (address, name) = {
            let table = state.table.borrow();
            let row = table.row(self.endpoint);
            let row = row.ok_or(EndpointError::ConnectTimeout)?;
            (row.address, row.name.clone())
        };
        let mut connection = match state.pool.take(state.now(), self.endpoint) {
            Some(connection) => connection,
            None => EndpointConnection::open(address, state.settings.connect_limit).await?,
        };
        let headers = {
            let metadata = self.forward_metadata(&name);
            let incoming = call.head.head().headers();
            state.dialect.forward_call(incoming, &metadata)
        };
        let method = call.head.method().clone();
        let head = endpoint::request_head(method, call.head.uri().clone(), headers);
        self.progress.may_run = true;
        let exchange = connection.exchange(&state.http, head, call.body);
        let exchanged = with_time_limit(self.head_limit(), exchange).await;
        self.progress.may_run = connection.has_sent;
        let head = exchanged?;
        let metadata = self.read_head(&head)?;
        Ok(OpenAnswer {
            connection,
            head,
            metadata,
        })
    }

    fn forward_metadata<'b>(&'b self, name: &'b str) -> ForwardMetadata<'b> {
        let (state, call) = (self.state, self.call);
        let query = call.query(state, &[]);
        let own_events = self.progress.events.last_id();
        ForwardMetadata {
            warm_source: placement::warm_source(&state.table.borrow(), &query, self.endpoint),
            time_left: call.deadline.saturating_duration_since(Instant::now()),
            endpoint: name,
            account: call.account.map(|account| account.name.as_str()),
            rank: self.progress.rank,
            resume_after: own_events.or(call.metadata.resume_after.as_deref()),
        }
    }

    /// How long the head of the answer may take.
    fn head_limit(&self) -> Option<Duration> {
        let queue_wait = self.progress.queue_wait * QUEUE_WAIT_FACTOR;
        let limit = self.progress.silence_limit;
        limit.map(|limit| limit + queue_wait)
    }

    /// Notes what the head of an answer tells.
    fn read_head(&self, head: &ResponseHead) -> endpoint::Result<AnswerMetadata> {
        let state = self.state;
        let now = state.now();
        state.table.borrow_mut().note_activity(now, self.endpoint);
        let mut crashes = state.crashes.borrow_mut();
        crashes.clear(self.endpoint, self.progress.tried_at);
        let metadata = state.dialect.read_answer(head.headers());
        if metadata.attempt.is_some() && metadata.attempt != self.call.metadata.attempt {
            return Err(EndpointError::Misdelivered);
        }
        if let Some(load) = metadata.load {
            let mut table = state.table.borrow_mut();
            table.note_report(now, self.endpoint, load);
        }
        Ok(metadata)
    }

    /// Notes that the endpoint could not be reached or broke off.
    pub(crate) fn note_break(&mut self, error: &EndpointError, may_run: bool) -> FailedAttempt {
        let state = self.state;
        let now = state.now();
        let reason = error.to_string();
        let is_silent_call = matches!(error, EndpointError::Silent);
        if !is_silent_call || state.is_silent(self.endpoint) {
            state.note_health(self.endpoint, CallOutcome::Broken, &reason);
        }
        self.progress.last_error = Some(reason);
        if !may_run {
            state.crashes.borrow_mut().confirm(now, self.endpoint);
            return FailedAttempt::without_answer(AttemptEnd::NotSent);
        }
        if matches!(error, EndpointError::Closed | EndpointError::Socket(_)) {
            let report = CrashReport {
                fingerprint: self.call.fingerprint,
                endpoint: self.endpoint,
            };
            state.crashes.borrow_mut().note_break(now, report);
        }
        FailedAttempt::without_answer(AttemptEnd::Broken)
    }
}

/// Bounds a wait for the endpoint, if the call may be tried elsewhere.
pub(crate) async fn with_time_limit<T>(
    limit: Option<Duration>,
    wait: impl Future<Output = endpoint::Result<T>>,
) -> endpoint::Result<T> {
    match limit {
        Some(limit) => timeout(limit, wait)
            .await
            .unwrap_or(Err(EndpointError::Silent)),
        None => wait.await,
    }
}
