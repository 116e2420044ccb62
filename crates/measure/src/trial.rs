//! Simulation of one policy on one request sequence.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use fault::FaultKind;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use route::preference::{PreferenceList, chat_key};
use route::{RetryBudget, RetrySettings, RouteDecision, RouteRequest, WarmHint, WarmLocation};
use settings::LoadLimits;
use wire::id::{EndpointId, name_id};

use crate::control_plane::ControlPlane;
use crate::fleet::{
    Fleet, OfferReply, OfferSpec, SERVICE, StepOutput, UNLIMITED, agent_settings, reusable_tokens,
    warm_tokens,
};
use crate::workload::{ChatNumber, RequestSequence, RequestSpec, StepNumber};

/// Shortest wait of a deferred request, to which the backoff is added.
const MIN_DEFERRAL: Duration = Duration::from_millis(200);
/// Number of timed decisions.
const TIMED_DECISIONS: usize = 10_000;
/// Length of the warm-up as a multiple of the mean request duration.
const WARM_UP_DURATIONS: f64 = 3.0;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Chooser {
    /// A random serving endpoint.
    Random,
    /// The least loaded endpoint in the entry's view.
    Least,
    /// The first endpoint of the preference order.
    Rendezvous,
    /// The decision of crate `route`.
    Warm,
    /// The least loaded endpoint by an exact view.
    IdealLoad,
    /// The endpoint under the load bound with the most cached tokens, by an exact view.
    IdealWarm,
}

/// Measurements of a trial after the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialResult {
    /// Requests that arrived.
    pub(crate) requests: u64,
    /// Requests that no endpoint admitted in any round.
    pub(crate) refused: u64,
    /// Waits at an entry after a round in which no endpoint admitted the request.
    pub(crate) deferred: u64,
    /// Refusals by endpoints.
    pub(crate) redirected: u64,
    /// Running requests that restarts aborted.
    pub(crate) cut: u64,
    /// Admissions after which an endpoint's load exceeded ceil(bound x exact mean load).
    pub(crate) over_bound: u64,
    /// Ratio of the largest load to the mean load, sampled at each step.
    pub(crate) peaks: Vec<f32>,
    /// Mean time of a decision of crate `route` on one entry's view.
    pub(crate) decision_time: Option<Duration>,
    /// Prefix tokens that earlier requests may have left in a cache.
    pub(crate) reusable_tokens: u64,
    /// Prefix tokens that were cached at the endpoint that ran the request.
    pub(crate) found_tokens: u64,
}

impl TrialResult {
    /// Returns the largest sample.
    pub(crate) fn max_over_mean(&self) -> f64 {
        self.peaks.iter().copied().fold(0.0, f32::max).into()
    }

    /// Returns the 99th percentile of the samples.
    pub(crate) fn p99_over_mean(&self) -> f64 {
        let mut peaks = self.peaks.clone();
        peaks.sort_by(f32::total_cmp);
        let index = (peaks.len() * 99 / 100).min(peaks.len().saturating_sub(1));
        peaks.get(index).copied().unwrap_or_default().into()
    }

    /// Returns the share of samples above `bound`.
    pub(crate) fn over_share(&self, bound: f64) -> f64 {
        let over = self.peaks.iter().filter(|peak| f64::from(**peak) > bound);
        over.count() as f64 / self.peaks.len().max(1) as f64
    }

    /// Returns the share of requests that no endpoint admitted.
    pub(crate) fn refused_share(&self) -> f64 {
        self.refused as f64 / self.requests.max(1) as f64
    }

    /// Returns the number of refusals by endpoints per request.
    pub(crate) fn redirected_share(&self) -> f64 {
        self.redirected as f64 / self.requests.max(1) as f64
    }

    /// Returns the number of waits at entries per request.
    pub(crate) fn deferred_share(&self) -> f64 {
        self.deferred as f64 / self.requests.max(1) as f64
    }

    /// Returns the share of reusable prefix tokens that were cached.
    pub(crate) fn hit(&self) -> f64 {
        self.found_tokens as f64 / self.reusable_tokens.max(1) as f64
    }
}

