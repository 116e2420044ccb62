//! Detection of sustained backlogs.

use std::collections::HashMap;
use std::time::Duration;

use wire::id::ServiceId;

/// Time without a short wait after which a backlog counts as sustained.
const SUSTAINED_AFTER: Duration = Duration::from_secs(1);
/// A wait is short if it is less than the objective divided by this.
const SHORT_WAIT_DIVISOR: u32 = 4;

/// Time since which the waits of each service have not been short.
///
/// Distinguishes two load patterns: a short burst, which a queue absorbs, and an overload of
/// several seconds, during which a queue only delays all answers.
#[derive(Debug, Default)]
pub struct BacklogWatch {
    since: HashMap<ServiceId, Duration>,
}

impl BacklogWatch {
    /// Records the expected wait of a call with the given objective. Returns whether the backlog of
    /// the service is sustained.
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
