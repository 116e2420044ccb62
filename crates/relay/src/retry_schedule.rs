//! Retry times that are handed out to refused callers.

use std::collections::HashMap;
use std::time::Duration;

use wire::id::ServiceId;

use crate::account_shares::AccountHash;

/// Smallest fraction of the slots that is assumed for a lane, so that times stay finite.
const MIN_FRACTION: f64 = 0.01;

/// Order of returns that a refused caller belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLane {
    /// The account, if it asks for more than its share; `None` for all others together.
    pub account: Option<AccountHash>,
    /// Fraction of the slots that become free for the lane.
    pub fraction: f64,
}

impl Default for RetryLane {
    fn default() -> Self {
        Self {
            account: None,
            fraction: 1.0,
        }
    }
}

/// Assigns retry times to the refused callers of each service: one after the other, at the rate at
/// which slots become free.
///
/// Load pattern: many callers are refused within a short time. If all of them retried after the
/// same delay, they would overload the service again. Callers of an account that asks for more than
/// its share return at the rate of that share, so that the callers of others don't return after
/// them.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    /// Latest retry time that was assigned, by service and account of the lane.
    latest: HashMap<(ServiceId, Option<AccountHash>), Duration>,
}

impl RetrySchedule {
    /// Assigns the time after which a caller should retry, given that the queue has room after
    /// `room_after` and that a slot becomes free for this instance every `interval`.
    pub fn assign(
        &mut self,
        now: Duration,
        service: ServiceId,
        lane: RetryLane,
        room_after: Duration,
        interval: Duration,
    ) -> Duration {
        let interval = interval.div_f64(lane.fraction.max(MIN_FRACTION));
        let latest = self.latest.entry((service, lane.account)).or_default();
        let at = (now + room_after).max(*latest + interval);
        *latest = at;
        at.saturating_sub(now)
    }
}
