//! The tries of one call.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use fault::FaultKind;
use tokio::time::{Instant, timeout, timeout_at};
use wire::id::{EndpointId, ServiceId};

use crate::admission::{AdmissionCall, PlacedCall};
use crate::attempt::{
    AttemptResult, CallProgress, DEFAULT_PATIENCE, RelayCall, WholeAnswer, deliver_whole,
    run_attempt,
};
use crate::call::CallNotes;
use crate::desk::RelayDesk;
use crate::health::CallSign;
use crate::identity::identify;
use crate::record::{CallEnd, CallRecord, CallTry};
use crate::refusal::CallRefusal;
use crate::session::{IncomingCall, SessionWriter};
use crate::verdict::{AttemptEnd, AttemptTally, NextStep, last_step, next_step, silence_limit};

/// Longest wait for the first catalog and the first endpoint of an instance.
const SET_UP_LIMIT: Duration = Duration::from_millis(800);
/// Part of the caller's patience that it waits for them at most.
const SET_UP_PART: u32 = 4;

/// Serves a call whose whole body has arrived.
pub async fn serve_call(
    desk: &Rc<RelayDesk>,
    incoming: &IncomingCall,
    writer: &mut SessionWriter,
) -> CallRecord {
    let started = Instant::now();
    let notes = desk.dialect.read_call(incoming.head.head().headers());
    let mut record = CallRecord::new(notes.attempt.clone());
    wait_for_set_up(desk, &notes).await;
    let catalog = desk.catalog();
    record.catalog = catalog.as_ref().map_or(0, |index| index.catalog().version);
    record.list_age = desk.list_age();
    record.end = match identify(catalog.as_deref(), incoming, &notes, rand::random()) {
        Ok(rules) => {
            let call = RelayCall::new(incoming, notes, rules, started);
            record.route.clone_from(&call.route.name);
            record.account = call.account_name().to_owned();
            run_call(desk, &call, writer, &mut record).await
        }
        Err(kind) => {
            let refusal = CallRefusal::new(kind, notes.patience);
            refuse_and_note(desk, &refusal, writer, &mut record).await
        }
    };
    record.elapsed = started.elapsed();
    record
}

/// Gives an instance that has just started a moment to get its catalog and its list. Without a
/// catalog the call is refused afterwards.
async fn wait_for_set_up(desk: &RelayDesk, notes: &CallNotes) {
    if desk.is_set_up() {
        return;
    }
    let patience = notes.patience.unwrap_or(DEFAULT_PATIENCE) / SET_UP_PART;
    let _ = timeout(patience.min(SET_UP_LIMIT), desk.until_set_up()).await;
}

async fn run_call(
    desk: &Rc<RelayDesk>,
    call: &RelayCall<'_>,
    writer: &mut SessionWriter,
    record: &mut CallRecord,
) -> CallEnd {
    if let Some(kind) = reason_to_refuse(desk, call) {
        let refusal = CallRefusal::new(kind, call.time_left());
        return refuse_and_note(desk, &refusal, writer, record).await;
    }
    let mut progress = CallProgress::default();
    let mut tally = AttemptTally::default();
    let tries = try_endpoints(desk, call, writer, record, &mut progress, &mut tally);
    let end = timeout_at(call.deadline, tries).await;
    record.last_error = progress.last_error.take();
    record.first_byte = progress.first_byte;
    match end {
        Ok(end) => end,
        Err(_) => time_out(desk, call, writer, record, &progress, tally).await,
    }
}

/// Why a call goes to no endpoint at all.
fn reason_to_refuse(desk: &RelayDesk, call: &RelayCall<'_>) -> Option<FaultKind> {
    if !desk.takes_call(call.deadline.saturating_duration_since(call.started)) {
        return Some(FaultKind::Draining);
    }
    let crashes = desk.crashes.borrow();
    let is_convicted = crashes.is_convicted(desk.now(), call.fingerprint);
    is_convicted.then_some(FaultKind::Suspected)
}

