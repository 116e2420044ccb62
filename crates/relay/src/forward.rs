//! The tries of one call.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use catalog::{AccountRule, CatalogIndex, KeyMatch, RouteRule};
use fault::FaultKind;
use tokio::time::{Instant, timeout, timeout_at};
use wire::id::{EndpointId, FingerprintHash, ServiceId, name_id};
use xxhash_rust::xxh3::Xxh3;

use crate::attempt::{
    AttemptResult, CallProgress, RelayCall, WholeAnswer, deliver_whole, run_attempt,
};
use crate::call::CallNotes;
use crate::desk::RelayDesk;
use crate::health::CallSign;
use crate::placement::choose;
use crate::refusal::wait_before_retry;
use crate::session::{IncomingCall, SessionWriter};
use crate::verdict::{AttemptEnd, AttemptTally, NextStep, last_step, next_step, silence_limit};

/// Longest wait of a caller that names none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(60);

/// Longest wait for the first catalog and the first endpoint of an instance.
const SET_UP_LIMIT: Duration = Duration::from_millis(800);
/// Part of the caller's patience that it waits for them at most.
const SET_UP_PART: u32 = 4;

/// How a call ended, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer of an endpoint.
    Answered(StatusCode),
    /// An answer of this instance.
    Refused(FaultKind),
    /// The answer broke off after its start; the connection has to be closed.
    Cut,
    /// The caller left.
    CallerLost,
}

/// One try of a call at an endpoint.
#[derive(Debug)]
pub struct CallTry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name.
    pub name: String,
    /// Requests that it held, as far as this instance knew.
    pub load: u32,
    /// How the try ended, one of a closed set of words.
    pub end: &'static str,
}

/// What is told of a call in the log.
#[derive(Debug)]
pub struct CallRecord {
    /// The caller's id of the attempt.
    pub attempt: Option<String>,
    /// Its route.
    pub route: String,
    /// The client account.
    pub account: String,
    /// Version of the catalog that it was judged by; 0 for none.
    pub catalog: u64,
    /// Age of the reading of the list that it was placed by.
    pub list_age: Option<Duration>,
    /// The tries, in order.
    pub tries: Vec<CallTry>,
    /// Time to the first byte of an endpoint's answer.
    pub first_byte: Option<Duration>,
    /// Why the last try failed.
    pub last_error: Option<String>,
    /// How it ended.
    pub end: CallEnd,
    /// Time from its arrival to its end.
    pub elapsed: Duration,
}

/// Serves a call whose whole body has arrived.
pub async fn serve_call(
    desk: &Rc<RelayDesk>,
    incoming: &IncomingCall,
    writer: &mut SessionWriter,
) -> CallRecord {
    let started = Instant::now();
    let notes = desk.dialect.read_call(incoming.head.head().headers());
    let mut record = CallRecord {
        attempt: notes.attempt.clone(),
        route: String::new(),
        account: String::new(),
        catalog: 0,
        list_age: None,
        tries: Vec::new(),
        first_byte: None,
        last_error: None,
        end: CallEnd::CallerLost,
        elapsed: Duration::ZERO,
    };
    if !desk.is_set_up() {
        let patience = notes.patience.unwrap_or(DEFAULT_PATIENCE) / SET_UP_PART;
        let limit = patience.min(SET_UP_LIMIT);
        // Without a catalog the call is refused below.
        let _ = timeout(limit, desk.until_set_up()).await;
    }
    let catalog = desk.catalog();
    record.catalog = catalog.as_ref().map_or(0, |index| index.catalog().version);
    record.list_age = desk.list_age();
    let admitted = admit(catalog.as_deref(), incoming, &notes);
    record.end = match admitted {
        Ok((route, account)) => {
            record.route.clone_from(&route.name);
            record.account = account.map_or_else(String::new, |account| account.name.clone());
            let patience = notes.patience.unwrap_or(DEFAULT_PATIENCE);
            let call = RelayCall {
                head: &incoming.head,
                body: &incoming.body,
                fingerprint: fingerprint(incoming, account),
                notes,
                route,
                account,
                service: name_id(route.choose_service(rand::random()).unwrap_or_default()),
                started,
                deadline: started + patience.min(route.timeout),
            };
            run_call(desk, &call, writer, &mut record).await
        }
        Err(kind) => refuse(desk, kind, notes.patience, writer).await,
    };
    record.elapsed = started.elapsed();
    record
}

