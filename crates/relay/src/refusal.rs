//! When a refused caller is told to come back.
//!
//! Callers that are refused together must not come back together: the time is spread. It grows with
//! the cause, and never exceeds a third of the time that the caller has left.

use std::time::Duration;

use fault::FaultKind;

/// Time after which a full service is worth another try.
const OVERLOAD_WAIT: Duration = Duration::from_millis(150);
/// Time after which endpoints or settings may have come back.
const ABSENCE_WAIT: Duration = Duration::from_millis(500);
/// Time after which a call that crashed endpoints is looked at again.
const QUARANTINE_WAIT: Duration = Duration::from_secs(5);
/// Part of the caller's remaining time that it waits at most.
const PATIENCE_PART: u32 = 3;

/// Time after which a refused caller should come back. `draw` is uniform from 0 to 1.
pub fn wait_before_retry(kind: FaultKind, left: Option<Duration>, draw: f64) -> Duration {
    let base = match kind {
        FaultKind::Overloaded => OVERLOAD_WAIT,
        FaultKind::Quarantined | FaultKind::Suspected => QUARANTINE_WAIT,
        _ => ABSENCE_WAIT,
    };
    let spread = base.mul_f64(0.5 + draw);
    let most = left.map(|left| left / PATIENCE_PART);
    most.map_or(spread, |most| spread.min(most))
}