/// Simulates `chooser` on `sequence` under `limits`.
pub(crate) fn run_trial(
    sequence: &RequestSequence,
    chooser: Chooser,
    limits: LoadLimits,
) -> TrialResult {
    let start = Instant::now();
    let agent_limits = match chooser {
        Chooser::Warm => limits,
        Chooser::IdealLoad | Chooser::IdealWarm => UNLIMITED,
        Chooser::Random | Chooser::Least | Chooser::Rendezvous => LoadLimits {
            aim: limits.bound,
            ..limits
        },
    };
    let fleet = Fleet::new(sequence, agent_settings(agent_limits), start);
    let mut trial = Trial {
        control_plane: ControlPlane::new(&fleet, sequence, start),
        fleet,
        sequence,
        chooser,
        limits,
        hints: HashMap::new(),
        rng: Pcg64Mcg::new(u128::from(sequence.settings.seed) + 2),
        result: TrialResult::default(),
        warm_up: (WARM_UP_DURATIONS * sequence.mean_duration) as StepNumber,
        retries: RetryBudget::new(RetrySettings::default()),
        deferred: BinaryHeap::new(),
    };
    for step in 0..sequence.requests.len() as StepNumber {
        trial.step(step);
    }
    if chooser == Chooser::Warm {
        trial.time_decisions();
    }
    trial.result
}

struct Trial<'a> {
    sequence: &'a RequestSequence,
    fleet: Fleet<'a>,
    control_plane: ControlPlane,
    chooser: Chooser,
    limits: LoadLimits,
    /// Warm hint that the caller of each chat got with its last answer.
    hints: HashMap<ChatNumber, WarmHint>,
    rng: Pcg64Mcg,
    result: TrialResult,
    /// First measured step.
    warm_up: StepNumber,
    retries: RetryBudget,
    /// Requests that wait at their entry, the next due first.
    deferred: BinaryHeap<Reverse<DeferredRequest>>,
}

/// A request to be routed, possibly after a wait at its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DeferredRequest {
    due: StepNumber,
    request: usize,
    attempts: u8,
    /// Rounds in which no endpoint admitted the request.
    rounds: u8,
}

