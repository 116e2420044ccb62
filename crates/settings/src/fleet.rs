//! The resolved form of the settings tree that the programs use.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use wire::id::{SettingsVersion, name_id};

use crate::defaults;
use crate::policy::{PolicyOverrides, PolicySettings};

/// What stands behind a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines behind `/v1/chat/completions`.
    #[default]
    Model,
    /// Plain HTTP servers behind `/service/{name}/`.
    Plain,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSettings {
    /// What stands behind it.
    pub kind: ServiceKind,
    /// HTTP methods whose execution must not be repeated.
    pub non_idempotent_methods: Vec<String>,
    /// Models by name.
    pub models: BTreeMap<String, ModelSettings>,
    /// Values of this branch, resolved.
    pub policy: PolicySettings,
}

/// One model of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSettings {
    /// Version of the weights.
    pub version: String,
    /// Adapter on top of the weights; empty for none.
    pub adapter: String,
    /// Names of the endpoints that carry it; empty means every endpoint of the service.
    pub endpoints: Vec<String>,
    /// Values of this branch, resolved.
    pub policy: PolicySettings,
}

/// One endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSettings {
    /// Service that it belongs to.
    pub service: String,
    /// Relative capacity, at least 1.
    pub weight: u32,
    /// Requests that the endpoint runs at once.
    pub places: u32,
    /// Whether the endpoint is to finish its work and take none.
    pub draining: bool,
    /// Whether the endpoint itself refuses orders with an outdated fencing number.
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
    /// Services that it may use; empty means every service.
    pub services: Vec<String>,
    /// Values of this branch, resolved against the root.
    pub policy: PolicySettings,
    /// Values that this branch sets itself; they go before the service's.
    pub overrides: PolicyOverrides,
    /// Values that this branch sets for one service, by its name; they go before `overrides`.
    pub per_service: BTreeMap<String, PolicyOverrides>,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperatorRole {
    /// Reads settings, status and decisions.
    #[default]
    Read,
    /// Reads, and changes settings.
    Change,
}

/// One operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorSettings {
    /// SHA-256 of the operator key, in hex.
    pub key_hash: String,
    /// What the operator may do.
    pub role: OperatorRole,
}

/// Every branch of one settings version, resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Version that this was resolved from.
    pub version: SettingsVersion,
    /// Values of the root.
    pub policy: PolicySettings,
    /// How long settings are current after a quorum confirmed them.
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
    /// The account that `key` belongs to. Compares in constant time.
    pub fn account_of_key(&self, key: &str) -> Option<(&str, &AccountSettings)> {
        let hash = hash_key(key);
        let found = self
            .accounts
            .iter()
            .find(|(_, account)| equal_in_constant_time(&account.key_hash, &hash));
        found.map(|(name, account)| (name.as_str(), account))
    }

    /// The operator that `key` belongs to. Compares in constant time.
    pub fn operator_of_key(&self, key: &str) -> Option<(&str, &OperatorSettings)> {
        let hash = hash_key(key);
        let found = self
            .operators
            .iter()
            .find(|(_, operator)| equal_in_constant_time(&operator.key_hash, &hash));
        found.map(|(name, operator)| (name.as_str(), operator))
    }

    /// The service and model that serve the model called `name`.
    pub fn service_of_model(&self, name: &str) -> Option<(&str, &ServiceSettings, &ModelSettings)> {
        self.services.iter().find_map(|(service_name, service)| {
            let model = service.models.get(name)?;
            Some((service_name.as_str(), service, model))
        })
    }

    /// Values for requests of `account` to `service`: what the account sets for the service goes
    /// before what it sets for all, then come the service and the root.
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

/// SHA-256 of a key, in hex, as the settings store it.
pub fn hash_key(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

fn equal_in_constant_time(left: &str, right: &str) -> bool {
    left.as_bytes().ct_eq(right.as_bytes()).into()
}
