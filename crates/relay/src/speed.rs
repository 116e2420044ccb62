//! Current speed of the machine that an endpoint runs on.
//!
//! Load pattern: endpoints share their machines with other work, and for some hundred milliseconds
//! at a time all their work takes a multiple of its usual time. What an endpoint states is true for
//! that long only, so the estimate returns to the usual speed as the statement ages.

use std::time::Duration;

/// Time constant with which a statement loses its weight. Speeds change about every 600 ms; a longer
/// time avoids endpoints that have recovered, a shorter one forgets those that are still slow.
const FADING_TIME: Duration = Duration::from_millis(600);
/// Bounds of the slowdown that is believed, so that a wrong statement neither attracts all calls nor
/// keeps an endpoint idle for long.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 8.0);
/// Percentage that stands for the usual speed.
const USUAL_PERCENT: f64 = 100.0;

/// How much longer work takes at an endpoint than usual.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSpeed {
    /// Latest stated slowdown less 1; 0 before the first statement.
    excess: f64,
    stated_at: Duration,
}

impl EndpointSpeed {
    /// Creates the speed that a statement of `now` stands for: the time that work takes, in percent
    /// of the usual time. `None` stands for the usual speed.
    pub fn stated(now: Duration, work_percent: Option<u32>) -> Self {
        let slowdown = work_percent.map_or(1.0, |percent| f64::from(percent) / USUAL_PERCENT);
        let (lowest, highest) = SLOWDOWN_BOUNDS;
        Self {
            excess: slowdown.clamp(lowest, highest) - 1.0,
            stated_at: now,
        }
    }

    /// Expected slowdown at `now`; 1 at the usual speed.
    pub fn slowdown(&self, now: Duration) -> f64 {
        1.0 + self.excess * self.weight(now)
    }

    /// Expected slowdown as the mean over the time `span` that follows `now`.
    pub fn mean_slowdown(&self, now: Duration, span: Duration) -> f64 {
        let spans = span.as_secs_f64() / FADING_TIME.as_secs_f64();
        if spans <= 0.0 {
            return self.slowdown(now);
        }
        1.0 + self.excess * self.weight(now) * (1.0 - (-spans).exp()) / spans
    }

    /// Expected time until work is done at `now` that usually takes `time`.
    pub fn work_time(&self, now: Duration, time: Duration) -> Duration {
        time.mul_f64(self.mean_slowdown(now, time))
    }

    fn weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.stated_at);
        (-age.as_secs_f64() / FADING_TIME.as_secs_f64()).exp()
    }
}
