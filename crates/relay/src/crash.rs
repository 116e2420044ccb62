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

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use wire::gateway::{
    CrashId, CrashNotice, EndpointCrash, MAX_NOTICE_CRASHES, MAX_NOTICE_REQUESTS,
    MAX_NOTICE_SERVED, ServedRequest,
};
use wire::id::{EndpointId, FingerprintHash};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of crashes in which a request was lost, from which on it is refused.
const BLOCKING_CRASHES: usize = 3;
/// Time for which a request is refused after the latest of these crashes.
const BLOCKING_TIME: Duration = Duration::from_secs(10 * 60);
/// Time after the latest crash of a request until its crashes are forgotten. A request that is let
/// through again before is refused after one more crash.
const SUSPICION_TIME: Duration = Duration::from_secs(60 * 60);
/// Time after a request was served within which crashes do not count against it. Protects frequent
/// requests while many endpoints crash at once.
const SERVED_TIME: Duration = Duration::from_secs(10);
/// Maximum number of served requests that are kept.
const MAX_SERVED: usize = 4096;
/// Time from the crash that makes a request refused until it is, in which other instances may
/// object.
const OBJECTION_TIME: Duration = Duration::from_millis(100);
/// Number of crashes in which a request was lost, from which on instances repeat them to each other.
const REPEATED_CRASHES: usize = 2;
/// Maximum number of suspected requests that are kept.
const MAX_SUSPECTS: usize = 4096;
/// Time within which a lost run is attributed to a crash that is found later.
const PENDING_TIME: Duration = Duration::from_secs(3);
/// Maximum number of lost runs whose cause is pending.
const MAX_PENDING_RUNS: usize = 1024;
/// Time for which a crash is kept, so that runs that were under way are attributed to it when they
/// are lost. Connections to an endpoint that fell silent fail late.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of crashes that are kept.
const MAX_KNOWN_CRASHES: usize = 1024;
/// Crashes of one endpoint that were found within this time of each other, by different instances,
/// are the same.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Added to all times, so that crashes from before the start of this instance have one, too.
const CLOCK_OFFSET: Duration = SUSPICION_TIME;

/// A run of a request at an endpoint that ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostRun {
    /// The request.
    pub fingerprint: FingerprintHash,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the endpoint last sent bytes for it, or else when the request was sent.
    pub alive_at: Duration,
}

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
    },
    /// The request is refused from now on, unless an instance objects.
    Blocked(FingerprintHash),
    /// Crashes no longer count against a request, as it was served.
    Cleared(FingerprintHash),
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestVerdict {
    /// It may.
    Send,
    /// It will be decided within this time.
    Wait(Duration),
    /// It was lost in too many crashes and is refused for this time.
    Refuse(Duration),
}

/// A crash of an endpoint that is known to this instance.
#[derive(Clone, Copy, Debug)]
struct KnownCrash {
    id: CrashId,
    endpoint: EndpointId,
    /// When the endpoint was found down.
    found_at: Duration,
    /// Whether the endpoint has answered since.
    is_over: bool,
}

impl KnownCrash {
    /// Whether a run that was lost may have been lost in the crash.
    fn covers(&self, run: &LostRun) -> bool {
        run.endpoint == self.endpoint && run.alive_at <= self.found_at
    }
}

/// A request that was lost in crashes.
#[derive(Debug, Default)]
struct SuspectRequest {
    /// The crashes, in the order in which they became known.
    crashes: Vec<KnownCrash>,
    /// When the number of crashes reached [`BLOCKING_CRASHES`].
    blocked_at: Duration,
    /// Whether a run of this instance was lost in one of the crashes.
    is_own: bool,
}

