//! Admission control for services with few or no free slots.
//!
//! Load pattern: for several seconds, a service receives more calls than it has slots. Without a
//! bound every call waits in the queue of its endpoint, all answers are late, and calls whose
//! callers have timed out take slots from others. Therefore a call is admitted only if it can start
//! in time. All others are refused immediately, with a retry time later than those of the callers
//! that were refused before them.

use std::time::Duration;

use wire::id::{EndpointId, ServiceId, name_id};

use crate::account_shares::{AccountShares, AccountStanding, SharedService};
use crate::accounts::AccountLoads;
use crate::backlog::BacklogWatch;
use crate::load_report::LoadReport;
use crate::placement::{
    NextRoom, PlacementQuery, PlacementSettings, choose, choose_least_utilized,
};
use crate::ranks::RankStatistics;
use crate::retry_schedule::{RetryLane, RetrySchedule};
use crate::speed::EndpointSpeed;
use crate::table::EndpointTable;
use crate::wait_correction::WaitCorrection;

/// Maximum time between the returns of two callers that were refused for what endpoints state. Their
/// rates say little of when a single instance gets a token.
const MAX_ROOM_INTERVAL: Duration = Duration::from_millis(200);

/// Free fraction of an endpoint's capacity from which on it has a free slot even if the load of the
/// other instances is known late.
const PROBABLY_FREE: f64 = 0.5;

/// Most instances that limit accounts to their shares: those that one round of heartbeats reaches. In
/// larger fleets the counts are too late: at 105 instances, shares cost 0.03 (burst) and 0.05
/// (hot-prompt) of worth in the replay.
const MAX_SHARING_INSTANCES: usize = 33;
/// Exponent with which the permitted wait shrinks as an account exceeds its share. Permitting no wait
/// at all left 0.17 of the slots free while calls were refused.
const SHARE_STEEPNESS: i32 = 4;
/// Lower bound of the factor by which the permitted wait shrinks for an account above its share. With
/// 0.05, patterns in which all accounts send more earned up to 0.03 less worth in the replay.
const MIN_SHARE_FACTOR: f64 = 0.2;

/// Settings of admission control.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Fraction of its slack, the objective less the expected time of the answer, that a call of
    /// the most urgent rank may wait.
    pub urgent_fraction: f64,
    /// Lower bound of the factor by which the permitted wait shrinks with the share of more urgent
    /// calls.
    pub min_urgency: f64,
    /// Factor by which calls of the most urgent rank may wait longer while a backlog is not yet
    /// sustained.
    pub burst_factor: f64,
    /// Lower bound of the slack as a fraction of the objective, for calls whose answer takes most
    /// of the objective or longer.
    pub min_slack_fraction: f64,
    /// Load of a client account relative to the mean of all client accounts, above which its calls
    /// may wait less.
    pub fair_ratio: f64,
    /// Lower bound of the factor by which the permitted wait shrinks for calls of a client account
    /// above `fair_ratio`.
    pub min_account_factor: f64,
    /// Fraction of an endpoint's capacity that is kept free for more urgent calls if all other
    /// calls are more urgent and none of them finds a free slot. It shrinks with the share of more
    /// urgent calls and with the share of these that find no free slot.
    pub reserved_fraction: f64,
    /// Whether expected waits are corrected by those that calls met.
    pub corrects_waits: bool,
    /// Whether client accounts are limited to their shares over all instances.
    pub shares_accounts: bool,
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
            corrects_waits: true,
            shares_accounts: false,
        }
    }
}

/// Inputs of the admission decision for one call at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionQuery {
    /// Expected wait for a slot at the endpoint.
    pub wait: Duration,
    /// Target time from the arrival of the call to its answer, or to the first event of a stream.
    pub objective: Duration,
    /// Expected time from the start at the endpoint to the answer; zero for a stream.
    pub answer: Duration,
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// Share of the service's recent calls that have a more urgent rank.
    pub more_urgent_share: f64,
    /// Whether the backlog of the service is sustained.
    pub is_sustained: bool,
    /// Ratio of the client account's running calls to the mean of all client accounts that have
    /// any.
    pub account_load_ratio: f64,
    /// What the share of the client account means for the call.
    pub account_standing: AccountStanding,
    /// Fraction of the endpoint's capacity that is free.
    pub free_fraction: f64,
    /// Share of the more urgent calls that recently found no free slot, as the maximum over their
    /// ranks.
    pub pressure: f64,
    /// Expected time until a slot of the service becomes free for this instance.
    pub interval: Duration,
}

/// Result of the admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// The call is sent to the endpoint.
    Admit,
    /// The call is refused.
    Refuse {
        /// Time after which the call could be admitted if no others arrive.
        room_after: Duration,
    },
}

