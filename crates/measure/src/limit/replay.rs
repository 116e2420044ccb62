//! Simulation of callers, gateways and endpoints in steps of a millisecond.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use derive_more::Display;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use relay::statement::EndpointStatement;
use wire::gateway::ListedEndpoint;
use wire::id::EndpointId;

use super::LimitResult;
use super::endpoint::SimulatedEndpoint;
use super::gateway::SimulatedGateway;

/// Simulated time.
const RUN_TIME: Duration = Duration::from_secs(36);
/// Length of a step.
const STEP: Duration = Duration::from_millis(1);
/// Time for which a message or the bytes of a call are under way.
const TRANSIT: std::ops::Range<u64> = 4..8;
/// Time from the arrival of a call at its endpoint to the head of the answer.
const HEAD_TIME: Duration = Duration::from_millis(12);
/// Time from the head of an answer to its end.
const BODY_TIME: std::ops::Range<u64> = 60..400;
/// Calls a second that prefer each endpoint.
const CALLS_PER_ENDPOINT: f64 = 6.0;
/// Parts of prompts that calls share, for each endpoint.
const PARTS_PER_ENDPOINT: u64 = 6;
/// When the endpoints name other limits, as a multiple of the first ones; 0 for none.
const LIMIT_CHANGES: [(u64, f64); 5] = [(4, 1.0), (14, 0.6), (20, 1.4), (30, 0.0), (32, 1.0)];
/// Interval at which gateways restart.
const RESTART_INTERVAL: Duration = Duration::from_millis(1700);
/// Downtime of a gateway that restarts.
const RESTART_TIME: Duration = Duration::from_millis(800);
/// Interval at which gateways are cut off from each other.
const CUT_INTERVAL: Duration = Duration::from_millis(5300);
/// Length of a cut.
const CUT_TIME: Duration = Duration::from_millis(2500);

/// Which endpoints name limits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LimitScope {
    /// Seven of ten endpoints.
    #[display("some")]
    Some,
    /// All endpoints, so that calls must be refused.
    #[display("all")]
    All,
}

impl LimitScope {
    /// All scopes.
    pub const ALL: [Self; 2] = [Self::Some, Self::All];
}

/// Settings of a replay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplaySettings {
    /// Number of gateways.
    pub instances: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Which endpoints name limits.
    pub scope: LimitScope,
    /// Limit of an endpoint, in calls per second.
    pub limit: f64,
    /// Seed of the calls and faults.
    pub seed: u64,
}

impl ReplaySettings {
    /// A fleet of that many gateways.
    pub fn new(instances: usize, scope: LimitScope) -> Self {
        Self {
            instances,
            endpoints: if instances < 10 { 9 } else { 20 },
            scope,
            limit: 2.0,
            seed: 7,
        }
    }
}

/// Simulates a fleet.
pub fn replay(settings: ReplaySettings) -> LimitResult {
    let mut fleet = LimitFleet::new(settings);
    while fleet.now < RUN_TIME {
        fleet.step();
    }
    fleet.result()
}

/// A call that was sent.
#[derive(Clone, Copy, Debug)]
struct SentCall {
    gateway: usize,
    /// Start of the gateway that sent it.
    start: u32,
    endpoint: usize,
    sent_at: Duration,
}

/// What happens at a time.
#[derive(Clone, Debug)]
enum FleetEvent {
    CallReaches(SentCall),
    HeadArrives(SentCall, EndpointStatement),
    AnswerEnds(SentCall),
}

/// A gateway and what happens to it.
struct GatewaySlot {
    gateway: SimulatedGateway,
    starts: u32,
    /// Until when it is down.
    down_until: Duration,
    /// Until when it is cut off from the other gateways.
    cut_until: Duration,
}

struct LimitFleet {
    settings: ReplaySettings,
    now: Duration,
    rng: Pcg64Mcg,
    gateways: Vec<GatewaySlot>,
    endpoints: Vec<SimulatedEndpoint>,
    numbers: HashMap<EndpointId, usize>,
    agenda: BTreeMap<Duration, Vec<FleetEvent>>,
    next_restart_at: Duration,
    next_cut_at: Duration,
    next_gateway: usize,
    waits: Histogram<u64>,
    result: LimitResult,
}