/// The deadline passed while a try was under way.
async fn time_out(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    writer: &mut SessionWriter,
    record: &mut CallRecord,
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
    let refusal = CallRefusal::new(kind, call.time_left());
    refuse_and_note(desk, &refusal, writer, record).await
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
        let Some(placed) = place(desk, call, &record.tried()) else {
            return give_up(desk, call, writer, record, *tally, last).await;
        };
        record.rank = placed.rank;
        record.queue_wait = placed.wait;
        if let Some(wait) = placed.return_after {
            return turn_back(desk, call, writer, record, *tally, last, wait).await;
        }
        let endpoint = placed.endpoint;
        record.tries.push(begin_try(desk, endpoint));
        progress.silence_limit = silence_limit(call.route, *tally);
        progress.rank = placed.rank;
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
            return give_up(desk, call, writer, record, *tally, last).await;
        }
    }
}

/// Finds an endpoint for a call, beside those that it has tried.
fn place(desk: &RelayDesk, call: &RelayCall<'_>, tried: &[EndpointId]) -> Option<PlacedCall> {
    let asked = AdmissionCall {
        rank: call.rank,
        account: call.account_name(),
        objective: call.route.objective,
        is_stream: call.route.kind.is_stream(),
        left: call.deadline.saturating_duration_since(Instant::now()),
        instances: desk.budget.borrow().instances(),
    };
    let query = call.query(desk, tried);
    let table = desk.table.borrow();
    let mut admission = desk.admission.borrow_mut();
    admission.place(&desk.settings.placement, &table, &query, &asked)
}

/// Ends a call that no endpoint has room for.
async fn turn_back(
    desk: &RelayDesk,
    call: &RelayCall<'_>,
    writer: &mut SessionWriter,
    record: &mut CallRecord,
    tally: AttemptTally,
    last: Option<(AttemptEnd, Option<WholeAnswer>)>,
    wait: Duration,
) -> CallEnd {
    if tally.runs > 0 || writer.has_started {
        return give_up(desk, call, writer, record, tally, last).await;
    }
    let refusal = CallRefusal {
        kind: FaultKind::Overloaded,
        left: call.time_left(),
        room_after: Some(wait),
    };
    refuse_and_note(desk, &refusal, writer, record).await
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
    record: &mut CallRecord,
    tally: AttemptTally,
    last: Option<(AttemptEnd, Option<WholeAnswer>)>,
) -> CallEnd {
    if writer.has_started {
        return CallEnd::Cut;
    }
    let Some((end, answer)) = last else {
        let refusal = CallRefusal::new(FaultKind::NoEndpoint, call.time_left());
        return refuse_and_note(desk, &refusal, writer, record).await;
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
    let refusal = CallRefusal::new(kind, call.time_left());
    refuse_and_note(desk, &refusal, writer, record).await
}

async fn refuse_and_note(
    desk: &RelayDesk,
    refusal: &CallRefusal,
    writer: &mut SessionWriter,
    record: &mut CallRecord,
) -> CallEnd {
    let (end, retry_after) = refuse(desk, refusal, writer).await;
    record.retry_after = retry_after;
    end
}

/// Answers a call in the name of this instance. Returns how the call ended, and when the caller was
/// told to come back.
pub async fn refuse(
    desk: &RelayDesk,
    refusal: &CallRefusal,
    writer: &mut SessionWriter,
) -> (CallEnd, Option<Duration>) {
    let kind = refusal.kind;
    let row = kind.answer();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let retry_after = row
        .retry_after
        .map(|_| refusal.wait_before_retry(rand::random()));
    if let Some(wait) = retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    let body = format!("{{\"kind\":\"{kind}\",\"outcome\":\"{}\"}}", row.outcome);
    let close = desk.sends_away();
    let sent = writer.send_whole(status, headers, Bytes::from(body), close);
    match sent.await {
        Ok(()) => (CallEnd::Refused(kind), retry_after),
        Err(_) => (CallEnd::CallerLost, retry_after),
    }
}
