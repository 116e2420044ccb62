//! Refused calls and their `Retry-After` time.
//!
//! The time depends on the cause and is randomized, so that callers that were refused together do
//! not retry together. It never exceeds a third of the time that the caller has left.

use std::time::Duration;

use fault::FaultKind;

/// Base time after which a call to an overloaded service is worth a retry; also the minimum of a
/// scheduled wait.
const OVERLOAD_WAIT: Duration = Duration::from_millis(150);
/// Base time after which missing endpoints or settings may be available again; also used for all
/// other faults.
const UNAVAILABLE_WAIT: Duration = Duration::from_millis(500);
/// The retry time is at most the caller's remaining time divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;

/// Maximum random delay that is added to a scheduled wait, relative to that wait.
const MAX_RETRY_DELAY_RATIO: f64 = 0.25;

/// A call that is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRefusal {
    /// Reason of the refusal.
    pub kind: FaultKind,
    /// Time until the caller stops waiting; `None` if it stated no timeout.
    pub time_left: Option<Duration>,
    /// Time after which the reason of the refusal is expected to be over: a slot becomes free for
    /// the caller, or its request is no longer refused. `None` if it is not known.
    pub scheduled_wait: Option<Duration>,
}

impl CallRefusal {
    /// Creates a refusal without a scheduled wait.
    pub fn new(kind: FaultKind, time_left: Option<Duration>) -> Self {
        Self {
            kind,
            time_left,
            scheduled_wait: None,
        }
    }

    /// Time after which the caller should retry. `draw` must be uniformly distributed from 0 to 1.
    pub fn wait_before_retry(&self, draw: f64) -> Duration {
        let wait = match self.scheduled_wait {
            Some(scheduled_wait) => scheduled_wait
                .max(OVERLOAD_WAIT)
                .mul_f64(1.0 + MAX_RETRY_DELAY_RATIO * draw),
            None => self.base_wait().mul_f64(0.5 + draw),
        };
        let max_wait = self.time_left.map(|left| left / MAX_WAIT_DIVISOR);
        max_wait.map_or(wait, |max_wait| wait.min(max_wait))
    }

    fn base_wait(&self) -> Duration {
        match self.kind {
            FaultKind::Overloaded => OVERLOAD_WAIT,
            _ => UNAVAILABLE_WAIT,
        }
    }
}
