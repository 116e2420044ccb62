//! Event-driven simulation of gateways that share engines, with the calls of a pattern.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use derive_more::Display;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use relay::admission::{AdmissionCall, AdmissionControl, AdmissionSettings, MetLoad};
use relay::health::CallOutcome;
use relay::load_report::LoadReport;
use relay::placement::{PlacementQuery, PlacementSettings};
use relay::refusal::CallRefusal;
use relay::row::estimated_holding_time;
use relay::table::EndpointTable;
use wire::gateway::ListedEndpoint;
use wire::id::EndpointId;

use super::engine::{SLOTS, SimulatedEngine};
use super::layout::{ROUND_GATEWAYS, domain_of, engine_index, listed, service};
use super::load::{CALL_KINDS, LoadCall, LoadPattern, PEAK, RUN_TIME, draw_speeds};
use super::size::FleetSize;
use super::tally::OverloadResult;

/// Time between two periodic heartbeats of a gateway.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the change of a load until it is announced between periodic heartbeats.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(40);
/// One-way network delay of a message.
const NETWORK_DELAY: Duration = Duration::from_millis(4);
/// Downtime of each engine in a release; the next engine goes down after half of it.
const ENGINE_DOWNTIME: Duration = Duration::from_millis(1500);
/// Most engines that a gateway tries for one attempt of a caller.
const MAX_TRIES: usize = 5;

/// Which calls are admitted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum AdmissionPolicy {
    /// Every call, without ranks.
    #[display("open")]
    Open,
    /// The calls that the gateway's admission control accepts, by waits that it does not correct.
    #[display("uncorrected")]
    Uncorrected,
    /// The same as [`Self::Bounded`], placed without the speeds that engines state.
    #[display("speed-ignored")]
    SpeedIgnored,
    /// The calls that the gateway's admission control accepts.
    #[display("bounded")]
    Bounded,
    /// The same with shares of accounts over all gateways.
    #[display("accounts-shared")]
    AccountsShared,
}

impl AdmissionPolicy {
    fn settings(self) -> AdmissionSettings {
        AdmissionSettings {
            corrects_waits: !matches!(self, Self::Open | Self::Uncorrected),
            shares_accounts: self == Self::AccountsShared,
            ..AdmissionSettings::default()
        }
    }
}

/// Simulates calls under a policy.
pub fn replay(
    pattern: LoadPattern,
    policy: AdmissionPolicy,
    size: FleetSize,
    calls: &[LoadCall],
    seed: u64,
) -> OverloadResult {
    let mut fleet = GatewayFleet::new(pattern, policy, size, calls, seed);
    fleet.schedule_faults();
    fleet.run();
    fleet.result
}

struct Gateway {
    table: EndpointTable,
    admission: AdmissionControl,
    is_announcement_scheduled: bool,
    /// The other gateway that the next round of heartbeats begins with.
    next_recipient: usize,
}

/// An attempt of a caller.
#[derive(Clone, Copy, Debug)]
struct CallAttempt {
    call: usize,
    gateway: usize,
    /// Number of refusals that the caller got before.
    retries: u32,
    /// Index of the engine that has the attempt, and the time when it was sent.
    engine: Option<(usize, Duration)>,
    /// Expected wait at the engine when the attempt was sent.
    wait: Duration,
    /// Wait by the loads that its gateway knew when the attempt was sent.
    known_wait: Duration,
    is_over: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    /// A caller sends a call.
    Arrive { call: usize, retries: u32 },
    /// The first token of an attempt reaches its gateway.
    FirstToken { attempt: usize },
    /// The last token of an attempt reaches its gateway.
    Finish { attempt: usize },
    /// The caller of an attempt gives up.
    GiveUp { attempt: usize },
    /// A gateway announces its loads to the other gateways.
    Heartbeat { gateway: usize, is_periodic: bool },
    /// An engine goes down.
    EngineDown { engine: usize },
    /// An engine accepts requests again.
    EngineUp { engine: usize },
    /// An engine's durations are multiplied by a factor from now on.
    Slow { engine: usize, factor: u8 },
}

