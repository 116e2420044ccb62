//! The tree as operators write it, and edits to it.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use toml::{Table, Value};
use wire::command::SettingEdit;
use wire::id::SettingsVersion;

use crate::diff::diff_tables;
use crate::fleet::{
    AccountSettings, EndpointSettings, FleetSettings, ModelSettings, OperatorRole,
    OperatorSettings, ServiceKind, ServiceSettings,
};
use crate::path::SettingPath;
use crate::policy::{PolicySettings, StaleKind};
use wire::answer::ClassKind;

/// One fault of a settings tree or file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{path}: {reason}")]
pub struct SettingFault {
    /// Dotted path of the faulty value.
    pub path: String,
    /// What is wrong and what is expected.
    pub reason: String,
}

/// Result of checks, with every fault found.
pub type Result<T> = std::result::Result<T, Vec<SettingFault>>;

/// One version of the settings as a tree of TOML tables.
///
/// Serializes as its TOML text, so that it travels through encodings that describe no types.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct SettingsTree {
    root: Table,
}

impl SettingsTree {
    /// Parses a tree.
    ///
    /// # Errors
    /// The place of the syntax error.
    pub fn parse(text: &str) -> Result<Self> {
        let root = text
            .parse::<Table>()
            .map_err(|error| one_fault("", error.message()))?;
        Ok(Self { root })
    }

    /// The tree as TOML text, equal for equal trees.
    pub fn to_text(&self) -> String {
        toml::to_string(&self.root).unwrap_or_default()
    }

    /// Applies all edits, or none.
    ///
    /// # Errors
    /// Every edit whose path or value is faulty.
    pub fn edited(&self, edits: &[SettingEdit]) -> Result<Self> {
        let mut tree = self.clone();
        let mut faults = Vec::new();
        for edit in edits {
            if let Err(fault) = tree.apply(edit) {
                faults.push(fault);
            }
        }
        if faults.is_empty() {
            Ok(tree)
        } else {
            Err(faults)
        }
    }

    /// The edits that lead from this tree to `other`.
    pub fn diff(&self, other: &Self) -> Vec<SettingEdit> {
        diff_tables(&self.root, &other.root)
    }

    /// The value or branch at a dotted path; the empty path is the root.
    pub fn get(&self, path: &str) -> Option<Value> {
        let path = SettingPath::parse(path).ok()?;
        let Some((last, parents)) = path.split_last() else {
            return Some(Value::Table(self.root.clone()));
        };
        let mut table = &self.root;
        for key in parents {
            table = table.get(key)?.as_table()?;
        }
        table.get(last).cloned()
    }

    /// Resolves inheritance and checks the whole tree.
    ///
    /// # Errors
    /// Every fault with its path.
    pub fn resolve(&self, version: SettingsVersion) -> Result<FleetSettings> {
        let branch: RootBranch = Value::Table(self.root.clone())
            .try_into()
            .map_err(|error: toml::de::Error| one_fault("", error.message()))?;
        Ok(branch.resolve(version))
    }

    fn apply(&mut self, edit: &SettingEdit) -> std::result::Result<(), SettingFault> {
        let path = SettingPath::parse(&edit.path)?;
        let Some((last, parents)) = path.split_last() else {
            return Err(fault(&edit.path, "names no value or branch"));
        };
        match &edit.value {
            None => self.remove(&edit.path, last, parents),
            Some(literal) => self.insert(&edit.path, last, parents, literal),
        }
    }

    fn remove(
        &mut self,
        path: &str,
        last: &str,
        parents: &[String],
    ) -> std::result::Result<(), SettingFault> {
        let absent = || fault(path, "is not set, so that it cannot be removed");
        let mut table = &mut self.root;
        for key in parents {
            let next = table.get_mut(key).ok_or_else(absent)?;
            table = next.as_table_mut().ok_or_else(absent)?;
        }
        table.remove(last).map(|_| ()).ok_or_else(absent)
    }

    fn insert(
        &mut self,
        path: &str,
        last: &str,
        parents: &[String],
        literal: &str,
    ) -> std::result::Result<(), SettingFault> {
        let value = parse_literal(literal)
            .ok_or_else(|| fault(path, &format!("`{literal}` is no TOML value")))?;
        let mut table = &mut self.root;
        for key in parents {
            let next = table
                .entry(key.as_str())
                .or_insert_with(|| Value::Table(Table::new()));
            table = next
                .as_table_mut()
                .ok_or_else(|| fault(path, &format!("`{key}` is a value, not a branch")))?;
        }
        table.insert(last.to_owned(), value);
        Ok(())
    }
}

impl From<SettingsTree> for String {
    fn from(tree: SettingsTree) -> Self {
        tree.to_text()
    }
}

impl TryFrom<String> for SettingsTree {
    type Error = SettingFault;

