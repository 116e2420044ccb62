//! Simulation of callers, gateways and endpoints in steps of a few milliseconds.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use relay::crash::RequestVerdict;
use wire::gateway::{CrashNotice, ListedEndpoint};
use wire::id::{EndpointId, FingerprintHash};

use super::PoisonResult;
use super::endpoint::{ConnectReply, SimulatedEndpoint};
use super::gateway::{CallRun, SimulatedGateway};
use super::pattern::CrashPattern;

/// Number of gateways.
const GATEWAYS: usize = 29;
/// Number of endpoints.
const ENDPOINTS: usize = 49;
/// Simulated time.
const RUN_TIME: Duration = Duration::from_secs(40);
/// Length of a step.
const STEP: Duration = Duration::from_millis(5);
/// Mean number of calls in a step.
const CALLS_PER_STEP: f64 = 2.2;
/// Endpoints that one call tries at most.
const MAX_TRIES: usize = 5;
/// Fingerprint of the request that crashes endpoints.
const POISON: FingerprintHash = 1;
/// Interval at which callers send that request.
const POISON_INTERVAL: Duration = Duration::from_millis(300);
/// Number of requests that are sent again and again, beside those that are sent once.
const POPULAR_REQUESTS: u64 = 20;
/// One in this many calls is one of these.
const POPULAR_ONE_IN: u64 = 10;
/// Number of different shared prompt parts.
const SHARED_PARTS: u64 = 400;
/// Time from the sending of a request to its first answer, or to the crash that it causes.
const START_TIME: Duration = Duration::from_millis(5);
/// Range of the length of a run, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 30..2500;
/// Range of the time for which a crashed endpoint is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 2000..4000;
/// The same range for [`CrashPattern::Replaced`].
const REPLACED_MS: std::ops::Range<u64> = 1..20;
/// Time after which the connections to a silent endpoint fail.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the callers of [`CrashPattern::Silent`] wait.
const CALLER_PATIENCE: Duration = Duration::from_millis(1500);
/// Time that a check takes whether an endpoint accepts connections.
const CHECK_TIME: Duration = Duration::from_millis(10);
/// The same for a silent endpoint.
const SILENT_CHECK_TIME: Duration = Duration::from_millis(350);
/// Delay of a message between gateways.
const MESSAGE_DELAY: Duration = Duration::from_millis(5);
/// Interval of the regular work of a gateway.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the messages between gateways that are lost.
const MESSAGE_LOSS: f64 = 0.02;
/// Time after a disruption of a gateway, and after the third crash, from which on the bound holds.
const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Crashes after which the retries are counted.
const COUNTED_FROM: u32 = 3;
/// Interval of the disruptions of a pattern.
const DISRUPTION_INTERVAL: Duration = Duration::from_secs(3);
/// Downtime of a gateway that restarts.
const RESTART_TIME: Duration = Duration::from_millis(800);
/// Length of a cut between gateways.
const CUT_TIME: Duration = Duration::from_millis(2500);
/// Share of the answers that are lost in [`CrashPattern::LostAnswers`].
const LOST_SHARE: f64 = 0.2;

/// Simulates a pattern.
pub fn replay(pattern: CrashPattern, seed: u64) -> PoisonResult {
    let mut fleet = PoisonFleet::new(pattern, seed);
    while fleet.now < RUN_TIME {
        fleet.step();
    }
    fleet.result
}

/// How a run ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// The answer arrives whole.
    Served,
    /// The connection breaks.
    Broken,
    /// The caller disconnects.
    Abandoned,
    /// The endpoint crashes because of the run.
    Crash,
}

/// A run in progress.
#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    run: CallRun,
    gateway: usize,
    /// Start of the gateway that sent it.
    gateway_start: u32,
    address: usize,
    has_head: bool,
    /// Whether the endpoint crashed.
    is_lost: bool,
    end: RunEnd,
    ends_at: Duration,
}

/// A check whether an endpoint accepts connections.
#[derive(Clone, Copy, Debug)]
struct EndpointCheck {
    endpoint: EndpointId,
    address: usize,
    gateway: usize,
    /// Start of the gateway that checks.
    gateway_start: u32,
    ends_at: Duration,
}

