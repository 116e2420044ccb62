//! Shares of client accounts in the slots of a service, over all instances.
//!
//! Load pattern: for several seconds, one or a few client accounts send several times their usual
//! calls, and retry at once when refused. Each instance sees a part of these calls, so that by its
//! own counts no account stands out, and the surge takes the slots of all others. Therefore
//! instances that are short of slots tell each other the calls that they run and refused by
//! account, and each account gets its max-min fair share: those that ask for less than the share
//! get all that they ask for, and the others get equal parts of the rest.
//!
//! Nothing is limited before an instance is short of slots, nor while the accounts together ask for
//! no more than the slots.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wire::gateway::{AccountCount, AccountNotice, MAX_NOTICE_ACCOUNTS};
use wire::id::{InstanceId, ServiceId, name_id};

use crate::accounts::AccountLoads;

/// Time constant with which refused calls are forgotten. About the time after which a refused
/// caller that still wants its answer has returned.
const REFUSAL_DECAY_TIME: Duration = Duration::from_secs(1);
/// Time after the latest call without a free slot for which an instance counts as short of slots.
/// Longer than the gaps between such calls at an instance that sees one call in a hundred.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);
/// Age from which on a notice is ignored. Several heartbeats may be lost before that.
const NOTICE_LIFETIME: Duration = Duration::from_millis(1200);
/// Age up to which a computed share is used again.
const SHARE_LIFETIME: Duration = Duration::from_millis(20);

/// Slots of an instance's part of a share at which its own count has half of the weight.
const COARSE_SLOTS: f64 = 2.0;

/// Requests for which endpoints count as able, relative to their slots. Short queues at all of them
/// are no contention, and without any queue slots stay free between two calls.
const QUEUE_ALLOWANCE: f64 = 1.15;
/// Fraction by which calls may exceed the share of their account if all others of the service are
/// less urgent. The less urgent calls of an account then give way first: with one limit for all, a
/// surge lost its urgent calls to the long ones that are worth least.
const URGENT_MARGIN: f64 = 0.5;

/// Id of a client account: the hash of its name.
pub type AccountHash = u64;

/// Calls of an account.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    running: f64,
    /// Calls that were refused, decaying with their age.
    refused: f64,
}

impl Demand {
    /// Number of slots that the account would occupy if none of its calls were refused.
    fn slots(self, holding_time: Duration) -> f64 {
        let rate = self.refused / REFUSAL_DECAY_TIME.as_secs_f64();
        self.running + rate * holding_time.as_secs_f64()
    }
}

/// Refused calls of an account at this instance.
#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    calls: f64,
    noted_at: Duration,
}

impl RefusalCount {
    fn at(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.noted_at);
        self.calls * (-age.as_secs_f64() / REFUSAL_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// The latest notice of another instance.
#[derive(Clone, Debug)]
struct HeardNotice {
    heard_at: Duration,
    notice: AccountNotice,
}

#[derive(Debug, Default)]
struct ServiceShares {
    refused: HashMap<AccountHash, RefusalCount>,
    others: BTreeMap<InstanceId, HeardNotice>,
    /// When a call of this instance last found no free slot.
    short_at: Option<Duration>,
    /// Largest share and the demands that it was computed from, with the time of that.
    computed: Option<(Duration, f64, HashMap<AccountHash, Demand>)>,
}

/// What the share of an account means for one of its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AccountStanding {
    /// The accounts ask for no more than the slots, or it is not known that they do.
    Unlimited,
    /// The account asks for no more than its share.
    Modest,
    /// The account asks for more than its share.
    Limited {
        /// Slots that its calls occupy, relative to the share and to what calls of their urgency
        /// may exceed it by.
        use_ratio: f64,
        /// The share as a fraction of the slots.
        fraction: f64,
    },
}

impl AccountStanding {
    /// Label in log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unlimited => "unlimited",
            Self::Modest => "modest",
            Self::Limited { .. } if self.is_used_up() => "used-up",
            Self::Limited { .. } => "limited",
        }
    }

    /// Whether the account occupies its whole share and asks for more.
    pub fn is_used_up(self) -> bool {
        matches!(self, Self::Limited { use_ratio, .. } if use_ratio > 1.0)
    }
}

