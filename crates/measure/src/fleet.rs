//! The endpoints of one service: admission, running work, caches, restarts.

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
use crate::workload::{PLACES, RequestSequence, RequestSpec, StepNumber};

/// The service of every fleet.
pub(crate) const SERVICE: u64 = 1;
/// Time from the restart of an endpoint until it serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Tokens that the cache of one endpoint holds.
const CACHE_TOKENS: u64 = 1_500_000;
/// Failure domains that the endpoints are spread over.
const DOMAINS: u64 = 4;
/// Time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(120);

/// One endpoint with its agent.
pub(crate) struct FleetEndpoint {
    pub(crate) record: EndpointRecord,
    pub(crate) queue: AdmitQueue,
    pub(crate) cache: PrefixCache,
    /// When it begins to admit work.
    pub(crate) open_at: Instant,
}

impl FleetEndpoint {
    pub(crate) fn load(&self) -> EndpointLoad {
        self.queue.load()
    }

    /// Whether it takes part in the mean: it serves and its join delay is over.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.queue.state() == EndpointState::Serving && now >= self.open_at
    }
}

/// Something that is due at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum DueKind {
    Finish { endpoint: usize, key: AttemptKey },
    Serve { endpoint: usize },
}

/// What an endpoint said to an offered request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum OfferReply {
    /// Admitted: it runs or waits.
    Admitted,
    /// Refused with this kind.
    Refused(FaultKind),
}

/// Work that an endpoint gave back: it has not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReturnedWork {
    pub(crate) request: usize,
    /// Attempts made so far.
    pub(crate) attempts: u8,
}

/// An offer of a request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OfferSpec {
    pub(crate) request: usize,
    /// Number of the attempt, from 1.
    pub(crate) attempt: u8,
    /// Endpoints that refused the request before.
    pub(crate) hops: u8,
    /// Whether the hint names the endpoint.
    pub(crate) is_warm: bool,
}

/// Where a request started, and what it found in the cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartRecord {
    pub(crate) request: usize,
    pub(crate) endpoint: usize,
    pub(crate) found_tokens: u32,
}

/// What happened in a step besides admissions.
#[derive(Default)]
pub(crate) struct StepOutput {
    pub(crate) step: StepNumber,
    pub(crate) returned: Vec<ReturnedWork>,
    pub(crate) started: Vec<StartRecord>,
    /// Requests that ended, with their endpoint.
    pub(crate) ended: Vec<(usize, usize)>,
    /// Running requests that a restart cut.
    pub(crate) cut: u64,
}

/// The endpoints of one service.
pub(crate) struct Fleet<'a> {
    sequence: &'a RequestSequence,
    pub(crate) endpoints: Vec<FleetEndpoint>,
    /// Index of each endpoint by its id.
    indexes: HashMap<EndpointId, usize>,
    due: BinaryHeap<Reverse<(StepNumber, DueKind)>>,
    next_restart: usize,
    settings: AdmitSettings,
    start: Instant,
}

impl<'a> Fleet<'a> {
    /// A fleet that serves from `start`, whose agents keep `limits`.
    pub(crate) fn new(
        sequence: &'a RequestSequence,
        settings: AdmitSettings,
        start: Instant,
    ) -> Self {
        let opened = AdmitSettings {
            join_delay: Duration::ZERO,
            ..settings.clone()
        };
        let endpoints: Vec<FleetEndpoint> = (0..sequence.settings.endpoints as u64)
            .map(|number| FleetEndpoint {
                record: endpoint_record(number),
                queue: AdmitQueue::new(opened.clone(), start),
                cache: PrefixCache::new(CACHE_TOKENS),
                open_at: start,
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
            due: BinaryHeap::new(),
            next_restart: 0,
            settings,
            start,
        }
    }

    /// Time at the beginning of `step`.
    pub(crate) fn time(&self, step: StepNumber) -> Instant {
        self.start + self.sequence.step_time.mul_f64(step as f64)
    }

    /// Index of the endpoint with this id.
    pub(crate) fn index(&self, endpoint: EndpointId) -> Option<usize> {
        self.indexes.get(&endpoint).copied()
    }

    /// Lets everything happen that is due at `step`.
    pub(crate) fn advance(&mut self, step: StepNumber) -> StepOutput {
        let mut output = StepOutput {
            step,
            ..StepOutput::default()
        };
        while let Some(Reverse((due, kind))) = self.due.peek().copied() {
            if due > step {
                break;
            }
            self.due.pop();
            match kind {
                DueKind::Finish { endpoint, key } => self.finish(endpoint, key, &mut output),
                DueKind::Serve { endpoint } => self.serve(endpoint, step),
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
        self.due
            .push(Reverse((end, DueKind::Finish { endpoint, key })));
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
        // An attempt that a restart cut is not there any more.
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
        self.due
            .push(Reverse((serve_at, DueKind::Serve { endpoint })));
    }

    fn serve(&mut self, endpoint: usize, step: StepNumber) {
        let now = self.time(step);
        let found = &mut self.endpoints[endpoint];
        found.record.cache_epoch += 1;
        found.queue.update_settings(self.settings.clone(), now);
        found.queue.set_state(EndpointState::Serving, now);
        found.open_at = now + self.settings.join_delay;
    }

    /// Loads of the endpoints that take part in the mean.
    pub(crate) fn open_loads(&self, now: Instant) -> impl Iterator<Item = u32> {
        let open = self
            .endpoints
            .iter()
            .filter(move |found| found.is_open(now));
        open.map(|found| found.load().total())
    }

    /// Mean load of the endpoints that take part in it.
    pub(crate) fn mean(&self, now: Instant) -> f64 {
        self.mean_and_peak(now).0
    }

    /// Mean and largest load of the endpoints that take part in the mean.
    pub(crate) fn mean_and_peak(&self, now: Instant) -> (f64, u32) {
        let (mut load, mut count, mut peak) = (0, 0, 0);
        for found in self.open_loads(now) {
            load += found;
            count += 1;
            peak = peak.max(found);
        }
        (f64::from(load) / f64::from(count.max(1)), peak)
    }
}

/// Tokens of the request's reusable prefix that the cache holds; holds the whole of it afterwards.
fn use_cache(cache: &mut PrefixCache, spec: &RequestSpec) -> u32 {
    let prompt = CacheKey::Prompt(spec.account);
    let chat = CacheKey::Chat(spec.chat);
    let found = warm_tokens(cache, spec);
    let context = spec.context_tokens.max(spec.prompt_tokens) + spec.turn_tokens;
    cache.put(prompt, spec.prompt_tokens);
    cache.put(chat, context - spec.prompt_tokens);
    found
}

/// Tokens of the request's reusable prefix that the cache holds.
pub(crate) fn warm_tokens(cache: &PrefixCache, spec: &RequestSpec) -> u32 {
    let prompt = cache.tokens(CacheKey::Prompt(spec.account));
    if prompt == 0 {
        return 0;
    }
    prompt + cache.tokens(CacheKey::Chat(spec.chat))
}

/// Tokens that an earlier request of the chat or the account may have left in a cache.
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

/// Limits that never refuse, for choices that keep the bound themselves.
pub(crate) const NO_LIMITS: LoadLimits = LoadLimits {
    bound: f64::INFINITY,
    aim: f64::INFINITY,
};

/// Settings of the agents with `limits`.
pub(crate) fn agent_settings(limits: LoadLimits) -> AdmitSettings {
    AdmitSettings {
        slots: PLACES,
        limits,
        ..AdmitSettings::default()
    }
}