impl SuspectRequest {
    /// The different crashes. Of one that several instances found, only the first report.
    fn different(&self) -> impl DoubleEndedIterator<Item = &KnownCrash> {
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
    fn count(&self) -> usize {
        self.different().count()
    }

    /// Whether instances repeat to each other what they know of the request.
    fn is_repeated(&self) -> bool {
        self.count() >= REPEATED_CRASHES
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

/// Tracks which requests are suspected of crashing endpoints, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTracker {
    /// Makes the ids of crashes differ between instances and starts.
    seed: u64,
    /// Number of crashes that this instance was the first to find.
    found: u64,
    suspects: BTreeMap<FingerprintHash, SuspectRequest>,
    /// Requests that were served lately, with the time of the latest answer.
    served: BTreeMap<FingerprintHash, Duration>,
    /// Fingerprint from which on [`Self::next_repetition`] goes on.
    next_repeated: FingerprintHash,
    /// Runs of this instance that were lost and whose cause is pending, with the time of the loss,
    /// oldest first.
    pending: VecDeque<(LostRun, Duration)>,
    /// Recent crashes, the latest that became known last.
    crashes: VecDeque<KnownCrash>,
    /// Endpoints that are being checked by this instance.
    checking: HashSet<EndpointId>,
    /// What this instance added to a crash and has not announced: requests by crash.
    unannounced: BTreeMap<CrashId, Vec<FingerprintHash>>,
    /// Served requests that other instances still count as lost in crashes.
    unannounced_served: BTreeSet<FingerprintHash>,
    /// Decisions that were not taken by [`Self::take_decisions`] yet, oldest first.
    decisions: Vec<CrashDecision>,
}

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
        let crashes = self.crashes.iter().rev();
        let cause = crashes.copied().find(|crash| crash.covers(&run));
        if let Some(crash) = cause {
            self.count_own(now, crash, run.fingerprint);
        } else if self.pending.len() < MAX_PENDING_RUNS {
            self.pending.push_back((run, now));
            self.decisions.push(CrashDecision::Pending(run));
        }
    }

    /// Records that this instance found an endpoint down: it could not connect, or met another
    /// endpoint at its address.
    pub fn note_down(&mut self, now: Duration, endpoint: EndpointId) {
        let now = now + CLOCK_OFFSET;
        self.expire_pending(now);
        let lost = self.take_pending(|run| run.endpoint == endpoint);
        let known = self.open_crash(endpoint);
        let is_covered = |run: &LostRun| known.is_some_and(|crash| crash.covers(run));
        let is_new = known.is_none() || !lost.iter().all(is_covered);
        let found = is_new.then(|| self.find_crash(now, endpoint));
        for run in lost {
            let crash = known.filter(|crash| crash.covers(&run)).or(found);
            if let Some(crash) = crash {
                self.count_own(now, crash, run.fingerprint);
            }
        }
    }

    /// Records that an endpoint answered a call that was sent to it at `sent_at`: runs that were
    /// lost up to then were not lost in a crash.
    pub fn note_alive(&mut self, endpoint: EndpointId, sent_at: Duration) {
        let sent_at = sent_at + CLOCK_OFFSET;
        for crash in &mut self.crashes {
            crash.is_over |= crash.endpoint == endpoint && crash.found_at <= sent_at;
        }
        for (run, lost_at) in std::mem::take(&mut self.pending) {
            match run.endpoint == endpoint && lost_at <= sent_at {
                true => self.decisions.push(CrashDecision::RuledOut(run)),
                false => self.pending.push_back((run, lost_at)),
            }
        }
    }

    /// Records that an endpoint answered a request whole.
    pub fn note_served(&mut self, now: Duration, fingerprint: FingerprintHash) {
        let now = now + CLOCK_OFFSET;
        let is_repeated = self
            .suspects
            .get(&fingerprint)
            .is_some_and(SuspectRequest::is_repeated);
        self.learn_served(fingerprint, now);
        if is_repeated {
            self.unannounced_served.insert(fingerprint);
        }
    }

