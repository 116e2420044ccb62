//! Simulated endpoints of one service: admission, running requests, caches and restarts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use admit::{AdmitAction, AdmitQueue, AdmitRequest, AdmitSettings};
use fault::FaultKind;
use settings::LoadLimits;
use wire::answer::{AttemptKey, EndpointLoad, PriorityClass};
use wire::id::{EndpointId, name_id};
use wire::member::{EndpointRecord, EndpointState};

use crate::cache::{CacheKey, PrefixCache};
use crate::workload::{RequestSequence, RequestSpec, SLOTS, StepNumber};

/// Id of the simulated service.
pub(crate) const SERVICE: u64 = 1;
/// Time from the restart of an endpoint until it serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Capacity of the prefix cache of one endpoint in tokens.
const CACHE_TOKENS: u64 = 1_500_000;
/// Failure domains, to which the endpoints are assigned in turn.
const DOMAINS: u64 = 4;
/// Time from an offer to its deadline.
const DEADLINE: Duration = Duration::from_secs(120);

/// A simulated endpoint with its agent's admission queue.
pub(crate) struct FleetEndpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) queue: AdmitQueue,
    pub(crate) cache: PrefixCache,
    /// When the endpoint counts in the mean load: at the start, or the join delay after a restart.
    pub(crate) in_mean_from: Instant,
}

impl FleetEndpoint {
    pub(crate) fn load(&self) -> EndpointLoad {
        self.queue.load()
    }

    /// Whether the endpoint counts in the mean load: it serves and its join delay is over.
    pub(crate) fn is_in_mean(&self, now: Instant) -> bool {
        self.queue.state() == EndpointState::Serving && now >= self.in_mean_from
    }
}

/// An event scheduled for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    Finish { endpoint: usize, key: AttemptKey },
    Serve { endpoint: usize },
}

/// Reply of an endpoint to an offered request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OfferReply {
    /// The request runs or is queued.
    Admitted,
    /// The request was refused with this kind of fault.
    Refused(FaultKind),
}

/// A queued request that an endpoint refused later. It has not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReturnedWork {
    pub(crate) request: usize,
    /// Number of the last attempt.
    pub(crate) attempts: u8,
}

/// An offer of a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferSpec {
    pub(crate) request: usize,
    /// Number of the attempt, starting with 1.
    pub(crate) attempt: u8,
    /// Number of endpoints that refused the request in this round.
    pub(crate) hops: u8,
    /// Whether the caller's warm hint names the endpoint and its current cache epoch.
    pub(crate) is_warm: bool,
}

/// Start of a request at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartRecord {
    pub(crate) request: usize,
    pub(crate) endpoint: usize,
    pub(crate) found_tokens: u32,
}

/// Events of one step other than admissions.
#[derive(Default)]
pub(crate) struct StepOutput {
    pub(crate) step: StepNumber,
    pub(crate) returned: Vec<ReturnedWork>,
    pub(crate) started: Vec<StartRecord>,
    /// Requests that ended, each with the index of its endpoint.
    pub(crate) ended: Vec<(usize, usize)>,
    /// Number of running requests that a restart aborted.
    pub(crate) cut: u64,
}

/// The simulated endpoints of one service.
pub(crate) struct Fleet<'a> {
    sequence: &'a RequestSequence,
    pub(crate) endpoints: Vec<FleetEndpoint>,
    /// Indexes of the endpoints by id.
    indexes: HashMap<EndpointId, usize>,
    events: BinaryHeap<Reverse<(StepNumber, FleetEvent)>>,
    next_restart: usize,
    settings: AdmitSettings,
    start: Instant,
}

