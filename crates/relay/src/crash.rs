//! Detection of requests that crash the endpoints that run them.
//!
//! A run that ends without an answer is pending until its cause is known: if its endpoint turns out
//! to be down, the request was lost in a crash; if the endpoint answers a later call, it was not.
//! Instances tell each other which endpoints they found down and what was lost there, so that the
//! two observations need not be made by the same instance. A request that was lost in too many
//! crashes is refused for a while.
//!
//! It may also be a part of the prompt that crashes endpoints, whatever else the request holds. So
//! the shared parts of each lost prompt are suspected, too, and requests with a blamed part are
//! refused. Crashes that a blamed part explains count against nothing else. It takes more to blame
//! a part that nearly all prompts have, and single calls show whether it still crashes endpoints.
//! While a part of other prompts may explain the crashes of a request just as well, the request is
//! not refused yet.
//!
//! What is known of suspects with several crashes is repeated by every instance, so that it
//! survives the one that found it. What was served does not crash each endpoint that runs it:
//! crashes before its answer, and for a while after, do not count. An instance that is told of such
//! a crash objects.

mod blame;
mod culprit;
mod frequency;
mod loss;
mod outage;
mod probe;
mod served;
mod suspect;
mod suspicion;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use wire::gateway::{CrashId, CrashNotice, EndpointCrash};
use wire::id::{EndpointId, FingerprintHash, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::blame::Blame;
use self::culprit::RequestBlame;
use self::frequency::PartFrequency;
pub use self::loss::LostRun;
use self::loss::PendingRuns;
use self::outage::{KnownCrash, RecentCrashes};
use self::probe::PartProbes;
use self::suspect::{SUSPICION_TIME, SuspectRow};
use self::suspicion::Suspicion;
pub use self::suspicion::{SuspectHash, SuspectKind};

/// Added to all times, so that crashes from before the start of this instance have one, too.
const CLOCK_OFFSET: Duration = SUSPICION_TIME;
/// Time after the latest crash of a request for which a part may keep it from being refused. Shorter
/// than the time after which retries of a request that crashes endpoints are bounded.
const CONTEST_TIME: Duration = Duration::from_secs(2);

/// A decision of [`CrashTracker`], for the log and the metrics.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    /// A crash was counted against a suspect.
    Counted {
        /// Kind of the suspect.
        kind: SuspectKind,
        /// The suspect.
        hash: SuspectHash,
        /// The endpoint that crashed.
        endpoint: EndpointId,
        /// Number of crashes in which the suspect was lost.
        crashes: usize,
        /// Whether it was lost at this instance.
        is_own: bool,
    },
    /// The suspect is refused from now on.
    Blocked(SuspectKind, SuspectHash),
    /// Crashes no longer count against a suspect, as it was served.
    Cleared(SuspectKind, SuspectHash),
}

/// Tracks which requests, and which parts of prompts, are suspected of crashing endpoints.
#[derive(Debug)]
pub struct CrashTracker {
    /// Makes the ids of crashes differ between instances and starts.
    seed: u64,
    /// Number of crashes that this instance was the first to find.
    found: u64,
    requests: Suspicion,
    parts: Suspicion,
    /// Parts of the prompts of the latest calls.
    frequency: PartFrequency,
    /// Which parts are to blame. Follows from `parts` and `frequency`.
    blame: Blame,
    /// Which requests are to blame. Follows from `requests` and `blame`.
    culprits: RequestBlame,
    probes: PartProbes,
    pending: PendingRuns,
    crashes: RecentCrashes,
    /// Endpoints that are being checked by this instance.
    checking: HashSet<EndpointId>,
    /// Decisions that were not taken by [`Self::take_decisions`] yet, oldest first.
    decisions: Vec<CrashDecision>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self::new(0)
    }
}

