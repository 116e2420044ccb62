//! Estimate of the service's mean load as seen by one endpoint.
//!
//! The mean arrives in digests, which lag behind. The endpoint knows its own load exactly, so its
//! contribution to the total is always current. A falling total is extrapolated along its slope
//! and a rising one is not: overestimating the mean violates the load bound, while underestimating
//! it only refuses a request that another endpoint then takes. After an endpoint has joined, the
//! mean drops, the other endpoints are above the lowered bound and admit nothing; for a while
//! their load is therefore assumed to fall at the rate at which requests end.

use std::time::{Duration, Instant};

use wire::member::ServiceMean;

/// Weight of the newest sample in the moving average of the slope.
const SLOPE_GAIN: f64 = 0.5;
/// Longest time in seconds over which a falling total is extrapolated.
const MAX_EXTRAPOLATION_SECONDS: f64 = 2.0;
/// Time after a join during which the load of the other endpoints is assumed to fall.
const JOIN_FALL_DURATION: Duration = Duration::from_secs(5);
/// Lower limit of the lowest mean, as a ratio to the expected mean. The load bound times this ratio
/// must stay above 1, or else load could never rise again.
const MIN_LOWEST_RATIO: f64 = 0.85;
/// Standard deviations subtracted from the load of the other endpoints to obtain the lowest mean.
const LOWEST_MEAN_DEVIATIONS: f64 = 3.0;
/// Largest age in seconds of the load reports that a mean is computed from.
const MAX_REPORT_AGE_SECONDS: f64 = 1.0;

/// The last mean that a digest reported.
#[derive(Clone, Copy, Debug)]
struct MeanSample {
    /// Load of all serving endpoints.
    total: f64,
    /// Weight of all serving endpoints.
    weight: f64,
    /// Weight of the endpoints that do not serve and are expected to join.
    absent: f64,
    /// Load of this endpoint when the sample arrived.
    own_load: f64,
    observed_at: Instant,
}

impl MeanSample {
    fn age_seconds(&self, now: Instant) -> f64 {
        now.saturating_duration_since(self.observed_at)
            .as_secs_f64()
    }
}

/// Estimates the service's current mean load from the last digest.
#[derive(Clone, Debug, Default)]
pub struct MeanForecast {
    sample: Option<MeanSample>,
    /// Moving average of the change per second of the other endpoints' load.
    slope: f64,
    /// Until when the other endpoints' load is assumed to fall because of the last join.
    falling_until: Option<Instant>,
}

impl MeanForecast {
    /// Records a mean from a digest that arrived while this endpoint had `own_load` requests.
    pub fn observe(&mut self, mean: &ServiceMean, own_load: u32, now: Instant) {
        let sample = MeanSample {
            total: mean.load as f64,
            weight: mean.weight as f64,
            absent: mean.absent as f64,
            own_load: f64::from(own_load),
            observed_at: now,
        };
        if let Some(last) = self.sample {
            self.update_slope(&last, &sample);
            if sample.weight > last.weight {
                self.falling_until = Some(now + JOIN_FALL_DURATION);
            }
        }
        self.sample = (mean.weight > 0).then_some(sample);
    }

    /// Expected mean load per unit of weight, given `own_load` requests at this endpoint. `None`
    /// while no mean is known.
    pub fn expected_mean(&self, own_load: u32, now: Instant) -> Option<f64> {
        let sample = self.sample?;
        let predicted_change =
            self.slope.min(0.0) * sample.age_seconds(now).min(MAX_EXTRAPOLATION_SECONDS);
        let others = (sample.total - sample.own_load + predicted_change).max(0.0);
        Some((others + f64::from(own_load)) / sample.weight)
    }

    /// Lowest plausible mean load per unit of weight, given `own_load` requests at this endpoint
    /// and an average request duration of `duration_seconds`. `None` while no mean is known.
    pub fn lowest_mean(&self, own_load: u32, duration_seconds: f64, now: Instant) -> Option<f64> {
        let expected = self.expected_mean(own_load, now)?;
        let sample = self.sample?;
        if duration_seconds <= 0.0 {
            return Some(expected);
        }
        let age = sample.age_seconds(now) + MAX_REPORT_AGE_SECONDS;
        let others = (sample.total - sample.own_load).max(0.0);
        let is_falling = self.falling_until.is_some_and(|until| now < until);
        let lowest_others = if is_falling {
            others * f64::exp(-age / duration_seconds)
        } else {
            // Arrivals and completions within `age` are about equally many and independent, so
            // their variances add.
            let deviation = f64::sqrt(2.0 * others * age / duration_seconds);
            (others - LOWEST_MEAN_DEVIATIONS * deviation).max(0.0)
        };
        let lowest = (lowest_others + f64::from(own_load)) / sample.weight;
        Some(lowest.clamp(MIN_LOWEST_RATIO * expected, expected))
    }

    /// Weight of all serving endpoints of the service. `None` while no mean is known.
    pub fn total_weight(&self) -> Option<f64> {
        Some(self.sample?.weight)
    }

    /// Fraction of the service's weight that does not serve and is expected to join.
    pub fn absent_share(&self) -> f64 {
        self.sample.map_or(0.0, |sample| {
            sample.absent / (sample.absent + sample.weight)
        })
    }

    fn update_slope(&mut self, last: &MeanSample, next: &MeanSample) {
        let elapsed = next
            .observed_at
            .saturating_duration_since(last.observed_at)
            .as_secs_f64();
        if elapsed <= 0.0 || last.weight.total_cmp(&next.weight).is_ne() {
            return;
        }
        let change = (next.total - next.own_load) - (last.total - last.own_load);
        self.slope += SLOPE_GAIN * (change / elapsed - self.slope);
    }
}
