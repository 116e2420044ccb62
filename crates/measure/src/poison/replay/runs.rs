//! Calls, their runs at endpoints, and crashes.

use std::time::Duration;

use rand::RngExt;
use wire::id::EndpointId;

use super::PoisonFleet;
use crate::poison::call::SimulatedCall;
use crate::poison::endpoint::{ConnectReply, SimulatedEndpoint};
use crate::poison::gateway::CallRun;
use crate::poison::pattern::CrashPattern;

/// Endpoints that one call tries at most.
const MAX_TRIES: usize = 5;
/// Number of times that the caller of a lost run sends its call again.
const CALLER_RETRIES: u32 = 2;
/// Time after which it does.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time from the sending of a request to its first answer, or to the crash that it causes.
const START_TIME: Duration = Duration::from_millis(5);
/// Range of the length of a run, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 30..2500;
/// Time after which the connections to a silent endpoint fail.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which the callers of [`CrashPattern::Silent`] wait.
const CALLER_PATIENCE: Duration = Duration::from_millis(1500);
/// Time that a check takes whether an endpoint accepts connections.
const CHECK_TIME: Duration = Duration::from_millis(10);
/// The same for a silent endpoint.
const SILENT_CHECK_TIME: Duration = Duration::from_millis(350);
/// Share of the answers that are lost in [`CrashPattern::LostAnswers`].
const LOST_SHARE: f64 = 0.2;
/// Range of the time for which a crashed endpoint is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 2000..4000;
/// The same range for [`CrashPattern::Replaced`].
const REPLACED_MS: std::ops::Range<u64> = 1..20;

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
#[derive(Clone, Debug)]
pub(super) struct ActiveRun {
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
pub(super) struct EndpointCheck {
    endpoint: EndpointId,
    address: usize,
    gateway: usize,
    /// Start of the gateway that checks.
    gateway_start: u32,
    ends_at: Duration,
}

impl PoisonFleet {
    pub(super) fn start_calls(&mut self) {
        let mut calls = self.settings.calls_per_step;
        while self.rng.random_bool(calls.clamp(0.0, 1.0)) {
            calls -= 1.0;
            let call = SimulatedCall::harmless(&mut self.rng);
            self.call(call);
        }
        if self.now >= self.next_poison_at {
            self.next_poison_at += self.settings.poison_interval;
            let call = SimulatedCall::poison(self.settings.scope, &mut self.rng);
            self.call(call);
        }
        let now = self.now;
        let due: Vec<(Duration, SimulatedCall)> =
            self.resends.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, call) in due {
            self.call(call);
        }
    }

    /// Sends a call through a gateway to the first endpoint that accepts it.
    fn call(&mut self, call: SimulatedCall) {
        let (now, number) = (self.now, self.rng.random_range(0..self.gateways.len()));
        if self.gateways[number].down_until > now {
            return;
        }
        self.result.calls += u32::from(!call.is_poison);
        if self.gateways[number].gateway.is_refused(now, &call) {
            self.result.refused += u32::from(!call.is_poison);
            return;
        }
        let part = call.ranking_part();
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
                    return self.start_run(number, address, call, endpoint);
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
        call: SimulatedCall,
        endpoint: EndpointId,
    ) {
        let slot = &mut self.gateways[number];
        slot.gateway.start(self.now, endpoint);
        let settling_time = self.settings.settling_time;
        let is_settled = self.now >= slot.disrupted_until + settling_time;
        let is_late = self
            .known_crash_at
            .is_some_and(|at| self.now >= at + settling_time);
        if call.is_poison && is_settled && is_late {
            self.result.late_retries += 1;
        }
        let (end, length) = self.draw_end(call.is_poison);
        let run = CallRun {
            call,
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

    fn draw_end(&mut self, is_poison: bool) -> (RunEnd, Duration) {
        let length = Duration::from_millis(self.rng.random_range(RUN_MS));
        let is_lost =
            self.settings.pattern == CrashPattern::LostAnswers && self.rng.random_bool(LOST_SHARE);
        match (is_poison, is_lost) {
            (true, _) => (RunEnd::Crash, START_TIME),
            (false, true) => (RunEnd::Broken, length),
            (false, false) => (RunEnd::Served, length),
        }
    }

    pub(super) fn advance_runs(&mut self) {
        let now = self.now;
        for index in 0..self.runs.len() {
            let active = &self.runs[index];
            let is_started = now >= active.run.sent_at + START_TIME;
            let is_answered = matches!(active.end, RunEnd::Served | RunEnd::Broken);
            if is_started && is_answered && !active.has_head && self.is_at_sender(active) {
                let active = &mut self.runs[index];
                active.has_head = true;
                active.run.alive_at = now;
                let gateway = &mut self.gateways[active.gateway].gateway;
                gateway.note_head(now, &active.run);
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
        self.resend_lost(&active);
        if !self.is_at_sender(&active) {
            return;
        }
        let gateway = &mut self.gateways[active.gateway].gateway;
        match active.end {
            RunEnd::Served => gateway.note_served(self.now, &active.run),
            RunEnd::Abandoned => gateway.note_abandoned(self.now, &active.run),
            RunEnd::Broken | RunEnd::Crash => {
                if gateway.note_broken(self.now, &active.run) {
                    self.start_check(&active);
                }
            }
        }
    }

    /// Lets the caller of a lost run send its call again.
    fn resend_lost(&mut self, active: &ActiveRun) {
        let call = &active.run.call;
        let is_lost = active.end == RunEnd::Broken && !call.is_poison;
        if is_lost && call.sent_before < CALLER_RETRIES {
            let again = SimulatedCall {
                sent_before: call.sent_before + 1,
                ..call.clone()
            };
            self.resends.push((self.now + RETRY_DELAY, again));
        }
    }

    fn start_check(&mut self, active: &ActiveRun) {
        let time = match self.settings.pattern {
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

    pub(super) fn end_checks(&mut self) {
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
        let address = active.address;
        self.result.crashes += 1;
        if self.result.crashes == self.settings.scope.known_crashes() {
            self.known_crash_at = Some(self.now);
        }
        if self.settings.pattern == CrashPattern::CallerLeaves {
            active.end = RunEnd::Abandoned;
            self.end_run(active);
        } else {
            self.runs.push(active);
        }
        self.crash(address);
    }

    /// Crashes an endpoint. Its runs break, now or when the connections time out.
    pub(super) fn crash(&mut self, address: usize) {
        if !self.endpoints[address].is_up() {
            return;
        }
        let is_replaced = self.settings.pattern == CrashPattern::Replaced;
        let range = if is_replaced { REPLACED_MS } else { DOWN_MS };
        let downtime = Duration::from_millis(self.rng.random_range(range));
        let is_renamed = self.settings.pattern != CrashPattern::SameName;
        self.endpoints[address].crash(self.now, downtime, is_renamed);
        let lost: Vec<ActiveRun> = self
            .runs
            .extract_if(.., |active| active.address == address && !active.is_lost)
            .collect();
        for mut active in lost {
            active.end = RunEnd::Broken;
            active.has_head = true;
            if self.settings.pattern != CrashPattern::Silent {
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

fn address_of(endpoints: &[SimulatedEndpoint], id: EndpointId) -> Option<usize> {
    endpoints
        .iter()
        .position(|endpoint| endpoint.listed_id() == id)
}
