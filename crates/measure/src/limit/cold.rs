//! Failure domains of endpoints that are down for seconds and come back cold together, into a burst.

use std::time::Duration;

use derive_more::Display;
use pace::cold::ColdRule;
use rand::RngExt;
use wire::statement::CallRate;

use super::endpoint::{EndpointRestart, SimulatedEndpoint};
use super::replay::{LimitFleet, StatementPattern, id_of};

/// Time for which an endpoint is cold after a start.
const COLD_START: Duration = Duration::from_secs(3);
/// Calls a second that a cold endpoint tolerates.
const COLD_RATE: f64 = 8.2;
/// Multiple of that rate, and number of calls beyond it, that a second may hold.
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Length of the window that the bound is about.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// Number of failure domains. Endpoints and gateways are spread over them in turn.
const DOMAINS: usize = 3;
/// Time between two outages.
const OUTAGE_INTERVAL: Duration = Duration::from_millis(8500);
/// When the first one begins.
const FIRST_OUTAGE: Duration = Duration::from_millis(5500);
/// Length of an outage in milliseconds.
const OUTAGE_MILLIS: std::ops::Range<u64> = 2000..4500;
/// Calls a second for each endpoint.
const CALLS: f64 = 4.0;
/// The same in a quiet service.
const QUIET_CALLS: f64 = 0.02;
/// Multiple of the calls in a burst.
const BURST_FACTOR: f64 = 2.5;
/// Time before the end of an outage at which the burst begins, and its length.
const BURST_LEAD: Duration = Duration::from_millis(300);
const BURST_TIME: Duration = Duration::from_secs(5);
/// Share of the calls of a burst that belong to a few accounts, and number of prompt parts of these.
const HOT_SHARE: f64 = 0.3;
const HOT_PARTS: u64 = 3;
/// Interval at which the list is read, and by which it lags.
const LIST_INTERVAL: Duration = Duration::from_millis(1200);
const LIST_LAG: Duration = Duration::from_millis(800);
/// Share of the gateways that miss a reading.
const LIST_LOSS: f64 = 0.02;
/// Share of the outages in which the gateways of the domain, or all, are restarted at its end.
const DOMAIN_RESTARTS: f64 = 0.4;
const FLEET_RESTARTS: f64 = 0.1;
/// Share of the gateways that restart at the end of any other outage.
const GATEWAY_RESTARTS: f64 = 0.1;
/// When endpoints are compared with the others after their cold time.
const AFTER_BEGIN: Duration = Duration::from_millis(1000);
const AFTER_END: Duration = Duration::from_millis(2000);

/// Rule of the simulated service.
pub(super) fn cold_rule() -> ColdRule {
    ColdRule {
        start: COLD_START,
        rate: CallRate::from_per_second(COLD_RATE).unwrap_or_default(),
    }
}

/// Load before the endpoints outside the bursts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ColdLoad {
    /// Several calls a second for each endpoint.
    #[display("steady")]
    Steady,
    /// So few calls that hardly any is lost in an outage.
    #[display("quiet")]
    Quiet,
}

impl ColdLoad {
    /// All loads.
    pub const ALL: [Self; 2] = [Self::Steady, Self::Quiet];

    fn calls_per_endpoint(self) -> f64 {
        match self {
            Self::Steady => CALLS,
            Self::Quiet => QUIET_CALLS,
        }
    }
}

/// The outage that is under way or was last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ColdDay {
    domain: usize,
    began_at: Duration,
    ends_at: Duration,
    /// Calls at endpoints of the domain after their cold time, and at the others meanwhile.
    after_calls: u32,
    other_calls: u32,
}

impl SimulatedEndpoint {
    /// Whether its process is down.
    pub fn is_down(&self, now: Duration) -> bool {
        let latest = self.restarts.last();
        latest.is_some_and(|latest| now >= latest.crashed_at && now < latest.started_at)
    }

    /// Whether its process has crashed since a time.
    pub fn has_crashed_since(&self, at: Duration) -> bool {
        let latest = self.restarts.last();
        latest.is_some_and(|latest| latest.crashed_at > at)
    }

    /// How much longer it is cold, as the list shows at `now`; zero while it is down.
    fn shown_remaining(&self, now: Duration) -> Duration {
        let shown = now.saturating_sub(LIST_LAG);
        let mut started = self.restarts.iter();
        let latest = started.rfind(|restart| shown >= restart.crashed_at);
        let is_up = |restart: &&EndpointRestart| shown >= restart.started_at;
        let cold_until = latest
            .filter(is_up)
            .map(|latest| latest.started_at + COLD_START);
        cold_until.unwrap_or_default().saturating_sub(shown)
    }

    /// Records a call that reached it, if it is cold.
    pub fn note_cold_call(&mut self, now: Duration) {
        let latest = self.restarts.last();
        let is_cold = latest.is_some_and(|latest| now < latest.started_at + COLD_START);
        if !is_cold {
            return;
        }
        self.cold_calls_total += 1;
        self.cold_calls.push_back(now);
        while self
            .cold_calls
            .front()
            .is_some_and(|at| *at + COLD_WINDOW <= now)
        {
            self.cold_calls.pop_front();
        }
        let calls = self.cold_calls.len() as u32;
        self.most_cold_calls = self.most_cold_calls.max(calls);
        if f64::from(calls) > COLD_RATE * COLD_OVERAGE + COLD_SLACK {
            self.cold_breaches += 1;
        }
    }
}

