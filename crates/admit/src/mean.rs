//! The service's mean load as it can be known at one endpoint.
//!
//! Digests lag. The endpoint's own load is exact, so the part of the total that it contributes is
//! kept up to date. A falling total is carried on along its slope, because a mean that is believed
//! too high breaks the bound, while one believed too low only refuses a request that another
//! endpoint takes. After an endpoint joined, the others stand above the lowered bound and admit
//! nothing, so for a while their load is taken to fall as fast as work ends.

use std::time::{Duration, Instant};

use wire::member::ServiceMean;

/// Weight of the newest slope in the average.
const SLOPE_GAIN: f64 = 0.5;
/// Longest time in seconds for which a falling total is carried on.
const MAX_EXTRAPOLATION_SECONDS: f64 = 2.0;
/// Time after a join in which the others' load is taken to fall.
const JOIN_FALL_DURATION: Duration = Duration::from_secs(5);
/// Least part of the expected mean that the lowest one is taken for, so that load can always rise
/// again: bound times this part stays above 1.
const MIN_LOWEST_RATIO: f64 = 0.85;
/// Standard deviations of the others' load that the lowest mean allows for.
const LOWEST_MEAN_DEVIATIONS: f64 = 3.0;
/// Largest age in seconds of the loads that a mean was built from.
const MAX_REPORT_AGE_SECONDS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct MeanSample {
    total: f64,
    weight: f64,
    /// Weight of the endpoints that are expected to join.
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

/// Forecast of the service's mean load.
#[derive(Clone, Debug, Default)]
pub struct MeanForecast {
    sample: Option<MeanSample>,
    /// Change of the others' total per second.
    slope: f64,
    /// End of the fall that the last join causes.
    falling_until: Option<Instant>,
}

impl MeanForecast {
    /// Takes in a mean that a digest brought while this endpoint had load `own`.
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

    /// Expected mean for each unit of weight with `own` requests here, or `None` when nothing is
    /// known.
    pub fn expected_mean(&self, own_load: u32, now: Instant) -> Option<f64> {
        let sample = self.sample?;
        let predicted_change =
            self.slope.min(0.0) * sample.age_seconds(now).min(MAX_EXTRAPOLATION_SECONDS);
        let others = (sample.total - sample.own_load + predicted_change).max(0.0);
        Some((others + f64::from(own_load)) / sample.weight)
    }

    /// Lowest mean to reckon with when requests take `duration` seconds on average.
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
            // Arrivals and ends within the age are independent and about as many.
            let deviation = f64::sqrt(2.0 * others * age / duration_seconds);
            (others - LOWEST_MEAN_DEVIATIONS * deviation).max(0.0)
        };
        let lowest = (lowest_others + f64::from(own_load)) / sample.weight;
        Some(lowest.clamp(MIN_LOWEST_RATIO * expected, expected))
    }

    /// Weight of the whole service.
    pub fn total_weight(&self) -> Option<f64> {
        Some(self.sample?.weight)
    }

    /// Share of the service's weight that does not serve now and is expected to join.
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
