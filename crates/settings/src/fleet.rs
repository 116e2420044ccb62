//! The settings tree with inheritance resolved, as the programs use it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use wire::id::{SettingsVersion, name_id};

use crate::defaults;
use crate::policy::{PolicyOverrides, PolicySettings};

/// Kind of the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines, reached through `/v1/chat/completions`.
    #[default]
    Model,
    /// Plain HTTP servers, reached through `/service/{name}/`.
    Plain,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSettings {
    /// Kind of its endpoints.
    pub kind: ServiceKind,
    /// HTTP methods whose requests must not be executed more than once.
    pub non_idempotent_methods: Vec<String>,
    /// Models by name.
    pub models: BTreeMap<String, ModelSettings>,
    /// Policy of this branch, with inheritance resolved.
    pub policy: PolicySettings,
}

/// One model of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSettings {
    /// Version of the weights.
    pub version: String,
    /// Adapter that is loaded on top of the weights; empty for none.
    pub adapter: String,
    /// Names of the endpoints that serve the model; empty for every endpoint of the service.
    pub endpoints: Vec<String>,
    /// Policy of this branch, with inheritance resolved.
    pub policy: PolicySettings,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// Service that it belongs to.
    pub service: String,
    /// Relative capacity, at least 1.
    pub weight: u32,
    /// Number of requests that the endpoint runs concurrently.
    pub places: u32,
    /// Whether the endpoint is draining: it finishes its requests and accepts no new ones.
    pub draining: bool,
    /// Whether the endpoint itself refuses orders with an outdated fencing token.
    pub checks_fence: bool,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            service: String::new(),
            weight: defaults::WEIGHT,
            places: defaults::PLACES,
            draining: false,
            checks_fence: defaults::CHECKS_FENCE,
        }
    }
}

/// One client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountSettings {
    /// SHA-256 of the account key, in hex.
    pub key_hash: String,
    /// Services that the account may use; empty for every service.
    pub services: Vec<String>,
    /// Policy of this branch, with inheritance from the root resolved.
    pub policy: PolicySettings,
    /// Values that this branch sets itself; they take precedence over those of the service.
    pub overrides: PolicyOverrides,
    /// Values that this branch sets for single services, by service name; they take precedence over
    /// `overrides`.
    pub per_service: BTreeMap<String, PolicyOverrides>,
}

/// Permissions of an operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// May read settings, status and decisions.
    #[default]
    Read,
    /// May also change settings.
    Change,
}

/// One operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// SHA-256 of the operator key, in hex.
    pub key_hash: String,
    /// Permissions of the operator.
    pub role: OperatorRole,
}

/// One version of the settings, with inheritance resolved in every branch.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Version of the tree that this was resolved from.
    pub version: SettingsVersion,
    /// Policy of the root.
    pub policy: PolicySettings,
    /// How long settings remain current after a confirmation by a quorum.
    pub settings_lease: Duration,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSettings>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, EndpointSettings>,
    /// Client accounts by name.
    pub accounts: BTreeMap<String, AccountSettings>,
    /// Operators by name.
    pub operators: BTreeMap<String, OperatorSettings>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            version: 0,
            policy: PolicySettings::default(),
            settings_lease: Duration::from_millis(defaults::SETTINGS_LEASE_MS),
            services: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            accounts: BTreeMap::new(),
            operators: BTreeMap::new(),
        }
    }
}

impl FleetSettings {
    /// The account that `key` belongs to. Each comparison takes constant time.
    pub fn account_of_key(&self, key: &str) -> Option<(&str, &AccountSettings)> {
        let hash = hash_key(key);
        let found = self
            .accounts
            .iter()
            .find(|(_, account)| equal_in_constant_time(&account.key_hash, &hash));
        found.map(|(name, account)| (name.as_str(), account))
    }

    /// The operator that `key` belongs to. Each comparison takes constant time.
    pub fn operator_of_key(&self, key: &str) -> Option<(&str, &OperatorSettings)> {
        let hash = hash_key(key);
        let found = self
            .operators
            .iter()
            .find(|(_, operator)| equal_in_constant_time(&operator.key_hash, &hash));
        found.map(|(name, operator)| (name.as_str(), operator))
    }

    /// The service that provides the model `name`, and the model.
    pub fn service_of_model(&self, name: &str) -> Option<(&str, &ServiceSettings, &ModelSettings)> {
        self.services.iter().find_map(|(service_name, service)| {
            let model = service.models.get(name)?;
            Some((service_name.as_str(), service, model))
        })
    }

    /// Policy for requests of `account` to `service`. In descending precedence: values that the
    /// account sets for this service, values that it sets for all services, values of the service,
    /// values of the root.
    pub fn request_policy(&self, account: &str, service: &str) -> PolicySettings {
        let service_policy = self
            .services
            .get(service)
            .map_or(&self.policy, |found| &found.policy);
        let Some(account) = self.accounts.get(account) else {
            return service_policy.clone();
        };
        let policy = account.overrides.apply_to(service_policy);
        match account.per_service.get(service) {
            Some(overrides) => overrides.apply_to(&policy),
            None => policy,
        }
    }

    /// Name of the endpoint with this id.
    pub fn endpoint_name(&self, endpoint: u64) -> Option<&str> {
        self.endpoints
            .keys()
            .find(|name| name_id(name) == endpoint)
            .map(String::as_str)
    }
}

/// SHA-256 of a key in hex, as stored in the settings.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn equal_in_constant_time(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}
