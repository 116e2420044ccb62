//! The observed calls and changes of a run, and the guarantees that they violate.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

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
}

#[derive(Debug, Default)]
struct HistoryState {
    calls: HashMap<String, CallRecord>,
    /// Newest version of the catalog whose change was acknowledged.
    acknowledged: u64,
    violations: Vec<String>,
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

    /// Records the outcome that a caller observed.
    pub fn record_outcome(&self, attempt: &str, outcome: CallerOutcome) {
        self.state()
            .calls
            .entry(attempt.to_owned())
            .or_default()
            .outcome = Some(outcome);
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
        violations.sort();
        violations
    }

    fn state(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
