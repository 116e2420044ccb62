//! The observed calls and changes of a run, and the guarantees that they violate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use catalog::CallKind;

/// Every kind of call.
pub const CALL_KINDS: [CallKind; 4] = [
    CallKind::Safe,
    CallKind::Unsafe,
    CallKind::Stream,
    CallKind::ResumableStream,
];

/// First segment of the path of calls of this kind.
pub fn path_segment(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Safe => "safe",
        CallKind::Unsafe => "unsafe",
        CallKind::Stream => "stream",
        CallKind::ResumableStream => "resumable",
    }
}

/// What crashes each endpoint that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonScope {
    /// One request, which is sent again and again.
    Request,
    /// Each request with a certain part in its prompt.
    PromptPart,
}

impl PoisonScope {
    /// Both scopes.
    pub const ALL: [Self; 2] = [Self::Request, Self::PromptPart];

    /// Number of runs from the last of which on further ones are counted.
    fn known_runs(self) -> usize {
        match self {
            Self::Request => 3,
            Self::PromptPart => 5,
        }
    }
}

/// Most runs that may be counted.
const MAX_LATE_RUNS: usize = 3;
/// Time after that run, and after each disruption of a gateway, in which runs are not counted.
const SETTLING_TIME: Duration = Duration::from_secs(4);

/// Outcome of a call as observed by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A complete answer with status 200.
    Served,
    /// An answer whose status states that the call was not executed.
    NotRun,
    /// Any other answer, after which the call may or may not have been executed.
    Unknown,
}

#[derive(Debug, Default)]
struct CallRecord {
    kind: Option<CallKind>,
    outcome: Option<CallerOutcome>,
    executions: u32,
    /// The gateway to which it was sent.
    gateway: Option<SocketAddr>,
}

#[derive(Debug, Default)]
struct HistoryState {
    calls: HashMap<String, CallRecord>,
    /// Newest version of the catalog whose change was acknowledged.
    acknowledged: u64,
    /// When endpoints ran requests that crash them.
    poison_runs: Vec<(PoisonScope, Instant)>,
    /// When disruptions of gateways began, and ended if they have.
    disruptions: Vec<(Instant, Option<Instant>)>,
    /// Calls that an endpoint got against what it stated, and when.
    breaches: Vec<(String, Instant)>,
    /// Number of first attempts of resumable streams.
    streams: usize,
    /// Number of these that an endpoint answered.
    begun: usize,
    /// Number of attempts to resume a stream.
    returns: usize,
    /// Number of these that an endpoint answered.
    resumed: usize,
    violations: Vec<String>,
}

impl HistoryState {
    fn runs_of(&self, scope: PoisonScope) -> impl Iterator<Item = &Instant> {
        let runs = self.poison_runs.iter();
        let same = runs.filter(move |(run_scope, _)| *run_scope == scope);
        same.map(|(_, at)| at)
    }

    /// Number of runs that crash endpoints after the fleet had the time to learn of the crashes
    /// that it has to know.
    fn late_runs(&self, scope: PoisonScope) -> usize {
        let Some(counted_from) = self.runs_of(scope).nth(scope.known_runs() - 1) else {
            return 0;
        };
        let late = self
            .runs_of(scope)
            .filter(|at| **at >= *counted_from + SETTLING_TIME);
        late.filter(|at| self.is_settled(**at)).count()
    }

    /// Whether no gateway was disrupted then or shortly before.
    fn is_settled(&self, at: Instant) -> bool {
        let is_disrupted = |(began, ended): &(Instant, Option<Instant>)| {
            at >= *began && ended.is_none_or(|ended| at < ended + SETTLING_TIME)
        };
        !self.disruptions.iter().any(is_disrupted)
    }
}

/// Everything that was observed in one run.
#[derive(Debug, Default)]
pub struct SoakHistory {
    state: Mutex<HistoryState>,
}

/// Numbers of calls in one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HistoryCounts {
    /// Calls sent.
    pub calls: usize,
    /// Calls with the outcome [`CallerOutcome::Served`].
    pub served: usize,
    /// Calls with the outcome [`CallerOutcome::NotRun`].
    pub not_run: usize,
    /// First attempts of resumable streams that were answered.
    pub streams: usize,
    /// Those that an endpoint answered.
    pub begun: usize,
    /// Attempts to resume a stream at some gateway that were answered.
    pub returns: usize,
    /// Those that an endpoint answered.
    pub resumed: usize,
    /// Runs of the request that crashes endpoints.
    pub poison_runs: usize,
    /// Runs of it that are counted against the bound.
    pub late_runs: usize,
    /// Runs of requests with the prompt part that crashes endpoints.
    pub part_runs: usize,
    /// Runs of these that are counted against the bound.
    pub late_part_runs: usize,
}

impl HistoryCounts {
    /// Whether returning callers go on at least half as often as new streams begin.
    pub fn are_returns_served(&self) -> bool {
        2 * self.resumed * self.streams >= self.begun * self.returns
    }
}

impl SoakHistory {
    /// Records that a caller is about to send a call.
    pub fn record_call(&self, attempt: &str, kind: CallKind) {
        self.state()
            .calls
            .entry(attempt.to_owned())
            .or_default()
            .kind = Some(kind);
    }

