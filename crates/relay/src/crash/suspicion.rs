//! What is suspected of crashing endpoints, of one kind: requests, or parts of prompts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::gateway::{
    CrashId, CrashNotice, EndpointCrash, MAX_NOTICE_CRASHES, MAX_NOTICE_REQUESTS,
    MAX_NOTICE_SERVED, ServedRequest,
};

use super::CrashDecision;
use super::outage::{KnownCrash, RecentCrashes};
use super::served::ServedSuspects;
use super::suspect::{SuspectRow, SuspectTable};

/// Hash of a request or of a part of a prompt.
pub type SuspectHash = u64;

/// Largest number of crashes in one repetition. Repetitions go on for as long as something is
/// suspected, so they have to be small.
const MAX_REPEATED_CRASHES: usize = 6;

/// Number of crashes of a request from which on it is refused.
const REQUEST_CRASHES: usize = 3;
/// Number of crashes of a part from which on it is blamed. More than for a request, as each lost run
/// suspects several parts.
const PART_CRASHES: usize = 5;
/// Time after a request was served within which crashes do not count against it.
const REQUEST_SERVED_TIME: Duration = Duration::from_secs(10);
/// The same for a part. Parts are shared by many requests, so a harmless one is served often.
const PART_SERVED_TIME: Duration = Duration::from_secs(60);

/// Number of crashes from which on a suspect may explain those of another one.
const MIN_RIVAL_CRASHES: usize = REQUEST_CRASHES - 1;
/// Time in which all instances report what they lost in a crash. Notices may be lost, and are then
/// repeated.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Kind of what is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectKind {
    /// A whole request, by its fingerprint.
    Request,
    /// A part of prompts, whatever else the requests hold.
    Part,
}

impl SuspectKind {
    /// Number of crashes from which on a suspect is refused.
    pub(super) fn blocking_crashes(self) -> usize {
        match self {
            Self::Request => REQUEST_CRASHES,
            Self::Part => PART_CRASHES,
        }
    }

    /// Time after a suspect was served within which crashes do not count. Protects what is frequent
    /// while many endpoints crash at once.
    pub(super) fn served_time(self) -> Duration {
        match self {
            Self::Request => REQUEST_SERVED_TIME,
            Self::Part => PART_SERVED_TIME,
        }
    }
}

/// The suspects of one kind, what was served of that kind, and what of this the other instances
/// have to be told.
#[derive(Debug)]
pub(super) struct Suspicion {
    kind: SuspectKind,
    pub(super) suspects: SuspectTable,
    pub(super) served: ServedSuspects,
    /// What this instance added to a crash and has not announced: suspects by crash.
    unannounced: BTreeMap<CrashId, Vec<SuspectHash>>,
    /// What was served and other instances still count as lost in crashes.
    unannounced_served: BTreeSet<SuspectHash>,
    /// Suspect from which on [`Self::next_repetition`] goes on.
    next_repeated: SuspectHash,
    /// Whether suspects or what was served changed since [`Self::take_change`].
    is_changed: bool,
}

/// Counting.
impl Suspicion {
    pub(super) fn new(kind: SuspectKind) -> Self {
        Self {
            kind,
            suspects: SuspectTable::default(),
            served: ServedSuspects::new(kind.served_time()),
            unannounced: BTreeMap::new(),
            unannounced_served: BTreeSet::new(),
            next_repeated: 0,
            is_changed: false,
        }
    }

    /// Counts a crash against a suspect that was lost at this instance, and announces it.
    pub(super) fn count_own(
        &mut self,
        crash: KnownCrash,
        hash: SuspectHash,
        decisions: &mut Vec<CrashDecision>,
    ) {
        let is_excused = self.served.excuses(&crash, hash);
        if is_excused || !self.count(crash, hash, true, decisions) {
            return;
        }
        self.suspects.note_own(hash);
        self.unannounced.entry(crash.id).or_default().push(hash);
    }

