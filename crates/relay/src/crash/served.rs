//! What was served, and so does not crash each endpoint that runs it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::outage::{KnownCrash, age_ms};
use super::suspect::SUSPICION_TIME;
use super::suspicion::SuspectHash;
use wire::gateway::ServedRequest;

/// Maximum number of entries that are kept.
const MAX_SERVED: usize = 4096;

/// What was served lately, with the time of the latest answer.
#[derive(Debug)]
pub(super) struct ServedSuspects {
    times: BTreeMap<SuspectHash, Duration>,
    /// Time after an answer within which crashes do not count.
    served_time: Duration,
}

impl ServedSuspects {
    /// Nothing was served yet.
    pub(super) fn new(served_time: Duration) -> Self {
        Self {
            times: BTreeMap::new(),
            served_time,
        }
    }

    /// When something was last served.
    pub(super) fn at(&self, hash: SuspectHash) -> Option<Duration> {
        self.times.get(&hash).copied()
    }

    /// Records that something was served at `at`. Returns the time up to which crashes do not count
    /// against it.
    pub(super) fn note(&mut self, hash: SuspectHash, at: Duration) -> Duration {
        if self.times.len() >= MAX_SERVED {
            let median = super::median(self.times.values().copied());
            self.times.retain(|_, at| *at > median);
        }
        let served_at = self.times.entry(hash).or_default();
        *served_at = at.max(*served_at);
        *served_at + self.served_time
    }

    /// Whether a crash does not count, as the suspect was served after it or shortly before.
    pub(super) fn excuses(&self, crash: &KnownCrash, hash: SuspectHash) -> bool {
        let served_at = self.at(hash);
        served_at.is_some_and(|at| crash.found_at <= at + self.served_time)
    }

    /// Tells another instance of what was served.
    pub(super) fn to_notice(
        &self,
        now: Duration,
        hashes: impl IntoIterator<Item = SuspectHash>,
    ) -> Vec<ServedRequest> {
        let served = hashes.into_iter().filter_map(|hash| {
            let served_at = self.times.get(&hash)?;
            Some(ServedRequest {
                fingerprint: hash,
                age_ms: age_ms(now, *served_at),
            })
        });
        served.collect()
    }

    /// Forgets what was served long ago.
    pub(super) fn expire(&mut self, now: Duration) {
        self.times.retain(|_, at| now < *at + SUSPICION_TIME);
    }
}