struct GatewayFleet<'a> {
    pattern: LoadPattern,
    policy: AdmissionPolicy,
    size: FleetSize,
    /// Ids of the engines, in their order.
    endpoints: Vec<EndpointId>,
    calls: &'a [LoadCall],
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, FleetEvent)>>,
    /// Number of the last event, which orders events of the same time.
    last_event: u64,
    gateways: Vec<Gateway>,
    engines: Vec<SimulatedEngine>,
    attempts: Vec<CallAttempt>,
    /// Calls whose first token came, and whether it was in time.
    answered: BTreeMap<usize, bool>,
    rng: Pcg64Mcg,
    result: OverloadResult,
}

impl<'a> GatewayFleet<'a> {
    fn new(
        pattern: LoadPattern,
        policy: AdmissionPolicy,
        size: FleetSize,
        calls: &'a [LoadCall],
        seed: u64,
    ) -> Self {
        let listed = (0..size.engines).map(|engine| listed(engine, size));
        let listed: Vec<ListedEndpoint> = listed.collect();
        let gateway = |_| {
            let mut table = EndpointTable::default();
            table.replace(&listed);
            Gateway {
                table,
                admission: AdmissionControl::new(policy.settings()),
                is_announcement_scheduled: false,
                next_recipient: 0,
            }
        };
        let mut fleet = Self {
            pattern,
            policy,
            size,
            endpoints: listed.iter().map(ListedEndpoint::id).collect(),
            calls,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            last_event: 0,
            gateways: (0..size.gateways).map(gateway).collect(),
            engines: (0..size.engines)
                .map(|_| SimulatedEngine::default())
                .collect(),
            attempts: Vec::new(),
            answered: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            result: OverloadResult::default(),
        };
        for (call, load_call) in calls.iter().enumerate() {
            fleet.schedule(load_call.at, FleetEvent::Arrive { call, retries: 0 });
            fleet.result.kinds[load_call.kind].calls += 1;
            fleet.result.note_asked(load_call);
        }
        for gateway in 0..size.gateways {
            let offset = HEARTBEAT_INTERVAL * gateway as u32 / size.gateways as u32;
            let is_periodic = true;
            fleet.schedule(
                offset,
                FleetEvent::Heartbeat {
                    gateway,
                    is_periodic,
                },
            );
        }
        fleet
    }

    /// Schedules the engine faults of the pattern.
    fn schedule_faults(&mut self) {
        let engines = self.size.engines;
        let third = (0..engines).step_by(3);
        match self.pattern {
            LoadPattern::EnginesLost => {
                for engine in third {
                    self.schedule(PEAK.start, FleetEvent::EngineDown { engine });
                    self.schedule(PEAK.end, FleetEvent::EngineUp { engine });
                }
            }
            LoadPattern::EnginesSlow => {
                for engine in third {
                    self.schedule(PEAK.start, FleetEvent::Slow { engine, factor: 4 });
                    self.schedule(PEAK.end, FleetEvent::Slow { engine, factor: 1 });
                }
            }
            LoadPattern::Release => {
                let gap = ENGINE_DOWNTIME.mul_f64(0.5 / self.size.scale());
                for engine in 0..engines {
                    let down = PEAK.start + gap * engine as u32;
                    self.schedule(down, FleetEvent::EngineDown { engine });
                    self.schedule(down + ENGINE_DOWNTIME, FleetEvent::EngineUp { engine });
                }
            }
            LoadPattern::EnginesFlap | LoadPattern::EnginesUneven => {
                let end = RUN_TIME * 2;
                for engine in &mut self.engines {
                    engine.speeds = draw_speeds(self.pattern, end, &mut self.rng);
                }
            }
            _ => {}
        }
    }