impl LimitFleet {
    fn new(settings: ReplaySettings) -> Self {
        let endpoints = (0..settings.endpoints).map(SimulatedEndpoint::new);
        let endpoints: Vec<_> = endpoints.collect();
        let listed = list_of(&endpoints);
        let numbers = listed.iter().enumerate();
        let gateways = (0..settings.instances).map(|number| GatewaySlot {
            gateway: SimulatedGateway::new(number as u64, &listed),
            starts: 0,
            down_until: Duration::ZERO,
            cut_until: Duration::ZERO,
        });
        Self {
            settings,
            now: Duration::ZERO,
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            gateways: gateways.collect(),
            numbers: numbers
                .map(|(number, listed)| (listed.id(), number))
                .collect(),
            endpoints,
            agenda: BTreeMap::new(),
            next_restart_at: RESTART_INTERVAL,
            next_cut_at: CUT_INTERVAL,
            next_gateway: 0,
            waits: Histogram::new(3).expect("three digits are valid"),
            result: LimitResult::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.change_limits();
        self.disrupt();
        self.start_calls();
        while let Some(entry) = self
            .agenda
            .first_entry()
            .filter(|entry| *entry.key() <= self.now)
        {
            for event in entry.remove() {
                self.handle(event);
            }
        }
        for endpoint in &mut self.endpoints {
            endpoint.allowed_calls += endpoint.limit.unwrap_or(0.0) * STEP.as_secs_f64();
        }
    }

    fn change_limits(&mut self) {
        let due = LIMIT_CHANGES.iter();
        let mut due = due.filter(|(second, _)| self.now == Duration::from_secs(*second));
        let Some((_, factor)) = due.next() else {
            return;
        };
        let is_limited = |number: usize| match self.settings.scope {
            LimitScope::Some => number % 10 < 7,
            LimitScope::All => true,
        };
        let limit = (*factor > 0.0).then_some(self.settings.limit * factor);
        for (number, endpoint) in self.endpoints.iter_mut().enumerate() {
            if is_limited(number) {
                endpoint.set_limit(self.now, limit);
            }
        }
    }

    fn disrupt(&mut self) {
        if self.now >= self.next_restart_at {
            self.next_restart_at += RESTART_INTERVAL;
            for _ in 0..self.gateways.len().div_ceil(30) {
                self.restart_gateway(self.next_gateway);
                self.next_gateway = (self.next_gateway + 1) % self.gateways.len();
            }
        }
        if self.now >= self.next_cut_at {
            self.next_cut_at += CUT_INTERVAL;
            for _ in 0..self.gateways.len() / 3 {
                let number = self.rng.random_range(0..self.gateways.len());
                self.gateways[number].cut_until = self.now + CUT_TIME;
            }
        }
    }

    fn restart_gateway(&mut self, number: usize) {
        let listed = list_of(&self.endpoints);
        let slot = &mut self.gateways[number];
        slot.gateway = SimulatedGateway::new(number as u64, &listed);
        slot.starts += 1;
        slot.down_until = self.now + RESTART_TIME;
        for endpoint in &mut self.endpoints {
            endpoint.forget(number);
        }
    }

    fn start_calls(&mut self) {
        let mean = CALLS_PER_ENDPOINT * self.endpoints.len() as f64 * STEP.as_secs_f64();
        let mut left = mean;
        while left > 0.0 {
            if self.rng.random_bool(left.min(1.0)) {
                self.start_call();
            }
            left -= 1.0;
        }
    }

    fn start_call(&mut self) {
        let number = self.rng.random_range(0..self.gateways.len());
        let parts = PARTS_PER_ENDPOINT * self.endpoints.len() as u64;
        let part = self.rng.random_range(0..parts);
        if self.gateways[number].down_until > self.now {
            return;
        }
        self.result.calls += 1;
        let chosen = self.gateways[number].gateway.choose(self.now, part);
        match chosen {
            Some(endpoint) => self.send_call(number, endpoint, self.now),
            None => self.refuse(self.now),
        }
    }

    fn send_call(&mut self, number: usize, endpoint: EndpointId, arrived_at: Duration) {
        self.note_wait(arrived_at);
        let slot = &mut self.gateways[number];
        slot.gateway.start(self.now, endpoint);
        let call = SentCall {
            gateway: number,
            start: slot.starts,
            endpoint: self.numbers[&endpoint],
            sent_at: self.now,
        };
        let transit = self.transit();
        self.plan(transit, FleetEvent::CallReaches(call));
    }

    fn refuse(&mut self, arrived_at: Duration) {
        self.note_wait(arrived_at);
        self.result.refused += 1;
    }

    fn note_wait(&mut self, arrived_at: Duration) {
        let wait = self.now - arrived_at;
        self.waits.saturating_record(wait.as_millis() as u64);
    }

    fn transit(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(TRANSIT))
    }

    fn plan(&mut self, after: Duration, event: FleetEvent) {
        let events = self.agenda.entry(self.now + after).or_default();
        events.push(event);
    }

    fn handle(&mut self, event: FleetEvent) {
        let now = self.now;
        match event {
            FleetEvent::CallReaches(call) => {
                let endpoint = &mut self.endpoints[call.endpoint];
                let statement = endpoint.take_call(now, call.gateway);
                let transit = self.transit();
                self.plan(
                    HEAD_TIME + transit,
                    FleetEvent::HeadArrives(call, statement),
                );
            }
            FleetEvent::HeadArrives(call, statement) => {
                if let Some(gateway) = self.sender_of(&call) {
                    let endpoint = id_of(call.endpoint);
                    gateway.note_head(now, endpoint, call.sent_at, statement);
                }
                let body = Duration::from_millis(self.rng.random_range(BODY_TIME));
                self.plan(body, FleetEvent::AnswerEnds(call));
            }
            FleetEvent::AnswerEnds(call) => {
                if let Some(gateway) = self.sender_of(&call) {
                    gateway.finish(now, id_of(call.endpoint));
                }
            }
        }
    }

    /// The gateway that sent a call, unless it has restarted since.
    fn sender_of(&mut self, call: &SentCall) -> Option<&mut SimulatedGateway> {
        let slot = &mut self.gateways[call.gateway];
        (slot.starts == call.start).then_some(&mut slot.gateway)
    }

    fn result(mut self) -> LimitResult {
        let allowed: f64 = self.endpoints.iter().map(|one| one.allowed_calls).sum();
        let calls: u32 = self.endpoints.iter().map(|one| one.limited_calls).sum();
        self.result.breaches = self.endpoints.iter().map(|one| one.window.breaches).sum();
        self.result.used = f64::from(calls) / allowed;
        self.result.wait_p99_ms = self.waits.value_at_quantile(0.99);
        self.result
    }
}

fn id_of(number: usize) -> EndpointId {
    SimulatedEndpoint::new(number).listed().id()
}

fn list_of(endpoints: &[SimulatedEndpoint]) -> Vec<ListedEndpoint> {
    endpoints.iter().map(SimulatedEndpoint::listed).collect()
}