/// Observations of this instance.
impl CrashTracker {
    /// Creates a tracker. `seed` must differ between instances, and between their starts.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            found: 0,
            requests: Suspicion::new(SuspectKind::Request),
            parts: Suspicion::new(SuspectKind::Part),
            frequency: PartFrequency::default(),
            blame: Blame::default(),
            culprits: RequestBlame::default(),
            probes: PartProbes::default(),
            pending: PendingRuns::default(),
            crashes: RecentCrashes::default(),
            checking: HashSet::new(),
            decisions: Vec::new(),
        }
    }

    /// Records a call to a service with these parts in its prompt, whether it is refused or not.
    pub fn note_call(&mut self, service: ServiceId, parts: &Rc<[SuspectHash]>) {
        if parts.is_empty() {
            return;
        }
        self.frequency.note(service, parts);
        let blamed = self.blame.groups.iter().flat_map(|group| &group.parts);
        let mut common = blamed.filter(|part| self.frequency.is_common(**part));
        if common.next().is_some() {
            self.blame_anew();
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
            self.count_own(crash, &run);
            self.update_blame();
        } else if self.pending.push(now, run.clone()) {
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
                self.count_own(crash, &run);
            }
        }
        self.update_blame();
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
        let now = now + CLOCK_OFFSET;
        self.requests
            .note_served(now, fingerprint, &mut self.decisions);
        self.update_blame();
    }

    /// Records that an endpoint generated a whole answer to a prompt with these parts.
    pub fn note_parts_served(&mut self, now: Duration, parts: &[SuspectHash]) {
        let now = now + CLOCK_OFFSET;
        for part in parts {
            self.parts.note_served(now, *part, &mut self.decisions);
        }
        self.update_blame();
    }

    /// Records that an endpoint has written an answer to a prompt with these parts for so long that
    /// none of them crashes each endpoint that begins to write.
    pub fn note_parts_survived(&mut self, now: Duration, parts: &Rc<[SuspectHash]>) {
        self.frequency.note_survivor(now + CLOCK_OFFSET, parts);
        self.note_parts_served(now, parts);
        // A run without a common part is evidence against that part.
        let enough = SuspectKind::Part.blocking_crashes();
        if self.parts.suspects.with_crashes(enough).next().is_some() {
            self.blame_anew();
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
        self.requests.expire(now);
        self.parts.expire(now);
        // What is common may have changed, too.
        self.blame_anew();
    }

    /// Takes the decisions since the last call of this function, oldest first.
    pub fn take_decisions(&mut self) -> Vec<CrashDecision> {
        std::mem::take(&mut self.decisions)
    }
}

/// Verdicts on requests.
impl CrashTracker {
    /// Time for which a request is refused, as it or a part of its prompt was lost in too many
    /// crashes; `None` if it may be sent to an endpoint.
    pub fn refused_for(
        &self,
        now: Duration,
        fingerprint: FingerprintHash,
        parts: &[SuspectHash],
    ) -> Option<Duration> {
        let now = now + CLOCK_OFFSET;
        let for_parts = self.blame.refused_for(now, parts);
        let is_blocked = self.crashes_of(fingerprint) >= SuspectKind::Request.blocking_crashes()
            && !self.is_contested(now, fingerprint, parts);
        let suspect = self.requests.suspects.get(fingerprint);
        let suspect = suspect.filter(|_| is_blocked);
        for_parts.max(suspect.and_then(|suspect| suspect.blocked_for(now)))
    }

    /// Whether a part that the prompt of a request does not have may explain the crashes of the
    /// request just as well. If so, the next crash or answer is awaited for a while.
    fn is_contested(
        &self,
        now: Duration,
        fingerprint: FingerprintHash,
        parts: &[SuspectHash],
    ) -> bool {
        let Some(suspect) = self.requests.suspects.get(fingerprint) else {
            return false;
        };
        let unexplained = self.unexplained_crashes(fingerprint, suspect);
        let crashes: Vec<KnownCrash> = unexplained.copied().collect();
        let found = crashes.iter().map(|crash| crash.found_at);
        let latest_at = found.max().unwrap_or_default();
        let is_decided = crashes.len() > SuspectKind::Request.blocking_crashes()
            || now >= latest_at + CONTEST_TIME
            || self.pending.count_of(fingerprint) > 0;
        let mut rivals = self.parts.rivals_of(now, &crashes);
        let is_rival = |part| !parts.contains(&part) && !self.frequency.is_common(part);
        !is_decided && rivals.any(is_rival)
    }

