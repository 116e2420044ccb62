//! Retry budget of a service.
//!
//! Over all instances, the retries of a service in a sliding window are limited to a fraction of
//! its requests plus a constant. Each instance applies the fraction to its own requests and takes
//! an equal part of the constant, so the instances need no coordination.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use wire::id::ServiceId;

/// Settings of the retry budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries per window that all instances together may make beyond `ratio`.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            extra: 60.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Fraction of the budget that may be spent. The rest covers requests that instances count
/// differently at the edges of the window.
const SPENDABLE_FRACTION: f64 = 0.85;

/// Fraction of this instance's part of the constant that it has in the first window after a restart:
/// what the process before it left, as that spent no more than [`SPENDABLE_FRACTION`].
const RESTART_FRACTION: f64 = (1.0 - SPENDABLE_FRACTION) / SPENDABLE_FRACTION;

/// Arrival times of one service's requests and retries in the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// Retry budget of this instance, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Number of instances that share `BudgetSettings::extra`; at least 1.
    instances: usize,
    services: HashMap<ServiceId, ServiceWindow>,
    /// Until when most of this instance's part of `BudgetSettings::extra` counts as spent.
    extra_spent_until: Duration,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent, for a single instance.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            instances: 1,
            services: HashMap::new(),
            extra_spent_until: Duration::ZERO,
        }
    }

    /// Creates the budget of an instance that starts at time zero in place of an earlier process.
    /// That process may have spent all that it could of its part of `BudgetSettings::extra` just
    /// before, so only the rest is left for one window.
    pub fn after_restart(settings: BudgetSettings) -> Self {
        let extra_spent_until = settings.window;
        Self {
            extra_spent_until,
            ..Self::new(settings)
        }
    }

    /// Sets the number of instances that share `BudgetSettings::extra`.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Number of instances that share `BudgetSettings::extra`; at least 1.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Records a request to a service.
    pub fn note_request(&mut self, now: Duration, service: ServiceId) {
        self.window(now, service).requests.push_back(now);
    }

    /// Takes one retry from the budget of a service. Returns `false` if the budget is used up.
    pub fn take_retry(&mut self, now: Duration, service: ServiceId) -> bool {
        let extra = self.settings.extra / self.instances as f64;
        let extra = match now < self.extra_spent_until {
            true => extra * RESTART_FRACTION,
            false => extra,
        };
        let ratio = self.settings.ratio;
        let window = self.window(now, service);
        let limit = (window.requests.len() as f64 * ratio + extra) * SPENDABLE_FRACTION;
        let is_free = (window.retries.len() as f64) + 1.0 <= limit;
        if is_free {
            window.retries.push_back(now);
        }
        is_free
    }

    fn window(&mut self, now: Duration, service: ServiceId) -> &mut ServiceWindow {
        let since = now.saturating_sub(self.settings.window);
        let window = self.services.entry(service).or_default();
        for events in [&mut window.requests, &mut window.retries] {
            while events.front().is_some_and(|at| *at < since) {
                events.pop_front();
            }
        }
        window
    }
}
