//! Converts a settings tree into [`FleetSettings`] with inheritance resolved.
//!
//! The conversion never fails: a value of the wrong type counts as not set. The type checks report
//! such a value and reject the tree; it is converted only so that the consistency checks can run
//! as well.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::{Error as ValueError, StrDeserializer};
use toml::{Table, Value};
use wire::id::SettingsVersion;

use crate::defaults;
use crate::fleet::{
    AccountSettings, EndpointSettings, FleetSettings, ModelSettings, OperatorSettings,
    ServiceSettings,
};
use crate::policy::{PolicyOverrides, PolicySettings};

/// Converts the tree and resolves inheritance.
pub(crate) fn resolve_fleet(root: &Table, version: SettingsVersion) -> FleetSettings {
    let policy = read_policy(root).apply_to(&PolicySettings::default());
    let endpoint_root = EndpointOverrides::read(root);
    let services = root.get("services").and_then(Value::as_table);
    let endpoint = |branch: &Table| {
        let service = services.and_then(|services| services.get(branch.get("service")?.as_str()?));
        let service = service
            .and_then(Value::as_table)
            .map(EndpointOverrides::read);
        let parent = service.unwrap_or_default().apply_to(endpoint_root);
        read_endpoint(branch, parent)
    };
    let lease_ms = integer(root, "settings_lease_ms");
    FleetSettings {
        version,
        settings_lease: Duration::from_millis(lease_ms.unwrap_or(defaults::SETTINGS_LEASE_MS)),
        services: branches(root, "services", |branch| read_service(branch, &policy)),
        endpoints: branches(root, "endpoints", endpoint),
        accounts: branches(root, "accounts", |branch| read_account(branch, &policy)),
        operators: branches(root, "operators", read_operator),
        policy,
    }
}

/// Inheritable values of endpoints, as set by an endpoint, its service or the root.
#[derive(Clone, Copy, Default)]
struct EndpointOverrides {
    weight: Option<u32>,
    places: Option<u32>,
    checks_fence: Option<bool>,
}

impl EndpointOverrides {
    fn read(branch: &Table) -> Self {
        Self {
            weight: integer(branch, "weight"),
            places: integer(branch, "places"),
            checks_fence: boolean(branch, "checks_fence"),
        }
    }

    fn apply_to(self, parent: Self) -> Self {
        Self {
            weight: self.weight.or(parent.weight),
            places: self.places.or(parent.places),
            checks_fence: self.checks_fence.or(parent.checks_fence),
        }
    }
}

fn read_policy(branch: &Table) -> PolicyOverrides {
    PolicyOverrides {
        load_bound: number(branch, "load_bound"),
        load_aim: number(branch, "load_aim"),
        rate_per_second: number(branch, "rate_per_second"),
        concurrency: integer(branch, "concurrency"),
        share: integer(branch, "share"),
        queue_limit: integer(branch, "queue_limit"),
        deadline_ms: integer(branch, "deadline_ms"),
        max_body_bytes: integer(branch, "max_body_bytes"),
        class: choice(branch, "class"),
        retention_s: integer(branch, "retention_s"),
        max_recorded_bytes: integer(branch, "max_recorded_bytes"),
        when_stale: choice(branch, "when_stale"),
    }
}

fn read_service(branch: &Table, parent: &PolicySettings) -> ServiceSettings {
    let policy = read_policy(branch).apply_to(parent);
    let models = branches(branch, "models", |model| ModelSettings {
        version: text(model, "version"),
        adapter: text(model, "adapter"),
        endpoints: texts(model, "endpoints"),
        policy: read_policy(model).apply_to(&policy),
    });
    ServiceSettings {
        kind: choice(branch, "kind").unwrap_or_default(),
        non_idempotent_methods: texts(branch, "non_idempotent_methods"),
        models,
        policy,
    }
}

fn read_endpoint(branch: &Table, parent: EndpointOverrides) -> EndpointSettings {
    let overrides = EndpointOverrides::read(branch).apply_to(parent);
    EndpointSettings {
        service: text(branch, "service"),
        weight: overrides.weight.unwrap_or(defaults::WEIGHT),
        places: overrides.places.unwrap_or(defaults::PLACES),
        draining: boolean(branch, "draining").unwrap_or_default(),
        checks_fence: overrides.checks_fence.unwrap_or(defaults::CHECKS_FENCE),
    }
}

fn read_account(branch: &Table, parent: &PolicySettings) -> AccountSettings {
    let overrides = read_policy(branch);
    AccountSettings {
        key_hash: text(branch, "key_hash"),
        services: texts(branch, "services"),
        policy: overrides.apply_to(parent),
        overrides,
        per_service: branches(branch, "per_service", read_policy),
    }
}

fn read_operator(branch: &Table) -> OperatorSettings {
    OperatorSettings {
        key_hash: text(branch, "key_hash"),
        role: choice(branch, "role").unwrap_or_default(),
    }
}

/// Reads each named branch below `key`.
fn branches<T>(
    branch: &Table,
    key: &str,
    mut read: impl FnMut(&Table) -> T,
) -> BTreeMap<String, T> {
    let named = branch.get(key).and_then(Value::as_table);
    let tables = named
        .into_iter()
        .flatten()
        .filter_map(|(name, value)| Some((name, value.as_table()?)));
    tables
        .map(|(name, table)| (name.clone(), read(table)))
        .collect()
}

fn integer<T: TryFrom<i64>>(branch: &Table, key: &str) -> Option<T> {
    T::try_from(branch.get(key)?.as_integer()?).ok()
}

fn number(branch: &Table, key: &str) -> Option<f64> {
    match branch.get(key)? {
        Value::Float(number) => Some(*number),
        Value::Integer(number) => Some(*number as f64),
        _ => None,
    }
}

fn boolean(branch: &Table, key: &str) -> Option<bool> {
    branch.get(key)?.as_bool()
}

fn text(branch: &Table, key: &str) -> String {
    let value = branch.get(key).and_then(Value::as_str);
    value.unwrap_or_default().to_owned()
}

fn texts(branch: &Table, key: &str) -> Vec<String> {
    let items = branch.get(key).and_then(Value::as_array);
    let texts = items.into_iter().flatten().filter_map(Value::as_str);
    texts.map(str::to_owned).collect()
}

/// The enum variant with the name that is set.
fn choice<'a, T: Deserialize<'a>>(branch: &'a Table, key: &str) -> Option<T> {
    let word: StrDeserializer<'a, ValueError> = branch.get(key)?.as_str()?.into_deserializer();
    T::deserialize(word).ok()
}
