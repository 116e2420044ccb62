//! How many of the latest calls have a part in their prompts.
//!
//! A part that nearly all prompts have is lost in nearly all crashes, and does not tell which
//! requests cause them. To refuse all requests that have it would end the service. So it takes more
//! to blame such a part: runs without it that survive while none with it does, or twice as many
//! crashes, over a time in which none of its runs survives anywhere.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use wire::id::ServiceId;

use super::outage::KnownCrash;
use super::suspicion::{SuspectHash, SuspectKind};

/// Number of the latest calls of a service that are kept.
const KEPT_CALLS: usize = 64;
/// Number of calls below which they say nothing.
const MIN_CALLS: usize = 8;
/// Share of the calls from which on a part is in nearly all prompts.
const COMMON_SHARE: f64 = 0.9;
/// Maximum number of services whose calls are kept.
const MAX_SERVICES: usize = 64;

/// Number of the latest runs that survived which are kept.
const KEPT_SURVIVORS: usize = 64;
/// Number of runs without a common part that must survive before it is blamed. A single one may by
/// chance survive before the first of many harmless runs with the part.
const MIN_SURVIVORS: usize = 2;
/// Factor by which the crashes of a common part must exceed those of another part before it is
/// blamed, if no run without it survives.
const COMMON_CRASH_FACTOR: usize = 2;
/// Time over which these crashes must be spread. Shorter series occur when all endpoints fail at
/// once for another cause.
const COMMON_CRASH_SPREAD: Duration = Duration::from_millis(1500);

/// The prompts of the latest calls, by service, and of the latest runs that survived.
#[derive(Debug, Default)]
pub(super) struct PartFrequency {
    calls: BTreeMap<ServiceId, VecDeque<Rc<[SuspectHash]>>>,
    survivors: VecDeque<(Duration, Rc<[SuspectHash]>)>,
}

impl PartFrequency {
    /// Records a call of a service, whether it is refused or not.
    pub(super) fn note(&mut self, service: ServiceId, parts: &Rc<[SuspectHash]>) {
        let is_full = self.calls.len() >= MAX_SERVICES;
        if is_full && !self.calls.contains_key(&service) {
            return;
        }
        let calls = self.calls.entry(service).or_default();
        if calls.len() >= KEPT_CALLS {
            calls.pop_front();
        }
        calls.push_back(Rc::clone(parts));
    }

    /// Records that a run survived: its endpoint wrote its answer for long enough.
    pub(super) fn note_survivor(&mut self, now: Duration, parts: &Rc<[SuspectHash]>) {
        if self.survivors.len() >= KEPT_SURVIVORS {
            self.survivors.pop_front();
        }
        self.survivors.push_back((now, Rc::clone(parts)));
    }

    /// Whether a part may be blamed for crashes in which no run with it survived: it is not common,
    /// or the crashes single it out.
    pub(super) fn may_blame(&self, part: SuspectHash, crashes: &[KnownCrash]) -> bool {
        if !self.is_common(part) {
            return true;
        }
        let found = || crashes.iter().map(|crash| crash.found_at);
        let first = found().min().unwrap_or_default();
        let spread = found().max().unwrap_or_default().saturating_sub(first);
        let enough = COMMON_CRASH_FACTOR * SuspectKind::Part.blocking_crashes();
        let is_series = crashes.len() >= enough && spread >= COMMON_CRASH_SPREAD;
        is_series || self.survivors_without(part, first) >= MIN_SURVIVORS
    }

    /// Number of runs without a part that survived since `since`.
    fn survivors_without(&self, part: SuspectHash, since: Duration) -> usize {
        let later = self.survivors.iter().filter(|(at, _)| *at > since);
        later.filter(|(_, parts)| !parts.contains(&part)).count()
    }

    /// Whether nearly all prompts of a service have a part.
    pub(super) fn is_common(&self, part: SuspectHash) -> bool {
        let mut services = self.calls.values();
        services.any(|calls| {
            let having = calls.iter().filter(|parts| parts.contains(&part)).count();
            calls.len() >= MIN_CALLS && having as f64 >= COMMON_SHARE * calls.len() as f64
        })
    }
}
