//! Simulation of callers, gateways and endpoints in steps of a few milliseconds.

mod messages;
mod runs;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use wire::gateway::ListedEndpoint;

use self::messages::NoticeInFlight;
use self::runs::{ActiveRun, EndpointCheck};
use super::PoisonResult;
use super::call::SimulatedCall;
use super::endpoint::SimulatedEndpoint;
use super::gateway::SimulatedGateway;
use super::pattern::{CrashPattern, PoisonScope};

/// Simulated time.
const RUN_TIME: Duration = Duration::from_secs(40);
/// Length of a step.
const STEP: Duration = Duration::from_millis(5);
/// Interval of the disruptions of a pattern.
const DISRUPTION_INTERVAL: Duration = Duration::from_secs(3);
/// Downtime of a gateway that restarts.
const RESTART_TIME: Duration = Duration::from_millis(800);
/// Length of a cut between gateways.
const CUT_TIME: Duration = Duration::from_millis(2500);

/// Settings of a replay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplaySettings {
    /// How endpoints end, and what else fails.
    pub pattern: CrashPattern,
    /// What crashes the endpoints.
    pub scope: PoisonScope,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Mean number of harmless calls in a step.
    pub calls_per_step: f64,
    /// Interval at which callers send requests that crash endpoints.
    pub poison_interval: Duration,
    /// Time after a disruption of a gateway, and after the crashes that the fleet has to know, from
    /// which on the bound holds.
    pub settling_time: Duration,
    /// Seed of the calls and faults.
    pub seed: u64,
}

impl ReplaySettings {
    /// A large fleet.
    pub fn new(pattern: CrashPattern, scope: PoisonScope) -> Self {
        Self {
            pattern,
            scope,
            gateways: 29,
            endpoints: 49,
            calls_per_step: 2.2,
            poison_interval: Duration::from_millis(300),
            settling_time: Duration::from_secs(4),
            seed: 7,
        }
    }

    /// A small fleet, all of whose endpoints may be down at once.
    pub fn small(pattern: CrashPattern, scope: PoisonScope) -> Self {
        Self {
            gateways: 7,
            endpoints: 9,
            calls_per_step: 0.3,
            settling_time: Duration::from_secs(3),
            ..Self::new(pattern, scope)
        }
    }
}

/// Simulates a fleet.
pub fn replay(settings: ReplaySettings) -> PoisonResult {
    let mut fleet = PoisonFleet::new(settings);
    while fleet.now < RUN_TIME {
        fleet.step();
    }
    fleet.result
}

/// A gateway and what happens to it.
struct GatewaySlot {
    gateway: SimulatedGateway,
    starts: u32,
    /// Until when it is down.
    down_until: Duration,
    /// Until when it is cut off from the other gateways.
    cut_until: Duration,
    /// When its latest disruption ended, or will end.
    disrupted_until: Duration,
    /// The gateway to which it last repeated what it knows.
    last_told: usize,
}

struct PoisonFleet {
    settings: ReplaySettings,
    now: Duration,
    rng: Pcg64Mcg,
    gateways: Vec<GatewaySlot>,
    endpoints: Vec<SimulatedEndpoint>,
    runs: Vec<ActiveRun>,
    messages: Vec<NoticeInFlight>,
    checks: Vec<EndpointCheck>,
    /// Calls that their callers send again, with the time of that.
    resends: Vec<(Duration, SimulatedCall)>,
    /// When the last of the crashes that the fleet has to know happened.
    known_crash_at: Option<Duration>,
    next_poison_at: Duration,
    next_disruption_at: Duration,
    next_gateway: usize,
    result: PoisonResult,
}

impl PoisonFleet {
    fn new(settings: ReplaySettings) -> Self {
        let endpoints: Vec<_> = (0..settings.endpoints)
            .map(SimulatedEndpoint::new)
            .collect();
        let listed = list_of(&endpoints);
        let mut rng = Pcg64Mcg::seed_from_u64(settings.seed);
        let gateways = (0..settings.gateways).map(|number| GatewaySlot {
            gateway: SimulatedGateway::new(number as u64, rng.random(), &listed),
            starts: 0,
            down_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            disrupted_until: Duration::ZERO,
            last_told: number,
        });
        let gateways = gateways.collect();
        Self {
            settings,
            now: Duration::ZERO,
            rng,
            gateways,
            endpoints,
            runs: Vec::new(),
            messages: Vec::new(),
            checks: Vec::new(),
            resends: Vec::new(),
            known_crash_at: None,
            next_poison_at: Duration::from_secs(2),
            next_disruption_at: DISRUPTION_INTERVAL,
            next_gateway: 0,
            result: PoisonResult::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.disrupt();
        self.advance_endpoints();
        self.deliver_messages();
        self.advance_runs();
        self.end_checks();
        self.start_calls();
        self.send_messages();
    }

    fn disrupt(&mut self) {
        if self.now < self.next_disruption_at {
            return;
        }
        self.next_disruption_at += DISRUPTION_INTERVAL;
        match self.settings.pattern {
            CrashPattern::CrashStorm => {
                for address in 0..self.endpoints.len() {
                    if self.rng.random_bool(0.25) {
                        self.crash(address);
                    }
                }
            }
            CrashPattern::GatewayRestarts => {
                for _ in 0..(self.gateways.len() / 7).max(1) {
                    self.restart_gateway(self.next_gateway);
                    self.next_gateway = (self.next_gateway + 1) % self.gateways.len();
                }
            }
            CrashPattern::GatewayCuts => {
                for _ in 0..self.gateways.len() / 3 {
                    let number = self.rng.random_range(0..self.gateways.len());
                    let slot = &mut self.gateways[number];
                    slot.cut_until = self.now + CUT_TIME;
                    slot.disrupted_until = slot.cut_until;
                }
            }
            _ => {}
        }
    }

    fn restart_gateway(&mut self, number: usize) {
        let listed = list_of(&self.endpoints);
        let slot = &mut self.gateways[number];
        slot.gateway = SimulatedGateway::new(number as u64, self.rng.random(), &listed);
        slot.starts += 1;
        slot.down_until = self.now + RESTART_TIME;
        slot.disrupted_until = slot.down_until;
    }

    fn advance_endpoints(&mut self) {
        let now = self.now;
        let mut is_changed = false;
        for endpoint in &mut self.endpoints {
            is_changed |= endpoint.advance(now);
        }
        if is_changed {
            let listed = list_of(&self.endpoints);
            for slot in &mut self.gateways {
                slot.gateway.set_list(&listed);
            }
        }
    }
}

fn list_of(endpoints: &[SimulatedEndpoint]) -> Vec<ListedEndpoint> {
    endpoints.iter().map(SimulatedEndpoint::listed).collect()
}