/// A service whose slots are shared, as known to an instance.
#[derive(Clone, Copy, Debug)]
pub struct SharedService {
    /// The service.
    pub service: ServiceId,
    /// Slots of its endpoints.
    pub slots: f64,
    /// Time for which its calls hold a slot.
    pub holding_time: Duration,
    /// Share of its recent calls that are less urgent than the one to be admitted.
    pub less_urgent_share: f64,
}

/// Calls by account that this instance refused, and what the others announced.
#[derive(Debug, Default)]
pub struct AccountShares {
    services: HashMap<ServiceId, ServiceShares>,
}

impl AccountShares {
    /// Records that a call found no free slot.
    pub fn note_shortage(&mut self, now: Duration, service: ServiceId) {
        self.services.entry(service).or_default().short_at = Some(now);
    }

    /// Records that a call of an account is refused for lack of a slot.
    pub fn note_refused(&mut self, now: Duration, service: ServiceId, account: &str) {
        if account.is_empty() {
            return;
        }
        let shares = self.services.entry(service).or_default();
        let refused = shares.refused.entry(name_id(account)).or_default();
        *refused = RefusalCount {
            calls: refused.at(now) + 1.0,
            noted_at: now,
        };
    }

    /// Records the notice of another instance.
    pub fn note_heard(&mut self, now: Duration, from: InstanceId, notice: AccountNotice) {
        let shares = self.services.entry(notice.service).or_default();
        let heard = HeardNotice {
            heard_at: now,
            notice,
        };
        shares.others.insert(from, heard);
    }

    /// Forgets an instance that is no longer live.
    pub fn forget(&mut self, instance: InstanceId) {
        for shares in self.services.values_mut() {
            shares.others.remove(&instance);
        }
    }

    /// The notices that are due to the other instances, one for each service that is short of slots
    /// here or elsewhere, with the accounts that have the most calls.
    pub fn notices(&mut self, now: Duration, loads: &AccountLoads) -> Vec<AccountNotice> {
        let services = self.services.iter_mut();
        let notices = services.filter_map(|(service, shares)| {
            shares.expire(now);
            let is_short = shares.is_short(now);
            let is_due = is_short || shares.others.values().any(|heard| heard.notice.is_short);
            is_due.then(|| AccountNotice {
                service: *service,
                is_short,
                accounts: shares.own_counts(now, loads, *service),
            })
        });
        notices.collect()
    }

    /// What the share of an account means for its next call.
    pub fn standing(
        &mut self,
        now: Duration,
        shared: SharedService,
        loads: &AccountLoads,
        account: &str,
    ) -> AccountStanding {
        if account.is_empty() {
            return AccountStanding::Unlimited;
        }
        let Some(shares) = self.services.get_mut(&shared.service) else {
            return AccountStanding::Unlimited;
        };
        let id = name_id(account);
        let own = shares.own_demand(now, loads, shared.service, account);
        let (share, demands) = shares.share(now, shared, loads);
        if !share.is_finite() {
            return AccountStanding::Unlimited;
        }
        let all = demands.get(&id).copied().unwrap_or_default();
        let asked = all.slots(shared.holding_time);
        if asked <= share {
            return AccountStanding::Modest;
        }
        // The counts of other instances are late, so each instance keeps to its part of the share,
        // which it can count at once: the part of the demand that arrives here. A part of few slots
        // is too coarse for that, and the counts of all instances have more weight.
        let part = share * own.slots(shared.holding_time) / asked;
        let own_ratio = (own.running + 0.5) / part.max(f64::MIN_POSITIVE);
        let own_weight = part / (part + COARSE_SLOTS);
        let use_ratio = own_ratio * own_weight + all.running / share * (1.0 - own_weight);
        let use_ratio = use_ratio / (1.0 + URGENT_MARGIN * shared.less_urgent_share);
        AccountStanding::Limited {
            use_ratio,
            fraction: (share / shared.slots.max(1.0)).min(1.0),
        }
    }
}

