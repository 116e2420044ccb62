//! One try of a call at one endpoint.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Request, ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use catalog::{AccountRule, RouteRule};
use tokio::time::{Instant, timeout};
use wire::gateway::CrashReport;
use wire::id::{EndpointId, FingerprintHash, ServiceId};

use crate::call::{AnswerNotes, CallNotes, ForwardNotes, PromptOutline};
use crate::desk::{OccupiedSlot, RelayDesk};
use crate::endpoint::{self, EndpointConnection, EndpointError};
use crate::events::EventSplitter;
use crate::health::CallSign;
use crate::identity::{CallRules, fingerprint};
use crate::placement::{self, PlacementQuery};
use crate::pool::idle_share;
use crate::session::{IncomingCall, SessionError, SessionWriter};
use crate::verdict::AttemptEnd;

/// Longest wait of a caller that names none.
pub const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);
/// Factor of the expected wait for a place by which an answer may be late before the endpoint counts
/// as silent.
const QUEUE_MARGIN: u32 = 2;

/// A call that was let in.
pub struct RelayCall<'a> {
    /// Its head as it came in.
    pub head: &'a Request,
    /// Its body.
    pub body: &'a Bytes,
    /// What the head tells.
    pub notes: CallNotes,
    /// Its route.
    pub route: &'a RouteRule,
    /// The client account.
    pub account: Option<&'a AccountRule>,
    /// The service that takes it.
    pub service: ServiceId,
    /// Rank among the calls that the service may get; 0 is the most urgent.
    pub rank: u8,
    /// Connections that an endpoint of the service accepts from all instances; 0 for any number.
    pub connections: u32,
    /// What makes two calls the same work.
    pub fingerprint: FingerprintHash,
    /// When it arrived.
    pub started: Instant,
    /// When the caller or the route gives up.
    pub deadline: Instant,
}

impl<'a> RelayCall<'a> {
    /// A call under its rules that arrived at `started`.
    pub fn new(
        incoming: &'a IncomingCall,
        notes: CallNotes,
        rules: CallRules<'a>,
        started: Instant,
    ) -> Self {
        let patience = notes.patience.unwrap_or(DEFAULT_PATIENCE);
        Self {
            head: &incoming.head,
            body: &incoming.body,
            fingerprint: fingerprint(incoming, rules.account),
            notes,
            route: rules.route,
            account: rules.account,
            service: rules.service,
            rank: rules.rank,
            connections: rules.connections,
            started,
            deadline: started + patience.min(rules.route.timeout),
        }
    }

    /// Name of the client account; empty for none.
    pub fn account_name(&self) -> &str {
        self.account.map_or("", |account| account.name.as_str())
    }

    /// Time that the caller has left, if it told any.
    pub fn time_left(&self) -> Option<Duration> {
        let patience = self.notes.patience?;
        Some(patience.saturating_sub(self.started.elapsed()))
    }

