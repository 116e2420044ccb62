//! When refused callers are to return.

use std::collections::HashMap;
use std::time::Duration;

use wire::id::ServiceId;

/// When refused callers of a service are to return: one after the other, as places come free.
///
/// Load pattern: many callers that are refused within a moment. If all return after the same time,
/// they meet again.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    /// When the next place that is promised to nobody comes free, by service.
    next: HashMap<ServiceId, Duration>,
}

impl RetrySchedule {
    /// Time after which a caller is to return, when the queue has room after `room_after` and a
    /// place comes free for this instance each `interval`.
    pub fn assign(
        &mut self,
        now: Duration,
        service: ServiceId,
        room_after: Duration,
        interval: Duration,
    ) -> Duration {
        let next = self.next.entry(service).or_default();
        let at = (now + room_after).max(*next + interval);
        *next = at;
        at.saturating_sub(now)
    }
}
