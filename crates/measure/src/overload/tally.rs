//! How calls fared, and how they could have at best.

use super::engine::{ENGINES, ModelEngine, PLACES};
use super::load::{CallShape, LoadCall, RUN_TIME, SHAPES};

/// How the calls of one kind fared.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShapeTally {
    /// Calls.
    pub calls: u32,
    /// Those that were served in time.
    pub on_time: u32,
    /// Those that were served late.
    pub late: u32,
    /// Those that ended refused.
    pub refused: u32,
}

impl ShapeTally {
    /// Share of the calls that were served.
    pub fn served(&self) -> f64 {
        f64::from(self.on_time + self.late) / f64::from(self.calls.max(1))
    }
}

/// How a pattern was met.
#[derive(Clone, Debug, Default)]
pub struct OverloadResult {
    /// By kind, as in [`SHAPES`].
    pub shapes: [ShapeTally; SHAPES.len()],
    /// Refusals while less than half of all places were taken.
    pub refused_half_free: u32,
}

/// Part of its worth that a late answer keeps.
const LATE_WORTH: f64 = 0.3;

impl OverloadResult {
    /// Worth that was earned, as a part of what was owed.
    pub fn worth(&self) -> f64 {
        let earned = self.sum(|shape, tally| {
            shape.worth * (f64::from(tally.on_time) + LATE_WORTH * f64::from(tally.late))
        });
        earned / self.sum(|shape, tally| shape.worth * f64::from(tally.calls))
    }

    /// Share of all calls that were served.
    pub fn served(&self) -> f64 {
        let served = self.sum(|_, tally| f64::from(tally.on_time + tally.late));
        served / self.sum(|_, tally| f64::from(tally.calls))
    }

    fn sum(&self, value: impl Fn(&CallShape, &ShapeTally) -> f64) -> f64 {
        let shapes = SHAPES.iter().zip(&self.shapes);
        shapes.map(|(shape, tally)| value(shape, tally)).sum()
    }
}

/// Worth that an all-knowing fleet earns at most: places are never idle, prompts always warm, and the
/// calls of the most worth for their time go first. A part of what is owed.
pub fn ideal_worth(calls: &[LoadCall]) -> f64 {
    let mut values: Vec<(f64, f64)> = calls.iter().map(value_and_time).collect();
    let owed: f64 = values.iter().map(|(value, _)| value).sum();
    values.sort_by(|left, right| (right.0 / right.1).total_cmp(&(left.0 / left.1)));
    let mut time = RUN_TIME.as_secs_f64() * (ENGINES * PLACES) as f64;
    let mut earned = 0.0;
    for (value, needed) in values {
        let part = (time / needed).clamp(0.0, 1.0);
        earned += value * part;
        time -= needed * part;
    }
    earned / owed
}

fn value_and_time(call: &LoadCall) -> (f64, f64) {
    let shape = &SHAPES[call.shape];
    let mut engine = ModelEngine::default();
    engine.push(call.request(0, 0));
    engine.remove(0);
    engine.push(call.request(0, 0));
    let run = engine.start().expect("a place is free");
    (shape.worth, run.total.as_secs_f64())
}
