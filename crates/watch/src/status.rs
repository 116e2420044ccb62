//! The data that the status page shows.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::answer::EndpointLoad;
use wire::id::SettingsVersion;
use wire::member::EndpointState;

use crate::millis;
use crate::record::DecisionRecord;
use crate::role::InstanceRole;

/// Status of one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// Its role.
    pub role: InstanceRole,
    /// Its failure domain; empty when unknown.
    pub domain: String,
    /// Settings version in force there.
    pub settings: SettingsVersion,
    /// Time since its last heartbeat.
    #[serde(rename = "silence_ms", with = "millis")]
    pub silence: Duration,
}

/// Status of one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Its load.
    pub load: EndpointLoad,
    /// Ratio of its load to the service's mean load, by weight.
    pub load_over_mean: f64,
}

/// Status of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: String,
    /// Mean load of its serving endpoints.
    pub mean_load: f64,
    /// Load limit of an endpoint, as a multiple of the mean load.
    pub load_bound: f64,
    /// Prompt tokens counted by this instance.
    pub prompt_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
}

impl ServiceStatus {
    /// Fraction of the prompt tokens that were found in prefix caches; `None` without prompts.
    pub fn warm_share(&self) -> Option<f64> {
        (self.prompt_tokens > 0).then(|| self.cached_tokens as f64 / self.prompt_tokens as f64)
    }
}

/// Status of the fleet, as known to one instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Name of the reporting instance.
    pub instance: String,
    /// Role of the reporting instance.
    pub role: InstanceRole,
    /// Wall clock time since the Unix epoch.
    #[serde(rename = "time_ms", with = "millis")]
    pub time: Duration,
    /// Name of the leading control instance, if known.
    pub leader: Option<String>,
    /// Term of the leader.
    pub term: u64,
    /// Settings version in force at the reporting instance.
    pub settings: SettingsVersion,
    /// Instances, ordered by role and name.
    pub instances: Vec<InstanceStatus>,
    /// Services, ordered by name.
    pub services: Vec<ServiceStatus>,
    /// Endpoints, ordered by service and name.
    pub endpoints: Vec<EndpointStatus>,
    /// Last decisions, newest first.
    pub decisions: Vec<DecisionRecord>,
}
