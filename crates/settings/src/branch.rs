//! The form in which a checked tree is read, and inheritance.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use wire::id::SettingsVersion;

use crate::defaults;
use crate::fleet::{
    AccountSettings, EndpointSettings, FleetSettings, ModelSettings, OperatorRole,
    OperatorSettings, ServiceKind, ServiceSettings,
};
use crate::policy::{PolicyOverrides, PolicySettings};

/// The root as it is written.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RootBranch {
    #[serde(flatten)]
    policy: PolicyOverrides,
    #[serde(flatten)]
    endpoint: EndpointOverrides,
    settings_lease_ms: Option<u64>,
    services: BTreeMap<String, ServiceBranch>,
    endpoints: BTreeMap<String, EndpointBranch>,
    accounts: BTreeMap<String, AccountBranch>,
    operators: BTreeMap<String, OperatorBranch>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ServiceBranch {
    kind: ServiceKind,
    non_idempotent_methods: Vec<String>,
    models: BTreeMap<String, ModelBranch>,
    #[serde(flatten)]
    policy: PolicyOverrides,
    #[serde(flatten)]
    endpoint: EndpointOverrides,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ModelBranch {
    version: String,
    adapter: String,
    endpoints: Vec<String>,
    #[serde(flatten)]
    policy: PolicyOverrides,
}

/// Values of an endpoint that its service and the root may set for it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
struct EndpointOverrides {
    weight: Option<u32>,
    places: Option<u32>,
    checks_fence: Option<bool>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EndpointBranch {
    service: String,
    draining: bool,
    #[serde(flatten)]
    endpoint: EndpointOverrides,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct AccountBranch {
    key_hash: String,
    services: Vec<String>,
    per_service: BTreeMap<String, PolicyOverrides>,
    #[serde(flatten)]
    policy: PolicyOverrides,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OperatorBranch {
    key_hash: String,
    role: OperatorRole,
}

impl RootBranch {
    /// Resolves inheritance.
    pub(crate) fn resolve(self, version: SettingsVersion) -> FleetSettings {
        let policy = self.policy.over(&PolicySettings::default());
        let endpoints = self
            .endpoints
            .into_iter()
            .map(|(name, branch)| {
                let service = self.services.get(&branch.service);
                let overrides = service.map(|found| found.endpoint).unwrap_or_default();
                (name, branch.resolve(overrides.over(self.endpoint)))
            })
            .collect();
        let operators = map_values(self.operators, |branch| OperatorSettings {
            key_hash: branch.key_hash,
            role: branch.role,
        });
        let lease_ms = self.settings_lease_ms;
        FleetSettings {
            version,
            settings_lease: Duration::from_millis(lease_ms.unwrap_or(defaults::SETTINGS_LEASE_MS)),
            services: map_values(self.services, |branch| branch.resolve(&policy)),
            endpoints,
            accounts: map_values(self.accounts, |branch| branch.resolve(&policy)),
            operators,
            policy,
        }
    }
}

impl ServiceBranch {
    fn resolve(self, parent: &PolicySettings) -> ServiceSettings {
        let policy = self.policy.over(parent);
        let models = map_values(self.models, |branch| ModelSettings {
            policy: branch.policy.over(&policy),
            version: branch.version,
            adapter: branch.adapter,
            endpoints: branch.endpoints,
        });
        ServiceSettings {
            kind: self.kind,
            non_idempotent_methods: self.non_idempotent_methods,
            models,
            policy,
        }
    }
}

impl EndpointOverrides {
    fn over(self, parent: Self) -> Self {
        Self {
            weight: self.weight.or(parent.weight),
            places: self.places.or(parent.places),
            checks_fence: self.checks_fence.or(parent.checks_fence),
        }
    }
}

impl EndpointBranch {
    fn resolve(self, parent: EndpointOverrides) -> EndpointSettings {
        let overrides = self.endpoint.over(parent);
        EndpointSettings {
            service: self.service,
            weight: overrides.weight.unwrap_or(defaults::WEIGHT),
            places: overrides.places.unwrap_or(defaults::PLACES),
            draining: self.draining,
            checks_fence: overrides.checks_fence.unwrap_or(defaults::CHECKS_FENCE),
        }
    }
}

impl AccountBranch {
    fn resolve(self, parent: &PolicySettings) -> AccountSettings {
        AccountSettings {
            key_hash: self.key_hash,
            services: self.services,
            policy: self.policy.over(parent),
            overrides: self.policy,
            per_service: self.per_service,
        }
    }
}

fn map_values<F, T>(map: BTreeMap<String, F>, convert: impl Fn(F) -> T) -> BTreeMap<String, T> {
    map.into_iter()
        .map(|(name, value)| (name, convert(value)))
        .collect()
}
