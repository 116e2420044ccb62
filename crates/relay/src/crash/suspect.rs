//! Requests that were lost in crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::id::FingerprintHash;

use super::outage::KnownCrash;

/// Number of crashes in which a request was lost, from which on it is refused.
pub(super) const BLOCKING_CRASHES: usize = 3;
/// Time for which a request is refused after the latest of these crashes.
const BLOCKING_TIME: Duration = Duration::from_secs(10 * 60);
/// Time after the latest crash of a request until its crashes are forgotten. A request that is let
/// through again before is refused after one more crash.
pub(super) const SUSPICION_TIME: Duration = Duration::from_secs(60 * 60);
/// Number of crashes in which a request was lost, from which on instances repeat them to each other.
const REPEATED_CRASHES: usize = 2;
/// Maximum number of suspected requests that are kept.
const MAX_SUSPECTS: usize = 4096;
/// Crashes of one endpoint that were found within this time of each other, by different instances,
/// are the same.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);

/// A request that was lost in crashes.
#[derive(Debug, Default)]
pub(super) struct SuspectRequest {
    /// The crashes, in the order in which they became known.
    crashes: Vec<KnownCrash>,
    /// Whether a run of this instance was lost in one of the crashes.
    pub(super) is_own: bool,
}

impl SuspectRequest {
    /// The different crashes. Of one that several instances found, only the first report.
    pub(super) fn different(&self) -> impl DoubleEndedIterator<Item = &KnownCrash> {
        let is_repeated = |index: usize, crash: &KnownCrash| {
            self.crashes[..index].iter().any(|other| {
                let apart = other.found_at.abs_diff(crash.found_at);
                other.endpoint == crash.endpoint && apart < SAME_CRASH_TIME
            })
        };
        let crashes = self.crashes.iter().enumerate();
        let different = crashes.filter(move |(index, crash)| !is_repeated(*index, crash));
        different.map(|(_, crash)| crash)
    }

    /// Number of different crashes.
    pub(super) fn count(&self) -> usize {
        self.different().count()
    }

    /// Whether instances repeat to each other what they know of the request.
    pub(super) fn is_repeated(&self) -> bool {
        self.count() >= REPEATED_CRASHES
    }

    /// Time for which the request is refused; `None` if it may be sent to an endpoint.
    pub(super) fn refused_for(&self, now: Duration) -> Option<Duration> {
        let refused_until = self.latest_at() + BLOCKING_TIME;
        let is_refused = self.count() >= BLOCKING_CRASHES && now < refused_until;
        is_refused.then(|| refused_until - now)
    }

    /// Whether the request was lost in one crash only.
    fn is_weak(&self) -> bool {
        self.crashes.len() <= 1
    }

    /// When the latest crash was found.
    fn latest_at(&self) -> Duration {
        let found = self.crashes.iter().map(|crash| crash.found_at);
        found.max().unwrap_or_default()
    }
}

/// Number of crashes of a request after one more was counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CrashCount {
    /// The number.
    pub(super) crashes: usize,
    /// Whether the request is refused because of this crash.
    pub(super) is_blocked: bool,
}

/// The suspected requests, by fingerprint.
#[derive(Debug, Default)]
pub(super) struct SuspectTable {
    rows: BTreeMap<FingerprintHash, SuspectRequest>,
}

impl SuspectTable {
    /// Looks up a request.
    pub(super) fn get(&self, fingerprint: FingerprintHash) -> Option<&SuspectRequest> {
        self.rows.get(&fingerprint)
    }

    /// Counts a crash against a request. Returns `None` if it was counted before, or if the table is
    /// full of requests with several crashes.
    pub(super) fn count(
        &mut self,
        crash: KnownCrash,
        fingerprint: FingerprintHash,
    ) -> Option<CrashCount> {
        if !self.has_room(fingerprint) {
            return None;
        }
        let suspect = self.rows.entry(fingerprint).or_default();
        if suspect.crashes.iter().any(|known| known.id == crash.id) {
            return None;
        }
        let before = suspect.count();
        suspect.crashes.push(crash);
        let crashes = suspect.count();
        Some(CrashCount {
            crashes,
            is_blocked: before < BLOCKING_CRASHES && crashes >= BLOCKING_CRASHES,
        })
    }

    /// Records that a run of this instance was lost in a crash of a suspected request.
    pub(super) fn note_own(&mut self, fingerprint: FingerprintHash) {
        if let Some(suspect) = self.rows.get_mut(&fingerprint) {
            suspect.is_own = true;
        }
    }

    /// Drops the crashes of a request that were found up to `until`. Returns whether there were any.
    pub(super) fn clear(&mut self, fingerprint: FingerprintHash, until: Duration) -> bool {
        let Some(suspect) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|crash| crash.found_at > until);
        let is_cleared = suspect.crashes.len() < before;
        if suspect.crashes.is_empty() {
            self.rows.remove(&fingerprint);
        }
        is_cleared
    }

    /// The requests that instances repeat to each other, from `first` on and then those before it.
    pub(super) fn repeated_from(
        &self,
        first: FingerprintHash,
    ) -> impl Iterator<Item = (FingerprintHash, &SuspectRequest)> {
        let in_turn = self.rows.range(first..).chain(self.rows.range(..first));
        let repeated = in_turn.filter(|(_, suspect)| suspect.is_repeated());
        repeated.map(|(fingerprint, suspect)| (*fingerprint, suspect))
    }

    /// Forgets requests whose latest crash is long over.
    pub(super) fn expire(&mut self, now: Duration) {
        self.rows
            .retain(|_, suspect| now < suspect.latest_at() + SUSPICION_TIME);
    }

    /// Makes room for a request in a full table. Returns `false` if every other one was lost in
    /// several crashes.
    fn has_room(&mut self, fingerprint: FingerprintHash) -> bool {
        if self.rows.len() >= MAX_SUSPECTS && !self.rows.contains_key(&fingerprint) {
            self.drop_weak();
        }
        self.rows.len() < MAX_SUSPECTS || self.rows.contains_key(&fingerprint)
    }

    /// Forgets the older half of the requests that were lost in a single crash.
    fn drop_weak(&mut self) {
        let weak = self.rows.values().filter(|suspect| suspect.is_weak());
        let median = super::median(weak.map(SuspectRequest::latest_at));
        self.rows
            .retain(|_, suspect| !suspect.is_weak() || suspect.latest_at() > median);
    }
}