impl<'a> Fleet<'a> {
    /// Creates a fleet whose endpoints all serve from `start` on, without a join delay.
    pub(crate) fn new(
        sequence: &'a RequestSequence,
        settings: AdmitSettings,
        start: Instant,
    ) -> Self {
        let initial = AdmitSettings {
            join_delay: Duration::ZERO,
            ..settings.clone()
        };
        let endpoints: Vec<FleetEndpoint> = (0..sequence.settings.endpoints as u64)
            .map(|number| FleetEndpoint {
                record: endpoint_record(number),
                queue: AdmitQueue::new(initial.clone(), start),
                cache: PrefixCache::new(CACHE_TOKENS),
                in_mean_from: start,
            })
            .collect();
        let numbered = endpoints.iter().enumerate();
        let indexes = numbered
            .map(|(index, found)| (found.record.endpoint, index))
            .collect();
        Self {
            sequence,
            endpoints,
            indexes,
            events: BinaryHeap::new(),
            next_restart: 0,
            settings,
            start,
        }
    }

    /// Returns the time at the beginning of `step`.
    pub(crate) fn time(&self, step: StepNumber) -> Instant {
        self.start + self.sequence.step_time.mul_f64(step as f64)
    }

    /// Returns the index of the endpoint with this id.
    pub(crate) fn index(&self, endpoint: EndpointId) -> Option<usize> {
        self.indexes.get(&endpoint).copied()
    }

    /// Processes all events and restarts that are due by `step`.
    pub(crate) fn advance(&mut self, step: StepNumber) -> StepOutput {
        let mut output = StepOutput {
            step,
            ..StepOutput::default()
        };
        while let Some(Reverse((due, event))) = self.events.peek().copied() {
            if due > step {
                break;
            }
            self.events.pop();
            match event {
                FleetEvent::Finish { endpoint, key } => self.finish(endpoint, key, &mut output),
                FleetEvent::Serve { endpoint } => self.serve(endpoint, step),
            }
        }
        while let Some(restart) = self.sequence.restarts.get(self.next_restart) {
            if restart.step > step {
                break;
            }
            self.next_restart += 1;
            self.restart(restart.endpoint, &mut output);
        }
        output
    }

    /// Offers a request to an endpoint.
    pub(crate) fn offer(
        &mut self,
        endpoint: usize,
        offer: &OfferSpec,
        output: &mut StepOutput,
    ) -> OfferReply {
        let now = self.time(output.step);
        let spec = &self.sequence.requests[offer.request];
        let key = AttemptKey {
            request: offer.request as u128,
            attempt: offer.attempt.into(),
        };
        let offered = AdmitRequest {
            key,
            account: u64::from(spec.account),
            class: PriorityClass::Interactive,
            deadline: now + DEADLINE,
            hops: offer.hops,
            is_warm: offer.is_warm,
            share: 1,
            rate_per_second: 0.0,
            concurrency: 0,
        };
        let actions = self.endpoints[endpoint].queue.offer(offered, now);
        let refusal = actions.iter().find_map(|action| match action {
            AdmitAction::Refuse {
                key: refused,
                fault,
            } if *refused == key => Some(fault.kind),
            _ => None,
        });
        if let Some(kind) = refusal {
            return OfferReply::Refused(kind);
        }
        self.apply(endpoint, &actions, output);
        OfferReply::Admitted
    }

    fn apply(&mut self, endpoint: usize, actions: &[AdmitAction], output: &mut StepOutput) {
        for action in actions {
            match action {
                AdmitAction::Queue(_) => {}
                AdmitAction::Start(key) => self.run(endpoint, *key, output),
                AdmitAction::Refuse { key, .. } => output.returned.push(ReturnedWork {
                    request: key.request as usize,
                    attempts: key.attempt as u8,
                }),
            }
        }
    }

    fn run(&mut self, endpoint: usize, key: AttemptKey, output: &mut StepOutput) {
        let request = key.request as usize;
        let spec = &self.sequence.requests[request];
        let end = output.step + spec.duration;
        self.events
            .push(Reverse((end, FleetEvent::Finish { endpoint, key })));
        let found_tokens = use_cache(&mut self.endpoints[endpoint].cache, spec);
        output.started.push(StartRecord {
            request,
            endpoint,
            found_tokens,
        });
    }

    fn finish(&mut self, endpoint: usize, key: AttemptKey, output: &mut StepOutput) {
        let now = self.time(output.step);
        let queue = &mut self.endpoints[endpoint].queue;
        let before = queue.load().total();
        let actions = queue.finish(key, now);
        // A restart has already removed the attempts that it aborted.
        if queue.load().total() < before {
            output.ended.push((key.request as usize, endpoint));
        }
        self.apply(endpoint, &actions, output);
    }

