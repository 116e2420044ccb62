//! Results of calls, and an estimate of the best possible result.

use std::time::Duration;

use super::engine::{SLOTS, SimulatedEngine};
use super::load::{CALL_KINDS, CallKind, LoadCall, RUN_TIME};

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

/// Results of all calls of a pattern.
#[derive(Clone, Debug, Default)]
pub struct OverloadResult {
    /// Results by kind, in the order of [`CALL_KINDS`].
    pub kinds: [KindTally; CALL_KINDS.len()],
    /// Refusals by admission control while less than half of the slots of all available engines
    /// were occupied.
    pub refused_half_free: u32,
}

/// Fraction of its worth that a late answer earns.
const LATE_WORTH: f64 = 0.3;

impl OverloadResult {
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
