//! Retry times that are handed out to refused callers.

use std::collections::HashMap;
use std::time::Duration;

use wire::id::ServiceId;

/// Assigns retry times to the refused callers of each service: one after the other, at the rate at
/// which slots become free.
///
/// Load pattern: many callers are refused within a short time. If all of them retried after the
/// same delay, they would overload the service again.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    /// Latest retry time that was assigned, by service.
    latest: HashMap<ServiceId, Duration>,
}

impl RetrySchedule {
    /// Assigns the time after which a caller should retry, given that the queue has room after
    /// `room_after` and that a slot becomes free for this instance every `interval`.
    pub fn assign(
        &mut self,
        now: Duration,
        service: ServiceId,
        room_after: Duration,
        interval: Duration,
    ) -> Duration {
        let latest = self.latest.entry(service).or_default();
        let at = (now + room_after).max(*latest + interval);
        *latest = at;
        at.saturating_sub(now)
    }
}
