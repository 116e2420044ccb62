//! Retry budget and back-off.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Retry limits and delays of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries that each first attempt adds to the budget.
    pub ratio: f64,
    /// Redirects that each first attempt adds to the separate redirect budget. A redirect follows
    /// an attempt that was refused before it ran, and so caused no work at its endpoint.
    pub redirect_ratio: f64,
    /// Largest retry budget, and the initial one.
    pub burst: f64,
    /// Upper bound of the back-off delay before the first retry.
    pub base_delay: Duration,
    /// Upper bound of the back-off delay before any retry.
    pub max_delay: Duration,
    /// Number of times that a request may be sent on to another endpoint within one round.
    pub max_hops: u8,
    /// Rounds over the endpoints, separated by a back-off delay, before the request fails.
    pub max_rounds: u8,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            redirect_ratio: 2.0,
            burst: 20.0,
            base_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(2),
            max_hops: 4,
            max_rounds: 6,
        }
    }
}

/// Token buckets that limit retries and redirects, each in proportion to first attempts, so that
/// the loss of a failure domain causes no retry storm.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Retries left, between 0 and `settings.burst`.
    tokens: f64,
    /// Redirects left, between 0 and the result of [`redirect_burst`].
    redirects: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: RetrySettings) -> Self {
        let tokens = settings.burst;
        let redirects = redirect_burst(&settings);
        Self {
            settings,
            tokens,
            redirects,
        }
    }

    /// Adds the share of one first attempt to both budgets.
    pub fn record_first_attempt(&mut self) {
        let settings = &self.settings;
        self.tokens = (self.tokens + settings.ratio).min(settings.burst);
        let redirects = self.redirects + settings.redirect_ratio;
        self.redirects = redirects.min(redirect_burst(settings));
    }

    /// Takes one retry from the budget. Returns false if there is none.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes one redirect from the redirect budget. Returns false if there is none.
    pub fn try_redirect(&mut self) -> bool {
        if self.redirects < 1.0 {
            return false;
        }
        self.redirects -= 1.0;
        true
    }

    /// Delay before retry number `retry`, counted from 1: uniformly distributed below a limit that
    /// doubles with each retry up to the maximum delay.
    pub fn backoff<R: Rng>(&self, retry: u32, rng: &mut R) -> Duration {
        let factor = 1_u32 << retry.saturating_sub(1).min(16);
        let limit = self.settings.base_delay.saturating_mul(factor);
        let limit = limit.min(self.settings.max_delay);
        limit.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Delay before retry number `retry`: the delay for which the refusal asked, if any, plus the
    /// back-off delay.
    pub fn backoff_after<R: Rng>(
        &self,
        retry: u32,
        retry_after: Option<Duration>,
        rng: &mut R,
    ) -> Duration {
        retry_after.unwrap_or_default() + self.backoff(retry, rng)
    }

    /// Number of times that a request may be sent on to another endpoint within one round.
    pub fn max_hops(&self) -> u8 {
        self.settings.max_hops
    }

    /// Rounds over the endpoints before the request fails.
    pub fn max_rounds(&self) -> u8 {
        self.settings.max_rounds
    }

    /// Retries left in the budget.
    pub fn retries_left(&self) -> f64 {
        self.tokens
    }
}

/// Largest redirect budget: the retry burst scaled by `redirect_ratio / ratio`.
fn redirect_burst(settings: &RetrySettings) -> f64 {
    settings.burst * settings.redirect_ratio / settings.ratio
}
