//! Which requests are to blame for crashes.
//!
//! Many requests are lost in a crash, and one of them may have caused it. The request with the most
//! crashes is blamed first, of several the one that had enough of them first. Its crashes no longer
//! count against the requests that were lost beside it. Load pattern: endpoints crash for other
//! causes, too, and copies of popular requests are lost in crashes of both kinds.

use std::cmp::Reverse;
use std::time::Duration;

use super::blame::Blame;
use super::outage::KnownCrash;
use super::suspicion::{SuspectHash, SuspectKind, Suspicion};

/// A request with enough crashes to be blamed.
#[derive(Debug)]
struct RequestCulprit {
    request: SuspectHash,
    /// Its crashes that nothing else explains, in the order in which they were found.
    crashes: Vec<KnownCrash>,
}

impl RequestCulprit {
    /// Order of blame; the greatest is blamed first.
    fn rank(&self) -> (usize, Reverse<Duration>, Reverse<SuspectHash>) {
        let enough = SuspectKind::Request.blocking_crashes();
        let enough_at = self.crashes.get(enough - 1).map(|crash| crash.found_at);
        (
            self.crashes.len(),
            Reverse(enough_at.unwrap_or_default()),
            Reverse(self.request),
        )
    }

    fn has_enough_crashes(&self) -> bool {
        self.crashes.len() >= SuspectKind::Request.blocking_crashes()
    }
}

/// The blamed requests, and the crashes that they explain.
#[derive(Debug, Default)]
pub(super) struct RequestBlame {
    /// No two of them have a crash in common.
    culprits: Vec<RequestCulprit>,
}

impl RequestBlame {
    /// Blames requests for their crashes, but for those that a part of prompts explains.
    pub(super) fn of(suspicion: &Suspicion, parts: &Blame) -> Self {
        let mut blame = Self::default();
        let mut candidates = candidates_of(suspicion, parts);
        loop {
            for candidate in &mut candidates {
                let crashes = &mut candidate.crashes;
                crashes.retain(|crash| !blame.explains(crash));
            }
            candidates.retain(RequestCulprit::has_enough_crashes);
            let ranks = candidates.iter().map(RequestCulprit::rank);
            let Some((first, _)) = ranks.enumerate().max_by_key(|(_, rank)| *rank) else {
                return blame;
            };
            blame.culprits.push(candidates.swap_remove(first));
        }
    }

    /// The blamed requests.
    pub(super) fn requests(&self) -> impl Iterator<Item = SuspectHash> {
        self.culprits.iter().map(|culprit| culprit.request)
    }

    /// Whether another request than this one is to blame for a crash.
    pub(super) fn clears(&self, request: SuspectHash, crash: &KnownCrash) -> bool {
        let mut others = self.culprits.iter();
        others.any(|other| other.request != request && crash.is_among(&other.crashes))
    }

    fn explains(&self, crash: &KnownCrash) -> bool {
        let mut culprits = self.culprits.iter();
        culprits.any(|culprit| crash.is_among(&culprit.crashes))
    }
}

fn candidates_of(suspicion: &Suspicion, parts: &Blame) -> Vec<RequestCulprit> {
    let enough = SuspectKind::Request.blocking_crashes();
    let suspects = suspicion.suspects.with_crashes(enough);
    let candidates = suspects.map(|(request, suspect)| {
        let unexplained = suspect.different().filter(|crash| !parts.explains(crash));
        let mut crashes: Vec<KnownCrash> = unexplained.copied().collect();
        crashes.sort_by_key(|crash| crash.found_at);
        RequestCulprit { request, crashes }
    });
    candidates.collect()
}
