//! Decision whether a failed attempt is followed by another.

use std::time::Duration;

use catalog::{CallKind, RouteRule};
use fault::FaultKind;

/// Maximum number of endpoints that one call tries, including those that did not run it.
pub const MAX_TRIED_ENDPOINTS: u32 = 5;

/// Maximum number of attempts of one call at which another process answers than the one that its stream
/// depends on.
pub const MAX_REPLACED_PROCESSES: u32 = 10;

/// How an attempt ended without a good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No byte was sent to the endpoint.
    NotSent,
    /// No byte of the call was sent: another process answered than the one that its stream depends on.
    OtherProcess,
    /// The endpoint states that it did not run the call.
    NotRun,
    /// The endpoint ran the call and answered with a failure.
    Failed,
    /// Bytes were sent to the endpoint and no whole answer came back. It may have run the call.
    Broken,
}

/// Counts of one call's attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTally {
    /// Number of endpoints that were tried.
    pub tried: u32,
    /// Number of endpoints that ran the call or may have run it. At most `tried`.
    pub runs: u32,
    /// Number of attempts at which another process answered than the one that the stream depends on.
    pub replaced: u32,
}

impl AttemptTally {
    /// Counts an attempt.
    pub fn count(&mut self, end: AttemptEnd) {
        match end {
            AttemptEnd::OtherProcess => self.replaced += 1,
            _ => self.tried += 1,
        }
        if matches!(end, AttemptEnd::Failed | AttemptEnd::Broken) {
            self.runs += 1;
        }
    }
}

/// Next step of a call after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another endpoint, if there is one and the retry budget allows it.
    TryAnother,
    /// Forward the endpoint's failure to the caller.
    ForwardFailure,
    /// Answer with a fault, whose kind states whether the call may have run.
    Answer(FaultKind),
}

/// Decides the next step after an attempt that ended with `end`. `tally` must include that attempt.
/// A call that may have run is retried only if its kind permits it, up to `max_attempts` runs in
/// total.
pub fn next_step(
    kind: CallKind,
    max_attempts: u32,
    tally: AttemptTally,
    end: AttemptEnd,
) -> NextStep {
    let may_run_again = kind.is_repeatable() && tally.runs < max_attempts;
    let may_try_more = tally.tried < MAX_TRIED_ENDPOINTS && tally.replaced < MAX_REPLACED_PROCESSES;
    let may_try = may_try_more && (tally.runs == 0 || may_run_again);
    if may_try {
        return NextStep::TryAnother;
    }
    last_step(tally, end)
}

/// Minimum silence after which a repeatable call is retried at another endpoint.
const MIN_SILENCE: Duration = Duration::from_millis(600);
/// Multiple of the objective for which a repeatable call waits for bytes before it is retried at
/// another endpoint.
const SILENCE_OBJECTIVES: u32 = 3;
/// Minimum silence after which a stream is resumed at another endpoint.
const MIN_STREAM_SILENCE: Duration = Duration::from_secs(1);
/// Multiple of the route's maximum time between events for which a stream may be silent before it
/// is resumed at another endpoint.
const SILENCE_EVENT_GAPS: u32 = 4;
/// Assumed maximum time between events of a route that configures none.
const DEFAULT_MAX_EVENT_GAP: Duration = Duration::from_millis(250);

/// How long a call waits for bytes of its endpoint before it is retried at another one; `None` if
/// it may not be retried. The limit detects connections that were lost without a reset or close.
pub fn silence_limit(route: &RouteRule, tally: AttemptTally) -> Option<Duration> {
    if !route.kind.is_repeatable() || tally.runs + 1 >= route.max_attempts {
        return None;
    }
    let first = (route.objective * SILENCE_OBJECTIVES).max(MIN_SILENCE);
    let event_gaps = route.max_event_gap.unwrap_or(DEFAULT_MAX_EVENT_GAP) * SILENCE_EVENT_GAPS;
    Some(match route.kind.is_stream() {
        true => first.max(event_gaps).max(MIN_STREAM_SILENCE),
        false => first,
    })
}

/// Next step of a call that tries no further endpoint.
pub fn last_step(tally: AttemptTally, end: AttemptEnd) -> NextStep {
    match end {
        AttemptEnd::Failed => NextStep::ForwardFailure,
        AttemptEnd::Broken => NextStep::Answer(FaultKind::ConnectionLost),
        _ if tally.runs > 0 => NextStep::Answer(FaultKind::ConnectionLost),
        AttemptEnd::NotSent | AttemptEnd::OtherProcess => NextStep::Answer(FaultKind::NoEndpoint),
        AttemptEnd::NotRun => NextStep::Answer(FaultKind::Overloaded),
    }
}
