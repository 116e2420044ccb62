//! Whether a call is let in while its service is full.
//!
//! Load pattern: more calls than a service has places for, for seconds. Without a bound every call
//! waits in the queue of its endpoint, all answers are late, and callers that gave up have kept
//! places from others. Here a call is let in only if it can begin in time; all others are refused at
//! once and told to return when the callers before them have had their turn.

use std::time::Duration;

use wire::id::EndpointId;

use crate::accounts::AccountLoads;
use crate::backlog::BacklogWatch;
use crate::placement::{PlacementQuery, PlacementSettings, choose, choose_least_utilized};
use crate::ranks::RankStatistics;
use crate::retry_schedule::RetrySchedule;
use crate::table::EndpointTable;

/// Settings of the bound.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Part of the time until an answer is late that the most urgent calls of a service may wait.
    pub urgent_fraction: f64,
    /// Least part of it that the least urgent calls may wait.
    pub min_urgency: f64,
    /// Factor by which calls may wait longer while a backlog has only just come.
    pub burst_factor: f64,
    /// Least part of its objective that a call counts as able to wait, however long its answer takes.
    pub min_slack_fraction: f64,
    /// Multiple of the mean of all accounts above which a client account's calls may wait less.
    pub fair_ratio: f64,
    /// Least factor for calls of a client account above that.
    pub min_account_factor: f64,
    /// Part of an endpoint's places that calls leave free when all others are more urgent and find no
    /// free place.
    pub reserved_fraction: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            urgent_fraction: 0.9,
            min_urgency: 0.15,
            burst_factor: 3.0,
            min_slack_fraction: 0.25,
            fair_ratio: 2.0,
            min_account_factor: 0.4,
            reserved_fraction: 0.4,
        }
    }
}

/// What the decision is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionQuery {
    /// Expected wait for a place at the best endpoint.
    pub wait: Duration,
    /// Time from the arrival until the answer, or its first event, is late.
    pub objective: Duration,
    /// Expected time from the start at the endpoint to the answer, or to its first event.
    pub answer: Duration,
    /// Time that the caller has left.
    pub time_left: Duration,
    /// Share of the service's latest calls that are more urgent.
    pub more_urgent_share: f64,
    /// Whether calls have waited long for a while.
    pub is_sustained: bool,
    /// Calls of the account in relation to the mean of all accounts that have calls running here.
    pub account_load_ratio: f64,
    /// Part of the endpoint's places that are free.
    pub free_fraction: f64,
    /// Share of the more urgent calls that lately found no free place.
    pub pressure: f64,
    /// Expected time until a place comes free.
    pub interval: Duration,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It goes to the endpoint.
    Admit,
    /// It is refused; the queue has room for it after this time if no others come.
    Refuse {
        /// Time until then.
        room_after: Duration,
    },
}

/// Decides about a call.
pub fn decide(settings: &AdmissionSettings, query: &AdmissionQuery) -> AdmissionVerdict {
    let reserved = settings.reserved_fraction * query.more_urgent_share * query.pressure;
    if query.wait.is_zero() && query.free_fraction < reserved {
        return AdmissionVerdict::Refuse {
            room_after: query.interval,
        };
    }
    let longest = longest_wait(settings, query);
    if query.wait.is_zero() || query.wait <= longest {
        return AdmissionVerdict::Admit;
    }
    let room_after = query.wait.saturating_sub(longest);
    AdmissionVerdict::Refuse { room_after }
}

fn longest_wait(settings: &AdmissionSettings, query: &AdmissionQuery) -> Duration {
    let min_slack = query.objective.mul_f64(settings.min_slack_fraction);
    let slack = query.objective.saturating_sub(query.answer);
    let slack = slack.max(min_slack);
    let urgency = (1.0 - query.more_urgent_share).powi(2);
    let fraction = settings.urgent_fraction * urgency.max(settings.min_urgency);
    // A queue of less urgent calls would keep the others waiting.
    let burst_factor = match query.is_sustained {
        true => 1.0,
        false => 1.0 + (settings.burst_factor - 1.0) * urgency.powi(2),
    };
    let excess = (query.account_load_ratio / settings.fair_ratio).max(1.0);
    let account_factor = (1.0 / excess).max(settings.min_account_factor);
    let useful_wait = query.time_left.saturating_sub(query.answer);
    slack
        .mul_f64(fraction * account_factor * burst_factor)
        .min(useful_wait)
}

