//! The tries of one call.

use std::rc::Rc;
use std::time::Duration;

use fault::FaultKind;
use tokio::time::{Instant, timeout, timeout_at};
use wire::id::EndpointId;

use crate::admission::PlacedCall;
use crate::attempt::{AttemptResult, CallProgress, EndpointAttempt, FailedAttempt};
use crate::call::CallNotes;
use crate::desk::RelayDesk;
use crate::health::CallSign;
use crate::identity::identify;
use crate::record::{CallEnd, CallRecord, CallTry};
use crate::refusal::CallRefusal;
use crate::relay_call::{DEFAULT_PATIENCE, RelayCall};
use crate::reply::{deliver_whole, refuse};
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
    match identify(catalog.as_deref(), incoming, &notes, rand::random()) {
        Ok(rules) => {
            let call = RelayCall::new(incoming, notes, rules, started);
            record.route.clone_from(&call.route.name);
            record.account = call.account_name().to_owned();
            let forward = CallForward::new(desk, &call, writer, &mut record);
            record.end = forward.run().await;
        }
        Err(kind) => {
            let refusal = CallRefusal::new(kind, notes.patience);
            (record.end, record.retry_after) = refuse(desk, &refusal, writer).await;
        }
    }
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

/// A call on its way.
struct CallForward<'a> {
    desk: &'a Rc<RelayDesk>,
    call: &'a RelayCall<'a>,
    writer: &'a mut SessionWriter,
    record: &'a mut CallRecord,
    progress: CallProgress,
    tally: AttemptTally,
    /// The last try, once one has failed.
    last: Option<FailedAttempt>,
}

impl<'a> CallForward<'a> {
    fn new(
        desk: &'a Rc<RelayDesk>,
        call: &'a RelayCall<'a>,
        writer: &'a mut SessionWriter,
        record: &'a mut CallRecord,
    ) -> Self {
        Self {
            desk,
            call,
            writer,
            record,
            progress: CallProgress::default(),
            tally: AttemptTally::default(),
            last: None,
        }
    }

    async fn run(mut self) -> CallEnd {
        if let Some(kind) = self.reason_to_refuse() {
            return self.refuse(kind).await;
        }
        let deadline = self.call.deadline;
        let end = timeout_at(deadline, self.try_endpoints()).await;
        self.record.last_error = self.progress.last_error.take();
        self.record.first_byte = self.progress.first_byte;
        match end {
            Ok(end) => end,
            Err(_) => self.time_out().await,
        }
    }

    /// Why the call goes to no endpoint at all.
    fn reason_to_refuse(&self) -> Option<FaultKind> {
        let (desk, call) = (self.desk, self.call);
        if !desk.takes_call(call.deadline.saturating_duration_since(call.started)) {
            return Some(FaultKind::Draining);
        }
        let crashes = desk.crashes.borrow();
        let is_convicted = crashes.is_convicted(desk.now(), call.fingerprint);
        is_convicted.then_some(FaultKind::Suspected)
    }

    async fn try_endpoints(&mut self) -> CallEnd {
        let (desk, call) = (self.desk, self.call);
        desk.note_request(call.service);
        loop {
            let Some(placed) = self.place() else {
                return self.give_up().await;
            };
            if let Some(wait) = placed.return_after {
                return self.turn_back(wait).await;
            }
            let failed = match self.try_endpoint(placed.endpoint).await {
                AttemptResult::Delivered(status) => return CallEnd::Answered(status),
                AttemptResult::CallerLost => return CallEnd::CallerLost,
                AttemptResult::Failed(failed) => failed,
            };
            let end = failed.end;
            self.tally.count(end);
            self.last = Some(failed);
            let step = next_step(call.route.kind, call.route.max_attempts, self.tally, end);
            if step != NextStep::TryAnother || !self.pay_repeat(end) {
                return self.give_up().await;
            }
        }
    }

    /// Finds an endpoint, beside those that were tried.
    fn place(&mut self) -> Option<PlacedCall> {
        let (desk, call) = (self.desk, self.call);
        let tried = self.record.tried();
        let query = call.query(desk, &tried);
        let asked = call.admission(desk);
        let table = desk.table.borrow();
        let mut admission = desk.admission.borrow_mut();
        let placed = admission.place(&desk.settings.placement, &table, &query, &asked)?;
        self.record.rank = placed.rank;
        self.record.queue_wait = placed.wait;
        self.progress.rank = placed.rank;
        Some(placed)
    }