    /// What the call asks of the choice of an endpoint, when it has tried these.
    pub fn query<'b>(&self, desk: &RelayDesk, tried: &'b [EndpointId]) -> PlacementQuery<'b> {
        PlacementQuery {
            service: self.service,
            shared_part: self
                .notes
                .prompt
                .as_ref()
                .and_then(PromptOutline::shared_part),
            instance: desk.settings.instance,
            domain: desk.settings.domain,
            tried,
            now: desk.now(),
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its head for the caller.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How a try ended.
#[derive(Debug)]
pub enum AttemptResult {
    /// The caller has the whole answer.
    Delivered(StatusCode),
    /// No good answer. The endpoint's failure comes along, if there is one to pass on.
    Ended(AttemptEnd, Option<WholeAnswer>),
    /// The caller's connection failed.
    CallerLost,
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

/// Tries a call at an endpoint.
pub async fn run_attempt(
    desk: &Rc<RelayDesk>,
    call: &RelayCall<'_>,
    endpoint: EndpointId,
    progress: &mut CallProgress,
    writer: &mut SessionWriter,
) -> AttemptResult {
    let slot = desk.occupy(call.service, endpoint, call.account_name());
    progress.queue_wait = slot.wait;
    progress.unanswered = Some(endpoint);
    progress.may_run = false;
    progress.tried_at = desk.now();
    let opened = open_answer(desk, call, endpoint, progress).await;
    progress.unanswered = None;
    let result = match opened {
        Ok(answer) => take_answer(desk, call, endpoint, answer, progress, writer).await,
        Err(error) => {
            let may_run = progress.may_run;
            Err(broken(desk, call, endpoint, progress, &error, may_run))
        }
    };
    let result = result.unwrap_or_else(|ended| ended);
    match result {
        AttemptResult::Delivered(_) => slot.complete(),
        _ => drop::<OccupiedSlot>(slot),
    }
    result
}

/// An answer of which the head has arrived.
struct OpenAnswer {
    connection: EndpointConnection,
    head: ResponseHead,
    notes: AnswerNotes,
}

async fn open_answer(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    endpoint: EndpointId,
    progress: &mut CallProgress,
) -> endpoint::Result<OpenAnswer> {
    let (address, name) = {
        let table = desk.table.borrow();
        let row = table.row(endpoint).ok_or(EndpointError::ConnectTimeout)?;
        (row.address, row.name.clone())
    };
    let mut connection = match desk.pool.take(desk.now(), endpoint) {
        Some(connection) => connection,
        None => EndpointConnection::open(address, desk.settings.connect_limit).await?,
    };
    let query = call.query(desk, &[]);
    let warm_source = placement::warm_source(&desk.table.borrow(), &query, endpoint);
    let notes = ForwardNotes {
        warm_source,
        time_left: call.deadline.saturating_duration_since(Instant::now()),
        endpoint: &name,
        account: call.account.map(|account| account.name.as_str()),
        rank: progress.rank,
        resume_after: progress
            .events
            .last_id()
            .or(call.notes.resume_after.as_deref()),
    };
    let headers = desk
        .dialect
        .forward_call(call.head.head().headers(), &notes);
    let method = call.head.method().clone();
    let head = endpoint::request_head(method, call.head.uri().clone(), headers);
    progress.may_run = true;
    let exchange = connection.exchange(&desk.http, head, call.body);
    let queue_wait = progress.queue_wait * QUEUE_MARGIN;
    let limit = progress.silence_limit.map(|limit| limit + queue_wait);
    let exchanged = within(limit, exchange).await;
    progress.may_run = connection.has_sent;
    let head = exchanged?;
    desk.table.borrow_mut().hear(desk.now(), endpoint);
    desk.crashes.borrow_mut().clear(endpoint, progress.tried_at);
    let notes = desk.dialect.read_answer(head.headers());
    if notes.attempt.is_some() && notes.attempt != call.notes.attempt {
        return Err(EndpointError::Misdelivered);
    }
    if let Some(load) = notes.load {
        let now = desk.now();
        desk.table.borrow_mut().note_report(now, endpoint, load);
    }
    Ok(OpenAnswer {
        connection,
        head,
        notes,
    })
}

/// Bounds a wait for the endpoint, if the call may be tried elsewhere.
async fn within<T>(
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

async fn take_answer(
    desk: &Rc<RelayDesk>,
    call: &RelayCall<'_>,
    endpoint: EndpointId,
    mut answer: OpenAnswer,
    progress: &mut CallProgress,
    writer: &mut SessionWriter,
) -> Result<AttemptResult, AttemptResult> {
    let is_good = answer.head.status.is_success() && !answer.notes.is_not_run;
    if is_good && !answer.notes.is_signed {
        let error = EndpointError::Unsigned;
        return Err(broken(desk, call, endpoint, progress, &error, true));
    }
    if is_good && call.route.kind.is_stream() {
        return pass_stream(desk, call, endpoint, answer, progress, writer).await;
    }
    let read = within(
        progress.silence_limit,
        read_whole(desk, &mut answer.connection),
    )
    .await;
    let body = match read {
        Ok(body) => body,
        Err(_) if answer.notes.is_not_run => Bytes::new(),
        Err(error) => return Err(broken(desk, call, endpoint, progress, &error, true)),
    };
    keep_connection(
        desk,
        call,
        endpoint,
        answer.connection,
        answer.notes.keep_alive,
    );
    let status = answer.head.status;
    if answer.notes.is_not_run {
        if status == StatusCode::MISDIRECTED_REQUEST {
            desk.table.borrow_mut().note_misplaced(endpoint);
            desk.pool.close(endpoint);
        }
        progress.last_error = Some(format!("not run, status {}", status.as_u16()));
        return Err(AttemptResult::Ended(AttemptEnd::NotRun, None));
    }
    let whole = WholeAnswer {
        status,
        headers: desk.dialect.forward_answer(answer.head.headers()),
        body,
    };
    if status.is_server_error() || promises_no_run(status) {
        let reason = format!("status {}", status.as_u16());
        desk.note_health(endpoint, CallSign::Failed, &reason);
        progress.last_error = Some(reason);
        let passed = (!promises_no_run(status)).then_some(whole);
        return Err(AttemptResult::Ended(AttemptEnd::Failed, passed));
    }
    note_served(desk, call, endpoint, progress);
    Ok(deliver_whole(desk, whole, writer).await)
}

/// Whether callers take a status as the promise that the call did not run. An endpoint that gives
/// it without saying so itself may have run the call.
fn promises_no_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Hands a whole answer to the caller.
pub async fn deliver_whole(
    desk: &RelayDesk,
    answer: WholeAnswer,
    writer: &mut SessionWriter,
) -> AttemptResult {
    let status = answer.status;
    let sent = writer.send_whole(status, answer.headers, answer.body, desk.sends_away());
    match sent.await {
        Ok(()) => AttemptResult::Delivered(status),
        Err(_) => AttemptResult::CallerLost,
    }
}

async fn read_whole(
    desk: &RelayDesk,
    connection: &mut EndpointConnection,
) -> endpoint::Result<Bytes> {
    let mut body = BytesMut::new();
    while let Some(chunk) = connection.next_chunk().await? {
        if body.len() + chunk.len() > desk.settings.whole_answer_bytes {
            return Err(EndpointError::Oversized);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

async fn pass_stream(
    desk: &Rc<RelayDesk>,
    call: &RelayCall<'_>,
    endpoint: EndpointId,
    mut answer: OpenAnswer,
    progress: &mut CallProgress,
    writer: &mut SessionWriter,
) -> Result<AttemptResult, AttemptResult> {
    let status = answer.head.status;
    let mut has_first = false;
    loop {
        let chunk = within(progress.silence_limit, answer.connection.next_chunk()).await;
        let chunk = match chunk {
            Ok(chunk) => chunk,
            Err(error) => {
                progress.events.drop_partial();
                return Err(broken(desk, call, endpoint, progress, &error, true));
            }
        };
        desk.table.borrow_mut().hear(desk.now(), endpoint);
        let is_end = chunk.is_none();
        let bytes = match &chunk {
            Some(chunk) => progress.events.push(chunk),
            None => Some(progress.events.take_rest()),
        };
        let Some(bytes) = bytes else {
            continue;
        };
        if !has_first {
            has_first = true;
            note_served(desk, call, endpoint, progress);
        }
        if !writer.has_started {
            let headers = desk.dialect.forward_answer(answer.head.headers());
            lost(writer.put_stream_head(status, headers, desk.sends_away()))?;
        }
        lost(writer.send_bytes(bytes).await)?;
        if is_end {
            lost(writer.finish().await)?;
            keep_connection(
                desk,
                call,
                endpoint,
                answer.connection,
                answer.notes.keep_alive,
            );
            return Ok(AttemptResult::Delivered(status));
        }
    }
}

fn keep_connection(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    endpoint: EndpointId,
    connection: EndpointConnection,
    keep_alive: Option<Duration>,
) {
    let instances = desk.budget.borrow().instances();
    let most = idle_share(call.connections, instances);
    desk.pool
        .put(desk.now(), endpoint, connection, keep_alive, most);
}

/// Notes the first bytes of a good answer.
fn note_served(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    endpoint: EndpointId,
    progress: &mut CallProgress,
) {
    let first_byte = call.started.elapsed();
    progress.first_byte.get_or_insert(first_byte);
    desk.note_health(endpoint, CallSign::Served(first_byte), "");
}

fn lost(sent: Result<(), SessionError>) -> Result<(), AttemptResult> {
    sent.map_err(|_| AttemptResult::CallerLost)
}

/// Notes that an endpoint could not be reached or broke off.
fn broken(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    endpoint: EndpointId,
    progress: &mut CallProgress,
    error: &EndpointError,
    may_run: bool,
) -> AttemptResult {
    let now = desk.now();
    let reason = error.to_string();
    let is_silent_call = matches!(error, EndpointError::Silent);
    if !is_silent_call || desk.is_silent(endpoint) {
        desk.note_health(endpoint, CallSign::Broken, &reason);
    }
    progress.last_error = Some(reason);
    if !may_run {
        desk.crashes.borrow_mut().confirm(now, endpoint);
        return AttemptResult::Ended(AttemptEnd::NotSent, None);
    }
    if matches!(error, EndpointError::Closed | EndpointError::Socket(_)) {
        let report = CrashReport {
            fingerprint: call.fingerprint,
            endpoint,
        };
        desk.crashes.borrow_mut().note_break(now, report);
    }
    AttemptResult::Ended(AttemptEnd::Broken, None)
}
