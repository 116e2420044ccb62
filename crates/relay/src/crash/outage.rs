//! Recent crashes of endpoints.

use std::collections::VecDeque;
use std::time::Duration;

use wire::gateway::{CrashId, EndpointCrash};
use wire::id::{EndpointId, FingerprintHash};

use super::loss::LostRun;

/// Time for which a crash is kept, so that runs that were under way are attributed to it when they
/// are lost. Connections to an endpoint that fell silent fail late.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Crashes of one endpoint that were found within this time of each other, by different instances,
/// are the same.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Maximum number of crashes that are kept.
const MAX_KNOWN_CRASHES: usize = 1024;

/// A crash of an endpoint that is known to this instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownCrash {
    pub(super) id: CrashId,
    pub(super) endpoint: EndpointId,
    /// When the endpoint was found down.
    pub(super) found_at: Duration,
    /// Whether the endpoint has answered since.
    is_over: bool,
}

impl KnownCrash {
    /// A crash of an endpoint that has not answered since.
    pub(super) fn new(id: CrashId, endpoint: EndpointId, found_at: Duration) -> Self {
        Self {
            id,
            endpoint,
            found_at,
            is_over: false,
        }
    }

    /// The crash of which another instance told at `now`.
    pub(super) fn of_notice(now: Duration, told: &EndpointCrash) -> Self {
        let age = Duration::from_millis(u64::from(told.age_ms));
        Self::new(told.id, told.endpoint, now.saturating_sub(age))
    }

    /// Tells another instance of the crash.
    pub(super) fn to_notice(self, now: Duration, requests: Vec<FingerprintHash>) -> EndpointCrash {
        EndpointCrash {
            id: self.id,
            endpoint: self.endpoint,
            age_ms: age_ms(now, self.found_at),
            requests,
        }
    }

    /// Whether two instances found the same crash, or one of them twice.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        let apart = self.found_at.abs_diff(other.found_at);
        self.endpoint == other.endpoint && apart < SAME_CRASH_TIME
    }

    /// Whether the crash is one of these.
    pub(super) fn is_among(&self, others: &[Self]) -> bool {
        others.iter().any(|other| self.is_same(other))
    }

    /// Whether a run that was lost may have been lost in the crash.
    pub(super) fn covers(&self, run: &LostRun) -> bool {
        run.endpoint == self.endpoint && run.alive_at <= self.found_at
    }
}

/// Recent crashes, of which further lost runs may be a consequence.
#[derive(Debug, Default)]
pub(super) struct RecentCrashes {
    /// The crashes, the latest that became known last.
    crashes: VecDeque<KnownCrash>,
}

impl RecentCrashes {
    /// Adds a crash. Returns `false` if it is known, or too old.
    pub(super) fn insert(&mut self, now: Duration, crash: KnownCrash) -> bool {
        let is_old = now >= crash.found_at + CRASH_RETENTION;
        if is_old || self.get(crash.id).is_some() {
            return false;
        }
        if self.crashes.len() >= MAX_KNOWN_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
        true
    }

    /// Looks up a crash.
    pub(super) fn get(&self, id: CrashId) -> Option<KnownCrash> {
        self.crashes.iter().find(|crash| crash.id == id).copied()
    }

    /// The latest crash in which a run may have been lost.
    pub(super) fn cause_of(&self, run: &LostRun) -> Option<KnownCrash> {
        let mut crashes = self.crashes.iter().rev();
        crashes.find(|crash| crash.covers(run)).copied()
    }

    /// The crash of an endpoint that has not answered since.
    pub(super) fn open_at(&self, endpoint: EndpointId) -> Option<KnownCrash> {
        let mut crashes = self.crashes.iter().rev();
        crashes
            .find(|crash| crash.endpoint == endpoint && !crash.is_over)
            .copied()
    }

    /// Records that an endpoint runs at `at`: its crashes that were found up to then are over.
    pub(super) fn end(&mut self, endpoint: EndpointId, at: Duration) {
        for crash in &mut self.crashes {
            crash.is_over |= crash.endpoint == endpoint && crash.found_at <= at;
        }
    }

    /// Drops crashes that are too old to matter.
    pub(super) fn expire(&mut self, now: Duration) {
        self.crashes
            .retain(|crash| now < crash.found_at + CRASH_RETENTION);
    }
}

/// Age in milliseconds, as stated in notices.
pub(super) fn age_ms(now: Duration, at: Duration) -> u32 {
    let age = now.saturating_sub(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}