fn admit<'a>(
    catalog: Option<&'a CatalogIndex>,
    incoming: &IncomingCall,
    notes: &CallNotes,
) -> Result<(&'a RouteRule, Option<&'a AccountRule>), FaultKind> {
    let catalog = catalog.ok_or(FaultKind::SettingsStale)?;
    let headers = incoming.head.head().headers();
    let host = headers.get("host").and_then(|host| host.to_str().ok());
    let path = incoming.head.path();
    let route = catalog.find_route(host.unwrap_or_default(), path);
    let route = route.ok_or(FaultKind::UnknownService)?;
    match catalog.find_account(notes.key.as_deref()) {
        KeyMatch::Account(account) => Ok((route, Some(account))),
        KeyMatch::Open => Ok((route, None)),
        KeyMatch::Unknown if route.is_public => Ok((route, None)),
        KeyMatch::Unknown if notes.key.is_none() => Err(FaultKind::MissingKey),
        KeyMatch::Unknown => Err(FaultKind::UnknownKey),
    }
}

fn fingerprint(incoming: &IncomingCall, account: Option<&AccountRule>) -> FingerprintHash {
    let mut hasher = Xxh3::new();
    hasher.update(incoming.head.method().as_str().as_bytes());
    let path = incoming.head.uri().path_and_query();
    hasher.update(path.map_or(b"".as_slice(), |path| path.as_str().as_bytes()));
    hasher.update(account.map_or(b"".as_slice(), |account| account.name.as_bytes()));
    hasher.update(&incoming.body);
    hasher.digest()
}

async fn run_call(
    desk: &Rc<RelayDesk>,
    call: &RelayCall<'_>,
    writer: &mut SessionWriter,
    record: &mut CallRecord,
) -> CallEnd {
    if !desk.takes_call(call.deadline.saturating_duration_since(call.started)) {
        return refuse(desk, FaultKind::Draining, time_left(call), writer).await;
    }
    if desk
        .crashes
        .borrow()
        .is_convicted(desk.now(), call.fingerprint)
    {
        return refuse(desk, FaultKind::Suspected, time_left(call), writer).await;
    }
    let mut progress = CallProgress::default();
    let mut tally = AttemptTally::default();
    let tries = try_endpoints(desk, call, writer, record, &mut progress, &mut tally);
    let end = timeout_at(call.deadline, tries).await;
    record.last_error = progress.last_error.take();
    record.first_byte = progress.first_byte;
    match end {
        Ok(end) => end,
        Err(_) => time_out(desk, call, writer, &progress, tally).await,
    }
}

/// The deadline passed while a try was under way.
async fn time_out(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    writer: &mut SessionWriter,
    progress: &CallProgress,
    tally: AttemptTally,
) -> CallEnd {
    // A deadline that passes tells nothing of an endpoint that answers others.
    let was_silent = |endpoint: &EndpointId| {
        let table = desk.table.borrow();
        let row = table.row(*endpoint);
        row.is_some_and(|row| row.was_silent(progress.tried_at, desk.now()))
    };
    if let Some(endpoint) = progress.unanswered.filter(was_silent) {
        desk.note_health(endpoint, CallSign::Broken, "no answer until the deadline");
        desk.pool.close(endpoint);
    }
    if writer.has_started {
        return CallEnd::Cut;
    }
    let may_have_run = progress.may_run || tally.runs > 0;
    let kind = match may_have_run {
        true => FaultKind::DeadlinePassed,
        false => FaultKind::NoEndpoint,
    };
    refuse(desk, kind, time_left(call), writer).await
}

