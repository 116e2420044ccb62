//! The admission state machine, which the agent drives with synchronous calls.
//!
//! Load is measured in requests, running and waiting, because the agent knows their number exactly
//! at any time. The tokens of a request are known only after it has ended.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use fault::{Fault, FaultKind};
use pace::statement::EndpointStatement;
use wire::answer::{AttemptKey, EndpointLoad, PriorityClass};
use wire::id::AccountId;
use wire::member::{EndpointState, ServiceMean};

use crate::account::{AccountTable, AccountUsage};
use crate::fair_queue::FairQueue;
use crate::mean::MeanForecast;
use crate::request::{AdmitAction, AdmitRequest, AdmitSettings, CancelOutcome};
use crate::start_pace::StartPace;

/// Weight of the newest sample in the moving average of the request duration.
const DURATION_GAIN: f64 = 0.05;
/// Lower limit of the retry-after time of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Upper limit of the retry-after time of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Longest wait for what the endpoint states. Beyond it a request is refused at once, as another
/// endpoint may have room.
const MAX_PACE_WAIT: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug)]
struct RunningRecord {
    account: AccountId,
    started_at: Instant,
}

/// Admission control for one endpoint.
#[derive(Clone, Debug)]
pub struct AdmitQueue {
    settings: AdmitSettings,
    state: EndpointState,
    /// Requests are refused before this time: the start of serving plus the join delay.
    open_at: Instant,
    waiting: FairQueue,
    /// At most `settings.slots` entries, unless that setting was reduced since they started.
    running: BTreeMap<AttemptKey, RunningRecord>,
    accounts: AccountTable,
    forecast: MeanForecast,
    /// Pace that the endpoint states.
    pace: StartPace,
    /// Moving average of the request duration in seconds; 0 until a request has ended.
    duration_seconds: f64,
}

impl AdmitQueue {
    /// Creates the queue of an endpoint that begins to serve at `now`.
    pub fn new(settings: AdmitSettings, now: Instant) -> Self {
        let open_at = now + settings.join_delay;
        Self {
            settings,
            state: EndpointState::Serving,
            open_at,
            waiting: FairQueue::default(),
            running: BTreeMap::new(),
            accounts: AccountTable::default(),
            forecast: MeanForecast::default(),
            pace: StartPace::new(now),
            duration_seconds: 0.0,
        }
    }

    /// Applies new settings. Requests already admitted are not refused.
    pub fn update_settings(&mut self, settings: AdmitSettings, now: Instant) -> Vec<AdmitAction> {
        self.settings = settings;
        self.start_waiting(now)
    }

    /// Records the service's mean load from a digest.
    pub fn observe_mean(&mut self, mean: &ServiceMean, now: Instant) {
        let own_load = self.load().total();
        self.forecast.observe(mean, own_load, now);
    }

    /// Records what the endpoint states in the head of an answer to a request that was sent at
    /// `sent_at`.
    pub fn note_statement(
        &mut self,
        now: Instant,
        sent_at: Instant,
        statement: EndpointStatement,
    ) -> Vec<AdmitAction> {
        self.pace.note(now, sent_at, statement);
        self.start_waiting(now)
    }

    /// Forgets what the endpoint stated: it has crashed, and the next process has stated nothing.
    pub fn forget_statements(&mut self, now: Instant) {
        self.pace = StartPace::new(now);
    }

    /// Whether the endpoint may be probed. The probe counts as a request.
    pub fn may_probe(&mut self, now: Instant) -> bool {
        self.pace.may_probe(now)
    }

    /// Sets the state of the endpoint. When it stops serving, all waiting requests are refused as
    /// not run. When it begins to serve, admission starts after the join delay.
    pub fn set_state(&mut self, state: EndpointState, now: Instant) -> Vec<AdmitAction> {
        let previous = std::mem::replace(&mut self.state, state);
        if state == EndpointState::Serving {
            if previous != EndpointState::Serving {
                self.open_at = now + self.settings.join_delay;
            }
            return Vec::new();
        }
        let dropped = self.waiting.take_if(|_| true);
        let refuse = |request| self.refuse_waiting(&request, closed_fault(state));
        dropped.into_iter().map(refuse).collect()
    }

    /// State of the endpoint.
    pub fn state(&self) -> EndpointState {
        self.state
    }

