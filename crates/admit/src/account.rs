//! Use and limits of client accounts at one endpoint.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wire::id::AccountId;

use crate::request::AdmitRequest;

/// Seconds of an account's rate that it may use at once.
const BURST_SECONDS: f64 = 5.0;

/// Use of one client account.
#[derive(Clone, Debug)]
pub struct AccountUsage {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it may start at once, at most the burst.
    tokens: f64,
    /// Requests per second at this endpoint; 0 is unlimited.
    rate: f64,
    refilled_at: Instant,
}

impl AccountUsage {
    /// Requests here.
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

/// Use of all client accounts that are active here.
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    accounts: HashMap<AccountId, AccountUsage>,
}

impl AccountTable {
    /// Takes one request out of the rate of its account, of which this endpoint grants `portion`.
    ///
    /// # Errors
    /// The time after which the rate allows the request.
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

    /// Gives a request back that was not admitted after all.
    pub fn return_token(&mut self, account: AccountId) {
        if let Some(usage) = self.accounts.get_mut(&account) {
            usage.tokens = (usage.tokens + 1.0).min(usage.burst());
        }
    }

    /// Counts one request of `account` less that waits.
    pub fn decrement_waiting(&mut self, account: AccountId) {
        if let Some(usage) = self.accounts.get_mut(&account) {
            usage.waiting -= 1;
        }
    }

    /// Use of `account`, created when it is new.
    pub fn usage_mut(&mut self, account: AccountId, now: Instant) -> &mut AccountUsage {
        self.accounts.entry(account).or_insert(AccountUsage {
            running: 0,
            waiting: 0,
            tokens: 0.0,
            rate: 0.0,
            refilled_at: now,
        })
    }

    /// Use of `account`, if it is active.
    pub fn get(&self, account: AccountId) -> Option<&AccountUsage> {
        self.accounts.get(&account)
    }

    /// Every active account.
    pub fn iter(&self) -> impl Iterator<Item = (AccountId, &AccountUsage)> {
        self.accounts
            .iter()
            .map(|(account, usage)| (*account, usage))
    }

    /// Forgets accounts that use nothing and have their whole burst.
    pub fn remove_idle(&mut self, now: Instant) {
        self.accounts.retain(|_, usage| {
            usage.refill(now);
            !usage.is_idle()
        });
    }
}
