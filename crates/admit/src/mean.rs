//! The service's mean load as it can be known at one endpoint.
//!
//! Digests lag. The endpoint's own load is exact, so the part of the total that it contributes is
//! kept up to date. A falling total is carried on along its slope, because a mean that is believed
//! too high breaks the bound, while one believed too low only refuses a request that another
//! endpoint takes.

use std::time::Instant;

use wire::member::ServiceMean;

/// Weight of the newest slope in the average.
const SLOPE_GAIN: f64 = 0.5;
/// Longest time in seconds for which a falling total is carried on.
const MAX_CARRY_SECONDS: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct MeanSample {
    total: f64,
    weight: f64,
    /// Load of this endpoint when the sample arrived.
    own: f64,
    at: Instant,
}

/// Forecast of the service's mean load.
#[derive(Clone, Debug, Default)]
pub struct MeanForecast {
    sample: Option<MeanSample>,
    /// Change of the others' total per second.
    slope: f64,
}

impl MeanForecast {
    /// Takes in a mean that a digest brought while this endpoint had load `own`.
    pub fn observe(&mut self, mean: &ServiceMean, own: u32, now: Instant) {
        let sample = MeanSample {
            total: mean.load as f64,
            weight: mean.weight as f64,
            own: f64::from(own),
            at: now,
        };
        if let Some(last) = self.sample {
            self.update_slope(&last, &sample);
        }
        self.sample = (mean.weight > 0).then_some(sample);
    }

    /// Expected lower mean for each unit of weight with `own` requests here, or `None` when
    /// nothing is known.
    pub fn low_mean(&self, own: u32, now: Instant) -> Option<f64> {
        let sample = self.sample?;
        let age = now.saturating_duration_since(sample.at).as_secs_f64();
        let fall = self.slope.min(0.0) * age.min(MAX_CARRY_SECONDS);
        let others = (sample.total - sample.own + fall).max(0.0);
        Some((others + f64::from(own)) / sample.weight)
    }

    /// Weight of the whole service.
    pub fn total_weight(&self) -> Option<f64> {
        Some(self.sample?.weight)
    }

    fn update_slope(&mut self, last: &MeanSample, next: &MeanSample) {
        let elapsed = next.at.saturating_duration_since(last.at).as_secs_f64();
        if elapsed <= 0.0 || last.weight.total_cmp(&next.weight).is_ne() {
            return;
        }
        let change = (next.total - next.own) - (last.total - last.own);
        self.slope += SLOPE_GAIN * (change / elapsed - self.slope);
    }
}