    /// Offers an attempt for admission. The attempt starts, waits or is refused. To make room for
    /// it, a waiting attempt of the account with the highest usage per share may be refused.
    pub fn offer(&mut self, request: AdmitRequest, now: Instant) -> Vec<AdmitAction> {
        debug_assert!(!self.contains(request.key), "attempt is offered twice");
        if let Err(fault) = self.check(&request, now) {
            let key = request.key;
            return vec![AdmitAction::Refuse { key, fault }];
        }
        let mut actions = Vec::new();
        if self.is_full(&request, now) {
            let Some(evicted) = self.evict_for(&request, now) else {
                return vec![self.refuse_full(&request)];
            };
            actions.push(evicted);
        }
        let key = request.key;
        self.accounts.usage_mut(request.account, now).waiting += 1;
        self.waiting.push(request);
        actions.extend(self.start_waiting(now));
        if !self.running.contains_key(&key) {
            actions.push(AdmitAction::Queue(key));
        }
        actions
    }

    /// Records the end of a running attempt, whatever its outcome, and starts waiting requests.
    pub fn finish(&mut self, key: AttemptKey, now: Instant) -> Vec<AdmitAction> {
        let Some(record) = self.running.remove(&key) else {
            return Vec::new();
        };
        self.accounts.usage_mut(record.account, now).running -= 1;
        self.observe_duration(now.saturating_duration_since(record.started_at));
        self.start_waiting(now)
    }

    /// Removes all running attempts after the endpoint crashed, and returns them. Their durations
    /// do not enter the moving average.
    pub fn fail_running(&mut self, now: Instant) -> Vec<AttemptKey> {
        let failed = std::mem::take(&mut self.running);
        for record in failed.values() {
            self.accounts.usage_mut(record.account, now).running -= 1;
        }
        failed.into_keys().collect()
    }