impl Trial<'_> {
    fn step(&mut self, step: StepNumber) {
        let mut output = self.fleet.advance(step);
        if !self.is_ideal() {
            self.control_plane.advance(&mut self.fleet, step);
        }
        self.route_deferred(step, &mut output);
        let first = DeferredRequest {
            due: step,
            request: step as usize,
            attempts: 0,
            rounds: 0,
        };
        self.route(first, &mut output);
        while let Some(work) = output.returned.pop() {
            let again = DeferredRequest {
                request: work.request,
                attempts: work.attempts,
                ..first
            };
            self.route(again, &mut output);
        }
        self.observe_answers(&output, step);
        if step >= self.warm_up {
            self.result.requests += 1;
            self.result.cut += output.cut;
            self.sample(step);
        }
    }

    fn is_ideal(&self) -> bool {
        matches!(self.chooser, Chooser::IdealLoad | Chooser::IdealWarm)
    }

    fn route_deferred(&mut self, step: StepNumber, output: &mut StepOutput) {
        while let Some(Reverse(waiting)) = self.deferred.peek().copied() {
            if waiting.due > step {
                return;
            }
            self.deferred.pop();
            self.route(waiting, output);
        }
    }

    /// Offers a request to endpoints until one admits it. Defers it if none is left or the hop
    /// limit is reached.
    fn route(&mut self, routed: DeferredRequest, output: &mut StepOutput) {
        let step = output.step;
        let is_measured = step >= self.warm_up;
        let now = self.fleet.time(step);
        let spec = &self.sequence.requests[routed.request];
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut attempts = routed.attempts;
        while tried.len() <= usize::from(self.retries.max_hops()) {
            let Some(endpoint) = self.choose(spec, &tried, step) else {
                break;
            };
            attempts += 1;
            let offer = OfferSpec {
                request: routed.request,
                attempt: attempts,
                hops: tried.len() as u8,
                is_warm: self.is_warm(spec, endpoint),
            };
            let reply = self.fleet.offer(endpoint, &offer, output);
            let found = &self.fleet.endpoints[endpoint];
            let (id, load) = (found.record.endpoint, found.load());
            let view = &mut self.control_plane.entries[spec.entry];
            view.add_pending(id);
            match reply {
                OfferReply::Admitted => {
                    view.observe_reply(id, load, now);
                    self.check_bound(endpoint, step);
                    return;
                }
                OfferReply::Refused(FaultKind::NoEndpoint) => view.observe_failure(id, now),
                OfferReply::Refused(kind) => view.observe_refusal(id, kind, load, now),
            }
            tried.push(id);
            self.result.redirected += u64::from(is_measured);
        }
        self.defer(routed, attempts, step);
    }

    /// Defers a request that no endpoint admitted in a round, or counts it as refused after the
    /// last round.
    fn defer(&mut self, routed: DeferredRequest, attempts: u8, step: StepNumber) {
        let is_measured = step >= self.warm_up;
        let rounds = routed.rounds + 1;
        if rounds >= self.retries.max_rounds() {
            self.result.refused += u64::from(is_measured);
            return;
        }
        self.result.deferred += u64::from(is_measured);
        let retry_after = Some(MIN_DEFERRAL);
        let wait = self
            .retries
            .backoff_after(u32::from(rounds), retry_after, &mut self.rng);
        self.deferred.push(Reverse(DeferredRequest {
            due: step + self.sequence.steps(wait),
            attempts,
            rounds,
            ..routed
        }));
    }

    fn check_bound(&mut self, endpoint: usize, step: StepNumber) {
        let now = self.fleet.time(step);
        let limit = (self.limits.bound * self.fleet.mean(now)).ceil();
        let load = f64::from(self.fleet.endpoints[endpoint].load().total());
        if load > limit && step >= self.warm_up {
            self.result.over_bound += 1;
        }
    }

    /// Updates the callers' hints and the entries' views from the answers of this step.
    fn observe_answers(&mut self, output: &StepOutput, step: StepNumber) {
        let now = self.fleet.time(step);
        for start in &output.started {
            let spec = &self.sequence.requests[start.request];
            let record = &self.fleet.endpoints[start.endpoint].record;
            let location = WarmLocation {
                endpoint: record.endpoint,
                cache_epoch: record.cache_epoch,
                tokens: reusable_tokens(spec) + spec.turn_tokens,
            };
            let hint = self.hints.entry(spec.chat).or_default();
            *hint = hint.moved_to(location);
            if step >= self.warm_up {
                self.result.reusable_tokens += u64::from(reusable_tokens(spec));
                let found = start.found_tokens.min(reusable_tokens(spec));
                self.result.found_tokens += u64::from(found);
            }
        }
        for (request, endpoint) in &output.ended {
            let entry = self.sequence.requests[*request].entry;
            let found = &self.fleet.endpoints[*endpoint];
            let view = &mut self.control_plane.entries[entry];
            view.observe_load(found.record.endpoint, found.load(), now);
        }
    }

    fn sample(&mut self, step: StepNumber) {
        let now = self.fleet.time(step);
        let (mean, largest) = self.fleet.mean_and_peak(now);
        if mean > 0.0 {
            let peak = f64::from(largest) / mean;
            self.result.peaks.push(peak as f32);
        }
    }

    fn choose(
        &mut self,
        spec: &RequestSpec,
        tried: &[EndpointId],
        step: StepNumber,
    ) -> Option<usize> {
        match self.chooser {
            Chooser::Random => self.choose_random(spec, tried, step),
            Chooser::Least => self.choose_least(spec, tried, step),
            Chooser::Rendezvous => self.choose_preferred(spec, tried),
            Chooser::Warm => self.choose_warm(spec, tried, step),
            Chooser::IdealLoad => self.choose_exact(tried, step, |_| 0),
            Chooser::IdealWarm => {
                let fleet = &self.fleet;
                let cached_tokens = |endpoint: usize| {
                    let cache = &fleet.endpoints[endpoint].cache;
                    warm_tokens(cache, spec).min(reusable_tokens(spec))
                };
                self.choose_exact(tried, step, cached_tokens)
            }
        }
    }

    /// Returns the endpoint under the bound with the most cached tokens, and of these the least
    /// loaded; the least loaded endpoint if none is under the bound.
    fn choose_exact(
        &self,
        tried: &[EndpointId],
        step: StepNumber,
        cached_tokens: impl Fn(usize) -> u32,
    ) -> Option<usize> {
        let now = self.fleet.time(step);
        let count = self.fleet.loads_in_mean(now).count().max(1) as f64;
        let limit = (self.limits.bound * (self.fleet.mean(now) + 1.0 / count)).ceil();
        let endpoints = self.fleet.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, found)| found.is_in_mean(now) && !tried.contains(&found.record.endpoint))
            .max_by_key(|(index, found)| {
                let load = found.load().total();
                let has_room = f64::from(load + 1) <= limit;
                let warm = if has_room { cached_tokens(*index) } else { 0 };
                (has_room, warm, Reverse(load))
            })
            .map(|(index, _)| index)
    }

    fn choose_random(
        &mut self,
        spec: &RequestSpec,
        tried: &[EndpointId],
        _step: StepNumber,
    ) -> Option<usize> {
        let view = &self.control_plane.entries[spec.entry];
        let serving: Vec<EndpointId> = view.serving(tried).map(|seen| seen.endpoint).collect();
        if serving.is_empty() {
            return None;
        }
        let draw = self.rng.random_range(0..serving.len());
        self.fleet.index(serving[draw])
    }

    fn choose_least(
        &mut self,
        spec: &RequestSpec,
        tried: &[EndpointId],
        _step: StepNumber,
    ) -> Option<usize> {
        let view = &self.control_plane.entries[spec.entry];
        let least = view.serving(tried).min_by_key(|seen| seen.load)?;
        self.fleet.index(least.endpoint)
    }

    fn choose_preferred(&mut self, spec: &RequestSpec, tried: &[EndpointId]) -> Option<usize> {
        let view = &self.control_plane.entries[spec.entry];
        let mut list = PreferenceList::<1>::default();
        let seen: Vec<EndpointId> = view.serving(tried).map(|seen| seen.endpoint).collect();
        for (row, endpoint) in (0..).zip(&seen) {
            list.offer(affinity(spec), *endpoint, 1, row);
        }
        let rank = list.ranks().first()?;
        self.fleet.index(seen[rank.row as usize])
    }

    /// Times the decisions of one entry. All use the same view, which stays in the processor's
    /// cache as it does in an entry process.
    fn time_decisions(&mut self) {
        let step = self.sequence.requests.len() as StepNumber;
        let requests = self.sequence.requests.iter().rev().take(TIMED_DECISIONS);
        let specs: Vec<RequestSpec> = requests
            .map(|spec| RequestSpec {
                entry: 0,
                ..spec.clone()
            })
            .collect();
        let start = Instant::now();
        for spec in &specs {
            self.decide(spec, &[], step);
        }
        self.result.decision_time = Some(start.elapsed() / specs.len().max(1) as u32);
    }

    /// Whether the caller's hint names the endpoint with its current cache epoch.
    fn is_warm(&self, spec: &RequestSpec, endpoint: usize) -> bool {
        let record = &self.fleet.endpoints[endpoint].record;
        let is_current = |location: &WarmLocation| {
            location.endpoint == record.endpoint && location.cache_epoch == record.cache_epoch
        };
        let hint = self.hints.get(&spec.chat);
        spec.has_hint && hint.is_some_and(|hint| hint.locations().iter().any(is_current))
    }

    fn choose_warm(
        &mut self,
        spec: &RequestSpec,
        tried: &[EndpointId],
        step: StepNumber,
    ) -> Option<usize> {
        let decision = self.decide(spec, tried, step);
        self.fleet.index(decision.endpoint?)
    }

    fn decide(
        &mut self,
        spec: &RequestSpec,
        tried: &[EndpointId],
        step: StepNumber,
    ) -> RouteDecision {
        let empty = WarmHint::default();
        let prefixes = [name_id(&format!("prompt-{}", spec.account))];
        let hint = self.hints.get(&spec.chat).filter(|_| spec.has_hint);
        let request = RouteRequest {
            service: SERVICE,
            model: None,
            affinity: affinity(spec),
            hint: hint.unwrap_or(&empty),
            prefixes: &prefixes,
            tried,
            limits: self.limits,
        };
        let now = self.fleet.time(step);
        let view = &self.control_plane.entries[spec.entry];
        view.choose(&request, now, &mut self.rng)
    }
}

fn affinity(spec: &RequestSpec) -> u64 {
    chat_key(u64::from(spec.account), &spec.chat.to_string())
}
