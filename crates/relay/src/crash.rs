//! Detection of requests that crash the endpoints that run them.
//!
//! A run that ends without an answer is pending until its cause is known: if its endpoint turns out
//! to be down, the request was lost in a crash; if the endpoint answers a later call, it was not.
//! Instances tell each other which endpoints they found down and which requests were lost there, so
//! that the two observations need not be made by the same instance. A request that was lost in too
//! many crashes is refused for a while. What is known of requests with several crashes is repeated
//! by every instance, so that it survives the one that found it.
//!
//! A request that was served does not crash each endpoint that runs it: crashes before its answer,
//! and shortly after, do not count. An instance that is told of such a crash objects.

mod loss;
mod outage;
mod served;
mod suspect;

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use wire::gateway::{
    CrashId, CrashNotice, EndpointCrash, MAX_NOTICE_CRASHES, MAX_NOTICE_REQUESTS,
    MAX_NOTICE_SERVED, ServedRequest,
};
use wire::id::{EndpointId, FingerprintHash};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::loss::LostRun;
use self::loss::PendingRuns;
use self::outage::{KnownCrash, RecentCrashes};
use self::served::ServedRequests;
use self::suspect::{BLOCKING_CRASHES, SUSPICION_TIME, SuspectRequest, SuspectTable};

/// Largest number of crashes in one repetition. Repetitions go on for as long as a request is
/// suspected, so they have to be small.
const MAX_REPEATED_CRASHES: usize = 6;
/// Added to all times, so that crashes from before the start of this instance have one, too.
const CLOCK_OFFSET: Duration = SUSPICION_TIME;

/// A decision of [`CrashTracker`], for the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// A run was lost; the cause is pending.
    Pending(LostRun),
    /// The endpoint answered a later call: the run was not lost in a crash.
    RuledOut(LostRun),
    /// Nothing told the cause of the loss in time.
    Expired(LostRun),
    /// An endpoint was found down. `crash` is new.
    Found {
        /// Id of the crash.
        crash: CrashId,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// A crash was counted against a request.
    Counted {
        /// The request.
        fingerprint: FingerprintHash,
        /// The endpoint that crashed.
        endpoint: EndpointId,
        /// Number of crashes in which the request was lost.
        crashes: usize,
        /// Whether the request was lost at this instance.
        is_own: bool,
    },
    /// The request is refused from now on.
    Blocked(FingerprintHash),
    /// Crashes no longer count against a request, as it was served.
    Cleared(FingerprintHash),
}

/// Tracks which requests are suspected of crashing endpoints, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Makes the ids of crashes differ between instances and starts.
    seed: u64,
    /// Number of crashes that this instance was the first to find.
    found: u64,
    suspects: SuspectTable,
    served: ServedRequests,
    pending: PendingRuns,
    crashes: RecentCrashes,
    /// Endpoints that are being checked by this instance.
    checking: HashSet<EndpointId>,
    /// What this instance added to a crash and has not announced: requests by crash.
    unannounced: BTreeMap<CrashId, Vec<FingerprintHash>>,
    /// Served requests that other instances still count as lost in crashes.
    unannounced_served: BTreeSet<FingerprintHash>,
    /// Fingerprint from which on [`Self::next_repetition`] goes on.
    next_repeated: FingerprintHash,
    /// Decisions that were not taken by [`Self::take_decisions`] yet, oldest first.
    decisions: Vec<CrashDecision>,
}

/// Observations of this instance.
impl CrashTracker {
    /// Creates a tracker. `seed` must differ between instances, and between their starts.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Records that a run of this instance was lost: its connection broke, or it was given up.
    pub fn note_lost(&mut self, now: Duration, run: LostRun) {
        let now = now + CLOCK_OFFSET;
        let run = LostRun {
            alive_at: run.alive_at + CLOCK_OFFSET,
            ..run
        };
        self.expire_pending(now);
        if let Some(crash) = self.crashes.cause_of(&run) {
            self.count_own(crash, run.fingerprint);
        } else if self.pending.push(now, run) {
            self.decisions.push(CrashDecision::Pending(run));
        }
    }

    /// Records that this instance found an endpoint down: it could not connect, or met another
    /// endpoint at its address.
    pub fn note_down(&mut self, now: Duration, endpoint: EndpointId) {
        let now = now + CLOCK_OFFSET;
        self.expire_pending(now);
        let lost = self.pending.take(|run| run.endpoint == endpoint);
        let known = self.crashes.open_at(endpoint);
        let is_covered = |run: &LostRun| known.is_some_and(|crash| crash.covers(run));
        let is_new = known.is_none() || !lost.iter().all(is_covered);
        let found = is_new.then(|| self.find_crash(now, endpoint));
        for run in lost {
            let crash = known.filter(|crash| crash.covers(&run)).or(found);
            if let Some(crash) = crash {
                self.count_own(crash, run.fingerprint);
            }
        }
    }

