//! What was seen, and the promises that it breaks.

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

/// First part of the path of the calls of a kind.
pub fn path_segment(kind: CallKind) -> &'static str {
    match kind {
        CallKind::Safe => "safe",
        CallKind::Unsafe => "unsafe",
        CallKind::Stream => "stream",
        CallKind::ResumableStream => "resumable",
    }
}

/// What became of a call, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A whole good answer.
    Served,
    /// A status that promises that the call did not run.
    NotRun,
    /// Anything else.
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
    /// Newest version whose change was acknowledged.
    acknowledged: u64,
    violations: Vec<String>,
}

/// Everything that was seen in one run.
#[derive(Debug, Default)]
pub struct SoakHistory {
    state: Mutex<HistoryState>,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HistoryCounts {
    /// Calls sent.
    pub calls: usize,
    /// Calls that were served whole.
    pub served: usize,
    /// Calls that were refused with a promise.
    pub not_run: usize,
}

impl SoakHistory {
    /// A caller sends a call.
    pub fn record_call(&self, attempt: &str, kind: CallKind) {
        self.state()
            .calls
            .entry(attempt.to_owned())
            .or_default()
            .kind = Some(kind);
    }

    /// A caller saw the end of its call.
    pub fn record_outcome(&self, attempt: &str, outcome: CallerOutcome) {
        self.state()
            .calls
            .entry(attempt.to_owned())
            .or_default()
            .outcome = Some(outcome);
    }

    /// An endpoint runs a call.
    pub fn record_execution(&self, attempt: &str) {
        let mut state = self.state();
        match state.calls.get_mut(attempt) {
            Some(record) => record.executions += 1,
            None => state
                .violations
                .push(format!("call {attempt} ran and was never sent")),
        }
    }

    /// An operator's change was acknowledged.
    pub fn record_acknowledged(&self, version: u64) {
        let mut state = self.state();
        state.acknowledged = state.acknowledged.max(version);
    }

    /// Newest version whose change was acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.state().acknowledged
    }

    /// A promise is broken.
    pub fn record_violation(&self, what: String) {
        self.state().violations.push(what);
    }

    /// Counts so far.
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

    /// Every broken promise, once nothing runs any more.
    pub fn find_violations(&self) -> Vec<String> {
        let state = self.state();
        let mut violations = state.violations.clone();
        for (attempt, record) in &state.calls {
            let is_unrepeatable = record.kind.is_some_and(|kind| !kind.is_repeatable());
            if is_unrepeatable && record.executions > 1 {
                violations.push(format!("call {attempt} ran {} times", record.executions));
            }
            if is_unrepeatable
                && record.outcome == Some(CallerOutcome::NotRun)
                && record.executions > 0
            {
                violations.push(format!("call {attempt} ran, though refused as not run"));
            }
            if record.outcome == Some(CallerOutcome::Served) && record.executions == 0 {
                violations.push(format!("call {attempt} was served and never ran"));
            }
        }
        violations.sort();
        violations
    }

    fn state(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
