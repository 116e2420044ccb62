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
struct CallEntry {
    kind: Option<CallKind>,
    end: Option<CallerOutcome>,
    runs: u32,
}

#[derive(Debug, Default)]
struct HistoryState {
    calls: HashMap<String, CallEntry>,
    /// Newest version whose change was acknowledged.
    acknowledged: u64,
    broken: Vec<String>,
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
    pub fn record_outcome(&self, attempt: &str, end: CallerOutcome) {
        self.state()
            .calls
            .entry(attempt.to_owned())
            .or_default()
            .end = Some(end);
    }

    /// An endpoint runs a call.
    pub fn record_execution(&self, attempt: &str) {
        let mut state = self.state();
        match state.calls.get_mut(attempt) {
            Some(entry) => entry.runs += 1,
            None => state
                .broken
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
        self.state().broken.push(what);
    }

    /// Counts so far.
    pub fn counts(&self) -> HistoryCounts {
        let state = self.state();
        let ended = |end| {
            state
                .calls
                .values()
                .filter(|entry| entry.end == Some(end))
                .count()
        };
        HistoryCounts {
            calls: state.calls.len(),
            served: ended(CallerOutcome::Served),
            not_run: ended(CallerOutcome::NotRun),
        }
    }

    /// Every broken promise, once nothing runs any more.
    pub fn find_violations(&self) -> Vec<String> {
        let state = self.state();
        let mut broken = state.broken.clone();
        for (attempt, entry) in &state.calls {
            let is_once = entry.kind.is_some_and(|kind| !kind.is_repeatable());
            if is_once && entry.runs > 1 {
                broken.push(format!("call {attempt} ran {} times", entry.runs));
            }
            if is_once && entry.end == Some(CallerOutcome::NotRun) && entry.runs > 0 {
                broken.push(format!("call {attempt} ran, though refused as not run"));
            }
            if entry.end == Some(CallerOutcome::Served) && entry.runs == 0 {
                broken.push(format!("call {attempt} was served and never ran"));
            }
        }
        broken.sort();
        broken
    }

    fn state(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