    /// Handles the notice of another instance. Returns objections, to be sent back to it.
    pub fn note_notice(&mut self, now: Duration, notice: &CrashNotice) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        self.expire_pending(now);
        for served in &notice.served {
            let at = now.saturating_sub(Duration::from_millis(u64::from(served.age_ms)));
            let is_own = self
                .suspects
                .get(&served.fingerprint)
                .is_some_and(|suspect| suspect.is_own);
            if self.learn_served(served.fingerprint, at) && is_own {
                self.unannounced_served.insert(served.fingerprint);
            }
        }
        let mut objections = Vec::new();
        for told in &notice.crashes {
            let crash = self.learn_crash(now, told);
            for run in self.take_pending(|run| crash.covers(run)) {
                self.count_own(now, crash, run.fingerprint);
            }
            for fingerprint in &told.requests {
                match self.was_served(crash, *fingerprint) {
                    true => objections.push(*fingerprint),
                    false => _ = self.count(now, crash, *fingerprint),
                }
            }
        }
        objections.truncate(MAX_NOTICE_SERVED);
        let served = self.told_served(now, &objections);
        (!served.is_empty()).then(|| CrashNotice {
            served,
            ..CrashNotice::default()
        })
    }

    /// Whether a request may be sent to an endpoint.
    pub fn verdict(&self, now: Duration, fingerprint: FingerprintHash) -> RequestVerdict {
        let now = now + CLOCK_OFFSET;
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return RequestVerdict::Send;
        };
        let refused_until = suspect.latest_at() + BLOCKING_TIME;
        if suspect.count() < BLOCKING_CRASHES || now >= refused_until {
            return RequestVerdict::Send;
        }
        let decided_at = suspect.blocked_at + OBJECTION_TIME;
        match now < decided_at {
            true => RequestVerdict::Wait(decided_at - now),
            false => RequestVerdict::Refuse(refused_until - now),
        }
    }

    /// Whether a request whose run was lost may be sent to another endpoint. Pending runs count as
    /// crashes here.
    pub fn may_retry(&self, fingerprint: FingerprintHash) -> bool {
        let pending = self.pending.iter();
        let pending = pending.filter(|(run, _)| run.fingerprint == fingerprint);
        self.crashes_of(fingerprint) + pending.count() < BLOCKING_CRASHES
    }

    /// Number of crashes in which a request was lost.
    pub fn crashes_of(&self, fingerprint: FingerprintHash) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, SuspectRequest::count)
    }

    /// Whether the cause of a lost run at an endpoint is pending.
    pub fn is_pending(&self, endpoint: EndpointId) -> bool {
        self.pending.iter().any(|(run, _)| run.endpoint == endpoint)
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
        self.crashes
            .retain(|crash| now < crash.found_at + CRASH_RETENTION);
        self.suspects
            .retain(|_, suspect| now < suspect.latest_at() + SUSPICION_TIME);
        self.served.retain(|_, at| now < *at + SUSPICION_TIME);
    }

    /// Takes the decisions since the last call of this function, oldest first.
    pub fn take_decisions(&mut self) -> Vec<CrashDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Whether there is something that [`Self::take_notice`] has not announced.
    pub fn has_notice(&self) -> bool {
        !self.unannounced.is_empty() || !self.unannounced_served.is_empty()
    }

    /// Takes the next notice to the other instances of what this instance found.
    pub fn take_notice(&mut self, now: Duration) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        let mut notice = CrashNotice::default();
        let mut room = MAX_NOTICE_REQUESTS;
        while notice.crashes.len() < MAX_NOTICE_CRASHES && room > 0 {
            let Some((id, mut requests)) = self.unannounced.pop_first() else {
                break;
            };
            let rest = requests.split_off(requests.len().min(room));
            room -= requests.len();
            if !rest.is_empty() {
                self.unannounced.insert(id, rest);
            }
            let known = self.crashes.iter().find(|crash| crash.id == id);
            notice
                .crashes
                .extend(known.map(|crash| told_crash(now, crash, requests)));
        }
        let mut served = Vec::new();
        while let Some(fingerprint) = self.unannounced_served.pop_first() {
            served.push(fingerprint);
            if served.len() == MAX_NOTICE_SERVED {
                break;
            }
        }
        notice.served = self.told_served(now, &served);
        let is_empty = notice.crashes.is_empty() && notice.served.is_empty();
        (!is_empty).then_some(notice)
    }

    /// The next part of what this instance knows of requests with several crashes, whoever found
    /// these; `None` if there are none. Repeated to one instance after the other, so that those
    /// which have just started, or missed notices, learn of them.
    pub fn next_repetition(&mut self, now: Duration) -> Option<CrashNotice> {
        let now = now + CLOCK_OFFSET;
        let (before, after) = (..self.next_repeated, self.next_repeated..);
        self.next_repeated = 0;
        let in_turn = self
            .suspects
            .range(after)
            .chain(self.suspects.range(before));
        let mut told: BTreeMap<CrashId, EndpointCrash> = BTreeMap::new();
        let mut requests = 0;
        for (fingerprint, suspect) in in_turn.filter(|(_, suspect)| suspect.is_repeated()) {
            let is_full = told.len() + BLOCKING_CRASHES > MAX_NOTICE_CRASHES
                || requests + BLOCKING_CRASHES > MAX_NOTICE_REQUESTS;
            if is_full {
                self.next_repeated = *fingerprint;
                break;
            }
            for crash in suspect.different().rev().take(BLOCKING_CRASHES) {
                let entry = told.entry(crash.id);
                let entry = entry.or_insert_with(|| told_crash(now, crash, Vec::new()));
                entry.requests.push(*fingerprint);
                requests += 1;
            }
        }
        let crashes: Vec<EndpointCrash> = told.into_values().collect();
        (!crashes.is_empty()).then(|| CrashNotice {
            crashes,
            ..CrashNotice::default()
        })
    }

    fn expire_pending(&mut self, now: Duration) {
        let is_expired = |(_, at): &mut (LostRun, Duration)| now >= *at + PENDING_TIME;
        while let Some((run, _)) = self.pending.pop_front_if(is_expired) {
            self.decisions.push(CrashDecision::Expired(run));
        }
    }

    fn take_pending(&mut self, is_taken: impl Fn(&LostRun) -> bool) -> Vec<LostRun> {
        let (taken, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(run, _)| is_taken(run));
        self.pending = kept;
        taken.into_iter().map(|(run, _)| run).collect()
    }

    /// The crash of an endpoint that has not answered since.
    fn open_crash(&self, endpoint: EndpointId) -> Option<KnownCrash> {
        let mut crashes = self.crashes.iter().rev();
        crashes
            .find(|crash| crash.endpoint == endpoint && !crash.is_over)
            .copied()
    }

    /// Records a crash that this instance found.
    fn find_crash(&mut self, now: Duration, endpoint: EndpointId) -> KnownCrash {
        self.found += 1;
        let id = xxh3_64_with_seed(&self.found.to_le_bytes(), self.seed);
        for earlier in &mut self.crashes {
            earlier.is_over |= earlier.endpoint == endpoint;
        }
        let crash = self.keep_crash(KnownCrash {
            id,
            endpoint,
            found_at: now,
            is_over: false,
        });
        self.unannounced.entry(id).or_default();
        crash
    }

    /// Records a crash that another instance told of, unless it is too old to explain further
    /// losses.
    fn learn_crash(&mut self, now: Duration, told: &EndpointCrash) -> KnownCrash {
        if let Some(known) = self.crashes.iter().find(|crash| crash.id == told.id) {
            return *known;
        }
        let age = Duration::from_millis(u64::from(told.age_ms));
        let crash = KnownCrash {
            id: told.id,
            endpoint: told.endpoint,
            found_at: now.saturating_sub(age),
            is_over: false,
        };
        match age < CRASH_RETENTION {
            true => self.keep_crash(crash),
            false => crash,
        }
    }

    fn keep_crash(&mut self, crash: KnownCrash) -> KnownCrash {
        if self.crashes.len() >= MAX_KNOWN_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
        self.decisions.push(CrashDecision::Found {
            crash: crash.id,
            endpoint: crash.endpoint,
        });
        crash
    }

    /// Whether a request was served after a crash, or shortly before.
    fn was_served(&self, crash: KnownCrash, fingerprint: FingerprintHash) -> bool {
        let served_at = self.served.get(&fingerprint);
        served_at.is_some_and(|at| crash.found_at <= *at + SERVED_TIME)
    }

    /// Records when a request was served, and drops the crashes that no longer count against it.
    /// Returns whether there were any.
    fn learn_served(&mut self, fingerprint: FingerprintHash, at: Duration) -> bool {
        if self.served.len() >= MAX_SERVED {
            drop_older_half(&mut self.served);
        }
        let served_at = self.served.entry(fingerprint).or_default();
        *served_at = at.max(*served_at);
        let counts_from = *served_at + SERVED_TIME;
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return false;
        };
        let before = suspect.crashes.len();
        suspect.crashes.retain(|crash| crash.found_at > counts_from);
        let is_cleared = suspect.crashes.len() < before;
        if suspect.crashes.is_empty() {
            self.suspects.remove(&fingerprint);
        }
        if is_cleared {
            self.decisions.push(CrashDecision::Cleared(fingerprint));
        }
        is_cleared
    }

    fn told_served(&self, now: Duration, requests: &[FingerprintHash]) -> Vec<ServedRequest> {
        let served = requests.iter().filter_map(|fingerprint| {
            Some(ServedRequest {
                fingerprint: *fingerprint,
                age_ms: age_ms(now, *self.served.get(fingerprint)?),
            })
        });
        served.collect()
    }

    /// Counts a crash against a request of this instance, and announces it.
    fn count_own(&mut self, now: Duration, crash: KnownCrash, fingerprint: FingerprintHash) {
        if self.was_served(crash, fingerprint) || !self.count(now, crash, fingerprint) {
            return;
        }
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.is_own = true;
        }
        let requests = self.unannounced.entry(crash.id).or_default();
        requests.push(fingerprint);
    }

    /// Counts a crash against a request. Returns whether it was not counted before.
    fn count(&mut self, now: Duration, crash: KnownCrash, fingerprint: FingerprintHash) -> bool {
        if !self.has_room(fingerprint) {
            return false;
        }
        let suspect = self.suspects.entry(fingerprint).or_default();
        if suspect.crashes.iter().any(|known| known.id == crash.id) {
            return false;
        }
        let before = suspect.count();
        suspect.crashes.push(crash);
        let crashes = suspect.count();
        self.decisions.push(CrashDecision::Counted {
            fingerprint,
            endpoint: crash.endpoint,
            crashes,
        });
        if before < BLOCKING_CRASHES && crashes >= BLOCKING_CRASHES {
            suspect.blocked_at = now;
            self.decisions.push(CrashDecision::Blocked(fingerprint));
        }
        true
    }

    /// Makes room for a request in a full table. Returns `false` if every other one was lost in
    /// several crashes.
    fn has_room(&mut self, fingerprint: FingerprintHash) -> bool {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            self.drop_weak_suspects();
        }
        self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint)
    }

    /// Forgets the older half of the requests that were lost in a single crash.
    fn drop_weak_suspects(&mut self) {
        let weak = self.suspects.values().filter(|suspect| suspect.is_weak());
        let mut found: Vec<Duration> = weak.map(SuspectRequest::latest_at).collect();
        found.sort_unstable();
        if let Some(median) = found.get(found.len() / 2).copied() {
            self.suspects
                .retain(|_, suspect| !suspect.is_weak() || suspect.latest_at() > median);
        }
    }
}

fn told_crash(now: Duration, crash: &KnownCrash, requests: Vec<FingerprintHash>) -> EndpointCrash {
    EndpointCrash {
        id: crash.id,
        endpoint: crash.endpoint,
        age_ms: age_ms(now, crash.found_at),
        requests,
    }
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    let age = now.saturating_sub(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}

/// Removes the entries up to the median time.
fn drop_older_half(times: &mut BTreeMap<FingerprintHash, Duration>) {
    let mut sorted: Vec<Duration> = times.values().copied().collect();
    sorted.sort_unstable();
    if let Some(median) = sorted.get(sorted.len() / 2).copied() {
        times.retain(|_, at| *at > median);
    }
}