    /// Whether a request whose run was lost may be sent to another endpoint. Pending runs count as
    /// crashes here.
    pub fn may_retry(&self, fingerprint: FingerprintHash) -> bool {
        let crashes = self.crashes_of(fingerprint) + self.pending.count_of(fingerprint);
        crashes < SuspectKind::Request.blocking_crashes()
    }

    /// Number of crashes in which a request was lost, but for those that a blamed part or another
    /// blamed request explains.
    pub fn crashes_of(&self, fingerprint: FingerprintHash) -> usize {
        let Some(suspect) = self.requests.suspects.get(fingerprint) else {
            return 0;
        };
        self.unexplained_crashes(fingerprint, suspect).count()
    }

    fn unexplained_crashes<'a>(
        &'a self,
        fingerprint: FingerprintHash,
        suspect: &'a SuspectRow,
    ) -> impl Iterator<Item = &'a KnownCrash> {
        suspect.different().filter(move |crash| {
            !self.blame.explains(crash) && !self.culprits.clears(fingerprint, crash)
        })
    }

    /// Number of crashes in which requests with a part in their prompts were lost.
    pub fn crashes_of_part(&self, part: SuspectHash) -> usize {
        let suspect = self.parts.suspects.get(part);
        suspect.map_or(0, SuspectRow::count)
    }
}

/// Probes of blamed parts.
impl CrashTracker {
    /// Sets whether this instance makes the probes of the fleet. One instance at a time should.
    pub fn set_prober(&mut self, is_prober: bool) {
        self.probes.is_prober = is_prober;
    }

    /// Whether a request that is refused for these parts is let through all the same, as a probe.
    /// If so, the probe is counted.
    pub fn begin_probe(
        &mut self,
        now: Duration,
        fingerprint: FingerprintHash,
        parts: &[SuspectHash],
    ) -> bool {
        let now = now + CLOCK_OFFSET;
        let mut refused_by = self.blame.groups_in(parts);
        let (Some(group), None) = (refused_by.next(), refused_by.next()) else {
            return false;
        };
        let is_common = |part: &SuspectHash| self.frequency.is_common(*part);
        let is_suspect = self.crashes_of(fingerprint) > 0;
        let Some(part) = group.parts.first().copied() else {
            return false;
        };
        let may_probe = !is_suspect && group.parts.iter().all(is_common);
        may_probe && self.probes.begin(now, part, group.latest_at)
    }
}