/// A notice on its way from one gateway to another.
#[derive(Clone, Debug)]
struct NoticeInFlight {
    arrives_at: Duration,
    sender: usize,
    recipient: usize,
    notice: CrashNotice,
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
    pattern: CrashPattern,
    now: Duration,
    rng: Pcg64Mcg,
    gateways: Vec<GatewaySlot>,
    endpoints: Vec<SimulatedEndpoint>,
    runs: Vec<ActiveRun>,
    messages: Vec<NoticeInFlight>,
    /// Calls that wait for a verdict: until when, at which gateway.
    waiting: Vec<(Duration, usize, FingerprintHash)>,
    checks: Vec<EndpointCheck>,
    third_crash_at: Option<Duration>,
    next_poison_at: Duration,
    next_disruption_at: Duration,
    next_gateway: usize,
    result: PoisonResult,
}

impl PoisonFleet {
    fn new(pattern: CrashPattern, seed: u64) -> Self {
        let endpoints: Vec<_> = (0..ENDPOINTS).map(SimulatedEndpoint::new).collect();
        let listed = list_of(&endpoints);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let gateways = (0..GATEWAYS).map(|number| GatewaySlot {
            gateway: SimulatedGateway::new(number as u64, rng.random(), &listed),
            starts: 0,
            down_until: Duration::ZERO,
            cut_until: Duration::ZERO,
            disrupted_until: Duration::ZERO,
            last_told: number,
        });
        let gateways = gateways.collect();
        Self {
            pattern,
            now: Duration::ZERO,
            rng,
            gateways,
            endpoints,
            runs: Vec::new(),
            messages: Vec::new(),
            waiting: Vec::new(),
            checks: Vec::new(),
            third_crash_at: None,
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
        match self.pattern {
            CrashPattern::CrashStorm => {
                for address in 0..ENDPOINTS {
                    if self.rng.random_bool(0.25) {
                        self.crash(address);
                    }
                }
            }
            CrashPattern::GatewayRestarts => {
                for _ in 0..GATEWAYS / 7 {
                    self.restart_gateway(self.next_gateway);
                    self.next_gateway = (self.next_gateway + 1) % GATEWAYS;
                }
            }
            CrashPattern::GatewayCuts => {
                for _ in 0..GATEWAYS / 3 {
                    let number = self.rng.random_range(0..GATEWAYS);
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

    fn deliver_messages(&mut self) {
        let now = self.now;
        let due = self
            .messages
            .extract_if(.., |message| message.arrives_at <= now);
        let due: Vec<NoticeInFlight> = due.collect();
        for message in due {
            let slot = &mut self.gateways[message.recipient];
            if slot.down_until > now || slot.cut_until > now {
                continue;
            }
            if let Some(reply) = slot.gateway.receive(now, &message.notice) {
                self.send(message.recipient, message.sender, reply);
            }
        }
    }

    fn send_messages(&mut self) {
        for sender in 0..GATEWAYS {
            let slot = &mut self.gateways[sender];
            if slot.down_until > self.now {
                continue;
            }
            if slot.down_until + STEP > self.now && slot.starts > 0 {
                self.greet(sender);
            }
            let since_tick = (self.now + STEP * sender as u32).as_millis();
            if since_tick.is_multiple_of(TICK_INTERVAL.as_millis()) {
                self.tick(sender);
            }
            while let Some(notice) = self.gateways[sender].gateway.next_notice(self.now) {
                for recipient in (0..GATEWAYS).filter(|recipient| *recipient != sender) {
                    self.send(sender, recipient, notice.clone());
                }
            }
        }
    }

    /// The others repeat what they know to a gateway that has just started.
    fn greet(&mut self, newcomer: usize) {
        for sender in (0..GATEWAYS).filter(|sender| *sender != newcomer) {
            let slot = &mut self.gateways[sender];
            if slot.down_until > self.now {
                continue;
            }
            if let Some(notice) = slot.gateway.next_repetition(self.now) {
                self.send(sender, newcomer, notice);
            }
        }
    }

    /// The regular work of a gateway.
    fn tick(&mut self, number: usize) {
        let slot = &mut self.gateways[number];
        slot.gateway.expire(self.now);
        slot.last_told = (slot.last_told + 1) % GATEWAYS;
        let recipient = slot.last_told;
        if let Some(notice) = slot.gateway.next_repetition(self.now) {
            self.send(number, recipient, notice);
        }
    }

    fn send(&mut self, sender: usize, recipient: usize, notice: CrashNotice) {
        let is_cut = self.gateways[sender].cut_until > self.now;
        if !is_cut && !self.rng.random_bool(MESSAGE_LOSS) {
            self.messages.push(NoticeInFlight {
                arrives_at: self.now + MESSAGE_DELAY,
                sender,
                recipient,
                notice,
            });
        }
    }

    fn start_calls(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.waiting.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, number, fingerprint) in due {
            self.place(number, fingerprint);
        }
        let mut calls = CALLS_PER_STEP;
        while self.rng.random_bool(calls.clamp(0.0, 1.0)) {
            calls -= 1.0;
            let fingerprint = match self.rng.random_range(0..POPULAR_ONE_IN) {
                0 => POISON + 1 + self.rng.random_range(0..POPULAR_REQUESTS),
                _ => self.rng.random_range(1 << 32..u64::MAX),
            };
            self.call(fingerprint);
        }
        if self.now >= self.next_poison_at {
            self.next_poison_at += POISON_INTERVAL;
            self.call(POISON);
        }
    }

    /// Sends a call to a gateway.
    fn call(&mut self, fingerprint: FingerprintHash) {
        let number = self.rng.random_range(0..GATEWAYS);
        if self.gateways[number].down_until > self.now {
            return;
        }
        self.result.calls += u32::from(fingerprint != POISON);
        self.place(number, fingerprint);
    }

    /// Sends a call from its gateway to the first endpoint that accepts it.
    fn place(&mut self, number: usize, fingerprint: FingerprintHash) {
        let now = self.now;
        match self.gateways[number].gateway.verdict(now, fingerprint) {
            RequestVerdict::Send => {}
            RequestVerdict::Wait(time) => {
                return self.waiting.push((now + time, number, fingerprint));
            }
            RequestVerdict::Refuse(_) => {
                self.result.refused += u32::from(fingerprint != POISON);
                return;
            }
        }
        let part = fingerprint % SHARED_PARTS;
        let mut tried: Vec<EndpointId> = Vec::new();
        while tried.len() < MAX_TRIES {
            let gateway = &mut self.gateways[number].gateway;
            let Some(endpoint) = gateway.choose(now, part, &tried) else {
                return;
            };
            tried.push(endpoint);
            let address = address_of(&self.endpoints, endpoint);
            let reply = address.map(|address| self.endpoints[address].connect());
            match (reply, address) {
                (Some(ConnectReply::Accepted(id)), Some(address)) if id == endpoint => {
                    return self.start_run(number, address, fingerprint, endpoint);
                }
                (Some(ConnectReply::Accepted(_)), _) => gateway.note_misdirected(now, endpoint),
                _ => gateway.note_unreachable(now, endpoint),
            }
        }
    }

    fn start_run(
        &mut self,
        number: usize,
        address: usize,
        fingerprint: FingerprintHash,
        endpoint: EndpointId,
    ) {
        let slot = &mut self.gateways[number];
        slot.gateway.start(self.now, endpoint);
        let is_settled = self.now >= slot.disrupted_until + SETTLING_TIME;
        let is_late = self
            .third_crash_at
            .is_some_and(|at| self.now >= at + SETTLING_TIME);
        if fingerprint == POISON && is_settled && is_late {
            self.result.late_retries += 1;
        }
        let (end, length) = self.draw_end(fingerprint);
        let run = CallRun {
            fingerprint,
            endpoint,
            sent_at: self.now,
            alive_at: self.now,
        };
        self.runs.push(ActiveRun {
            run,
            gateway: number,
            gateway_start: self.gateways[number].starts,
            address,
            has_head: false,
            is_lost: false,
            end,
            ends_at: self.now + length,
        });
    }

    fn draw_end(&mut self, fingerprint: FingerprintHash) -> (RunEnd, Duration) {
        let length = Duration::from_millis(self.rng.random_range(RUN_MS));
        let is_lost = self.pattern == CrashPattern::LostAnswers && self.rng.random_bool(LOST_SHARE);
        match fingerprint {
            POISON => (RunEnd::Crash, START_TIME),
            _ if is_lost => (RunEnd::Broken, length),
            _ => (RunEnd::Served, length),
        }
    }

    fn advance_runs(&mut self) {
        let now = self.now;
        for index in 0..self.runs.len() {
            let active = self.runs[index];
            let is_started = now >= active.run.sent_at + START_TIME;
            let is_answered = matches!(active.end, RunEnd::Served | RunEnd::Broken);
            if is_started && is_answered && !active.has_head && self.is_at_sender(&active) {
                self.runs[index].has_head = true;
                self.runs[index].run.alive_at = now;
                let gateway = &mut self.gateways[active.gateway].gateway;
                gateway.note_head(now, active.run);
            }
        }
        let ended: Vec<ActiveRun> = self
            .runs
            .extract_if(.., |active| now >= active.ends_at)
            .collect();
        for active in ended {
            self.end_run(active);
        }
    }

    /// Whether the gateway that sent the run still runs.
    fn is_at_sender(&self, active: &ActiveRun) -> bool {
        let slot = &self.gateways[active.gateway];
        slot.starts == active.gateway_start && slot.down_until <= self.now
    }

    fn end_run(&mut self, active: ActiveRun) {
        if active.end == RunEnd::Crash {
            return self.crash_by(active);
        }
        if !self.is_at_sender(&active) {
            return;
        }
        let gateway = &mut self.gateways[active.gateway].gateway;
        match active.end {
            RunEnd::Served => gateway.note_served(self.now, active.run),
            RunEnd::Abandoned => gateway.note_abandoned(self.now, active.run),
            RunEnd::Broken | RunEnd::Crash => {
                if gateway.note_broken(self.now, active.run) {
                    self.start_check(&active);
                }
            }
        }
    }

    fn start_check(&mut self, active: &ActiveRun) {
        let time = match self.pattern {
            CrashPattern::Silent => SILENT_CHECK_TIME,
            _ => CHECK_TIME,
        };
        self.checks.push(EndpointCheck {
            endpoint: active.run.endpoint,
            address: active.address,
            gateway: active.gateway,
            gateway_start: active.gateway_start,
            ends_at: self.now + time,
        });
    }

    fn end_checks(&mut self) {
        let now = self.now;
        let due = self.checks.extract_if(.., |check| now >= check.ends_at);
        for check in due {
            let slot = &mut self.gateways[check.gateway];
            if slot.starts == check.gateway_start && slot.down_until <= now {
                let is_up = self.endpoints[check.address].is_up();
                slot.gateway.end_check(now, check.endpoint, is_up);
            }
        }
    }

    /// Crashes the endpoint of a run because of that run.
    fn crash_by(&mut self, mut active: ActiveRun) {
        self.result.crashes += 1;
        if self.result.crashes == COUNTED_FROM {
            self.third_crash_at = Some(self.now);
        }
        if self.pattern == CrashPattern::CallerLeaves {
            active.end = RunEnd::Abandoned;
            self.end_run(active);
        } else {
            self.runs.push(active);
        }
        self.crash(active.address);
    }

    /// Crashes an endpoint. Its runs break, now or when the connections time out.
    fn crash(&mut self, address: usize) {
        if !self.endpoints[address].is_up() {
            return;
        }
        let is_replaced = self.pattern == CrashPattern::Replaced;
        let range = if is_replaced { REPLACED_MS } else { DOWN_MS };
        let downtime = Duration::from_millis(self.rng.random_range(range));
        let is_renamed = self.pattern != CrashPattern::SameName;
        self.endpoints[address].crash(self.now, downtime, is_renamed);
        let lost: Vec<ActiveRun> = self
            .runs
            .extract_if(.., |active| active.address == address && !active.is_lost)
            .collect();
        for mut active in lost {
            active.end = RunEnd::Broken;
            active.has_head = true;
            if self.pattern != CrashPattern::Silent {
                self.end_run(active);
                continue;
            }
            let leaves_at = active.run.sent_at + CALLER_PATIENCE;
            let fails_at = self.now + KEEPALIVE_TIMEOUT;
            active.ends_at = leaves_at.min(fails_at).max(self.now);
            if leaves_at < fails_at {
                active.end = RunEnd::Abandoned;
            }
            active.is_lost = true;
            self.runs.push(active);
        }
    }
}

fn list_of(endpoints: &[SimulatedEndpoint]) -> Vec<ListedEndpoint> {
    endpoints.iter().map(SimulatedEndpoint::listed).collect()
}

fn address_of(endpoints: &[SimulatedEndpoint], id: EndpointId) -> Option<usize> {
    endpoints
        .iter()
        .position(|endpoint| endpoint.listed_id() == id)
}