    /// Records to which gateway a call is about to be sent.
    pub fn record_gateway(&self, attempt: &str, gateway: SocketAddr) {
        let mut state = self.state();
        let record = state.calls.entry(attempt.to_owned()).or_default();
        record.gateway = Some(gateway);
    }

    /// The gateway to which a call was sent; `None` if no caller sent it.
    pub fn gateway_of(&self, attempt: &str) -> Option<SocketAddr> {
        self.state().calls.get(attempt)?.gateway
    }

    /// Records that an endpoint got a call against what it stated. It counts if no gateway was
    /// disrupted shortly before.
    pub fn record_breach(&self, what: String) {
        self.state().breaches.push((what, Instant::now()));
    }

    /// Records the outcome that a caller observed.
    pub fn record_outcome(&self, attempt: &str, outcome: CallerOutcome) {
        self.state()
            .calls
            .entry(attempt.to_owned())
            .or_default()
            .outcome = Some(outcome);
    }

    /// Records an answer to the first attempt of a resumable stream.
    pub fn record_stream(&self, is_begun: bool) {
        let mut state = self.state();
        state.streams += 1;
        state.begun += usize::from(is_begun);
    }

    /// Records an answer to an attempt to resume a stream.
    pub fn record_return(&self, is_resumed: bool) {
        let mut state = self.state();
        state.returns += 1;
        state.resumed += usize::from(is_resumed);
    }

    /// Records that an endpoint executes a call. A call that no caller sent is a violation.
    pub fn record_execution(&self, attempt: &str) {
        let mut state = self.state();
        match state.calls.get_mut(attempt) {
            Some(record) => record.executions += 1,
            None => state
                .violations
                .push(format!("call {attempt} was executed but never sent")),
        }
    }

    /// Records that the change to this version of the catalog was acknowledged.
    pub fn record_acknowledged(&self, version: u64) {
        let mut state = self.state();
        state.acknowledged = state.acknowledged.max(version);
    }

    /// Newest version of the catalog whose change was acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.state().acknowledged
    }

    /// Records that an endpoint runs a request that crashes it.
    pub fn record_poison_run(&self, scope: PoisonScope) {
        self.state().poison_runs.push((scope, Instant::now()));
    }

    /// Records that a disruption of a gateway begins.
    pub fn record_disruption(&self) {
        self.state().disruptions.push((Instant::now(), None));
    }

    /// Records that the latest disruption of a gateway has ended. Disruptions do not overlap.
    pub fn record_disruption_end(&self) {
        if let Some((_, ended)) = self.state().disruptions.last_mut() {
            *ended = Some(Instant::now());
        }
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, what: String) {
        self.state().violations.push(what);
    }

    /// Numbers of calls so far.
    pub fn counts(&self) -> HistoryCounts {
        let state = self.state();
        let with_outcome = |outcome| {
            state
                .calls
                .values()
                .filter(|record| record.outcome == Some(outcome))
                .count()
        };
        HistoryCounts {
            calls: state.calls.len(),
            served: with_outcome(CallerOutcome::Served),
            not_run: with_outcome(CallerOutcome::NotRun),
            streams: state.streams,
            begun: state.begun,
            returns: state.returns,
            resumed: state.resumed,
            poison_runs: state.runs_of(PoisonScope::Request).count(),
            late_runs: state.late_runs(PoisonScope::Request),
            part_runs: state.runs_of(PoisonScope::PromptPart).count(),
            late_part_runs: state.late_runs(PoisonScope::PromptPart),
        }
    }

    /// All violations, sorted: those that were recorded, and those of the execution guarantees.
    /// Complete only after all calls have ended.
    pub fn find_violations(&self) -> Vec<String> {
        let state = self.state();
        let mut violations = state.violations.clone();
        for (attempt, record) in &state.calls {
            let is_unrepeatable = record.kind.is_some_and(|kind| !kind.is_repeatable());
            if is_unrepeatable && record.executions > 1 {
                violations.push(format!(
                    "unrepeatable call {attempt} was executed {} times",
                    record.executions
                ));
            }
            if is_unrepeatable
                && record.outcome == Some(CallerOutcome::NotRun)
                && record.executions > 0
            {
                violations.push(format!(
                    "call {attempt} was executed, but its answer states that it was not"
                ));
            }
            if record.outcome == Some(CallerOutcome::Served) && record.executions == 0 {
                violations.push(format!("call {attempt} was served but never executed"));
            }
        }
        for scope in PoisonScope::ALL {
            let late_runs = state.late_runs(scope);
            if late_runs > MAX_LATE_RUNS {
                violations.push(format!(
                    "what crashes endpoints ({scope:?}) was run {late_runs} times more after {} crashes",
                    scope.known_runs()
                ));
            }
        }
        let breaches = state.breaches.iter();
        let settled = breaches.filter(|(_, at)| state.is_settled(*at));
        violations.extend(settled.map(|(what, _)| what.clone()));
        violations.sort();
        violations
    }

    fn state(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