    /// Records that an endpoint answered a call that was sent to it at `sent_at`: runs that were
    /// lost up to then were not lost in a crash.
    pub fn note_alive(&mut self, endpoint: EndpointId, sent_at: Duration) {
        let sent_at = sent_at + CLOCK_OFFSET;
        self.crashes.end(endpoint, sent_at);
        let cleared = self.pending.take_lost_until(endpoint, sent_at);
        self.decisions
            .extend(cleared.into_iter().map(CrashDecision::RuledOut));
    }

    /// Records that an endpoint answered a request whole.
    pub fn note_served(&mut self, now: Duration, fingerprint: FingerprintHash) {
        let suspect = self.suspects.get(fingerprint);
        let is_repeated = suspect.is_some_and(SuspectRequest::is_repeated);
        self.learn_served(fingerprint, now + CLOCK_OFFSET);
        if is_repeated {
            self.unannounced_served.insert(fingerprint);
        }
    }

    /// Whether the cause of a lost run at an endpoint is pending.
    pub fn is_pending(&self, endpoint: EndpointId) -> bool {
        self.pending.is_at(endpoint)
    }

    /// Whether this instance should now check that an endpoint accepts connections, because the
    /// cause of a lost run there is pending. If so, no other check is due until
    /// [`Self::end_check`].
    pub fn start_check(&mut self, endpoint: EndpointId) -> bool {
        self.is_pending(endpoint) && self.checking.insert(endpoint)
    }

    /// Ends the check of an endpoint, whose result was recorded.
    pub fn end_check(&mut self, endpoint: EndpointId) {
        self.checking.remove(&endpoint);
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Duration) {
        let now = now + CLOCK_OFFSET;
        self.expire_pending(now);
        self.crashes.expire(now);
        self.suspects.expire(now);
        self.served.expire(now);
    }

    /// Takes the decisions since the last call of this function, oldest first.
    pub fn take_decisions(&mut self) -> Vec<CrashDecision> {
        std::mem::take(&mut self.decisions)
    }
}

/// Verdicts on requests.
impl CrashTracker {
    /// Time for which a request is refused, as it was lost in too many crashes; `None` if it may be
    /// sent to an endpoint.
    pub fn refused_for(&self, now: Duration, fingerprint: FingerprintHash) -> Option<Duration> {
        let suspect = self.suspects.get(fingerprint)?;
        suspect.refused_for(now + CLOCK_OFFSET)
    }

    /// Whether a request whose run was lost may be sent to another endpoint. Pending runs count as
    /// crashes here.
    pub fn may_retry(&self, fingerprint: FingerprintHash) -> bool {
        self.crashes_of(fingerprint) + self.pending.count_of(fingerprint) < BLOCKING_CRASHES
    }

    /// Number of crashes in which a request was lost.
    pub fn crashes_of(&self, fingerprint: FingerprintHash) -> usize {
        let suspect = self.suspects.get(fingerprint);
        suspect.map_or(0, SuspectRequest::count)
    }
}