impl LimitFleet {
    /// Whether endpoints are cold after a start.
    pub(super) fn has_cold(&self) -> bool {
        self.settings.pattern == StatementPattern::Cold
    }

    /// Begins and ends outages, and lets the gateways read the list.
    pub(super) fn step_cold(&mut self) {
        let now = self.now;
        if now.as_millis() == 1 && self.settings.knows_cold {
            for slot in &mut self.gateways {
                slot.gateway.set_cold_rule(now, cold_rule(), true);
            }
        }
        let since_first = now.saturating_sub(FIRST_OUTAGE).as_millis();
        if now >= FIRST_OUTAGE && since_first.is_multiple_of(OUTAGE_INTERVAL.as_millis()) {
            self.begin_outage();
        }
        if now == self.cold.ends_at {
            self.restart_gateways();
        }
        if now.as_millis().is_multiple_of(LIST_INTERVAL.as_millis()) {
            self.read_list();
        }
    }

    fn begin_outage(&mut self) {
        let domain = self.rng.random_range(0..DOMAINS);
        let length = Duration::from_millis(self.rng.random_range(OUTAGE_MILLIS));
        self.cold = ColdDay {
            domain,
            began_at: self.now,
            ends_at: self.now + length,
            ..self.cold
        };
        let restart = EndpointRestart {
            crashed_at: self.now,
            started_at: self.now + length,
        };
        for endpoint in self.endpoints.iter_mut().skip(domain).step_by(DOMAINS) {
            endpoint.restarts.push(restart);
        }
    }

    fn restart_gateways(&mut self) {
        let draw: f64 = self.rng.random();
        for number in 0..self.gateways.len() {
            let restarts = if draw < FLEET_RESTARTS {
                true
            } else if draw < FLEET_RESTARTS + DOMAIN_RESTARTS {
                number % DOMAINS == self.cold.domain
            } else {
                self.rng.random_bool(GATEWAY_RESTARTS)
            };
            if restarts {
                self.restart_gateway(number);
            }
        }
    }

    fn read_list(&mut self) {
        let now = self.now;
        let endpoints = self.endpoints.iter().enumerate();
        let shown: Vec<_> = endpoints
            .map(|(number, endpoint)| (id_of(number), endpoint.shown_remaining(now)))
            .collect();
        for number in 0..self.gateways.len() {
            if !self.is_in_touch(number) || self.rng.random_bool(LIST_LOSS) {
                continue;
            }
            let table = &mut self.gateways[number].gateway.table;
            for (id, remaining) in &shown {
                if let Some(row) = table.row_mut(*id) {
                    row.note_listed_cold(now, *remaining);
                }
            }
        }
    }

    /// Calls a second for each endpoint.
    pub(super) fn cold_calls_per_endpoint(&self) -> f64 {
        let begin = self.cold.ends_at.saturating_sub(BURST_LEAD);
        let is_burst = self.now >= begin && self.now < begin + BURST_TIME;
        match is_burst && !self.cold.began_at.is_zero() {
            true => CALLS * BURST_FACTOR,
            false => self.settings.cold_load.calls_per_endpoint(),
        }
    }

    /// Number of prompt parts among which the next call draws.
    pub(super) fn cold_parts(&mut self, parts: u64) -> u64 {
        let is_burst = self.cold_calls_per_endpoint() > CALLS;
        match is_burst && self.rng.random_bool(HOT_SHARE) {
            true => HOT_PARTS,
            false => parts,
        }
    }

    /// Counts a call that reached an endpoint in the time after the cold time of the domain.
    pub(super) fn note_after_cold(&mut self, endpoint: usize) {
        let cold_end = self.cold.ends_at + COLD_START;
        let is_counted = self.now >= cold_end + AFTER_BEGIN && self.now < cold_end + AFTER_END;
        if !is_counted || self.cold.began_at.is_zero() {
            return;
        }
        match endpoint % DOMAINS == self.cold.domain {
            true => self.cold.after_calls += 1,
            false => self.cold.other_calls += 1,
        }
    }

    /// Share of the tolerated rate that was used by cold endpoints.
    pub(super) fn cold_used(&self) -> f64 {
        let cold_time: Duration = self
            .endpoints
            .iter()
            .flat_map(|endpoint| &endpoint.restarts)
            .map(|restart| self.now.saturating_sub(restart.started_at).min(COLD_START))
            .sum();
        let calls: u32 = self.endpoints.iter().map(|one| one.cold_calls_total).sum();
        f64::from(calls) / (cold_time.as_secs_f64() * COLD_RATE).max(f64::MIN_POSITIVE)
    }

    /// Fills in the results about cold endpoints.
    pub(super) fn note_cold_result(&mut self) {
        let endpoints = self.endpoints.iter();
        self.result.breaches = endpoints.map(|one| one.cold_breaches).sum();
        let most = self.endpoints.iter().map(|one| one.most_cold_calls);
        self.result.most_cold_calls = most.max().unwrap_or(0);
        let others = self.cold.other_calls.max(1);
        let ratio = f64::from(self.cold.after_calls) / f64::from(others);
        self.result.after_cold = ratio * (DOMAINS - 1) as f64;
    }
}