async fn try_endpoints(
    desk: &Rc<RelayDesk>,
    call: &RelayCall<'_>,
    writer: &mut SessionWriter,
    record: &mut CallRecord,
    progress: &mut CallProgress,
    tally: &mut AttemptTally,
) -> CallEnd {
    let service = call.service;
    desk.budget.borrow_mut().note_request(desk.now(), service);
    let mut last: Option<(AttemptEnd, Option<WholeAnswer>)> = None;
    loop {
        let tried: Vec<EndpointId> = record.tries.iter().map(|tried| tried.endpoint).collect();
        let query = call.query(desk, &tried);
        let chosen = choose(&desk.settings.placement, &desk.table.borrow(), &query);
        let Some(endpoint) = chosen else {
            return give_up(desk, call, writer, *tally, last).await;
        };
        record.tries.push(begin_try(desk, endpoint));
        progress.silence_limit = silence_limit(call.route, *tally);
        let result = run_attempt(desk, call, endpoint, progress, writer).await;
        end_try(desk, record, &result);
        let (end, answer) = match result {
            AttemptResult::Delivered(status) => return CallEnd::Answered(status),
            AttemptResult::CallerLost => return CallEnd::CallerLost,
            AttemptResult::Ended(end, answer) => (end, answer),
        };
        tally.count(end);
        let step = next_step(call.route.kind, call.route.attempts, *tally, end);
        last = Some((end, answer));
        if step != NextStep::TryAnother || !pay_repeat(desk, service, end) {
            return give_up(desk, call, writer, *tally, last).await;
        }
    }
}

fn begin_try(desk: &RelayDesk, endpoint: EndpointId) -> CallTry {
    let table = desk.table.borrow();
    let row = table.row(endpoint);
    CallTry {
        endpoint,
        name: row.map_or_else(String::new, |row| row.name.clone()),
        load: row.map_or(0, |row| row.load(desk.now())),
        end: "unfinished",
    }
}

fn end_try(desk: &RelayDesk, record: &mut CallRecord, result: &AttemptResult) {
    let end = match result {
        AttemptResult::Delivered(_) => "served",
        AttemptResult::CallerLost => "caller-lost",
        AttemptResult::Ended(AttemptEnd::NotSent, _) => "not-sent",
        AttemptResult::Ended(AttemptEnd::NotRun, _) => "not-run",
        AttemptResult::Ended(AttemptEnd::Failed, _) => "failed",
        AttemptResult::Ended(AttemptEnd::Broken, _) => "broken",
    };
    desk.metrics.count_attempt(end);
    if let Some(last) = record.tries.last_mut() {
        last.end = end;
    }
}

/// Takes a repeat of the budget, unless nothing reached an endpoint.
fn pay_repeat(desk: &RelayDesk, service: ServiceId, end: AttemptEnd) -> bool {
    end == AttemptEnd::NotSent || desk.budget.borrow_mut().take_repeat(desk.now(), service)
}

async fn give_up(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    writer: &mut SessionWriter,
    tally: AttemptTally,
    last: Option<(AttemptEnd, Option<WholeAnswer>)>,
) -> CallEnd {
    if writer.has_started {
        return CallEnd::Cut;
    }
    let Some((end, answer)) = last else {
        return refuse(desk, FaultKind::NoEndpoint, time_left(call), writer).await;
    };
    if let Some(answer) = answer {
        return match deliver_whole(desk, answer, writer).await {
            AttemptResult::Delivered(status) => CallEnd::Answered(status),
            _ => CallEnd::CallerLost,
        };
    }
    let kind = match last_step(tally, end) {
        NextStep::Answer(kind) => kind,
        NextStep::PassFailure | NextStep::TryAnother => FaultKind::EndpointFailed,
    };
    refuse(desk, kind, time_left(call), writer).await
}

fn time_left(call: &RelayCall<'_>) -> Option<Duration> {
    let patience = call.notes.patience?;
    Some(patience.saturating_sub(call.started.elapsed()))
}

/// Answers a call in the name of this instance.
pub async fn refuse(
    desk: &RelayDesk,
    kind: FaultKind,
    left: Option<Duration>,
    writer: &mut SessionWriter,
) -> CallEnd {
    let row = kind.answer();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if row.retry_after.is_some() {
        let wait = wait_before_retry(kind, left, rand::random());
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    let body = format!("{{\"kind\":\"{kind}\",\"outcome\":\"{}\"}}", row.outcome);
    let close = desk.sends_away();
    match writer
        .send_whole(status, headers, Bytes::from(body), close)
        .await
    {
        Ok(()) => CallEnd::Refused(kind),
        Err(_) => CallEnd::CallerLost,
    }
}