    fn try_from(text: String) -> std::result::Result<Self, SettingFault> {
        Self::parse(&text).map_err(|mut faults| faults.remove(0))
    }
}

fn parse_literal(literal: &str) -> Option<Value> {
    let mut table = format!("value = {literal}").parse::<Table>().ok()?;
    let value = table.remove("value")?;
    table.is_empty().then_some(value)
}

fn fault(path: &str, reason: &str) -> SettingFault {
    SettingFault {
        path: path.to_owned(),
        reason: reason.to_owned(),
    }
}

fn one_fault(path: &str, reason: &str) -> Vec<SettingFault> {
    vec![fault(path, reason)]
}

/// The overrides of one branch.
#[derive(Clone, Debug, Default, Deserialize)]
struct PolicyBranch {
    load_bound: Option<f64>,
    load_aim: Option<f64>,
    rate_per_second: Option<f64>,
    concurrency: Option<u32>,
    share: Option<u32>,
    queue_limit: Option<u32>,
    deadline_ms: Option<u64>,
    max_body_bytes: Option<u64>,
    class: Option<ClassKind>,
    retention_s: Option<u64>,
    max_recorded_bytes: Option<u64>,
    when_stale: Option<StaleKind>,
}

impl PolicyBranch {
    fn over(&self, parent: &PolicySettings) -> PolicySettings {
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

#[derive(Debug, Default, Deserialize)]
struct RootBranch {
    #[serde(flatten)]
    policy: PolicyBranch,
    settings_lease_ms: Option<u64>,
    #[serde(default)]
    services: BTreeMap<String, ServiceBranch>,
    #[serde(default)]
    endpoints: BTreeMap<String, EndpointBranch>,
    #[serde(default)]
    accounts: BTreeMap<String, AccountBranch>,
    #[serde(default)]
    operators: BTreeMap<String, OperatorBranch>,
}

#[derive(Debug, Default, Deserialize)]
struct ServiceBranch {
    #[serde(default)]
    kind: ServiceKind,
    #[serde(default)]
    non_idempotent_methods: Vec<String>,
    #[serde(default)]
    models: BTreeMap<String, ModelBranch>,
    #[serde(flatten)]
    policy: PolicyBranch,
}

#[derive(Debug, Default, Deserialize)]
struct ModelBranch {
    #[serde(default)]
    version: String,
    #[serde(default)]
    adapter: String,
    #[serde(default)]
    endpoints: Vec<String>,
    #[serde(flatten)]
    policy: PolicyBranch,
}

#[derive(Debug, Default, Deserialize)]
struct EndpointBranch {
    service: String,
    weight: Option<u32>,
    places: Option<u32>,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    checks_fence: bool,
}

#[derive(Debug, Default, Deserialize)]
struct AccountBranch {
    key_hash: String,
    #[serde(default)]
    services: Vec<String>,
    #[serde(flatten)]
    policy: PolicyBranch,
}

#[derive(Debug, Default, Deserialize)]
struct OperatorBranch {
    key_hash: String,
    #[serde(default)]
    role: OperatorRole,
}

impl RootBranch {
    fn resolve(self, version: SettingsVersion) -> FleetSettings {
        let policy = self.policy.over(&PolicySettings::default());
        let services = map_values(self.services, |branch| branch.resolve(&policy));
        let endpoints = map_values(self.endpoints, EndpointBranch::resolve);
        let accounts = map_values(self.accounts, |branch| branch.resolve(&policy));
        let operators = map_values(self.operators, |branch| OperatorSettings {
            key_hash: branch.key_hash,
            role: branch.role,
        });
        let defaults = FleetSettings::default();
        let settings_lease = self.settings_lease_ms.map(Duration::from_millis);
        FleetSettings {
            version,
            settings_lease: settings_lease.unwrap_or(defaults.settings_lease),
            services,
            endpoints,
            accounts,
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
        let non_idempotent_methods = self.non_idempotent_methods;
        ServiceSettings {
            kind: self.kind,
            non_idempotent_methods,
            models,
            policy,
        }
    }
}

impl EndpointBranch {
    fn resolve(self) -> EndpointSettings {
        let defaults = EndpointSettings::default();
        EndpointSettings {
            service: self.service,
            weight: self.weight.unwrap_or(defaults.weight),
            places: self.places.unwrap_or(defaults.places),
            draining: self.draining,
            checks_fence: self.checks_fence,
        }
    }
}

impl AccountBranch {
    fn resolve(self, parent: &PolicySettings) -> AccountSettings {
        AccountSettings {
            key_hash: self.key_hash,
            services: self.services,
            policy: self.policy.over(parent),
        }
    }
}

fn map_values<F, T>(map: BTreeMap<String, F>, convert: impl Fn(F) -> T) -> BTreeMap<String, T> {
    map.into_iter()
        .map(|(name, value)| (name, convert(value)))
        .collect()
}