    /// Counts the crash that another instance told of against its suspects. Returns those of them
    /// to which this instance objects, as it knows when they were served.
    pub(super) fn count_told(
        &mut self,
        crash: KnownCrash,
        hashes: &[SuspectHash],
        decisions: &mut Vec<CrashDecision>,
    ) -> Vec<SuspectHash> {
        let mut objections = Vec::new();
        for hash in hashes {
            let is_excused = self.served.excuses(&crash, *hash);
            if !is_excused {
                self.count(crash, *hash, false, decisions);
            }
            if is_excused || self.may_be_blamed_wrongly(*hash) {
                objections.push(*hash);
            }
        }
        objections
    }

    /// Whether several crashes count against a part that was served long ago, which others may not
    /// know.
    fn may_be_blamed_wrongly(&self, hash: SuspectHash) -> bool {
        let suspect = self.suspects.get(hash);
        let is_repeated = suspect.is_some_and(SuspectRow::is_repeated);
        self.kind == SuspectKind::Part && is_repeated && self.served.at(hash).is_some()
    }

    /// Counts a crash against a suspect. Returns whether it was not counted before.
    fn count(
        &mut self,
        crash: KnownCrash,
        hash: SuspectHash,
        is_own: bool,
        decisions: &mut Vec<CrashDecision>,
    ) -> bool {
        let Some(crashes) = self.suspects.count(crash, hash) else {
            return false;
        };
        self.is_changed = true;
        decisions.push(CrashDecision::Counted {
            kind: self.kind,
            hash,
            endpoint: crash.endpoint,
            crashes,
            is_own,
        });
        true
    }

    /// The suspects that may explain these crashes of another: they were never served, and were lost
    /// in several of the crashes and in each that all instances have had the time to report.
    pub(super) fn rivals_of(
        &self,
        now: Duration,
        crashes: &[KnownCrash],
    ) -> impl Iterator<Item = SuspectHash> {
        let suspects = self.suspects.with_crashes(MIN_RIVAL_CRASHES);
        let rivals = suspects.filter(move |(hash, suspect)| {
            let lost_in = crashes.iter().filter(|crash| suspect.was_lost_in(crash));
            let mut others = crashes.iter().filter(|crash| !suspect.was_lost_in(crash));
            self.served.at(*hash).is_none()
                && lost_in.count() >= MIN_RIVAL_CRASHES
                && others.all(|crash| now < crash.found_at + REPORT_TIME)
        });
        rivals.map(|(hash, _)| hash)
    }

    /// Records that this instance forwarded a whole answer.
    pub(super) fn note_served(
        &mut self,
        now: Duration,
        hash: SuspectHash,
        decisions: &mut Vec<CrashDecision>,
    ) {
        let suspect = self.suspects.get(hash);
        let is_repeated = suspect.is_some_and(SuspectRow::is_repeated);
        self.learn_served(hash, now, decisions);
        if is_repeated {
            self.unannounced_served.insert(hash);
        }
    }

    /// Learns from another instance that something was served at `at`. If this instance has
    /// announced crashes of it, the others have to learn of that, too.
    pub(super) fn accept_objection(
        &mut self,
        hash: SuspectHash,
        at: Duration,
        decisions: &mut Vec<CrashDecision>,
    ) {
        let suspect = self.suspects.get(hash);
        let is_own = suspect.is_some_and(|suspect| suspect.is_own);
        let is_news = self.served.at(hash).is_none();
        if (self.learn_served(hash, at, decisions) || is_news) && is_own {
            self.unannounced_served.insert(hash);
        }
    }

    /// Records when something was served, and drops the crashes that no longer count against it.
    /// Returns whether there were any.
    fn learn_served(
        &mut self,
        hash: SuspectHash,
        at: Duration,
        decisions: &mut Vec<CrashDecision>,
    ) -> bool {
        let excused_until = self.served.note(hash, at);
        if self.suspects.get(hash).is_none() {
            return false;
        }
        self.is_changed = true;
        let is_cleared = self.suspects.clear(hash, excused_until);
        if is_cleared {
            decisions.push(CrashDecision::Cleared(self.kind, hash));
        }
        is_cleared
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.is_changed |= self.suspects.expire(now);
        self.served.expire(now);
    }

    /// Whether something changed since the last call of this function.
    pub(super) fn take_change(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }
}

