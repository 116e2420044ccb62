//! Whether a service has been behind its calls for a while.

use std::collections::HashMap;
use std::time::Duration;

use wire::id::ServiceId;

/// Time for which calls have waited long before a backlog counts as lasting.
const SUSTAINED_AFTER: Duration = Duration::from_secs(1);
/// Part, as a divisor, of the objective under which a wait is short.
const SHORT_WAIT_DIVISOR: u32 = 4;

/// Since when calls of each service have waited long.
///
/// Load pattern: a burst of a moment, which a queue absorbs, against more calls than places for
/// seconds, for which a queue only makes all answers late.
#[derive(Debug, Default)]
pub struct BacklogWatch {
    since: HashMap<ServiceId, Duration>,
}

impl BacklogWatch {
    /// A call is expected to wait this long, and has this objective. Tells whether the backlog
    /// lasts.
    pub fn note(
        &mut self,
        now: Duration,
        service: ServiceId,
        wait: Duration,
        objective: Duration,
    ) -> bool {
        if wait < objective / SHORT_WAIT_DIVISOR {
            self.since.remove(&service);
            return false;
        }
        let since = *self.since.entry(service).or_insert(now);
        now >= since + SUSTAINED_AFTER
    }
}