    fn restart(&mut self, endpoint: usize, output: &mut StepOutput) {
        let now = self.time(output.step);
        let found = &mut self.endpoints[endpoint];
        if found.queue.state() != EndpointState::Serving {
            return;
        }
        let actions = found.queue.set_state(EndpointState::Down, now);
        let running = found.queue.fail_running(now);
        found.cache = PrefixCache::new(CACHE_TOKENS);
        output.cut += running.len() as u64;
        self.apply(endpoint, &actions, output);
        let serve_at = output.step + self.sequence.steps(RESTART_TIME);
        self.events
            .push(Reverse((serve_at, FleetEvent::Serve { endpoint })));
    }

    fn serve(&mut self, endpoint: usize, step: StepNumber) {
        let now = self.time(step);
        let found = &mut self.endpoints[endpoint];
        found.record.cache_epoch += 1;
        found.queue.update_settings(self.settings.clone(), now);
        found.queue.set_state(EndpointState::Serving, now);
        found.in_mean_from = now + self.settings.join_delay;
    }

    /// Returns the loads of the endpoints that count in the mean load.
    pub(crate) fn loads_in_mean(&self, now: Instant) -> impl Iterator<Item = u32> {
        let counted = self
            .endpoints
            .iter()
            .filter(move |found| found.is_in_mean(now));
        counted.map(|found| found.load().total())
    }

    /// Returns the mean load, by an exact view.
    pub(crate) fn mean(&self, now: Instant) -> f64 {
        self.mean_and_peak(now).0
    }

    /// Returns the mean and the largest load of the endpoints that count in the mean load.
    pub(crate) fn mean_and_peak(&self, now: Instant) -> (f64, u32) {
        let (mut load, mut count, mut peak) = (0, 0, 0);
        for found in self.loads_in_mean(now) {
            load += found;
            count += 1;
            peak = peak.max(found);
        }
        (f64::from(load) / f64::from(count.max(1)), peak)
    }
}

/// Returns the number of cached tokens of the request's prefix, and caches its whole context.
fn use_cache(cache: &mut PrefixCache, spec: &RequestSpec) -> u32 {
    let prompt = CacheKey::Prompt(spec.account);
    let chat = CacheKey::Chat(spec.chat);
    let found = warm_tokens(cache, spec);
    let context = spec.context_tokens.max(spec.prompt_tokens) + spec.turn_tokens;
    cache.put(prompt, spec.prompt_tokens);
    cache.put(chat, context - spec.prompt_tokens);
    found
}

/// Returns the number of cached tokens of the request's prefix.
pub(crate) fn warm_tokens(cache: &PrefixCache, spec: &RequestSpec) -> u32 {
    let prompt = cache.tokens(CacheKey::Prompt(spec.account));
    if prompt == 0 {
        return 0;
    }
    prompt + cache.tokens(CacheKey::Chat(spec.chat))
}

/// Returns the number of prefix tokens that earlier requests of the chat or account may have left
/// in a cache.
pub(crate) fn reusable_tokens(spec: &RequestSpec) -> u32 {
    spec.context_tokens.max(spec.prompt_tokens)
}

fn endpoint_record(number: u64) -> EndpointRecord {
    let name = format!("runner-{number}");
    EndpointRecord {
        endpoint: name_id(&name),
        name,
        incarnation: 1,
        cache_epoch: 1,
        service: SERVICE,
        domain: number % DOMAINS,
        domain_name: String::new(),
        address: ([127, 0, 0, 1], 9000).into(),
        weight: 1,
    }
}

/// Limits that never refuse a request, for choosers that enforce the bound themselves.
pub(crate) const UNLIMITED: LoadLimits = LoadLimits {
    bound: f64::INFINITY,
    aim: f64::INFINITY,
};

/// Returns admission settings with `limits`.
pub(crate) fn agent_settings(limits: LoadLimits) -> AdmitSettings {
    AdmitSettings {
        slots: SLOTS,
        limits,
        ..AdmitSettings::default()
    }
}