    /// Cancels an attempt. A running attempt keeps its slot until [`Self::finish`].
    pub fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        if self.running.contains_key(&key) {
            return CancelOutcome::Running;
        }
        let Some(request) = self.waiting.remove(key) else {
            return CancelOutcome::Unknown;
        };
        self.accounts.decrement_waiting(request.account);
        CancelOutcome::NotRun
    }

    /// Refuses waiting requests whose deadline has passed and starts those that may start. To be
    /// called at [`Self::next_wake`].
    pub fn tick(&mut self, now: Instant) -> Vec<AdmitAction> {
        let late = self.waiting.take_if(|request| request.deadline <= now);
        let mut actions: Vec<AdmitAction> = late
            .into_iter()
            .map(|request| {
                let fault = FaultKind::DeadlineUnmet.because("deadline passed in the queue");
                self.refuse_waiting(&request, fault)
            })
            .collect();
        actions.extend(self.start_waiting(now));
        self.accounts.remove_idle(now);
        actions
    }

    /// Time at which [`Self::tick`] is due: the earliest deadline of a waiting request, or when the
    /// endpoint takes the next one by what it states.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let deadline = self.waiting.iter().map(|request| request.deadline).min()?;
        let wait = self.pace.wait(now, 0);
        let has_slot = (self.running.len() as u32) < self.settings.slots;
        let is_paced = has_slot && !wait.is_zero();
        let paced = is_paced.then(|| now.checked_add(wait)).flatten();
        Some(paced.map_or(deadline, |at| at.min(deadline)))
    }

    /// Current load.
    pub fn load(&self) -> EndpointLoad {
        EndpointLoad {
            running: self.running.len() as u32,
            queued: self.waiting.len(),
        }
    }

    /// Whether no request is running or waiting.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// The running attempts.
    pub fn running(&self) -> impl Iterator<Item = AttemptKey> {
        self.running.keys().copied()
    }

    /// Largest load that admitting `request` may lead to, or `None` while the mean is unknown.
    pub fn load_limit(&self, request: &AdmitRequest, now: Instant) -> Option<u32> {
        let own_load = self.load().total() + 1;
        let weight = f64::from(self.settings.weight.max(1));
        let limits = self.settings.limits;
        let bound = self.load_bound(now)?;
        if request.hops >= self.settings.soft_hops {
            return Some(bound.ceil() as u32);
        }
        let expected = self.forecast.expected_mean(own_load, now)?;
        let endpoints = self.forecast.total_weight()? / weight;
        let aim = if request.is_warm {
            limits.warm_aim(self.forecast.absent_share())
        } else {
            limits.cold_aim(endpoints)
        };
        let aim_limit = aim * expected * weight;
        Some(aim_limit.min(bound).ceil() as u32)
    }

    /// Largest load that any admission may lead to, or `None` while the mean is unknown.
    pub fn hard_limit(&self, now: Instant) -> Option<u32> {
        Some(self.load_bound(now)?.ceil() as u32)
    }

    /// Checks the invariants.
    ///
    /// # Panics
    /// Panics if an invariant is violated.
    pub fn verify(&self) {
        let mut waiting: HashMap<AccountId, u32> = HashMap::new();
        for request in self.waiting.iter() {
            assert!(
                !self.running.contains_key(&request.key),
                "an attempt is both running and waiting"
            );
            *waiting.entry(request.account).or_default() += 1;
        }
        let mut running: HashMap<AccountId, u32> = HashMap::new();
        for record in self.running.values() {
            *running.entry(record.account).or_default() += 1;
        }
        for (account, usage) in self.accounts.iter() {
            let count = |counts: &HashMap<_, _>| counts.get(&account).copied().unwrap_or(0);
            assert_eq!(usage.waiting, count(&waiting));
            assert_eq!(usage.running, count(&running));
        }
        if self.state != EndpointState::Serving {
            assert!(
                self.waiting.is_empty(),
                "requests wait at an endpoint that does not serve"
            );
        }
    }

    /// The hard bound as a load: the bound times the lowest plausible mean, for this endpoint's
    /// weight.
    fn load_bound(&self, now: Instant) -> Option<f64> {
        let own_load = self.load().total() + 1;
        let lowest = self
            .forecast
            .lowest_mean(own_load, self.duration_seconds, now)?;
        let weight = f64::from(self.settings.weight.max(1));
        Some(self.settings.limits.bound * lowest * weight)
    }

    fn contains(&self, key: AttemptKey) -> bool {
        self.running.contains_key(&key) || self.waiting.iter().any(|request| request.key == key)
    }

    /// Checks everything but the load: state, join delay, deadline, concurrency and rate. Takes a
    /// token from the account's bucket.
    fn check(&mut self, request: &AdmitRequest, now: Instant) -> Result<(), Fault> {
        if self.state != EndpointState::Serving {
            return Err(closed_fault(self.state));
        }
        if now < self.open_at {
            let fault = FaultKind::Overloaded.because("endpoint is about to join");
            return Err(fault.retry_after(self.open_at - now));
        }
        let wait = self.pace.wait(now, self.waiting.len());
        if wait > MAX_PACE_WAIT {
            let fault = FaultKind::Overloaded.because("endpoint wants no more requests now");
            return Err(fault.retry_after(wait.min(MAX_RETRY_AFTER)));
        }
        let start_at = now + self.expected_wait(request.class).max(wait);
        if request.deadline <= start_at {
            let fault = FaultKind::DeadlineUnmet.because("request can't start before its deadline");
            return Err(fault.retry_after(self.retry_after()));
        }
        self.check_concurrency(request)?;
        let capacity_fraction = self.capacity_fraction();
        let taken = self.accounts.take_token(request, capacity_fraction, now);
        taken.map_err(|wait| {
            let fault = FaultKind::RateLimited.because("account exceeds its request rate");
            fault.retry_after(wait)
        })
    }

    fn check_concurrency(&self, request: &AdmitRequest) -> Result<(), Fault> {
        let usage = self.accounts.get(request.account);
        let waiting = usage.map_or(0, |usage| usage.waiting);
        let is_running_full = usage.is_some_and(|usage| usage.running >= request.concurrency);
        if request.concurrency == 0 || !is_running_full || waiting < request.concurrency {
            return Ok(());
        }
        let fault = FaultKind::ConcurrencyLimited.because("account has too many requests here");
        Err(fault.retry_after(self.retry_after()))
    }

    /// This endpoint's fraction of the service's capacity; 1 while the total is unknown.
    fn capacity_fraction(&self) -> f64 {
        let weight = f64::from(self.settings.weight.max(1));
        let total = self.forecast.total_weight().unwrap_or(weight);
        (weight / total).min(1.0)
    }

    fn is_full(&self, request: &AdmitRequest, now: Instant) -> bool {
        let load = self.load();
        let is_queue_full =
            load.running >= self.settings.slots && load.queued >= self.settings.queue_limit;
        let limit = self.load_limit(request, now);
        is_queue_full || limit.is_some_and(|limit| load.total() + 1 > limit)
    }

    /// Makes room for `request` by refusing a waiting request of the same or a lower class: the
    /// newest one, in its lowest class, of the account with the highest usage per share. Refuses
    /// none if the account of `request` would have at least that usage with `request`, or if one
    /// refusal does not make enough room.
    fn evict_for(&mut self, request: &AdmitRequest, now: Instant) -> Option<AdmitAction> {
        let limit = self.load_limit(request, now);
        if limit.is_some_and(|limit| self.load().total() > limit) {
            return None;
        }
        let own_usage = self.usage_per_share(request, 1);
        let waiting = self.waiting.iter();
        let heaviest = waiting
            .filter(|candidate| candidate.class >= request.class)
            .map(|candidate| (candidate.account, self.usage_per_share(candidate, 0)))
            .max_by(|left, right| left.1.total_cmp(&right.1));
        let (account, heaviest_usage) = heaviest?;
        if heaviest_usage <= own_usage {
            return None;
        }
        let evicted = self.waiting.pop_newest(account, request.class)?;
        let fault = FaultKind::Overloaded.because("account has more than its share here");
        let fault = fault.retry_after(self.retry_after());
        Some(self.refuse_waiting(&evicted, fault))
    }

    /// Requests of `request`'s account, plus `extra`, per unit of its share.
    fn usage_per_share(&self, request: &AdmitRequest, extra: u32) -> f64 {
        let usage = self.accounts.get(request.account);
        let total = usage.map_or(0, AccountUsage::total);
        f64::from(total + extra) / f64::from(request.share.max(1))
    }

    fn refuse_full(&mut self, request: &AdmitRequest) -> AdmitAction {
        self.accounts.return_token(request.account);
        let fault = FaultKind::Overloaded.because("endpoint is at its load bound");
        AdmitAction::Refuse {
            key: request.key,
            fault: fault.retry_after(self.retry_after()),
        }
    }

    /// Refuses a request that was just removed from the queue.
    fn refuse_waiting(&mut self, request: &AdmitRequest, fault: Fault) -> AdmitAction {
        self.accounts.return_token(request.account);
        self.accounts.decrement_waiting(request.account);
        AdmitAction::Refuse {
            key: request.key,
            fault,
        }
    }

    fn start_waiting(&mut self, now: Instant) -> Vec<AdmitAction> {
        let mut actions = Vec::new();
        while (self.running.len() as u32) < self.settings.slots && self.pace.wait(now, 0).is_zero()
        {
            let accounts = &self.accounts;
            let may_start = |request: &AdmitRequest| {
                let running = accounts
                    .get(request.account)
                    .map_or(0, |usage| usage.running);
                request.concurrency == 0 || running < request.concurrency
            };
            let Some(request) = self.waiting.pop(may_start) else {
                break;
            };
            self.pace.start(now);
            let account = request.account;
            let usage = self.accounts.usage_mut(account, now);
            usage.waiting -= 1;
            usage.running += 1;
            let record = RunningRecord {
                account,
                started_at: now,
            };
            self.running.insert(request.key, record);
            actions.push(AdmitAction::Start(request.key));
        }
        actions
    }

    fn observe_duration(&mut self, duration: Duration) {
        let seconds = duration.as_secs_f64();
        if self.duration_seconds <= 0.0 {
            self.duration_seconds = seconds;
        }
        self.duration_seconds += DURATION_GAIN * (seconds - self.duration_seconds);
    }

    /// Expected queueing time of a new request of `class`.
    fn expected_wait(&self, class: PriorityClass) -> Duration {
        let free = self
            .settings
            .slots
            .saturating_sub(self.running.len() as u32);
        let ahead = self.waiting.ahead_of(class);
        if ahead < free {
            return Duration::ZERO;
        }
        self.completion_time(ahead - free + 1)
    }

    /// Expected time until `completions` requests have ended, with all slots occupied.
    fn completion_time(&self, completions: u32) -> Duration {
        let slots = f64::from(self.settings.slots.max(1));
        Duration::from_secs_f64(self.duration_seconds * f64::from(completions) / slots)
    }

    /// Retry-after time of a refusal: the time in which the current queue drains, within limits.
    fn retry_after(&self) -> Duration {
        let wait = self.completion_time(self.waiting.len() + 1);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

fn closed_fault(state: EndpointState) -> Fault {
    match state {
        EndpointState::Down => FaultKind::NoEndpoint.because("endpoint is down"),
        EndpointState::Draining | EndpointState::Serving => {
            FaultKind::Draining.because("endpoint is leaving")
        }
    }
}