    fn schedule(&mut self, at: Duration, event: FleetEvent) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                FleetEvent::Arrive { call, retries } => self.arrive(call, retries),
                FleetEvent::FirstToken { attempt } => self.first_token(attempt),
                FleetEvent::Finish { attempt } => self.finish(attempt),
                FleetEvent::GiveUp { attempt } => self.give_up(attempt),
                FleetEvent::Heartbeat {
                    gateway,
                    is_periodic,
                } => self.send_heartbeat(gateway, is_periodic),
                FleetEvent::EngineDown { engine } => self.engine_down(engine),
                FleetEvent::EngineUp { engine } => self.engines[engine].is_up = true,
                FleetEvent::Slow { engine, factor } => {
                    self.engines[engine].slowdown = f64::from(factor);
                }
            }
        }
    }

    /// Draws the gateway that a caller reaches.
    fn draw_gateway(&mut self) -> usize {
        let gateways = self.size.gateways;
        if self.pattern != LoadPattern::Moving || !PEAK.contains(&self.now) {
            return self.rng.random_range(0..gateways);
        }
        let third = gateways.div_ceil(3);
        let turn = (self.now - PEAK.start).as_secs() as usize / 2;
        (turn * third + self.rng.random_range(0..third)) % gateways
    }

    fn arrive(&mut self, call: usize, retries: u32) {
        let load_call = self.calls[call];
        let attempt = self.attempts.len();
        let gateway = self.draw_gateway();
        self.attempts.push(CallAttempt {
            call,
            gateway,
            retries,
            engine: None,
            wait: Duration::ZERO,
            known_wait: Duration::ZERO,
            is_over: false,
        });
        self.schedule(
            load_call.at + load_call.caller_timeout,
            FleetEvent::GiveUp { attempt },
        );
        let mut tried = Vec::new();
        while tried.len() < MAX_TRIES {
            match self.send(attempt, &mut tried) {
                Ok(true) => return,
                Ok(false) => {}
                Err(retry_after) => return self.refuse(attempt, retry_after),
            }
        }
        self.refuse(attempt, None);
    }

    /// Places an attempt on an engine. Returns `Ok(false)` if the engine doesn't accept it.
    ///
    /// # Errors
    /// The gateway refuses the attempt, with the time after which to retry, or with `None` if no
    /// engine is left to try.
    fn send(
        &mut self,
        attempt: usize,
        tried: &mut Vec<EndpointId>,
    ) -> Result<bool, Option<Duration>> {
        let now = self.now;
        let CallAttempt { call, gateway, .. } = self.attempts[attempt];
        let load_call = self.calls[call];
        let kind = &CALL_KINDS[load_call.kind];
        let gateway_state = &mut self.gateways[gateway];
        let query = PlacementQuery {
            service: service(),
            version: None,
            endpoint: None,
            domains: None,
            shared_part: Some(load_call.part),
            instance: gateway as u64,
            domain: domain_of(gateway, self.size),
            tried,
            is_resumable: false,
            may_ask: false,
            now,
        };
        let account = load_call.account.to_string();
        let asked = AdmissionCall {
            rank: kind.rank,
            account: &account,
            objective: kind.objective,
            is_stream: true,
            time_left: (load_call.at + load_call.caller_timeout).saturating_sub(now),
            instances: self.size.gateways,
        };
        let placement = PlacementSettings::default();
        let placed =
            gateway_state
                .admission
                .place(&placement, &gateway_state.table, &query, &asked);
        let placed = placed.ok_or(None)?;
        if self.policy != AdmissionPolicy::Open && placed.retry_after.is_some() {
            return Err(placed.retry_after);
        }
        let endpoint = placed.endpoint;
        tried.push(endpoint);
        let engine = engine_index(&self.endpoints, endpoint);
        let rank = match self.policy {
            AdmissionPolicy::Open => 0,
            _ => placed.rank,
        };
        if !self.engines[engine].push(load_call.request(attempt, rank)) {
            let report = self.report(engine);
            let gateway_state = &mut self.gateways[gateway];
            match self.engines[engine].is_up {
                true => gateway_state.table.note_report(now, endpoint, report),
                false => {
                    gateway_state.table.note(now, endpoint, CallOutcome::Broken);
                }
            }
            return Ok(false);
        }
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.table.start(now, endpoint);
        gateway_state.admission.accounts.start(service(), &account);
        let needs_announcement = self.size.gateways <= ROUND_GATEWAYS + 1
            && gateway_state.table.is_announcement_due(endpoint)
            && !gateway_state.is_announcement_scheduled;
        self.attempts[attempt].engine = Some((engine, now));
        self.attempts[attempt].wait = placed.wait;
        self.attempts[attempt].known_wait = placed.known_wait;
        if needs_announcement {
            self.gateways[gateway].is_announcement_scheduled = true;
            let is_periodic = false;
            self.schedule(
                now + ANNOUNCEMENT_DELAY,
                FleetEvent::Heartbeat {
                    gateway,
                    is_periodic,
                },
            );
        }
        self.start_runs(engine);
        Ok(true)
    }

    fn refuse(&mut self, attempt: usize, retry_after: Option<Duration>) {
        let taken: usize = self.engines.iter().map(|engine| engine.running.len()).sum();
        let up = self.engines.iter().filter(|engine| engine.is_up).count();
        if retry_after.is_some() && taken * 2 < up * SLOTS {
            self.result.refused_half_free += 1;
        }
        if retry_after.is_some() {
            let free = 1.0 - taken as f64 / (up * SLOTS).max(1) as f64;
            self.result.note_refusal(free);
        }
        let CallAttempt { call, retries, .. } = self.attempts[attempt];
        self.attempts[attempt].is_over = true;
        let load_call = self.calls[call];
        if retries >= load_call.max_retries {
            return self.end_refused(call);
        }
        let left = (load_call.at + load_call.caller_timeout).saturating_sub(self.now);
        let refusal = CallRefusal {
            kind: fault::FaultKind::Overloaded,
            time_left: Some(left),
            scheduled_wait: retry_after,
        };
        let wait = match load_call.retries_immediately {
            true => NETWORK_DELAY * 2,
            false => refusal.wait_before_retry(self.rng.random()) + NETWORK_DELAY * 2,
        };
        match wait < left {
            true => self.schedule(
                self.now + wait,
                FleetEvent::Arrive {
                    call,
                    retries: retries + 1,
                },
            ),
            false => self.end_refused(call),
        }
    }

    fn end_refused(&mut self, call: usize) {
        self.result.kinds[self.calls[call].kind].refused += 1;
    }

    /// The load report of an engine, as far as the policy uses it.
    fn report(&self, engine: usize) -> LoadReport {
        let report = self.engines[engine].report(self.now);
        match self.policy {
            AdmissionPolicy::SpeedIgnored => LoadReport {
                work_percent: None,
                ..report
            },
            _ => report,
        }
    }

    fn start_runs(&mut self, engine: usize) {
        while let Some(run) = self.engines[engine].start(self.now) {
            let attempt = run.attempt;
            let at = self.now + NETWORK_DELAY * 2;
            self.schedule(at + run.first_token, FleetEvent::FirstToken { attempt });
            self.schedule(at + run.total, FleetEvent::Finish { attempt });
        }
    }

    fn first_token(&mut self, attempt: usize) {
        let CallAttempt {
            call,
            gateway,
            engine: Some((engine, sent_at)),
            known_wait,
            is_over,
            ..
        } = self.attempts[attempt]
        else {
            return;
        };
        if is_over {
            return;
        }
        let load_call = self.calls[call];
        let in_time = self.now <= load_call.at + CALL_KINDS[load_call.kind].objective;
        self.answered.insert(call, in_time);
        let endpoint = self.endpoints[engine];
        let report = self.report(engine);
        let Gateway {
            table, admission, ..
        } = &mut self.gateways[gateway];
        let met = MetLoad {
            service: service(),
            endpoint,
            known_wait,
            report,
        };
        admission.note_met(self.now, table, met);
        table.note_activity(self.now, endpoint);
        table.note_report(self.now, endpoint, report);
        let latency = self.now.saturating_sub(sent_at);
        table.note(self.now, endpoint, CallOutcome::Served(latency));
    }

    fn finish(&mut self, attempt: usize) {
        let Some(ran_for) = self.end_attempt(attempt) else {
            return;
        };
        let CallAttempt {
            call,
            gateway,
            engine,
            wait,
            ..
        } = self.attempts[attempt];
        if let Some((engine, _)) = engine {
            let table = &mut self.gateways[gateway].table;
            table.note_holding_time(
                self.endpoints[engine],
                estimated_holding_time(ran_for, wait),
            );
        }
        let in_time = self.answered.get(&call) == Some(&true);
        let tally = &mut self.result.kinds[self.calls[call].kind];
        match in_time {
            true => tally.on_time += 1,
            false => tally.late += 1,
        }
        self.result.note_served(&self.calls[call], in_time);
    }

    fn give_up(&mut self, attempt: usize) {
        if self.end_attempt(attempt).is_some() {
            self.end_refused(self.attempts[attempt].call);
        }
    }

    /// Ends an attempt and frees its slot. Returns the time since it was sent, or `None` if it had
    /// no engine or has ended already.
    fn end_attempt(&mut self, attempt: usize) -> Option<Duration> {
        let CallAttempt {
            call,
            gateway,
            engine,
            is_over,
            ..
        } = self.attempts[attempt];
        let (engine, sent_at) = engine.filter(|_| !is_over)?;
        self.attempts[attempt].is_over = true;
        self.engines[engine].remove(attempt);
        let gateway_state = &mut self.gateways[gateway];
        gateway_state.table.finish(self.now, self.endpoints[engine]);
        let account = self.calls[call].account.to_string();
        gateway_state.admission.accounts.finish(service(), &account);
        self.start_runs(engine);
        Some(self.now.saturating_sub(sent_at))
    }

    fn send_heartbeat(&mut self, gateway: usize, is_periodic: bool) {
        if is_periodic {
            if self.now > RUN_TIME * 2 {
                return;
            }
            self.schedule(
                self.now + HEARTBEAT_INTERVAL,
                FleetEvent::Heartbeat {
                    gateway,
                    is_periodic,
                },
            );
        }
        self.gateways[gateway].is_announcement_scheduled = false;
        let now = self.now;
        let sender = &mut self.gateways[gateway];
        let loads = sender.table.announce_loads();
        let AdmissionControl {
            shares, accounts, ..
        } = &mut sender.admission;
        let notices = shares.notices(now, accounts);
        for other in self.take_recipients(gateway) {
            let other = &mut self.gateways[other];
            let instance = gateway as u64;
            other
                .table
                .set_instance_loads(self.now, instance, loads.clone());
            for notice in &notices {
                other
                    .admission
                    .shares
                    .note_heard(self.now, instance, notice.clone());
            }
        }
    }

    /// The other gateways that the next round of heartbeats of a gateway reaches.
    fn take_recipients(&mut self, gateway: usize) -> Vec<usize> {
        let count = self.gateways.len();
        let first = self.gateways[gateway].next_recipient;
        let reached = ROUND_GATEWAYS.min(count - 1);
        self.gateways[gateway].next_recipient = (first + reached) % (count - 1);
        let recipients = (0..reached).map(|step| {
            let distance = 1 + (first + step) % (count - 1);
            (gateway + distance) % count
        });
        recipients.collect()
    }

    fn engine_down(&mut self, engine: usize) {
        for attempt in self.engines[engine].stop() {
            let gateway = self.attempts[attempt].gateway;
            let endpoint = self.endpoints[engine];
            let table = &mut self.gateways[gateway].table;
            table.note(self.now, endpoint, CallOutcome::Broken);
            self.give_up(attempt);
        }
    }
}