/// Decides whether a call is admitted. A call without a wait is refused only if it would take a
/// slot that is kept free for more urgent calls.
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

/// Longest wait for a slot with which a call is admitted.
fn longest_wait(settings: &AdmissionSettings, query: &AdmissionQuery) -> Duration {
    let min_slack = query.objective.mul_f64(settings.min_slack_fraction);
    let slack = query.objective.saturating_sub(query.answer);
    let slack = slack.max(min_slack);
    let urgency = (1.0 - query.more_urgent_share).powi(2);
    let fraction = settings.urgent_fraction * urgency.max(settings.min_urgency);
    // Only urgent calls profit from the burst factor: a queue of less urgent calls would delay the
    // more urgent ones that arrive after them.
    let burst_factor = match query.is_sustained {
        true => 1.0,
        false => 1.0 + (settings.burst_factor - 1.0) * urgency.powi(2),
    };
    let account_factor = match query.account_standing {
        AccountStanding::Unlimited => {
            let excess = (query.account_load_ratio / settings.fair_ratio).max(1.0);
            (1.0 / excess).max(settings.min_account_factor)
        }
        AccountStanding::Modest => 1.0,
        AccountStanding::Limited { use_ratio, .. } => use_ratio
            .max(1.0)
            .powi(-SHARE_STEEPNESS)
            .max(MIN_SHARE_FACTOR),
    };
    let useful_wait = query.time_left.saturating_sub(query.answer);
    slack
        .mul_f64(fraction * account_factor * burst_factor)
        .min(useful_wait)
}

/// A call that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionCall<'a> {
    /// Rank among the calls of the service; 0 is the most urgent.
    pub rank: u8,
    /// Name of the client account; empty for none.
    pub account: &'a str,
    /// Target time from the arrival of the call to its answer, or to the first event of a stream.
    pub objective: Duration,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// Number of instances that send calls to the same endpoints.
    pub instances: usize,
}

/// Placement of a call: the chosen endpoint, and whether the call is admitted there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacedCall {
    /// Id of the chosen endpoint.
    pub endpoint: EndpointId,
    /// Rank that the call is given in the endpoint's queue; 0 is the most urgent.
    pub rank: u8,
    /// What the share of the call's account meant for it.
    pub account_standing: AccountStanding,
    /// Wait for a slot at the endpoint by the loads that are known.
    pub known_wait: Duration,
    /// Expected wait for a slot at the endpoint.
    pub wait: Duration,
    /// Time after which the caller should retry; `None` if the call is admitted.
    pub retry_after: Option<Duration>,
}

/// Load that an endpoint reports with its answer to a call.
#[derive(Clone, Copy, Debug)]
pub struct MetLoad {
    /// Service of the call.
    pub service: ServiceId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Wait by the loads that were known when the call was placed, see [`PlacedCall::known_wait`].
    pub known_wait: Duration,
    /// The report.
    pub report: LoadReport,
}

/// Admission control of one instance, with the history that its decisions depend on.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    settings: AdmissionSettings,
    /// Number of running calls by client account.
    pub accounts: AccountLoads,
    /// Shares of the client accounts over all instances.
    pub shares: AccountShares,
    ranks: RankStatistics,
    backlog: BacklogWatch,
    correction: WaitCorrection,
    schedule: RetrySchedule,
}