/// A call that may be let in.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCall<'a> {
    /// Its rank among the calls of its service; 0 is the most urgent.
    pub rank: u8,
    /// Its client account; empty for none.
    pub account: &'a str,
    /// Time from the arrival until its answer, or its first event, is late.
    pub objective: Duration,
    /// Whether its answer is a stream.
    pub is_stream: bool,
    /// Time that the caller has left.
    pub time_left: Duration,
    /// Instances that share the endpoints.
    pub instances: usize,
}

/// Where a call goes, or that it is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacedCall {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The rank that the call takes there.
    pub rank: u8,
    /// Expected wait for a place there.
    pub wait: Duration,
    /// Time after which the caller is to return, when the call is refused.
    pub retry_after: Option<Duration>,
}

/// What one instance remembers to decide which calls it lets in.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    /// Running calls by client account.
    pub accounts: AccountLoads,
    ranks: RankStatistics,
    backlog: BacklogWatch,
    schedule: RetrySchedule,
}

impl AdmissionControl {
    /// A control that remembers nothing.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Finds an endpoint for a call and decides whether it is let in, and remembers that. `None` when
    /// no usable endpoint is left.
    pub fn place(
        &mut self,
        placement: &PlacementSettings,
        table: &EndpointTable,
        query: &PlacementQuery<'_>,
        call: &AdmissionCall<'_>,
    ) -> Option<PlacedCall> {
        let (now, service) = (query.now, query.service);
        let rank = self.ranks.fair_rank(service, call.rank);
        let first = choose(placement, table, query)?;
        let first = self.assess(table, query, call, first, rank);
        // A call that may not wait where its prompt is warm is read elsewhere rather than refused.
        let other = match first.verdict {
            AdmissionVerdict::Admit => None,
            AdmissionVerdict::Refuse { .. } => choose_least_utilized(table, query),
        };
        let other = other.map(|other| self.assess(table, query, call, other, rank));
        let other = other.filter(|other| other.verdict == AdmissionVerdict::Admit);
        let best = other.unwrap_or(first);
        let is_admitted = best.verdict == AdmissionVerdict::Admit;
        let found_no_slot = !best.wait.is_zero();
        self.ranks
            .note(now, service, call.rank, found_no_slot, is_admitted);
        let schedule = &mut self.schedule;
        let retry_after = match best.verdict {
            AdmissionVerdict::Admit => None,
            AdmissionVerdict::Refuse { room_after } => {
                Some(schedule.assign(now, service, room_after, best.interval))
            }
        };
        Some(PlacedCall {
            endpoint: best.endpoint,
            rank,
            wait: best.wait,
            retry_after,
        })
    }

    fn assess(
        &mut self,
        table: &EndpointTable,
        query: &PlacementQuery<'_>,
        call: &AdmissionCall<'_>,
        endpoint: EndpointId,
        rank: u8,
    ) -> AssessedEndpoint {
        let (now, service) = (query.now, query.service);
        // Before the first call has ended, its objective is all that tells how long one may take.
        let holding_time = table.holding_time(service, endpoint);
        let holding_time = holding_time.unwrap_or(call.objective);
        let wait = table.expected_wait(now, endpoint, holding_time);
        let pressure = self.ranks.pressure(now, service, rank);
        // Looks at every endpoint of the service, so only where the call may be refused.
        let may_be_refused = !wait.is_zero() || pressure > 0.0;
        let interval = match may_be_refused {
            true => table.slot_interval(now, service, holding_time) * call.instances as u32,
            false => Duration::ZERO,
        };
        let row = table.row(endpoint);
        let asked = AdmissionQuery {
            wait,
            objective: call.objective,
            answer: match call.is_stream {
                true => Duration::ZERO,
                false => holding_time,
            },
            time_left: call.time_left,
            more_urgent_share: self.ranks.more_urgent_share(now, service, rank),
            is_sustained: self.backlog.note(now, service, wait, call.objective),
            account_load_ratio: self.accounts.load_ratio(service, call.account),
            free_fraction: row.map_or(0.0, |row| row.free_fraction(now)),
            pressure,
            interval,
        };
        AssessedEndpoint {
            endpoint,
            wait,
            interval,
            verdict: decide(&self.settings, &asked),
        }
    }
}

/// What an endpoint means for a call.
#[derive(Clone, Copy, Debug)]
struct AssessedEndpoint {
    endpoint: EndpointId,
    /// Expected wait for a place.
    wait: Duration,
    /// Expected time until a place of the service comes free for this instance; zero where the call
    /// is let in for certain.
    interval: Duration,
    verdict: AdmissionVerdict,
}