    async fn try_endpoint(&mut self, endpoint: EndpointId) -> AttemptResult {
        self.record.tries.push(begin_try(self.desk, endpoint));
        self.progress.silence_limit = silence_limit(self.call.route, self.tally);
        let attempt = EndpointAttempt {
            desk: self.desk,
            call: self.call,
            endpoint,
            progress: &mut self.progress,
            writer: self.writer,
        };
        let result = attempt.run().await;
        let end = end_word(&result);
        self.desk.metrics.count_attempt(end);
        if let Some(last) = self.record.tries.last_mut() {
            last.end = end;
        }
        result
    }

    /// Takes a repeat of the budget, unless nothing reached an endpoint.
    fn pay_repeat(&self, end: AttemptEnd) -> bool {
        let desk = self.desk;
        let mut budget = desk.budget.borrow_mut();
        end == AttemptEnd::NotSent || budget.take_repeat(desk.now(), self.call.service)
    }

    /// The deadline passed while a try was under way.
    async fn time_out(&mut self) -> CallEnd {
        // A deadline that passes tells nothing of an endpoint that answers others.
        if let Some(endpoint) = self.progress.unanswered.filter(|id| self.was_silent(*id)) {
            let reason = "no answer until the deadline";
            self.desk.note_health(endpoint, CallSign::Broken, reason);
            self.desk.pool.close(endpoint);
        }
        if self.writer.has_started {
            return CallEnd::Cut;
        }
        let may_have_run = self.progress.may_run || self.tally.runs > 0;
        let kind = match may_have_run {
            true => FaultKind::DeadlinePassed,
            false => FaultKind::NoEndpoint,
        };
        self.refuse(kind).await
    }

    /// Whether nothing has come from an endpoint since the call was sent there.
    fn was_silent(&self, endpoint: EndpointId) -> bool {
        let table = self.desk.table.borrow();
        let row = table.row(endpoint);
        row.is_some_and(|row| row.was_silent(self.progress.tried_at, self.desk.now()))
    }

    /// Ends a call that no endpoint has room for.
    async fn turn_back(&mut self, wait: Duration) -> CallEnd {
        if self.tally.runs > 0 || self.writer.has_started {
            return self.give_up().await;
        }
        let refusal = CallRefusal {
            kind: FaultKind::Overloaded,
            left: self.call.time_left(),
            room_after: Some(wait),
        };
        self.send_refusal(&refusal).await
    }

    /// Ends a call that is not tried again.
    async fn give_up(&mut self) -> CallEnd {
        if self.writer.has_started {
            return CallEnd::Cut;
        }
        let Some(FailedAttempt { end, answer }) = self.last.take() else {
            return self.refuse(FaultKind::NoEndpoint).await;
        };
        if let Some(answer) = answer {
            return deliver_whole(self.desk, answer, self.writer).await;
        }
        let kind = match last_step(self.tally, end) {
            NextStep::Answer(kind) => kind,
            NextStep::PassFailure | NextStep::TryAnother => FaultKind::EndpointFailed,
        };
        self.refuse(kind).await
    }

    async fn refuse(&mut self, kind: FaultKind) -> CallEnd {
        let refusal = CallRefusal::new(kind, self.call.time_left());
        self.send_refusal(&refusal).await
    }

    async fn send_refusal(&mut self, refusal: &CallRefusal) -> CallEnd {
        let (end, retry_after) = refuse(self.desk, refusal, self.writer).await;
        self.record.retry_after = retry_after;
        end
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

fn end_word(result: &AttemptResult) -> &'static str {
    match result {
        AttemptResult::Delivered(_) => "served",
        AttemptResult::CallerLost => "caller-lost",
        AttemptResult::Failed(failed) => match failed.end {
            AttemptEnd::NotSent => "not-sent",
            AttemptEnd::NotRun => "not-run",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Broken => "broken",
        },
    }
}
