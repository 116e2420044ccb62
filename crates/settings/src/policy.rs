//! The values that every branch inherits.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::answer::ClassKind;

/// What an instance does when its settings lease has lapsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StaleKind {
    /// Goes on with the settings it has.
    #[default]
    Serve,
    /// Refuses new work of this branch.
    StepOut,
}

/// The values that every branch inherits from its parent and may override.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Hard limit of an endpoint's load as a multiple of the service's mean, at least 1.
    pub load_bound: f64,
    /// Load up to which warm work is admitted at the first try, as a multiple of the mean; at most
    /// `load_bound`. Cold work is held lower.
    pub load_aim: f64,
    /// Requests that an account may start per second, over the whole service; 0 is unlimited.
    pub rate_per_second: f64,
    /// Requests that an account may have in flight at one endpoint; 0 is unlimited.
    pub concurrency: u32,
    /// Share of the endpoint in the fair queue.
    pub share: u32,
    /// Requests that may wait at one endpoint.
    pub queue_limit: u32,
    /// Deadline of a request that states none.
    pub deadline: Duration,
    /// Largest accepted body in bytes.
    pub max_body_bytes: u64,
    /// Class of a request that states none.
    pub class: ClassKind,
    /// How long a recorded answer is kept after its request ended.
    pub retention: Duration,
    /// Largest answer body in bytes that is recorded for resends.
    pub max_recorded_bytes: u64,
    /// What an instance does when its settings lease has lapsed.
    pub when_stale: StaleKind,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            load_bound: 1.25,
            load_aim: 1.15,
            rate_per_second: 0.0,
            concurrency: 0,
            share: 1,
            queue_limit: 256,
            deadline: Duration::from_secs(120),
            max_body_bytes: 4 * 1024 * 1024,
            class: ClassKind::Interactive,
            retention: Duration::from_secs(24 * 60 * 60),
            max_recorded_bytes: 64 * 1024,
            when_stale: StaleKind::Serve,
        }
    }
}

impl PolicySettings {
    /// The limits of an endpoint's load.
    pub fn load_limits(&self) -> LoadLimits {
        LoadLimits {
            bound: self.load_bound,
            aim: self.load_aim,
        }
    }
}

/// Largest limit for cold work at the first try, as a multiple of the mean.
const MAX_COLD_AIM: f64 = 1.1;

/// Limits of an endpoint's load as multiples of the service's mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimits {
    /// Hard limit, at least 1.
    pub bound: f64,
    /// Limit for warm work at the first try; at most `bound`.
    pub aim: f64,
}

impl LoadLimits {
    /// The limit for warm work while `absent_share` of the service's weight does not serve.
    ///
    /// When the absent endpoints join again, the mean falls by their share; the others should be
    /// under the bound then.
    pub fn warm_aim(self, absent_share: f64) -> f64 {
        if absent_share <= 0.0 {
            return self.aim;
        }
        let after_join = self.bound * (1.0 - absent_share);
        self.aim.min(after_join).max(1.0)
    }

    /// The limit for cold work among `endpoints` equal endpoints.
    ///
    /// One cold endpoint that joins lowers the mean by its share. The aim is lowered so far that
    /// the others are still under the bound then, but never below the mean itself.
    pub fn cold_aim(self, endpoints: f64) -> f64 {
        let endpoints = endpoints.max(1.0);
        let after_join = self.bound * (endpoints - 1.0) / endpoints;
        self.aim.min(MAX_COLD_AIM).min(after_join).max(1.0)
    }
}

impl Default for LoadLimits {
    fn default() -> Self {
        PolicySettings::default().load_limits()
    }
}