/// Notices to and from other instances. Each concerns suspects of one kind.
impl CrashTracker {
    /// Handles the notice of another instance. Returns objections, to be sent back to it.
    pub fn note_notice(
        &mut self,
        now: Duration,
        kind: SuspectKind,
        notice: &CrashNotice,
    ) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        self.expire_pending(now);
        for served in &notice.served {
            let at = now.saturating_sub(Duration::from_millis(u64::from(served.age_ms)));
            let (suspicion, decisions) = self.suspicion(kind);
            suspicion.accept_objection(served.fingerprint, at, decisions);
        }
        let mut objections = Vec::new();
        for told in &notice.crashes {
            objections.extend(self.learn_crash(now, kind, told));
        }
        self.update_blame();
        self.suspicion(kind).0.objections(now, objections)
    }

    /// Whether there is something that [`Self::take_notice`] has not announced.
    pub fn has_notice(&self) -> bool {
        self.requests.has_notice() || self.parts.has_notice()
    }

    /// Takes the next notice to the other instances of what this instance found.
    pub fn take_notice(&mut self, now: Duration, kind: SuspectKind) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        match kind {
            SuspectKind::Request => self.requests.take_notice(now, &self.crashes),
            SuspectKind::Part => self.parts.take_notice(now, &self.crashes),
        }
    }

    /// The next part of what this instance knows of suspects with several crashes, whoever found
    /// these; `None` if there are none. Repeated to one instance after the other, so that those
    /// which have just started, or missed notices, learn of them.
    pub fn next_repetition(&mut self, now: Duration, kind: SuspectKind) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        self.suspicion(kind).0.next_repetition(now)
    }

    /// All that this instance knows of suspects with several crashes. [`Self::note_notice`] of
    /// another instance, or of one that starts later, takes it over.
    pub fn known_suspects(&self, now: Duration, kind: SuspectKind) -> CrashNotice {
        let now = now + CLOCK_OFFSET;
        match kind {
            SuspectKind::Request => self.requests.known(now),
            SuspectKind::Part => self.parts.known(now),
        }
    }

    /// Learns of a crash that another instance told of. Returns the suspects to which this instance
    /// objects.
    fn learn_crash(
        &mut self,
        now: Duration,
        kind: SuspectKind,
        told: &EndpointCrash,
    ) -> Vec<SuspectHash> {
        let known = self.crashes.get(told.id);
        let crash = known.unwrap_or_else(|| KnownCrash::of_notice(now, told));
        self.keep_crash(now, crash);
        for run in self.pending.take(|run| crash.covers(run)) {
            self.count_own(crash, &run);
        }
        let (suspicion, decisions) = self.suspicion(kind);
        suspicion.count_told(crash, &told.requests, decisions)
    }
}

impl CrashTracker {
    fn suspicion(&mut self, kind: SuspectKind) -> (&mut Suspicion, &mut Vec<CrashDecision>) {
        match kind {
            SuspectKind::Request => (&mut self.requests, &mut self.decisions),
            SuspectKind::Part => (&mut self.parts, &mut self.decisions),
        }
    }

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
        self.requests.announce(id);
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

    /// Counts a crash against a run of this instance: against its request and the parts of its
    /// prompt.
    fn count_own(&mut self, crash: KnownCrash, run: &LostRun) {
        let decisions = &mut self.decisions;
        self.requests.count_own(crash, run.fingerprint, decisions);
        for part in run.parts.iter() {
            self.parts.count_own(crash, *part, decisions);
        }
    }

    /// Blames parts and requests anew, if what is known of them has changed.
    fn update_blame(&mut self) {
        if self.parts.take_change() {
            self.blame_anew();
        } else if self.requests.take_change() {
            self.blame_requests();
        }
    }

    fn blame_anew(&mut self) {
        self.blame_parts();
        self.requests.take_change();
        self.blame_requests();
    }

    fn blame_requests(&mut self) {
        let culprits = RequestBlame::of(&self.requests, &self.blame);
        let before = std::mem::replace(&mut self.culprits, culprits);
        let blamed = self.culprits.requests();
        let new = blamed.filter(|request| !before.requests().any(|one| one == *request));
        let blocked = new.map(|request| CrashDecision::Blocked(SuspectKind::Request, request));
        self.decisions.extend(blocked);
    }

    fn blame_parts(&mut self) {
        let blame = Blame::of(&self.parts, &self.frequency);
        let before = std::mem::replace(&mut self.blame, blame);
        let groups = &self.blame.groups;
        self.probes
            .retain(|part| groups.iter().any(|group| group.parts.contains(&part)));
        let was_blamed = |part: &SuspectHash| {
            let mut groups = before.groups.iter();
            groups.any(|group| group.parts.contains(part))
        };
        let blamed = self.blame.groups.iter().flat_map(|group| &group.parts);
        let new = blamed.filter(|part| !was_blamed(part));
        let blocked = new.map(|part| CrashDecision::Blocked(SuspectKind::Part, *part));
        self.decisions.extend(blocked);
    }
}

/// Median of some times; zero if there are none.
fn median(times: impl Iterator<Item = Duration>) -> Duration {
    let mut sorted: Vec<Duration> = times.collect();
    sorted.sort_unstable();
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}
