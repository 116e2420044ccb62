//! Results of calls, and an estimate of the best possible result.

use std::collections::BTreeMap;
use std::time::Duration;

use relay::account_shares::max_min_share;

use super::engine::{SLOTS, SimulatedEngine};
use super::load::{CALL_KINDS, CallKind, LoadCall, PEAK, RUN_TIME};

/// Results of the calls of one kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct KindTally {
    /// Number of calls.
    pub calls: u32,
    /// Calls whose first token came within the objective.
    pub on_time: u32,
    /// Calls that were served with a late first token.
    pub late: u32,
    /// Calls that ended without a complete answer: refused, failed or given up by their callers.
    pub refused: u32,
}

impl KindTally {
    /// Returns the share of calls that were served.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.calls.max(1))
    }
}

/// Results of the calls of one account that arrive in the peak.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountTally {
    /// Worth of its calls.
    pub worth: f64,
    /// Worth that it earned.
    pub earned: f64,
    /// Slot time that its calls take alone on an engine, in seconds.
    pub asked: f64,
    /// The same of its calls that were served.
    pub got: f64,
}

/// Results of all calls of a pattern.
#[derive(Clone, Debug, Default)]
pub struct OverloadResult {
    /// Results by kind, in the order of [`CALL_KINDS`].
    pub kinds: [KindTally; CALL_KINDS.len()],
    /// Refusals by admission control while less than half of the slots of all available engines
    /// were occupied.
    pub refused_half_free: u32,
    /// Results by account.
    pub accounts: BTreeMap<u64, AccountTally>,
    /// Refusals by admission control, and the sum of the fractions of free slots at each.
    refusals: (u32, f64),
}

/// Fraction of its worth that a late answer earns.
const LATE_WORTH: f64 = 0.3;

impl OverloadResult {
    /// Counts a call.
    pub fn note_asked(&mut self, call: &LoadCall) {
        if PEAK.contains(&call.at) {
            let (worth, time) = value_and_time(call);
            let tally = self.accounts.entry(call.account).or_default();
            tally.worth += worth;
            tally.asked += time;
        }
    }

    /// Counts a call that was served.
    pub fn note_served(&mut self, call: &LoadCall, in_time: bool) {
        if PEAK.contains(&call.at) {
            let (worth, time) = value_and_time(call);
            let tally = self.accounts.entry(call.account).or_default();
            tally.earned += if in_time { worth } else { worth * LATE_WORTH };
            tally.got += time;
        }
    }

    /// Counts a refusal by admission control while this fraction of the slots was free.
    pub fn note_refusal(&mut self, free: f64) {
        let (count, sum) = self.refusals;
        self.refusals = (count + 1, sum + free);
    }

    /// Mean fraction of free slots at the refusals by admission control.
    pub fn free_at_refusal(&self) -> f64 {
        let (count, sum) = self.refusals;
        sum / f64::from(count.max(1))
    }

    /// Worth that the accounts outside `surging` earned in the peak, as a fraction of what they
    /// earned in another run: of all together, and the least of the accounts.
    pub fn kept(&self, without: &Self, surging: &[u64]) -> (f64, f64) {
        let quiet = without
            .accounts
            .iter()
            .filter(|(account, _)| !surging.contains(account));
        let earned = |account: &u64| {
            let tally = self.accounts.get(account);
            tally.map_or(0.0, |tally| tally.earned)
        };
        let pairs: Vec<(f64, f64)> = quiet
            .map(|(account, tally)| (earned(account), tally.earned))
            .collect();
        let with: f64 = pairs.iter().map(|pair| pair.0).sum();
        let before: f64 = pairs.iter().map(|pair| pair.1).sum();
        let least = pairs
            .iter()
            .map(|pair| pair.0 / pair.1.max(f64::MIN_POSITIVE));
        (with / before, least.fold(f64::INFINITY, f64::min))
    }

    /// Slot time that the accounts in `surging` got in the peak, relative to their max-min fair
    /// shares of the slot time that all got.
    pub fn share_ratio(&self, surging: &[u64]) -> f64 {
        let asked = self.accounts.values().map(|tally| tally.asked).collect();
        let got = self.accounts.values().map(|tally| tally.got).sum();
        let share = max_min_share(asked, got);
        let of_surge = surging
            .iter()
            .filter_map(|account| self.accounts.get(account));
        let pairs: Vec<(f64, f64)> = of_surge
            .map(|tally| (tally.got, tally.asked.min(share)))
            .collect();
        let got: f64 = pairs.iter().map(|pair| pair.0).sum();
        got / pairs.iter().map(|pair| pair.1).sum::<f64>()
    }

    /// Returns the worth earned as a fraction of the worth of all calls.
    pub fn worth(&self) -> f64 {
        let earned = self.sum(|kind, tally| {
            kind.worth * (f64::from(tally.on_time) + LATE_WORTH * f64::from(tally.late))
        });
        earned / self.sum(|kind, tally| kind.worth * f64::from(tally.calls))
    }

    /// Returns the share of all calls that were served.
    pub fn served(&self) -> f64 {
        let served = self.sum(|_, tally| f64::from(tally.on_time + tally.late));
        served / self.sum(|_, tally| f64::from(tally.calls))
    }

    fn sum(&self, value: impl Fn(&CallKind, &KindTally) -> f64) -> f64 {
        let kinds = CALL_KINDS.iter().zip(&self.kinds);
        kinds.map(|(kind, tally)| value(kind, tally)).sum()
    }
}

/// Returns an estimate of the largest worth that a fleet can earn, as a fraction of the worth of
/// all calls: slots are never idle, and the calls with the most worth per engine time run first.
/// Each call takes the time that it takes alone on an engine with an empty cache.
pub fn ideal_worth(calls: &[LoadCall], engines: usize) -> f64 {
    let mut values: Vec<(f64, f64)> = calls.iter().map(value_and_time).collect();
    let total: f64 = values.iter().map(|(value, _)| value).sum();
    values.sort_by(|left, right| (right.0 / right.1).total_cmp(&(left.0 / left.1)));
    let mut time = RUN_TIME.as_secs_f64() * (engines * SLOTS) as f64;
    let mut earned = 0.0;
    for (value, needed) in values {
        let part = (time / needed).clamp(0.0, 1.0);
        earned += value * part;
        time -= needed * part;
    }
    earned / total
}

fn value_and_time(call: &LoadCall) -> (f64, f64) {
    let kind = &CALL_KINDS[call.kind];
    let mut engine = SimulatedEngine::default();
    engine.push(call.request(0, 0));
    engine.remove(0);
    engine.push(call.request(0, 0));
    let run = engine.start(Duration::ZERO).expect("a slot is free");
    (kind.worth, run.total.as_secs_f64())
}
