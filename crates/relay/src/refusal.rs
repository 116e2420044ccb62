//! When a refused caller is told to come back.
//!
//! Callers that are refused together must not come back together: the time is spread. It grows with
//! the cause, and never exceeds a third of the time that the caller has left.

use std::time::Duration;

use fault::FaultKind;

/// Least time after which a full service is worth another try.
const OVERLOAD_WAIT: Duration = Duration::from_millis(150);
/// Time after which endpoints or settings may have come back.
const UNAVAILABLE_WAIT: Duration = Duration::from_millis(500);
/// Time after which a call that crashed endpoints is looked at again.
const QUARANTINE_WAIT: Duration = Duration::from_secs(5);
/// Part of the caller's remaining time that it waits at most.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Part by which callers that have a time of their own return later than it at most.
const MAX_RETURN_DELAY_RATIO: f64 = 0.25;

/// A call that is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRefusal {
    /// Why.
    pub kind: FaultKind,
    /// Time that the caller has left, if it told any.
    pub time_left: Option<Duration>,
    /// Time after which there is room for this caller, if that is known.
    pub room_after: Option<Duration>,
}

impl CallRefusal {
    /// A refusal that knows no time of return.
    pub fn new(kind: FaultKind, time_left: Option<Duration>) -> Self {
        Self {
            kind,
            time_left,
            room_after: None,
        }
    }

    /// Time after which the caller should come back. `draw` is uniform from 0 to 1.
    pub fn wait_before_retry(&self, draw: f64) -> Duration {
        let wait = match self.room_after {
            Some(room_after) => room_after
                .max(OVERLOAD_WAIT)
                .mul_f64(1.0 + MAX_RETURN_DELAY_RATIO * draw),
            None => self.base_wait().mul_f64(0.5 + draw),
        };
        let max_wait = self.time_left.map(|left| left / MAX_WAIT_DIVISOR);
        max_wait.map_or(wait, |max_wait| wait.min(max_wait))
    }

    fn base_wait(&self) -> Duration {
        match self.kind {
            FaultKind::Overloaded => OVERLOAD_WAIT,
            FaultKind::Quarantined | FaultKind::Suspected => QUARANTINE_WAIT,
            _ => UNAVAILABLE_WAIT,
        }
    }
}
