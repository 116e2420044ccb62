//! The sequence of attempts of one call.

use std::rc::Rc;
use std::time::Duration;

use catalog::CatalogIndex;
use fault::FaultKind;
use tokio::time::{Instant, sleep, sleep_until};
use wire::id::EndpointId;
use wire::process::ProcessQuery;

use crate::admission::PlacedCall;
use crate::attempt::{AttemptResult, CallProgress, EndpointAttempt, FailedAttempt};
use crate::call::CallMetadata;
use crate::caller_limits::DEFAULT_CALLER_TIMEOUT;
use crate::health::CallOutcome;
use crate::origin_lookup::{ResumedOrigin, return_wait};
use crate::placement::{endpoints_to_ask, next_room, uncertain};
use crate::record::{AttemptRecord, CallEnd, CallRecord};
use crate::refusal::CallRefusal;
use crate::relay_call::RelayCall;
use crate::reply::{deliver_whole, refuse};
use crate::retry::{AttemptEnd, AttemptTally, NextStep, last_step, next_step, silence_limit};
use crate::rules::{CallRules, fingerprint, resolve_rules, rules_at};
use crate::session::{IncomingCall, SessionWriter};
use crate::sole_version::{routing_digest, sole_service};
use crate::state::RelayState;
use crate::version_census::{VersionCensus, VersionGap};

/// Maximum number of requests for tokens before one placement of a call.
const MAX_TOKEN_ASKS: u32 = 3;
/// Longest time of all pauses inside an answer until an endpoint that may go on with it takes calls again.
const MAX_ANSWER_PAUSE: Duration = Duration::from_secs(1);
/// Pause until endpoints are looked at again whose software version is not certain.
const UNCERTAIN_PAUSE: Duration = Duration::from_millis(100);
/// Shortest such pause.
const MIN_ANSWER_PAUSE: Duration = Duration::from_millis(20);
/// Maximum time that a call waits for the first catalog and the first endpoint of an instance.
const SET_UP_LIMIT: Duration = Duration::from_millis(800);
/// A call spends at most its caller's timeout divided by this on that wait, which leaves time for
/// the call itself.
const SET_UP_DIVISOR: u32 = 4;

/// Serves a call whose body has been received, and returns its record.
pub async fn serve_call(
    state: &Rc<RelayState>,
    incoming: &IncomingCall,
    writer: &mut SessionWriter,
) -> CallRecord {
    let started = Instant::now();
    state.check_gap();
    let metadata = state.dialect.read_call(incoming.head.head().headers());
    let mut record = CallRecord::new(metadata.attempt_id.clone());
    record.resumes.clone_from(&metadata.resumes);
    wait_for_set_up(state, &metadata).await;
    let catalog = state.catalog();
    record.catalog = catalog.as_ref().map_or(0, |index| index.catalog().version);
    record.list_age = state.list_age();
    match resolve_call(state, catalog.as_deref(), incoming, &metadata, started).await {
        Ok((rules, resumed)) => {
            let call = {
                let regions = state.regions.borrow();
                RelayCall::new(incoming, metadata, rules, resumed, &regions, started)
            };
            record.route.clone_from(&call.route.name);
            record.account = call.account_name().to_owned();
            record.fingerprint = call.fingerprint;
            record.parts = call.parts.to_vec();
            state.note_call(call.service, &call.parts);
            record.crashes = state.crashes.borrow().crashes_of(call.fingerprint);
            let forward = CallForward::new(state, &call, writer, &mut record);
            record.end = forward.run().await;
        }
        Err(refusal) => {
            (record.end, record.retry_after) = refuse(state, &refusal, writer).await;
        }
    }
    record.elapsed = started.elapsed();
    record
}

/// Waits for a limited time until an instance that has just started has its catalog and its list of
/// endpoints. A call that still finds no catalog is refused afterwards.
async fn wait_for_set_up(state: &RelayState, metadata: &CallMetadata) {
    if state.is_set_up() {
        return;
    }
    let caller_timeout = metadata.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    // A caller that returns has little time, and may not find its stream again later.
    let max_wait = match metadata.resume_after.is_some() {
        true => return_wait(caller_timeout),
        false => caller_timeout / SET_UP_DIVISOR,
    };
    tokio::select! {
        biased;
        () = state.until_set_up() => {}
        () = sleep(max_wait.min(SET_UP_LIMIT)) => {}
        () = state.until_exit() => {}
    }
}

