//! Retry budget and back-off.

use std::time::Duration;

use rand::{Rng, RngExt};

/// How often and how soon an entry retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries that each first attempt adds to the budget.
    pub ratio: f64,
    /// Redirects that each first attempt adds to their own budget. A redirect follows a refusal by
    /// an agent that ran nothing, and costs no work at the endpoint.
    pub redirect_ratio: f64,
    /// Largest budget, which is also the budget at the start.
    pub burst: f64,
    /// Upper end of the first wait.
    pub base_delay: Duration,
    /// Upper end of every wait.
    pub max_delay: Duration,
    /// Agents that may refuse one request before the caller is told.
    pub max_hops: u8,
    /// Rounds of hops, with a wait between, before the caller is told.
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

/// Retries as a share of first attempts, so that a lost failure domain causes no retry storm.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Retries left, between 0 and `settings.burst`.
    tokens: f64,
    /// Redirects left, between 0 and the same share of the burst as of the ratio.
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

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        let settings = &self.settings;
        self.tokens = (self.tokens + settings.ratio).min(settings.burst);
        let redirects = self.redirects + settings.redirect_ratio;
        self.redirects = redirects.min(redirect_burst(settings));
    }

    /// Takes one retry out of the budget, or says that there is none.
    pub fn try_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes one redirect out of its budget, or says that there is none.
    pub fn try_redirect(&mut self) -> bool {
        if self.redirects < 1.0 {
            return false;
        }
        self.redirects -= 1.0;
        true
    }

    /// Wait before retry number `retry`, from 1: uniform up to a limit that doubles.
    pub fn backoff<R: Rng>(&self, retry: u32, rng: &mut R) -> Duration {
        let factor = 1_u32 << retry.saturating_sub(1).min(16);
        let limit = self.settings.base_delay.saturating_mul(factor);
        let limit = limit.min(self.settings.max_delay);
        limit.mul_f64(rng.random_range(0.0..1.0))
    }

    /// Wait before retry number `retry` after a refusal that asked for `retry_after`.
    pub fn backoff_after<R: Rng>(
        &self,
        retry: u32,
        retry_after: Option<Duration>,
        rng: &mut R,
    ) -> Duration {
        retry_after.unwrap_or_default() + self.backoff(retry, rng)
    }

    /// Agents that may refuse one request before the caller is told.
    pub fn max_hops(&self) -> u8 {
        self.settings.max_hops
    }

    /// Rounds of hops, with a wait between, before the caller is told.
    pub fn max_rounds(&self) -> u8 {
        self.settings.max_rounds
    }

    /// Retries left.
    pub fn retries_left(&self) -> f64 {
        self.tokens
    }
}

fn redirect_burst(settings: &RetrySettings) -> f64 {
    settings.burst * settings.redirect_ratio / settings.ratio
}