impl ServiceShares {
    fn is_short(&self, now: Duration) -> bool {
        self.short_at.is_some_and(|at| now <= at + SHORTAGE_TIME)
    }

    fn expire(&mut self, now: Duration) {
        self.others
            .retain(|_, heard| now <= heard.heard_at + NOTICE_LIFETIME);
        // Less than a fiftieth of a call stands for one that was refused four seconds ago.
        self.refused.retain(|_, refused| refused.at(now) >= 0.02);
    }

    fn own_demand(
        &self,
        now: Duration,
        loads: &AccountLoads,
        service: ServiceId,
        account: &str,
    ) -> Demand {
        let refused = self.refused.get(&name_id(account));
        Demand {
            running: f64::from(loads.running(service, account)),
            refused: refused.map_or(0.0, |refused| refused.at(now)),
        }
    }

    fn own_demands(
        &self,
        now: Duration,
        loads: &AccountLoads,
        service: ServiceId,
    ) -> HashMap<AccountHash, Demand> {
        let mut demands: HashMap<AccountHash, Demand> = HashMap::new();
        for (account, running) in loads.of_service(service) {
            let demand = demands.entry(name_id(account)).or_default();
            demand.running += f64::from(running);
        }
        for (account, refused) in &self.refused {
            demands.entry(*account).or_default().refused += refused.at(now);
        }
        demands
    }

    fn own_counts(
        &self,
        now: Duration,
        loads: &AccountLoads,
        service: ServiceId,
    ) -> Vec<AccountCount> {
        let demands = self.own_demands(now, loads, service);
        let count = |value: f64| value.round().min(f64::from(u16::MAX)) as u16;
        let counts = demands.into_iter().map(|(account, demand)| AccountCount {
            account,
            running: count(demand.running),
            refused: count(demand.refused),
        });
        let mut counts: Vec<AccountCount> = counts
            .filter(|count| count.running > 0 || count.refused > 0)
            .collect();
        counts.sort_by_key(|count| {
            let calls = u32::from(count.running) + u32::from(count.refused);
            (std::cmp::Reverse(calls), count.account)
        });
        counts.truncate(MAX_NOTICE_ACCOUNTS);
        counts
    }

    /// The largest number of slots that an account gets, infinite if the accounts ask for no more
    /// than there are, and the demands of the accounts at all instances.
    fn share(
        &mut self,
        now: Duration,
        shared: SharedService,
        loads: &AccountLoads,
    ) -> (f64, &HashMap<AccountHash, Demand>) {
        let is_fresh = self
            .computed
            .as_ref()
            .is_some_and(|(at, ..)| now <= *at + SHARE_LIFETIME);
        if !is_fresh {
            self.expire(now);
            let mut demands = self.own_demands(now, loads, shared.service);
            for heard in self.others.values() {
                for count in &heard.notice.accounts {
                    let demand = demands.entry(count.account).or_default();
                    demand.running += f64::from(count.running);
                    demand.refused += f64::from(count.refused);
                }
            }
            let slots = demands.values();
            let asked: Vec<f64> = slots
                .map(|demand| demand.slots(shared.holding_time))
                .collect();
            let share = max_min_share(asked, shared.slots * QUEUE_ALLOWANCE);
            self.computed = Some((now, share, demands));
        }
        let (_, share, demands) = self.computed.as_ref().expect("computed above");
        (*share, demands)
    }
}

/// The largest amount that one of several demands gets when `capacity` is divided max-min fairly:
/// those below it are met in full, all others get as much as this. Infinite if all are met.
pub fn max_min_share(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, demand) in demands.iter().enumerate() {
        let share = left / (demands.len() - index) as f64;
        if *demand > share {
            return share.max(0.0);
        }
        left -= demand;
    }
    f64::INFINITY
}