/// Finds the rules of a call that `started` to wait then, and the origin of the stream that it resumes, if
/// it does.
async fn resolve_call<'a>(
    state: &RelayState,
    catalog: Option<&'a CatalogIndex>,
    incoming: &IncomingCall,
    metadata: &CallMetadata,
    started: Instant,
) -> Result<(CallRules<'a>, Option<ResumedOrigin>), CallRefusal> {
    let to_refusal = |kind| CallRefusal::new(kind, metadata.caller_timeout);
    let rules = resolve_rules(catalog, incoming, metadata, rand::random()).map_err(to_refusal)?;
    let kind = rules.route.kind;
    let is_resumed = kind.is_stream() && metadata.resume_after.is_some();
    let Some(catalog) = catalog.filter(|_| is_resumed) else {
        return Ok((rules, None));
    };
    let request = fingerprint(incoming, rules.account);
    let routing = routing_digest(catalog.catalog());
    let sole = sole_service(rules.route).map(|service| (service, routing));
    let resumed = tokio::select! {
        biased;
        resumed = state.resumed_origin(kind, request, metadata, sole, started) => resumed?,
        () = state.until_exit() => return Err(to_refusal(FaultKind::Draining)),
    };
    let rules = rules_at(catalog, rules, resumed.origin.service).map_err(to_refusal)?;
    Ok((rules, Some(resumed)))
}

/// Why a call has no more time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TimeLimit {
    /// Its deadline passed.
    Deadline,
    /// The process is about to exit.
    ProcessExit,
}

/// Carries one call through its attempts.
struct CallForward<'a> {
    state: &'a Rc<RelayState>,
    call: &'a RelayCall<'a>,
    writer: &'a mut SessionWriter,
    record: &'a mut CallRecord,
    progress: CallProgress,
    tally: AttemptTally,
    /// The last failed attempt.
    last: Option<FailedAttempt>,
    /// When the pause inside the answer ends at the latest; `None` before it begins.
    pause_ends_at: Option<Instant>,
}

impl<'a> CallForward<'a> {
    fn new(
        state: &'a Rc<RelayState>,
        call: &'a RelayCall<'a>,
        writer: &'a mut SessionWriter,
        record: &'a mut CallRecord,
    ) -> Self {
        Self {
            state,
            call,
            writer,
            record,
            progress: CallProgress {
                begun_by: call.resumed_version,
                ..CallProgress::default()
            },
            tally: AttemptTally::default(),
            last: None,
            pause_ends_at: None,
        }
    }

    async fn run(mut self) -> CallEnd {
        if let Some(refusal) = self.reason_to_refuse() {
            return self.send_refusal(&refusal).await;
        }
        let (state, deadline) = (self.state, self.call.deadline);
        let end = tokio::select! {
            biased;
            end = self.try_endpoints() => Ok(end),
            () = sleep_until(deadline) => Err(TimeLimit::Deadline),
            () = state.until_exit() => Err(TimeLimit::ProcessExit),
        };
        self.record.last_error = self.progress.last_error.take();
        self.record.answer_end = self.progress.answer_end;
        self.record.first_byte = self.progress.first_byte;
        match end {
            Ok(end) => end,
            Err(TimeLimit::Deadline) => self.finish_timed_out().await,
            Err(TimeLimit::ProcessExit) => self.finish_at_exit().await,
        }
    }

    /// Refusal of the call before any attempt; `None` if it may be attempted.
    fn reason_to_refuse(&self) -> Option<CallRefusal> {
        self.stop_refusal().or_else(|| self.suspicion())
    }

    /// Refusal of a call that may not end before the process exits; `None` for all others.
    fn stop_refusal(&self) -> Option<CallRefusal> {
        let call = self.call;
        let is_accepted = self.state.accepts_call(call.deadline);
        (!is_accepted).then(|| CallRefusal::new(FaultKind::Draining, call.time_left()))
    }

