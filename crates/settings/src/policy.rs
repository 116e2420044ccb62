//! The values that branches inherit from their parent.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::answer::PriorityClass;

use crate::defaults;

/// What an instance does when its settings lease has lapsed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StaleKind {
    /// Continues with the settings that it has.
    #[default]
    Serve,
    /// Refuses new requests of this branch.
    StepOut,
}

/// The values that a branch inherits from its parent and may override.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// Hard limit of an endpoint's load as a multiple of the service's mean, at least 1.
    pub load_bound: f64,
    /// Load up to which warm requests are admitted, as a multiple of the mean; at most `load_bound`.
    /// A request is warm on an endpoint that its warm hint names or whose cache is estimated to hold
    /// most of its prompt. The limit for cold requests may be lower. A request that several agents
    /// have refused is admitted up to `load_bound`.
    pub load_aim: f64,
    /// Requests that an account may start per second, over the whole service; 0 is unlimited.
    pub rate_per_second: f64,
    /// Requests that an account may have in flight at one endpoint; 0 is unlimited.
    pub concurrency: u32,
    /// Weight of an account in the fair queue of an endpoint.
    pub share: u32,
    /// Requests that may wait at one endpoint.
    pub queue_limit: u32,
    /// Deadline of a request that sets none.
    pub deadline: Duration,
    /// Maximum accepted request body in bytes.
    pub max_body_bytes: u64,
    /// Priority class of a request that sets none.
    pub class: PriorityClass,
    /// How long a recorded answer is kept after its request has ended.
    pub retention: Duration,
    /// Maximum answer body in bytes that is recorded for resends of a request.
    pub max_recorded_bytes: u64,
    /// What an instance does when its settings lease has lapsed.
    pub when_stale: StaleKind,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            load_bound: defaults::LOAD_BOUND,
            load_aim: defaults::LOAD_AIM,
            rate_per_second: defaults::RATE_PER_SECOND,
            concurrency: defaults::CONCURRENCY,
            share: defaults::SHARE,
            queue_limit: defaults::QUEUE_LIMIT,
            deadline: Duration::from_millis(defaults::DEADLINE_MS),
            max_body_bytes: defaults::MAX_BODY_BYTES,
            class: PriorityClass::Interactive,
            retention: Duration::from_secs(defaults::RETENTION_S),
            max_recorded_bytes: defaults::MAX_RECORDED_BYTES,
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

/// Maximum limit for cold requests, as a multiple of the mean. Like `aim`, it does not apply to a
/// request that several agents have refused.
const MAX_COLD_AIM: f64 = 1.1;

/// Limits of an endpoint's load as multiples of the service's mean.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadLimits {
    /// Hard limit, at least 1.
    pub bound: f64,
    /// Limit for warm requests, unless several agents have refused them; at most `bound`.
    pub aim: f64,
}

impl LoadLimits {
    /// The limit for warm requests while endpoints with `absent_share` of the service's weight are
    /// not serving.
    ///
    /// When the absent endpoints rejoin, the mean load drops by their share, and the load of the
    /// other endpoints should still be below the bound afterwards. The limit is halfway between the
    /// present mean and the highest load for which that holds; the other half is headroom for
    /// requests that end on other endpoints, which also lowers the mean.
    pub fn warm_aim(self, absent_share: f64) -> f64 {
        if absent_share <= 0.0 {
            return self.aim;
        }
        let after_join = self.bound * (1.0 - absent_share);
        let halfway = 1.0 + (after_join - 1.0) / 2.0;
        self.aim.min(halfway).max(1.0)
    }

    /// The limit for cold requests in a service of `endpoints` endpoints with equal weight.
    ///
    /// An endpoint that joins without load lowers the mean by its share. The limit is low enough
    /// that the load of the other endpoints is still below the bound afterwards, but never below
    /// the mean itself.
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

/// The values that a branch sets itself. `None` means that the value is inherited.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyOverrides {
    /// Overrides [`PolicySettings::load_bound`].
    pub load_bound: Option<f64>,
    /// Overrides [`PolicySettings::load_aim`].
    pub load_aim: Option<f64>,
    /// Overrides [`PolicySettings::rate_per_second`].
    pub rate_per_second: Option<f64>,
    /// Overrides [`PolicySettings::concurrency`].
    pub concurrency: Option<u32>,
    /// Overrides [`PolicySettings::share`].
    pub share: Option<u32>,
    /// Overrides [`PolicySettings::queue_limit`].
    pub queue_limit: Option<u32>,
    /// Overrides [`PolicySettings::deadline`], in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Overrides [`PolicySettings::max_body_bytes`].
    pub max_body_bytes: Option<u64>,
    /// Overrides [`PolicySettings::class`].
    pub class: Option<PriorityClass>,
    /// Overrides [`PolicySettings::retention`], in seconds.
    pub retention_s: Option<u64>,
    /// Overrides [`PolicySettings::max_recorded_bytes`].
    pub max_recorded_bytes: Option<u64>,
    /// Overrides [`PolicySettings::when_stale`].
    pub when_stale: Option<StaleKind>,
}

impl PolicyOverrides {
    /// The values of a branch that has these overrides and inherits from `parent`.
    pub fn apply_to(&self, parent: &PolicySettings) -> PolicySettings {
        PolicySettings {
            load_bound: self.load_bound.unwrap_or(parent.load_bound),
            load_aim: self.load_aim.unwrap_or(parent.load_aim),
            rate_per_second: self.rate_per_second.unwrap_or(parent.rate_per_second),
            concurrency: self.concurrency.unwrap_or(parent.concurrency),
            share: self.share.unwrap_or(parent.share),
            queue_limit: self.queue_limit.unwrap_or(parent.queue_limit),
            deadline: self
                .deadline_ms
                .map_or(parent.deadline, Duration::from_millis),
            max_body_bytes: self.max_body_bytes.unwrap_or(parent.max_body_bytes),
            class: self.class.unwrap_or(parent.class),
            retention: self
                .retention_s
                .map_or(parent.retention, Duration::from_secs),
            max_recorded_bytes: self.max_recorded_bytes.unwrap_or(parent.max_recorded_bytes),
            when_stale: self.when_stale.unwrap_or(parent.when_stale),
        }
    }
}
