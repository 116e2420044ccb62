//! What the status page shows, as data.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::answer::EndpointLoad;
use wire::id::SettingsVersion;
use wire::member::EndpointState;

use crate::millis;
use crate::record::DecisionRecord;
use crate::role::InstanceRole;

/// One instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// What it does.
    pub role: InstanceRole,
    /// Its failure domain; empty when it is not known.
    pub domain: String,
    /// Settings version in force there.
    pub settings: SettingsVersion,
    /// Time since it was last heard of.
    #[serde(rename = "silence_ms", with = "millis")]
    pub silence: Duration,
}

/// One endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its name.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// What it does with new work.
    pub state: EndpointState,
    /// Its load.
    pub load: EndpointLoad,
    /// Its load over the service's mean, by weight.
    pub load_over_mean: f64,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Its name.
    pub name: String,
    /// Mean load of its serving endpoints.
    pub mean_load: f64,
    /// Hard limit of an endpoint's load as a multiple of the mean.
    pub load_bound: f64,
    /// Prompt tokens seen by this instance.
    pub prompt_tokens: u64,
    /// Prompt tokens found in prefix caches.
    pub cached_tokens: u64,
}

impl ServiceStatus {
    /// Share of the prompt tokens that were found warm.
    pub fn warm_share(&self) -> Option<f64> {
        (self.prompt_tokens > 0).then(|| self.cached_tokens as f64 / self.prompt_tokens as f64)
    }
}

/// What one instance knows about the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Name of the instance that says so.
    pub instance: String,
    /// What that instance does.
    pub role: InstanceRole,
    /// Wall clock since the Unix epoch.
    #[serde(rename = "time_ms", with = "millis")]
    pub time: Duration,
    /// Name of the control instance that leads, when it is known.
    pub leader: Option<String>,
    /// Term of the leader.
    pub term: u64,
    /// Settings version in force at the instance that says so.
    pub settings: SettingsVersion,
    /// Instances by role and name.
    pub instances: Vec<InstanceStatus>,
    /// Services by name.
    pub services: Vec<ServiceStatus>,
    /// Endpoints by service and name.
    pub endpoints: Vec<EndpointStatus>,
    /// Last decisions, newest first.
    pub decisions: Vec<DecisionRecord>,
}