/// Notices to other instances.
impl Suspicion {
    /// Announces a crash, with or without suspects.
    pub(super) fn announce(&mut self, id: CrashId) {
        self.unannounced.entry(id).or_default();
    }

    /// Whether there is something that [`Self::take_notice`] has not announced.
    pub(super) fn has_notice(&self) -> bool {
        !self.unannounced.is_empty() || !self.unannounced_served.is_empty()
    }

    /// Takes the next notice to the other instances of what this instance found.
    pub(super) fn take_notice(
        &mut self,
        now: Duration,
        crashes: &RecentCrashes,
    ) -> Option<CrashNotice> {
        let notice = CrashNotice {
            crashes: self.take_unannounced(now, crashes),
            served: self.take_unannounced_served(now),
        };
        (notice != CrashNotice::default()).then_some(notice)
    }

    fn take_unannounced(&mut self, now: Duration, crashes: &RecentCrashes) -> Vec<EndpointCrash> {
        let mut told = Vec::new();
        let mut room = MAX_NOTICE_REQUESTS;
        while told.len() < MAX_NOTICE_CRASHES && room > 0 {
            let Some((id, mut hashes)) = self.unannounced.pop_first() else {
                break;
            };
            let rest = hashes.split_off(hashes.len().min(room));
            room -= hashes.len();
            if !rest.is_empty() {
                self.unannounced.insert(id, rest);
            }
            // A crash that is not known any more is too old to be announced.
            let known = crashes.get(id);
            told.extend(known.map(|crash| crash.to_notice(now, hashes)));
        }
        told
    }

    fn take_unannounced_served(&mut self, now: Duration) -> Vec<ServedRequest> {
        let unannounced = std::mem::take(&mut self.unannounced_served);
        let mut hashes = unannounced.into_iter();
        let told = self
            .served
            .to_notice(now, hashes.by_ref().take(MAX_NOTICE_SERVED));
        self.unannounced_served = hashes.collect();
        told
    }

    /// Objections to the notice of another instance.
    pub(super) fn objections(
        &self,
        now: Duration,
        mut hashes: Vec<SuspectHash>,
    ) -> Option<CrashNotice> {
        hashes.truncate(MAX_NOTICE_SERVED);
        let served = self.served.to_notice(now, hashes);
        (!served.is_empty()).then(|| CrashNotice {
            served,
            ..CrashNotice::default()
        })
    }

    /// All suspects with several crashes, whoever found these.
    pub(super) fn known(&self, now: Duration) -> CrashNotice {
        let mut told: BTreeMap<CrashId, EndpointCrash> = BTreeMap::new();
        for (hash, suspect) in self.suspects.repeated_from(0) {
            for crash in suspect.different() {
                let entry = told.entry(crash.id);
                let entry = entry.or_insert_with(|| crash.to_notice(now, Vec::new()));
                entry.requests.push(hash);
            }
        }
        CrashNotice {
            crashes: told.into_values().collect(),
            ..CrashNotice::default()
        }
    }

    /// The next part of what this instance knows of suspects with several crashes, whoever found
    /// these; `None` if there are none.
    pub(super) fn next_repetition(&mut self, now: Duration) -> Option<CrashNotice> {
        let blocking = self.kind.blocking_crashes();
        let first = std::mem::take(&mut self.next_repeated);
        let mut told: BTreeMap<CrashId, EndpointCrash> = BTreeMap::new();
        let mut count = 0;
        for (hash, suspect) in self.suspects.repeated_from(first) {
            if count + blocking > MAX_REPEATED_CRASHES {
                self.next_repeated = hash;
                break;
            }
            for crash in suspect.different().rev().take(blocking) {
                let entry = told.entry(crash.id);
                let entry = entry.or_insert_with(|| crash.to_notice(now, Vec::new()));
                entry.requests.push(hash);
                count += 1;
            }
        }
        let crashes: Vec<EndpointCrash> = told.into_values().collect();
        (!crashes.is_empty()).then(|| CrashNotice {
            crashes,
            ..CrashNotice::default()
        })
    }
}
