//! Usage and rate limits of client accounts at one endpoint.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wire::id::AccountId;

use crate::request::AdmitRequest;

/// Burst size of an account's token bucket, in seconds of the account's rate.
const BURST_SECONDS: f64 = 5.0;

/// Usage of one client account.
#[derive(Clone, Debug)]
pub struct AccountUsage {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Tokens left in the rate limiter's bucket, one per request; at most the burst size.
    tokens: f64,
    /// Rate limit at this endpoint in requests per second; 0 is unlimited.
    rate: f64,
    refilled_at: Instant,
}

impl AccountUsage {
    /// Requests that are running or waiting.
    pub fn total(&self) -> u32 {
        self.running + self.waiting
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_SECONDS).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.burst());
        self.refilled_at = now;
    }

    fn is_idle(&self) -> bool {
        self.total() == 0 && (self.rate <= 0.0 || self.tokens >= self.burst())
    }
}

/// Usage of all client accounts that are active at this endpoint.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: HashMap<AccountId, AccountUsage>,
}

impl AccountTable {
    /// Takes one token from the account's bucket. The bucket refills at `capacity_fraction` of the
    /// account's rate for the whole service.
    ///
    /// # Errors
    /// The time until a token is available.
    pub fn take_token(
        &mut self,
        request: &AdmitRequest,
        capacity_fraction: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let usage = self.usage_mut(request.account, now);
        let was_unlimited = usage.rate <= 0.0;
        usage.rate = request.rate_per_second * capacity_fraction;
        if usage.rate <= 0.0 {
            return Ok(());
        }
        if was_unlimited {
            usage.tokens = usage.burst();
        }
        usage.refill(now);
        if usage.tokens < 1.0 {
            let missing = 1.0 - usage.tokens;
            return Err(Duration::from_secs_f64(missing / usage.rate));
        }
        usage.tokens -= 1.0;
        Ok(())
    }

    /// Returns the token of a request that did not run after all.
    pub fn return_token(&mut self, account: AccountId) {
        if let Some(usage) = self.accounts.get_mut(&account) {
            usage.tokens = (usage.tokens + 1.0).min(usage.burst());
        }
    }

    /// Decrements the number of waiting requests of `account`.
    pub fn decrement_waiting(&mut self, account: AccountId) {
        if let Some(usage) = self.accounts.get_mut(&account) {
            usage.waiting -= 1;
        }
    }

    /// Usage of `account`, inserted if the account was not active.
    pub fn usage_mut(&mut self, account: AccountId, now: Instant) -> &mut AccountUsage {
        self.accounts.entry(account).or_insert(AccountUsage {
            running: 0,
            waiting: 0,
            tokens: 0.0,
            rate: 0.0,
            refilled_at: now,
        })
    }

    /// Usage of `account`, if it is active.
    pub fn get(&self, account: AccountId) -> Option<&AccountUsage> {
        self.accounts.get(&account)
    }

    /// All active accounts with their usage.
    pub fn iter(&self) -> impl Iterator<Item = (AccountId, &AccountUsage)> {
        self.accounts
            .iter()
            .map(|(account, usage)| (*account, usage))
    }

    /// Removes accounts that have no requests and whose bucket is full or whose rate is unlimited,
    /// so that no state is lost with them.
    pub fn remove_idle(&mut self, now: Instant) {
        self.accounts.retain(|_, usage| {
            usage.refill(now);
            !usage.is_idle()
        });
    }
}
