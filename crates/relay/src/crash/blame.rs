//! Which parts of prompts are to blame for crashes.
//!
//! A run that is lost in a crash suspects all shared parts of its prompt, and most of them are
//! harmless. The part with the most crashes is blamed first, and its crashes no longer count
//! against the parts and requests that were lost beside it. Of parts with as many crashes, one that
//! was never served is blamed before one that was. Parts that were lost in the same crashes, and
//! none of which was ever served, are blamed together: only a request that has all of them is
//! refused. Those that have some of them show which it is. While two parts lead with as many
//! different crashes, one more crash is awaited.

use std::cmp::Reverse;
use std::time::Duration;

use super::frequency::PartFrequency;
use super::outage::KnownCrash;
use super::suspect::BLOCKING_TIME;
use super::suspicion::{SuspectHash, SuspectKind, Suspicion};

/// Parts that are blamed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct BlamedParts {
    /// The parts; a request is refused if its prompt has all of them.
    pub(super) parts: Vec<SuspectHash>,
    /// When the latest of their crashes was found.
    pub(super) latest_at: Duration,
}

/// The blamed parts, and the crashes that they explain.
#[derive(Debug, Default)]
pub(super) struct Blame {
    pub(super) groups: Vec<BlamedParts>,
    explained: Vec<KnownCrash>,
}

/// A part with enough crashes to be blamed.
struct BlameCandidate {
    part: SuspectHash,
    crashes: Vec<KnownCrash>,
    served_at: Option<Duration>,
}

impl BlameCandidate {
    /// Order of blame; the greatest is blamed first.
    fn rank(&self) -> (usize, Reverse<Option<Duration>>) {
        (self.crashes.len(), Reverse(self.served_at))
    }

    /// Whether nothing tells which of two parts is to blame.
    fn is_like(&self, other: &Self) -> bool {
        let is_served = self.served_at.is_some() || other.served_at.is_some();
        let is_equal = self.crashes.len() == other.crashes.len();
        !is_served
            && is_equal
            && self
                .crashes
                .iter()
                .all(|crash| crash.is_among(&other.crashes))
    }
}

impl Blame {
    /// Blames parts for their crashes. Those that nearly all prompts have are blamed only if the
    /// crashes single them out.
    pub(super) fn of(suspicion: &Suspicion, frequency: &PartFrequency) -> Self {
        let mut blame = Self::default();
        let mut candidates = candidates_of(suspicion);
        loop {
            for candidate in &mut candidates {
                candidate.crashes.retain(|crash| !blame.explains(crash));
            }
            candidates.retain(has_enough_crashes);
            candidates.retain(|candidate| frequency.may_blame(candidate.part, &candidate.crashes));
            let Some(first) = candidates.iter().max_by_key(|candidate| candidate.rank()) else {
                return blame;
            };
            if is_contested(first, &candidates) {
                return blame;
            }
            let alike = candidates.iter().filter(|other| other.is_like(first));
            let mut parts: Vec<SuspectHash> = alike.map(|candidate| candidate.part).collect();
            if parts.is_empty() {
                parts.push(first.part);
            }
            let found = first.crashes.iter().map(|crash| crash.found_at);
            let latest_at = found.max().unwrap_or_default();
            let explained = first.crashes.clone();
            blame.groups.push(BlamedParts { parts, latest_at });
            blame.explained.extend(explained);
        }
    }

    /// Whether a blamed part was lost in a crash.
    pub(super) fn explains(&self, crash: &KnownCrash) -> bool {
        crash.is_among(&self.explained)
    }

    /// Time for which a request with these parts is refused; `None` if it may be sent.
    pub(super) fn refused_for(&self, now: Duration, parts: &[SuspectHash]) -> Option<Duration> {
        let times = self.groups_in(parts);
        let times = times.map(|group| (group.latest_at + BLOCKING_TIME).saturating_sub(now));
        times.max().filter(|time| !time.is_zero())
    }

    /// The groups of which a request with these parts has all.
    pub(super) fn groups_in(&self, parts: &[SuspectHash]) -> impl Iterator<Item = &BlamedParts> {
        let groups = self.groups.iter();
        groups.filter(|group| group.parts.iter().all(|part| parts.contains(part)))
    }
}

/// Whether another part was lost in as many crashes, but not in the same ones, so that the next
/// crash will tell which is to blame.
fn is_contested(first: &BlameCandidate, candidates: &[BlameCandidate]) -> bool {
    let mut rivals = candidates.iter().filter(|other| {
        other.part != first.part && other.rank() == first.rank() && !other.is_like(first)
    });
    first.crashes.len() == SuspectKind::Part.blocking_crashes() && rivals.next().is_some()
}

fn candidates_of(suspicion: &Suspicion) -> Vec<BlameCandidate> {
    let blocking = SuspectKind::Part.blocking_crashes();
    let suspects = suspicion.suspects.with_crashes(blocking);
    let candidates = suspects.map(|(part, suspect)| BlameCandidate {
        part,
        crashes: suspect.different().copied().collect(),
        served_at: suspicion.served.at(part),
    });
    candidates.collect()
}

fn has_enough_crashes(candidate: &BlameCandidate) -> bool {
    candidate.crashes.len() >= SuspectKind::Part.blocking_crashes()
}
