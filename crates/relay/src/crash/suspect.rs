//! What was lost in crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::outage::KnownCrash;
use super::suspicion::SuspectHash;

/// Time for which a suspect is refused after its latest crash.
pub(super) const BLOCKING_TIME: Duration = Duration::from_secs(10 * 60);
/// Time after the latest crash of a suspect until its crashes are forgotten. One that is let through
/// again before is refused after one more crash.
pub(super) const SUSPICION_TIME: Duration = Duration::from_secs(60 * 60);
/// Number of crashes of a suspect from which on instances repeat them to each other.
const REPEATED_CRASHES: usize = 2;
/// Maximum number of suspects that are kept.
const MAX_SUSPECTS: usize = 4096;

/// A request, or a part of prompts, that was lost in crashes.
#[derive(Debug, Default)]
pub(super) struct SuspectRow {
    /// The crashes, in the order in which they became known.
    crashes: Vec<KnownCrash>,
    /// Whether a run of this instance was lost in one of the crashes.
    pub(super) is_own: bool,
}

impl SuspectRow {
    /// The different crashes. Of one that several instances found, only the first report.
    pub(super) fn different(&self) -> impl DoubleEndedIterator<Item = &KnownCrash> {
        let is_repeated = |index: usize, crash: &KnownCrash| crash.is_among(&self.crashes[..index]);
        let crashes = self.crashes.iter().enumerate();
        let different = crashes.filter(move |(index, crash)| !is_repeated(*index, crash));
        different.map(|(_, crash)| crash)
    }

    /// Whether it was lost in a crash.
    pub(super) fn was_lost_in(&self, crash: &KnownCrash) -> bool {
        crash.is_among(&self.crashes)
    }

    /// Number of different crashes.
    pub(super) fn count(&self) -> usize {
        self.different().count()
    }

    /// Whether instances repeat to each other what they know of it.
    pub(super) fn is_repeated(&self) -> bool {
        self.count() >= REPEATED_CRASHES
    }

    /// Time for which a request that is to blame is refused; `None` once it is over.
    pub(super) fn blocked_for(&self, now: Duration) -> Option<Duration> {
        let time = (self.latest_at() + BLOCKING_TIME).saturating_sub(now);
        (!time.is_zero()).then_some(time)
    }

    /// Whether it was lost in one crash only.
    fn is_weak(&self) -> bool {
        self.crashes.len() <= 1
    }

    /// When the latest crash was found.
    fn latest_at(&self) -> Duration {
        let found = self.crashes.iter().map(|crash| crash.found_at);
        found.max().unwrap_or_default()
    }
}

/// The suspects of one kind.
#[derive(Debug, Default)]
pub(super) struct SuspectTable {
    rows: BTreeMap<SuspectHash, SuspectRow>,
}

impl SuspectTable {
    /// Looks up a suspect.
    pub(super) fn get(&self, hash: SuspectHash) -> Option<&SuspectRow> {
        self.rows.get(&hash)
    }

    /// Counts a crash against a suspect. Returns its number of crashes, or `None` if this one was
    /// counted before, or if the table is full of suspects with several crashes.
    pub(super) fn count(&mut self, crash: KnownCrash, hash: SuspectHash) -> Option<usize> {
        if !self.has_room(hash) {
            return None;
        }
        let suspect = self.rows.entry(hash).or_default();
        if suspect.crashes.iter().any(|known| known.id == crash.id) {
            return None;
        }
        suspect.crashes.push(crash);
        Some(suspect.count())
    }

    /// The suspects with at least this number of reports of crashes.
    pub(super) fn with_crashes(
        &self,
        count: usize,
    ) -> impl Iterator<Item = (SuspectHash, &SuspectRow)> {
        let rows = self.rows.iter();
        let rows = rows.filter(move |(_, suspect)| suspect.crashes.len() >= count);
        rows.map(|(hash, suspect)| (*hash, suspect))
    }

    /// Records that a run of this instance was lost in a crash of a suspect.
    pub(super) fn note_own(&mut self, hash: SuspectHash) {
        if let Some(suspect) = self.rows.get_mut(&hash) {
            suspect.is_own = true;
        }
    }

    /// Drops the crashes of a suspect that were found up to `until`. Returns whether there were any.
    pub(super) fn clear(&mut self, hash: SuspectHash, until: Duration) -> bool {
        let Some(suspect) = self.rows.get_mut(&hash) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|crash| crash.found_at > until);
        let is_cleared = suspect.crashes.len() < before;
        if suspect.crashes.is_empty() {
            self.rows.remove(&hash);
        }
        is_cleared
    }

    /// The suspects that instances repeat to each other, from `first` on and then those before it.
    pub(super) fn repeated_from(
        &self,
        first: SuspectHash,
    ) -> impl Iterator<Item = (SuspectHash, &SuspectRow)> {
        let in_turn = self.rows.range(first..).chain(self.rows.range(..first));
        let repeated = in_turn.filter(|(_, suspect)| suspect.is_repeated());
        repeated.map(|(hash, suspect)| (*hash, suspect))
    }

    /// Forgets suspects whose latest crash is long over. Returns whether there were any.
    pub(super) fn expire(&mut self, now: Duration) -> bool {
        let before = self.rows.len();
        self.rows
            .retain(|_, suspect| now < suspect.latest_at() + SUSPICION_TIME);
        self.rows.len() < before
    }

    /// Makes room for a suspect in a full table. Returns `false` if every other one was lost in
    /// several crashes.
    fn has_room(&mut self, hash: SuspectHash) -> bool {
        if self.rows.len() >= MAX_SUSPECTS && !self.rows.contains_key(&hash) {
            self.drop_weak();
        }
        self.rows.len() < MAX_SUSPECTS || self.rows.contains_key(&hash)
    }

    /// Forgets the older half of the suspects that were lost in a single crash.
    fn drop_weak(&mut self) {
        let weak = self.rows.values().filter(|suspect| suspect.is_weak());
        let median = super::median(weak.map(SuspectRow::latest_at));
        self.rows
            .retain(|_, suspect| !suspect.is_weak() || suspect.latest_at() > median);
    }
}
