//! Admission statistics by rank.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wire::id::ServiceId;

/// Recent shares of admitted calls and of calls without a free slot, by service and rank.
///
/// Admission control uses them against two load patterns: long calls of a less urgent rank that
/// take every slot as it becomes free, so that more urgent calls shortly after find none; and
/// urgent calls that occupy all slots permanently, so that less urgent calls are starved.
#[derive(Debug, Default)]
pub struct RankStatistics {
    services: HashMap<ServiceId, ServiceRanks>,
}

/// Weight of one call in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Time after the latest call of a rank from which on its share of calls without a slot is ignored.
/// Also the time constant with which call counts decay.
const RANK_DECAY_TIME: Duration = Duration::from_secs(2);
/// Ratio of a rank's admitted share to that of all calls, below which calls of the rank are treated
/// as the most urgent.
const MIN_ADMITTED_RATIO: f64 = 0.3;

#[derive(Debug, Default)]
struct ServiceRanks {
    all: RankAverage,
    ranks: BTreeMap<u8, RankAverage>,
}

#[derive(Clone, Copy, Debug)]
struct RankAverage {
    /// Moving average of the share of calls that found no free slot.
    without_slot: f64,
    /// Moving average of the share of calls that were admitted.
    admitted: f64,
    /// Number of calls, decaying exponentially with their age.
    calls: f64,
    noted_at: Duration,
}

impl Default for RankAverage {
    fn default() -> Self {
        Self {
            without_slot: 0.0,
            admitted: 1.0,
            calls: 0.0,
            noted_at: Duration::ZERO,
        }
    }
}

impl RankAverage {
    fn note(&mut self, now: Duration, found_no_slot: bool, is_admitted: bool) {
        let step = |average: f64, sample: bool| {
            average + (f64::from(u8::from(sample)) - average) * AVERAGE_WEIGHT
        };
        self.without_slot = step(self.without_slot, found_no_slot);
        self.admitted = step(self.admitted, is_admitted);
        self.calls = self.calls_at(now) + 1.0;
        self.noted_at = now;
    }

    fn calls_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.noted_at);
        self.calls * (-age.as_secs_f64() / RANK_DECAY_TIME.as_secs_f64()).exp()
    }
}

impl RankStatistics {
    /// Records the admission decision for a call.
    pub fn note(
        &mut self,
        now: Duration,
        service: ServiceId,
        rank: u8,
        found_no_slot: bool,
        is_admitted: bool,
    ) {
        let ranks = self.services.entry(service).or_default();
        ranks.all.note(now, found_no_slot, is_admitted);
        let own = ranks.ranks.entry(rank).or_default();
        own.note(now, found_no_slot, is_admitted);
    }

    /// Share of recent calls without a free slot, as the maximum over the more urgent ranks.
    pub fn pressure(&self, now: Duration, service: ServiceId, rank: u8) -> f64 {
        let Some(ranks) = self.services.get(&service) else {
            return 0.0;
        };
        let before = ranks.ranks.range(..rank).map(|(_, average)| average);
        let recent = before.filter(|average| now < average.noted_at + RANK_DECAY_TIME);
        recent
            .map(|average| average.without_slot)
            .fold(0.0, f64::max)
    }

    /// Share of the recent calls that have a more urgent rank.
    pub fn more_urgent_share(&self, now: Duration, service: ServiceId, rank: u8) -> f64 {
        let Some(ranks) = self.services.get(&service) else {
            return 0.0;
        };
        let before = ranks.ranks.range(..rank);
        let before: f64 = before.map(|(_, average)| average.calls_at(now)).sum();
        let all = ranks.all.calls_at(now);
        if all > 0.0 {
            (before / all).min(1.0)
        } else {
            0.0
        }
    }

    /// Share of the recent calls that have a less urgent rank.
    pub fn less_urgent_share(&self, now: Duration, service: ServiceId, rank: u8) -> f64 {
        let Some(ranks) = self.services.get(&service) else {
            return 0.0;
        };
        let after = ranks
            .ranks
            .range(rank..)
            .filter(|(other, _)| **other > rank);
        let after: f64 = after.map(|(_, average)| average.calls_at(now)).sum();
        let all = ranks.all.calls_at(now);
        if all > 0.0 {
            (after / all).min(1.0)
        } else {
            0.0
        }
    }

    /// Rank with which a call is treated: 0 while too few calls of its rank are admitted, and its
    /// own rank otherwise.
    pub fn fair_rank(&self, service: ServiceId, rank: u8) -> u8 {
        let Some(ranks) = self.services.get(&service) else {
            return rank;
        };
        let own = ranks.ranks.get(&rank).copied().unwrap_or_default();
        match own.admitted < ranks.all.admitted * MIN_ADMITTED_RATIO {
            true => 0,
            false => rank,
        }
    }
}
