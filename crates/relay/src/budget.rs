//! How many repeats a service takes.
//!
//! The budget of a service is a share of its requests in a sliding window, plus a fixed extra, over
//! all instances together. Each instance spends the share of its own requests and an equal part of
//! the extra, so no instance has to ask another.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use wire::id::ServiceId;

/// Settings of the budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats in a window that all instances together may add.
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

/// Share of the budget that is spent; the rest covers requests that other instances count
/// differently at the edges of a window.
const SPENDABLE_FRACTION: f64 = 0.85;

/// Events of one service in the window.
#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

/// Repeats of this instance, by service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    /// Instances that share the extra. At least 1.
    instances: usize,
    services: HashMap<ServiceId, ServiceWindow>,
}

impl RetryBudget {
    /// A budget that nothing was spent of.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            instances: 1,
            services: HashMap::new(),
        }
    }

    /// Sets how many instances share the extra.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// How many instances share the extra.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// A request arrived for a service.
    pub fn note_request(&mut self, now: Duration, service: ServiceId) {
        self.window(now, service).requests.push_back(now);
    }

    /// Takes one repeat of the budget, if there is one.
    pub fn take_retry(&mut self, now: Duration, service: ServiceId) -> bool {
        let extra = self.settings.extra / self.instances as f64;
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