impl AdmissionControl {
    /// Creates an admission control without history.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Chooses an endpoint for a call, decides whether the call is admitted there, and records the
    /// decision. Returns `None` if no usable endpoint is left.
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
        // A call that may not wait at the endpoint with its cached prompt goes to the least
        // utilized endpoint rather than being refused, although the cache there may be cold.
        let other = match first.verdict {
            AdmissionVerdict::Admit => None,
            AdmissionVerdict::Refuse { .. } => choose_least_utilized(placement, table, query),
        };
        let other = other.map(|other| self.assess(table, query, call, other, rank));
        let other = other.filter(|other| other.verdict == AdmissionVerdict::Admit);
        let best = other.unwrap_or(first);
        let is_admitted = best.verdict == AdmissionVerdict::Admit;
        let found_no_slot = !best.wait.is_zero();
        self.ranks
            .note(now, service, call.rank, found_no_slot, is_admitted);
        let shares_accounts = self.shares_accounts(call);
        if found_no_slot && shares_accounts {
            self.shares.note_shortage(now, service);
        }
        let retry_after = match best.verdict {
            AdmissionVerdict::Admit => None,
            AdmissionVerdict::Refuse { room_after } => {
                if shares_accounts {
                    self.shares.note_refused(now, service, call.account);
                }
                let lane = best.lane(call.account);
                Some(
                    self.schedule
                        .assign(now, service, lane, room_after, best.interval),
                )
            }
        };
        Some(PlacedCall {
            endpoint: best.endpoint,
            rank: best.queue_rank(rank),
            account_standing: best.account_standing,
            known_wait: best.known_wait,
            wait: best.wait,
            retry_after,
        })
    }

    /// Records the load that a call met at its endpoint.
    pub fn note_met(&mut self, now: Duration, table: &EndpointTable, met: MetLoad) {
        let Some(holding_time) = table.holding_time(met.service, met.endpoint) else {
            return;
        };
        let wait = holding_time.mul_f64(met.report.waiting_ratio());
        let wait = EndpointSpeed::stated(now, met.report.work_percent).work_time(now, wait);
        self.correction.note(now, met.service, met.known_wait, wait);
    }

    /// Assigns the time after which a caller should retry that is refused as no endpoint of the
    /// service is open to calls, if that many instances share the room.
    pub fn schedule_return(
        &mut self,
        now: Duration,
        service: ServiceId,
        next: NextRoom,
        instances: u32,
    ) -> Duration {
        let interval = Duration::try_from_secs_f64(f64::from(instances) / next.rate);
        let interval = interval.map_or(MAX_ROOM_INTERVAL, |time| time.min(MAX_ROOM_INTERVAL));
        self.schedule
            .assign(now, service, RetryLane::default(), next.wait, interval)
    }

    /// Whether accounts are limited to their shares over all instances.
    fn shares_accounts(&self, call: &AdmissionCall<'_>) -> bool {
        self.settings.shares_accounts && call.instances <= MAX_SHARING_INSTANCES
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
        // Until a call of the service has ended successfully, no holding time is known and the
        // objective stands in for it.
        let holding_time = table.holding_time(service, endpoint);
        let holding_time = holding_time.unwrap_or(call.objective);
        let known_wait = table.expected_wait(now, endpoint, holding_time);
        let row = table.row(endpoint);
        let free_fraction = row.map_or(0.0, |row| row.free_fraction(now));
        let is_corrected = self.settings.corrects_waits && free_fraction <= PROBABLY_FREE;
        let wait = match is_corrected {
            true => self.correction.apply(now, service, known_wait),
            false => known_wait,
        };
        let pressure = self.ranks.pressure(now, service, rank);
        // `slot_interval` iterates over every endpoint of the service, so it is computed only if
        // the call may be refused.
        let may_be_refused = !wait.is_zero() || pressure > 0.0;
        let interval = match may_be_refused {
            true => table.slot_interval(now, service, holding_time) * call.instances as u32,
            false => Duration::ZERO,
        };
        let account_standing = match !wait.is_zero() && self.shares_accounts(call) {
            true => {
                let shared = SharedService {
                    service,
                    slots: f64::from(table.capacity(now, service)),
                    holding_time,
                    less_urgent_share: self.ranks.less_urgent_share(now, service, rank),
                };
                self.shares
                    .standing(now, shared, &self.accounts, call.account)
            }
            false => AccountStanding::Unlimited,
        };
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
            account_standing,
            account_load_ratio: self.accounts.load_ratio(service, call.account),
            free_fraction,
            pressure,
            interval,
        };
        AssessedEndpoint {
            endpoint,
            known_wait,
            wait,
            interval,
            account_standing,
            verdict: decide(&self.settings, &asked),
        }
    }
}

/// Admission decision for a call at one candidate endpoint.
#[derive(Clone, Copy, Debug)]
struct AssessedEndpoint {
    endpoint: EndpointId,
    /// Wait for a slot at the endpoint by the loads that are known.
    known_wait: Duration,
    /// Expected wait for a slot at the endpoint.
    wait: Duration,
    /// Expected time until a slot of the service becomes free for this instance; zero if the call
    /// is certain to be admitted.
    interval: Duration,
    account_standing: AccountStanding,
    verdict: AdmissionVerdict,
}

impl AssessedEndpoint {
    /// Rank in the endpoint's queue: calls of an account that has used up its share come after
    /// equally urgent ones of the others.
    fn queue_rank(&self, rank: u8) -> u8 {
        rank.saturating_add(u8::from(self.account_standing.is_used_up()))
    }

    /// Lane of the retry schedule: one for each account that asks for more than its share.
    fn lane(&self, account: &str) -> RetryLane {
        match self.account_standing {
            AccountStanding::Limited { fraction, .. } => RetryLane {
                account: Some(name_id(account)),
                fraction,
            },
            _ => RetryLane::default(),
        }
    }
}
