//! Requests that were served, and so do not crash each endpoint that runs them.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::gateway::ServedRequest;
use wire::id::FingerprintHash;

use super::outage::{KnownCrash, age_ms};
use super::suspect::SUSPICION_TIME;

/// Time after a request was served within which crashes do not count against it. Protects frequent
/// requests while many endpoints crash at once.
const SERVED_TIME: Duration = Duration::from_secs(10);
/// Maximum number of served requests that are kept.
const MAX_SERVED: usize = 4096;

/// Requests that were served lately, with the time of the latest answer.
#[derive(Debug, Default)]
pub(super) struct ServedRequests {
    times: BTreeMap<FingerprintHash, Duration>,
}

impl ServedRequests {
    /// Records that a request was served at `at`. Returns the time up to which crashes do not count
    /// against it.
    pub(super) fn note(&mut self, fingerprint: FingerprintHash, at: Duration) -> Duration {
        if self.times.len() >= MAX_SERVED {
            let median = super::median(self.times.values().copied());
            self.times.retain(|_, at| *at > median);
        }
        let served_at = self.times.entry(fingerprint).or_default();
        *served_at = at.max(*served_at);
        *served_at + SERVED_TIME
    }

    /// Whether a crash does not count against a request, as the request was served after it or
    /// shortly before.
    pub(super) fn excuses(&self, crash: &KnownCrash, fingerprint: FingerprintHash) -> bool {
        let served_at = self.times.get(&fingerprint);
        served_at.is_some_and(|at| crash.found_at <= *at + SERVED_TIME)
    }

    /// Tells another instance of served requests.
    pub(super) fn to_notice(
        &self,
        now: Duration,
        requests: impl IntoIterator<Item = FingerprintHash>,
    ) -> Vec<ServedRequest> {
        let served = requests.into_iter().filter_map(|fingerprint| {
            let served_at = self.times.get(&fingerprint)?;
            Some(ServedRequest {
                fingerprint,
                age_ms: age_ms(now, *served_at),
            })
        });
        served.collect()
    }

    /// Forgets requests that were served long ago.
    pub(super) fn expire(&mut self, now: Duration) {
        self.times.retain(|_, at| now < *at + SUSPICION_TIME);
    }
}
