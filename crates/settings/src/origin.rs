//! Finds the branch or default that each resolved value comes from.

use derive_more::Display;
use toml::{Table, Value};

use crate::keys::ROOT;
use crate::path::SettingPath;
use crate::schema::{BranchSpec, DefaultValue, KeySpec, ValueType};

/// Origin of a resolved value.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ValueOrigin {
    /// The value is set in the tree, at this path.
    #[display("{_0}")]
    Set(SettingPath),
    /// The value is set in no branch that applies; it is the default.
    #[display("default")]
    Default,
}

/// One value of a branch with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedValue {
    /// Path at which the value applies.
    pub path: SettingPath,
    /// The value.
    pub value: Value,
    /// Origin of the value.
    pub origin: ValueOrigin,
}

/// All resolved values at and below `path`; empty if the path does not exist.
pub(crate) fn resolved_values(root: &Table, path: &SettingPath) -> Vec<ResolvedValue> {
    let mut walk = OriginWalk {
        root,
        requested: path,
        values: Vec::new(),
    };
    walk.branch(&SettingPath::default(), root, &ROOT);
    walk.values
}

struct OriginWalk<'a> {
    root: &'a Table,
    requested: &'a SettingPath,
    values: Vec<ResolvedValue>,
}

impl OriginWalk<'_> {
    fn branch(&mut self, path: &SettingPath, table: &Table, spec: &BranchSpec) {
        for key in spec.keys() {
            let child = path.child(key.name);
            match (key.value_type, table.get(key.name)) {
                (ValueType::Branches(spec), Some(Value::Table(branches))) => {
                    self.branches(&child, branches, spec);
                }
                (ValueType::Branches(_), _) => {}
                _ if child.starts_with(self.requested) => self.value(path, &child, key),
                _ => {}
            }
        }
    }

    fn branches(&mut self, path: &SettingPath, branches: &Table, spec: &BranchSpec) {
        for (name, value) in branches {
            let child = path.child(name);
            let is_related =
                child.starts_with(self.requested) || self.requested.starts_with(&child);
            if let (Value::Table(branch), true) = (value, is_related) {
                self.branch(&child, branch, spec);
            }
        }
    }

    fn value(&mut self, branch: &SettingPath, path: &SettingPath, key: &KeySpec) {
        let mut sources = vec![branch.clone()];
        if key.is_inherited {
            sources.extend(self.parents(branch));
        }
        for source in sources {
            let origin = source.child(key.name);
            if let Some(value) = find(self.root, &origin) {
                self.push(path, value.clone(), ValueOrigin::Set(origin));
                return;
            }
        }
        if let Some(value) = default_value(key.default) {
            self.push(path, value, ValueOrigin::Default);
        }
    }

    fn push(&mut self, path: &SettingPath, value: Value, origin: ValueOrigin) {
        self.values.push(ResolvedValue {
            path: path.clone(),
            value,
            origin,
        });
    }

    /// The branches that `branch` inherits from, nearest first.
    fn parents(&self, branch: &SettingPath) -> Vec<SettingPath> {
        let root = SettingPath::default();
        let service = |name: &str| root.child("services").child(name);
        let keys: Vec<&str> = branch.keys().iter().map(String::as_str).collect();
        match keys.as_slice() {
            [] => Vec::new(),
            ["services", name, "models", _] => vec![service(name), root],
            ["accounts", _, "per_service", name] => vec![branch.prefix(2), service(name), root],
            ["endpoints", _] => {
                let owner = find(self.root, &branch.child("service")).and_then(Value::as_str);
                let owner = owner.map(service);
                owner.into_iter().chain([root]).collect()
            }
            _ => vec![root],
        }
    }
}

/// The value at `path`.
pub(crate) fn find<'a>(root: &'a Table, path: &SettingPath) -> Option<&'a Value> {
    let (last, parents) = path.split_last()?;
    let mut table = root;
    for key in parents {
        table = table.get(key)?.as_table()?;
    }
    table.get(last)
}

fn default_value(default: DefaultValue) -> Option<Value> {
    match default {
        DefaultValue::Required | DefaultValue::Absent => None,
        DefaultValue::Integer(number) => i64::try_from(number).ok().map(Value::Integer),
        DefaultValue::Number(number) => Some(Value::Float(number)),
        DefaultValue::Boolean(flag) => Some(Value::Boolean(flag)),
        DefaultValue::Text(text) => Some(Value::String(text.to_owned())),
        DefaultValue::EmptyList => Some(Value::Array(Vec::new())),
    }
}