    /// Refusal of a call that would probably crash its endpoint; `None` for all others.
    fn suspicion(&self) -> Option<CallRefusal> {
        let (state, call) = (self.state, self.call);
        let mut crashes = state.crashes.borrow_mut();
        let time = crashes.refused_for(state.now(), call.fingerprint, &call.parts)?;
        if crashes.begin_probe(state.now(), call.fingerprint, &call.parts) {
            let attempt_id = call.metadata.attempt_id.as_deref();
            log::info!(call = attempt_id.unwrap_or("-"); "relay: call with a blamed prompt part let through as a probe");
            return None;
        }
        Some(CallRefusal {
            scheduled_wait: Some(time),
            ..CallRefusal::new(FaultKind::Suspected, call.time_left())
        })
    }

    async fn try_endpoints(&mut self) -> CallEnd {
        let (state, call) = (self.state, self.call);
        state.note_request(call.service);
        let max_wait = SET_UP_LIMIT.min(call.time_left().unwrap_or(SET_UP_LIMIT) / SET_UP_DIVISOR);
        state.until_rates_kept(call.service, max_wait).await;
        loop {
            self.ask_for_token().await;
            // The instance may have begun to stop since the call was accepted.
            if let Some(refusal) = self.stop_refusal().filter(|_| self.is_unrun()) {
                return self.send_refusal(&refusal).await;
            }
            let Some(placed) = self.place() else {
                if self.wait_inside_answer().await || self.leave_process().await {
                    continue;
                }
                return self.finish_without_room().await;
            };
            if let Some(wait) = placed.retry_after {
                if self.leave_process().await {
                    continue;
                }
                return self.refuse_overloaded(wait).await;
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
            let may_go_on = self.progress.may_go_on(self.writer);
            if step != NextStep::TryAnother || !self.may_retry() || !may_go_on {
                return self.finish_failed().await;
            }
            // What a call is suspected of may become known while it waits at an endpoint.
            if let Some(refusal) = self.suspicion() {
                return self.refuse_unless_run(refusal).await;
            }
            if !self.take_retry(end) {
                return self.finish_failed().await;
            }
        }
    }

    /// The endpoints that the call does not try again.
    fn tried(&self) -> Vec<EndpointId> {
        match self.progress.begun_by {
            Some(_) if !self.call.is_bound_to_process() => self.record.tried_for_good(),
            _ => self.record.tried(),
        }
    }

    /// Waits until the version of the process that began the stream is known, if the call may go on at that
    /// process only, which does not take it. Returns whether it may go on anywhere at that version now.
    async fn leave_process(&mut self) -> bool {
        let (state, call) = (self.state, self.call);
        if !call.is_bound_to_process() || !self.is_unrun() {
            return false;
        }
        let resumes = call.metadata.resumes.as_deref();
        let settled = state.settled_origin(call.fingerprint, resumes, call.deadline);
        let Some(origin) = settled.await else {
            return false;
        };
        if origin.service != call.service {
            return false;
        }
        call.resumed_process.set(None);
        self.progress.begun_by = Some(origin.version);
        true
    }

    /// Asks for tokens of the endpoints that the call prefers to those that are open, until it has
    /// one or there are no such endpoints.
    async fn ask_for_token(&self) {
        for _ in 0..MAX_TOKEN_ASKS {
            let endpoints = self.endpoints_to_ask();
            if endpoints.is_empty() {
                return;
            }
            self.state.ask_for_token(&endpoints).await;
        }
    }

    fn endpoints_to_ask(&self) -> Vec<EndpointId> {
        let (state, call) = (self.state, self.call);
        let table = state.table.borrow();
        if !table.has_limit(state.now(), call.service) {
            return Vec::new();
        }
        let tried = self.tried();
        let query = call.query(state, self.progress.begun_by, &tried);
        endpoints_to_ask(&state.settings.placement, &table, &query)
    }

    /// Chooses an endpoint that the call has not tried and applies admission control. Returns
    /// `None` if there is none.
    fn place(&mut self) -> Option<PlacedCall> {
        let (state, call) = (self.state, self.call);
        // The call may have begun before a stall that only this placement finds.
        state.check_gap();
        let tried = self.tried();
        let query = call.query(state, self.progress.begun_by, &tried);
        let asked = call.admission(state);
        let table = state.table.borrow();
        let mut admission = state.admission.borrow_mut();
        let placed = admission.place(&state.settings.placement, &table, &query, &asked)?;
        self.record.rank = placed.rank;
        self.record.queue_wait = placed.wait;
        self.record.account_share = placed.account_standing.label();
        if placed.retry_after.is_some() {
            let share = self.record.account_share;
            state.metrics.count_refusal(call.account_name(), share);
        }
        self.progress.known_wait = placed.known_wait;
        self.progress.rank = placed.rank;
        Some(placed)
    }

    async fn try_endpoint(&mut self, endpoint: EndpointId) -> AttemptResult {
        let resumed_after = self.progress.resume_after(&self.call.metadata);
        let attempt = attempt_record(self.state, endpoint, resumed_after);
        self.record.attempts.push(attempt);
        let tried = self.record.tried();
        self.progress.silence_limit = silence_limit(self.call.route, self.tally);
        let attempt = EndpointAttempt {
            state: self.state,
            call: self.call,
            endpoint,
            tried: &tried,
            progress: &mut self.progress,
            writer: self.writer,
        };
        let result = attempt.run().await;
        let end = end_label(&result);
        self.state.metrics.count_attempt(end);
        if let Some(last) = self.record.attempts.last_mut() {
            last.end = end;
            last.is_other_process = is_other_process(&result);
        }
        result
    }

    /// Whether the request may not be one that crashes the endpoints that run it.
    fn may_retry(&self) -> bool {
        let crashes = self.state.crashes.borrow();
        crashes.may_retry(self.call.fingerprint)
    }

    /// Takes a retry from the budget. An attempt that sent nothing to an endpoint costs no retry.
    fn take_retry(&self, end: AttemptEnd) -> bool {
        let state = self.state;
        let mut budget = state.budget.borrow_mut();
        let is_sent = !matches!(end, AttemptEnd::NotSent | AttemptEnd::OtherProcess);
        !is_sent || budget.take_retry(state.now(), self.call.service)
    }

    /// Ends a call whose deadline passed during an attempt.
    async fn finish_timed_out(&mut self) -> CallEnd {
        // A missed deadline counts against the endpoint only if it sent nothing to any call of this
        // instance in the meantime.
        if let Some(endpoint) = self.progress.unanswered.filter(|id| self.was_silent(*id)) {
            let reason = "no answer until the deadline";
            self.state
                .note_health(endpoint, CallOutcome::Broken, reason);
            self.state.note_restart_sign(endpoint);
            self.state.pool.close(endpoint);
            self.state.check_endpoint(endpoint);
        }
        if self.writer.has_started {
            return CallEnd::Cut;
        }
        let kind = match self.may_have_run() {
            true => FaultKind::DeadlinePassed,
            false => FaultKind::NoEndpoint,
        };
        self.refuse(kind).await
    }

    /// Ends a call that is still running when the process exits.
    async fn finish_at_exit(&mut self) -> CallEnd {
        let given_up = &self.state.given_up_calls;
        given_up.set(given_up.get() + 1);
        if self.writer.has_started {
            return CallEnd::Cut;
        }
        let kind = match self.may_have_run() {
            true => FaultKind::ConnectionLost,
            false => FaultKind::Draining,
        };
        self.refuse(kind).await
    }

    /// Whether an attempt ran the call or may have run it, the unfinished one included.
    fn may_have_run(&self) -> bool {
        self.progress.may_run || self.tally.runs > 0
    }

    /// Whether an endpoint has sent nothing to this instance since the current attempt began, and
    /// this for long enough to count as silent.
    fn was_silent(&self, endpoint: EndpointId) -> bool {
        let table = self.state.table.borrow();
        let row = table.row(endpoint);
        row.is_some_and(|row| row.was_silent(self.progress.attempted_at, self.state.now()))
    }

    /// Ends a call that was not admitted.
    async fn refuse_overloaded(&mut self, wait: Duration) -> CallEnd {
        let refusal = CallRefusal {
            kind: FaultKind::Overloaded,
            time_left: self.call.time_left(),
            scheduled_wait: Some(wait),
        };
        self.refuse_unless_run(refusal).await
    }

    /// Waits until an endpoint takes calls again that may go on inside the answer, if it does soon,
    /// or until the software version of one is certain that may go on with the stream. Returns
    /// whether it waited: the answer can go on nowhere else, and its caller could only return later.
    async fn wait_inside_answer(&mut self) -> bool {
        let (state, call) = (self.state, self.call);
        let is_resumable = call.route.kind.is_stream() && call.route.kind.is_repeatable();
        if !self.writer.has_started && !is_resumable {
            return false;
        }
        let now = Instant::now();
        let is_return = !self.writer.has_started && call.resumed_version.is_some();
        let max_pause = match is_return {
            true => self.max_return_pause(),
            false => MAX_ANSWER_PAUSE,
        };
        let pause_ends_at = *self.pause_ends_at.get_or_insert(now + max_pause);
        let tried = self.tried();
        let query = call.query(state, self.progress.begun_by, &tried);
        let next = next_room(&state.table.borrow(), &query).map(|next| next.wait);
        // A caller that returns is not held until an endpoint has room: it may return later.
        let next = next.filter(|_| self.writer.has_started);
        let uncertain = uncertain(&state.table.borrow(), &query);
        if let Some(version) = query.version.filter(|_| !uncertain.is_empty()) {
            state.ask_for_processes(ProcessQuery {
                service: call.service,
                version: Some(version),
                endpoint: None,
            });
        }
        state.check_processes(&uncertain);
        let next = next.or_else(|| (!uncertain.is_empty()).then_some(UNCERTAIN_PAUSE));
        let wait = next.map(|wait| wait.max(MIN_ANSWER_PAUSE));
        match wait.filter(|wait| now + *wait <= pause_ends_at) {
            Some(wait) => {
                tokio::select! {
                    () = sleep(wait) => {}
                    () = state.processes_changed.notified() => {}
                }
                true
            }
            None => false,
        }
    }

    /// Longest time for which a caller that returns waits until the version of an endpoint is certain:
    /// as long as the list may take to state it, within the time of the caller.
    fn max_return_pause(&self) -> Duration {
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        return_wait(left).min(self.state.settling_time())
    }

    /// Ends a call for which no endpoint is left. If it could not be sent because of what endpoints
    /// state, it may return when one of them takes calls again.
    async fn finish_without_room(&mut self) -> CallEnd {
        if self.call.domains.is_some() {
            self.state.metrics.count_region_refusal();
        }
        let change_wait = self.note_version_gap();
        if let Some(wait) = self.wait_for_room() {
            return self.refuse_overloaded(wait).await;
        }
        match change_wait.filter(|_| self.last.is_none()) {
            Some(wait) => {
                let refusal = CallRefusal {
                    scheduled_wait: Some(wait),
                    ..CallRefusal::new(FaultKind::NoEndpoint, self.call.time_left())
                };
                self.refuse_unless_run(refusal).await
            }
            None => self.finish_failed().await,
        }
    }

    /// Logs and counts why a stream that a caller takes up goes on at no endpoint of its version. Returns
    /// how long the caller is to wait before it returns; `None` if that is not known.
    fn note_version_gap(&self) -> Option<Duration> {
        let (state, call) = (self.state, self.call);
        if call.resumed_version.is_none() || self.writer.has_started {
            return None;
        }
        let tried = self.tried();
        let query = call.query(state, self.progress.begun_by, &tried);
        let census = VersionCensus::of(&state.table.borrow(), &query);
        let gap = census.gap();
        let cause = gap.label();
        state.metrics.count_stream_return(cause);
        let certain_in = census.certain_in;
        log::info!(
            call = call.metadata.attempt_id.as_deref().unwrap_or("-"),
            resumes = call.metadata.resumes.as_deref().unwrap_or(""),
            cause = cause,
            listed = census.listed,
            leaving = census.leaving,
            tried = census.tried,
            unrecorded = census.unrecorded,
            uncertain = census.uncertain,
            down = census.down,
            without_room = census.without_room,
            certain_in_ms = certain_in.map_or(-1, |wait| wait.as_millis() as i64),
            instance_age_ms = state.now().as_millis() as u64,
            waited_ms = call.started.elapsed().as_millis() as u64,
            left_ms = call.time_left().map_or(-1, |left| left.as_millis() as i64);
            "relay: no endpoint goes on with a stream"
        );
        if call.is_bound_to_process() {
            return Some(state.settings.list_lag);
        }
        match gap {
            // Nothing changes while the caller waits.
            VersionGap::Absent | VersionGap::Leaving if state.is_set_up() => call.time_left(),
            VersionGap::Uncertain => Some(certain_in.unwrap_or(state.settings.list_lag)),
            _ => None,
        }
    }

    /// Time after which a call returns that is kept from endpoints by what these state; `None` if it
    /// is kept from none.
    fn wait_for_room(&self) -> Option<Duration> {
        let (state, call) = (self.state, self.call);
        let query = call.query(state, self.progress.begun_by, &[]);
        let next = next_room(&state.table.borrow(), &query)?;
        let instances = state.budget.borrow().instances() as u32;
        let mut admission = state.admission.borrow_mut();
        Some(admission.schedule_return(query.now, call.service, next, instances))
    }

    /// Refuses a call, which promises that it did not run. If it may have run already, or its
    /// answer has begun, it ends as failed.
    async fn refuse_unless_run(&mut self, refusal: CallRefusal) -> CallEnd {
        match self.is_unrun() {
            true => self.send_refusal(&refusal).await,
            false => self.finish_failed().await,
        }
    }

    /// Whether the call did not run anywhere, and its answer has not begun.
    fn is_unrun(&self) -> bool {
        self.tally.runs == 0 && !self.writer.has_started
    }

    /// Ends a call that is not attempted again: cuts an answer that has begun, forwards the failure
    /// of the endpoint, or answers with a fault.
    async fn finish_failed(&mut self) -> CallEnd {
        if self.writer.has_started {
            return CallEnd::Cut;
        }
        let Some(FailedAttempt { end, answer, .. }) = self.last.take() else {
            return self.refuse(FaultKind::NoEndpoint).await;
        };
        if let Some(answer) = answer {
            return deliver_whole(self.state, answer, self.writer).await;
        }
        let kind = match last_step(self.tally, end) {
            NextStep::Answer(kind) => kind,
            NextStep::ForwardFailure | NextStep::TryAnother => FaultKind::EndpointFailed,
        };
        self.refuse(kind).await
    }

    async fn refuse(&mut self, kind: FaultKind) -> CallEnd {
        let refusal = CallRefusal::new(kind, self.call.time_left());
        self.send_refusal(&refusal).await
    }

    async fn send_refusal(&mut self, refusal: &CallRefusal) -> CallEnd {
        let (end, retry_after) = refuse(self.state, refusal, self.writer).await;
        self.record.retry_after = retry_after;
        end
    }
}

fn attempt_record(
    state: &RelayState,
    endpoint: EndpointId,
    resumed_after: Option<&str>,
) -> AttemptRecord {
    let table = state.table.borrow();
    let row = table.row(endpoint);
    AttemptRecord {
        endpoint,
        name: row.map_or_else(String::new, |row| row.name.clone()),
        version: row.map_or_else(String::new, |row| row.version.clone()),
        resumed_after: resumed_after.map(str::to_owned),
        load: row.map_or(0, |row| row.load(state.now())),
        end: "unfinished",
        is_other_process: false,
    }
}

fn is_other_process(result: &AttemptResult) -> bool {
    match result {
        AttemptResult::Failed(failed) => failed.end == AttemptEnd::OtherProcess,
        AttemptResult::Delivered(_) | AttemptResult::CallerLost => false,
    }
}

fn end_label(result: &AttemptResult) -> &'static str {
    match result {
        AttemptResult::Delivered(_) => "served",
        AttemptResult::CallerLost => "caller-lost",
        AttemptResult::Failed(failed) => match failed.end {
            AttemptEnd::NotSent => "not-sent",
            AttemptEnd::OtherProcess => "other-process",
            AttemptEnd::NotRun => "not-run",
            AttemptEnd::Failed => "failed",
            AttemptEnd::Broken => "broken",
        },
    }
}
