//! Correction of expected waits by those that calls met.
//!
//! Load pattern: a burst in a large fleet. Each instance sees a small part of the calls and learns of
//! the others' late, and its calls go where a slot seems free: the endpoints that it chooses are
//! busier than it believes, the more so the more instances choose. How much busier shows in the
//! queues that endpoints report with their answers.

use std::collections::HashMap;
use std::time::Duration;

use wire::id::ServiceId;

/// Weight of one call in the correction.
const CALL_WEIGHT: f64 = 0.1;
/// Time constant with which a correction fades that no call confirms.
const FADING_TIME: Duration = Duration::from_secs(1);

/// How much longer calls wait than expected, by service.
#[derive(Debug, Default)]
pub struct WaitCorrection {
    services: HashMap<ServiceId, ServiceCorrection>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceCorrection {
    /// In seconds. Negative if calls wait less than expected.
    excess: f64,
    noted_at: Duration,
}

impl ServiceCorrection {
    fn excess_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.noted_at);
        self.excess * (-age.as_secs_f64() / FADING_TIME.as_secs_f64()).exp()
    }
}

impl WaitCorrection {
    /// Records the wait behind the queue that an endpoint reports, and the one that was expected
    /// before the report.
    pub fn note(&mut self, now: Duration, service: ServiceId, expected: Duration, met: Duration) {
        let correction = self.services.entry(service).or_default();
        let error = met.as_secs_f64() - expected.as_secs_f64();
        let excess = correction.excess_at(now);
        *correction = ServiceCorrection {
            excess: excess + (error - excess) * CALL_WEIGHT,
            noted_at: now,
        };
    }

    /// What a wait that was derived from known loads probably is.
    pub fn apply(&self, now: Duration, service: ServiceId, wait: Duration) -> Duration {
        let correction = self.services.get(&service);
        let excess = correction.map_or(0.0, |correction| correction.excess_at(now));
        wait + Duration::from_secs_f64(excess.max(0.0))
    }
}