/// Notices to and from other instances.
impl CrashTracker {
    /// Handles the notice of another instance. Returns objections, to be sent back to it.
    pub fn note_notice(&mut self, now: Duration, notice: &CrashNotice) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        self.expire_pending(now);
        for served in &notice.served {
            let age = Duration::from_millis(u64::from(served.age_ms));
            self.accept_objection(served.fingerprint, now.saturating_sub(age));
        }
        let mut objections = Vec::new();
        for told in &notice.crashes {
            objections.extend(self.learn_crash(now, told));
        }
        objections.truncate(MAX_NOTICE_SERVED);
        let served = self.served.to_notice(now, objections);
        (!served.is_empty()).then(|| CrashNotice {
            served,
            ..CrashNotice::default()
        })
    }

    /// Whether there is something that [`Self::take_notice`] has not announced.
    pub fn has_notice(&self) -> bool {
        !self.unannounced.is_empty() || !self.unannounced_served.is_empty()
    }

    /// Takes the next notice to the other instances of what this instance found.
    pub fn take_notice(&mut self, now: Duration) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        let notice = CrashNotice {
            crashes: self.take_unannounced(now),
            served: self.take_unannounced_served(now),
        };
        (notice != CrashNotice::default()).then_some(notice)
    }

    /// The next part of what this instance knows of requests with several crashes, whoever found
    /// these; `None` if there are none. Repeated to one instance after the other, so that those
    /// which have just started, or missed notices, learn of them.
    pub fn next_repetition(&mut self, now: Duration) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        let first = std::mem::take(&mut self.next_repeated);
        let mut told: BTreeMap<CrashId, EndpointCrash> = BTreeMap::new();
        let mut requests = 0;
        for (fingerprint, suspect) in self.suspects.repeated_from(first) {
            if requests + BLOCKING_CRASHES > MAX_REPEATED_CRASHES {
                self.next_repeated = fingerprint;
                break;
            }
            for crash in suspect.different().rev().take(BLOCKING_CRASHES) {
                let entry = told.entry(crash.id);
                let entry = entry.or_insert_with(|| crash.to_notice(now, Vec::new()));
                entry.requests.push(fingerprint);
                requests += 1;
            }
        }
        let crashes: Vec<EndpointCrash> = told.into_values().collect();
        (!crashes.is_empty()).then(|| CrashNotice {
            crashes,
            ..CrashNotice::default()
        })
    }

    fn take_unannounced(&mut self, now: Duration) -> Vec<EndpointCrash> {
        let mut told = Vec::new();
        let mut room = MAX_NOTICE_REQUESTS;
        while told.len() < MAX_NOTICE_CRASHES && room > 0 {
            let Some((id, mut requests)) = self.unannounced.pop_first() else {
                break;
            };
            let rest = requests.split_off(requests.len().min(room));
            room -= requests.len();
            if !rest.is_empty() {
                self.unannounced.insert(id, rest);
            }
            // A crash that is not known any more is too old to be announced.
            let known = self.crashes.get(id);
            told.extend(known.map(|crash| crash.to_notice(now, requests)));
        }
        told
    }

    fn take_unannounced_served(&mut self, now: Duration) -> Vec<ServedRequest> {
        let unannounced = std::mem::take(&mut self.unannounced_served);
        let mut requests = unannounced.into_iter();
        let told = self
            .served
            .to_notice(now, requests.by_ref().take(MAX_NOTICE_SERVED));
        self.unannounced_served = requests.collect();
        told
    }

    /// Learns of a crash that another instance told of. Returns the requests for which it does not
    /// count.
    fn learn_crash(&mut self, now: Duration, told: &EndpointCrash) -> Vec<FingerprintHash> {
        let known = self.crashes.get(told.id);
        let crash = known.unwrap_or_else(|| KnownCrash::of_notice(now, told));
        self.keep_crash(now, crash);
        for run in self.pending.take(|run| crash.covers(run)) {
            self.count_own(crash, run.fingerprint);
        }
        let (excused, counted): (Vec<FingerprintHash>, Vec<FingerprintHash>) = told
            .requests
            .iter()
            .partition(|fingerprint| self.served.excuses(&crash, **fingerprint));
        for fingerprint in counted {
            self.count(crash, fingerprint, false);
        }
        excused
    }

    /// Learns that a request was served at `at`. If this instance has announced crashes of it, the
    /// others have to learn of that, too.
    fn accept_objection(&mut self, fingerprint: FingerprintHash, at: Duration) {
        let suspect = self.suspects.get(fingerprint);
        let is_own = suspect.is_some_and(|suspect| suspect.is_own);
        if self.learn_served(fingerprint, at) && is_own {
            self.unannounced_served.insert(fingerprint);
        }
    }
}

impl CrashTracker {
    fn expire_pending(&mut self, now: Duration) {
        let expired = self.pending.take_expired(now);
        self.decisions
            .extend(expired.into_iter().map(CrashDecision::Expired));
    }

    /// Records a crash that this instance found.
    fn find_crash(&mut self, now: Duration, endpoint: EndpointId) -> KnownCrash {
        self.found += 1;
        let id = xxh3_64_with_seed(&self.found.to_le_bytes(), self.seed);
        let crash = KnownCrash::new(id, endpoint, now);
        self.crashes.end(endpoint, now);
        self.keep_crash(now, crash);
        self.unannounced.entry(id).or_default();
        crash
    }

    fn keep_crash(&mut self, now: Duration, crash: KnownCrash) {
        if self.crashes.insert(now, crash) {
            self.decisions.push(CrashDecision::Found {
                crash: crash.id,
                endpoint: crash.endpoint,
            });
        }
    }

    /// Counts a crash against a request of this instance, and announces it.
    fn count_own(&mut self, crash: KnownCrash, fingerprint: FingerprintHash) {
        if self.served.excuses(&crash, fingerprint) || !self.count(crash, fingerprint, true) {
            return;
        }
        self.suspects.note_own(fingerprint);
        let requests = self.unannounced.entry(crash.id).or_default();
        requests.push(fingerprint);
    }

    /// Counts a crash against a request. Returns whether it was not counted before.
    fn count(&mut self, crash: KnownCrash, fingerprint: FingerprintHash, is_own: bool) -> bool {
        let Some(count) = self.suspects.count(crash, fingerprint) else {
            return false;
        };
        self.decisions.push(CrashDecision::Counted {
            fingerprint,
            endpoint: crash.endpoint,
            crashes: count.crashes,
            is_own,
        });
        if count.is_blocked {
            self.decisions.push(CrashDecision::Blocked(fingerprint));
        }
        true
    }

    /// Records when a request was served, and drops the crashes that no longer count against it.
    /// Returns whether there were any.
    fn learn_served(&mut self, fingerprint: FingerprintHash, at: Duration) -> bool {
        let excused_until = self.served.note(fingerprint, at);
        let is_cleared = self.suspects.clear(fingerprint, excused_until);
        if is_cleared {
            self.decisions.push(CrashDecision::Cleared(fingerprint));
        }
        is_cleared
    }
}

/// Median of some times; zero if there are none.
fn median(times: impl Iterator<Item = Duration>) -> Duration {
    let mut sorted: Vec<Duration> = times.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
