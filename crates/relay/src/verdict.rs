//! What follows from the end of an attempt.

use std::time::Duration;

use catalog::{CallKind, RouteRule};
use fault::FaultKind;

/// Endpoints that one call tries at most, those included that did not run it.
pub const MAX_TRIES: u32 = 5;

/// How an attempt ended without a good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte left for the endpoint.
    NotSent,
    /// The endpoint states that it did not run the call.
    NotRun,
    /// The endpoint ran the call and answered with a failure.
    Failed,
    /// Bytes left for the endpoint and no whole answer came back. It may have run the call.
    Broken,
}

/// What the attempts of one call amount to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTally {
    /// Endpoints that were tried.
    pub tries: u32,
    /// Endpoints that ran the call or may have run it. At most `tries`.
    pub runs: u32,
}

impl AttemptTally {
    /// Counts an attempt.
    pub fn count(&mut self, end: AttemptEnd) {
        self.tries += 1;
        if matches!(end, AttemptEnd::Failed | AttemptEnd::Broken) {
            self.runs += 1;
        }
    }
}

/// What a call does after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another endpoint, if there is one and the budget allows it.
    TryAnother,
    /// Hand the endpoint's failure to the caller.
    PassFailure,
    /// Tell the caller; the kind says whether the call may have run.
    Answer(FaultKind),
}

/// Decides after an attempt that `tally` counts already.
pub fn next_step(kind: CallKind, attempts: u32, tally: AttemptTally, end: AttemptEnd) -> NextStep {
    let may_run_again = kind.is_repeatable() && tally.runs < attempts;
    let may_try = tally.tries < MAX_TRIES && (tally.runs == 0 || may_run_again);
    if may_try {
        return NextStep::TryAnother;
    }
    last_step(tally, end)
}

/// Shortest silence after which a repeatable call is tried elsewhere.
const LEAST_SILENCE: Duration = Duration::from_millis(600);
/// Objectives for which a safe call waits for its answer before it is tried elsewhere.
const WAITED_OBJECTIVES: u32 = 3;
/// Shortest silence of a stream after which it goes on elsewhere.
const LEAST_STREAM_SILENCE: Duration = Duration::from_secs(1);
/// Pauses for which a stream may be silent before it goes on elsewhere.
const WAITED_PAUSES: u32 = 4;
/// Pause between events of a route that names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(250);

/// How long a call waits for bytes of its endpoint before it is tried elsewhere; `None` when it may
/// not be. A connection may have died without a sign.
pub fn silence_limit(route: &RouteRule, tally: AttemptTally) -> Option<Duration> {
    if !route.kind.is_repeatable() || tally.runs + 1 >= route.max_attempts {
        return None;
    }
    let first = (route.objective * WAITED_OBJECTIVES).max(LEAST_SILENCE);
    let pause = route.max_event_gap.unwrap_or(DEFAULT_PAUSE) * WAITED_PAUSES;
    Some(match route.kind.is_stream() {
        true => first.max(pause).max(LEAST_STREAM_SILENCE),
        false => first,
    })
}

/// What a call does when it tries no other endpoint.
pub fn last_step(tally: AttemptTally, end: AttemptEnd) -> NextStep {
    match end {
        AttemptEnd::Failed => NextStep::PassFailure,
        AttemptEnd::Broken => NextStep::Answer(FaultKind::ConnectionLost),
        _ if tally.runs > 0 => NextStep::Answer(FaultKind::ConnectionLost),
        AttemptEnd::NotSent => NextStep::Answer(FaultKind::NoEndpoint),
        AttemptEnd::NotRun => NextStep::Answer(FaultKind::Overloaded),
    }
}
