//! Flap damping: excludes endpoints that fail and return repeatedly.

use std::time::{Duration, Instant};

/// Thresholds of flap damping.
#[derive(Clone, Debug, PartialEq)]
pub struct FlapSettings {
    /// Time in which the penalty decays to half.
    pub half_life: Duration,
    /// Penalty above which the endpoint is damped; each failure adds 1.
    pub suppress_limit: f64,
    /// Penalty below which a damped endpoint is used again.
    pub reuse_limit: f64,
}

impl Default for FlapSettings {
    fn default() -> Self {
        Self {
            half_life: Duration::from_secs(15),
            suppress_limit: 3.0,
            reuse_limit: 1.0,
        }
    }
}

/// Failure penalty of one endpoint, which decays exponentially.
#[derive(Clone, Debug)]
pub struct FlapRecord {
    penalty: f64,
    updated_at: Instant,
    is_damped: bool,
}

impl FlapRecord {
    /// Creates a record without failures.
    pub fn new(now: Instant) -> Self {
        Self {
            penalty: 0.0,
            updated_at: now,
            is_damped: false,
        }
    }

    /// Adds a failure to the penalty.
    pub fn record_failure(&mut self, settings: &FlapSettings, now: Instant) {
        self.decay(settings, now);
        self.penalty += 1.0;
        if self.penalty > settings.suppress_limit {
            self.is_damped = true;
        }
    }

    /// Whether the endpoint is damped at `now`.
    pub fn is_damped(&mut self, settings: &FlapSettings, now: Instant) -> bool {
        self.decay(settings, now);
        if self.penalty < settings.reuse_limit {
            self.is_damped = false;
        }
        self.is_damped
    }

    fn decay(&mut self, settings: &FlapSettings, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let half_lives = elapsed.as_secs_f64() / settings.half_life.as_secs_f64();
        self.penalty *= (-half_lives).exp2();
        self.updated_at = now;
    }
}
