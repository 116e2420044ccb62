//! The settings tree as operators edit it, before inheritance is resolved.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use toml::{Table, Value};
use wire::command::SettingEdit;
use wire::id::SettingsVersion;

use crate::check::check_table;
use crate::consistency::check_consistency;
use crate::diff::diff_tables;
use crate::fleet::FleetSettings;
use crate::keys::ROOT;
use crate::location::CheckLocation;
use crate::origin::{ResolvedValue, find, resolved_values};
use crate::path::SettingPath;
use crate::resolve::resolve_fleet;

/// One fault of a settings tree or configuration file.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{path}: {reason}")]
pub struct SettingFault {
    /// Dotted path of the faulty value; the line or the file if there is none.
    pub path: String,
    /// What is wrong, and what is expected instead.
    pub reason: String,
}

/// Result of validation; the error contains all faults found.
pub type Result<T> = std::result::Result<T, Vec<SettingFault>>;

/// One version of the settings as a tree of TOML tables.
///
/// Serialized as TOML text, because TOML values cannot be decoded from formats that are not
/// self-describing, such as postcard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct SettingsTree {
    root: Table,
}

impl SettingsTree {
    /// Parses a tree from TOML text without validating it.
    ///
    /// # Errors
    /// The syntax error, with its line.
    pub fn parse(text: &str) -> Result<Self> {
        let root = text
            .parse::<Table>()
            .map_err(|error| vec![syntax_fault(text, &error)])?;
        Ok(Self { root })
    }

    /// The tree as TOML text. Equal trees give equal text.
    pub fn to_text(&self) -> String {
        toml::to_string(&self.root).unwrap_or_default()
    }

    /// A copy of the tree with all edits applied.
    ///
    /// # Errors
    /// Every edit whose path or value is faulty.
    pub fn edited(&self, edits: &[SettingEdit]) -> Result<Self> {
        let mut tree = self.clone();
        tree.edit(edits)?;
        Ok(tree)
    }

    /// Applies all edits in place and returns the edits that undo them. On an error, the tree is
    /// unchanged.
    ///
    /// # Errors
    /// Every edit whose path or value is faulty.
    pub(crate) fn edit(&mut self, edits: &[SettingEdit]) -> Result<Vec<SettingEdit>> {
        let mut undo = Vec::new();
        let mut faults = Vec::new();
        for edit in edits {
            match self.apply(edit) {
                Ok(inverse) => undo.push(inverse),
                Err(fault) => faults.push(fault),
            }
        }
        undo.reverse();
        if faults.is_empty() {
            return Ok(undo);
        }
        for inverse in &undo {
            let restored = self.apply(inverse);
            debug_assert!(restored.is_ok(), "an edit can be undone");
        }
        Err(faults)
    }

    /// The edits that lead from this tree to `other`.
    pub fn diff(&self, other: &Self) -> Vec<SettingEdit> {
        diff_tables(&self.root, &other.root)
    }

    /// The value or branch at a dotted path; the empty path is the root.
    pub fn get(&self, path: &str) -> Option<Value> {
        let path = SettingPath::parse(path).ok()?;
        if path.keys().is_empty() {
            return Some(Value::Table(self.root.clone()));
        }
        find(&self.root, &path).cloned()
    }

    /// All values at and below a dotted path, with inheritance resolved and the origin of each.
    /// Empty if the path does not exist.
    pub fn resolved_values(&self, path: &str) -> Vec<ResolvedValue> {
        let path = SettingPath::parse(path);
        path.map_or_else(|_| Vec::new(), |path| resolved_values(&self.root, &path))
    }

    /// Validates the whole tree and resolves inheritance.
    ///
    /// # Errors
    /// Every fault with its path.
    pub fn resolve(&self, version: SettingsVersion) -> Result<FleetSettings> {
        let mut faults = Vec::new();
        check_table(&CheckLocation::ROOT, &self.root, &ROOT, &mut faults);
        let fleet = resolve_fleet(&self.root, version);
        faults.extend(check_consistency(&fleet, &self.root));
        if faults.is_empty() {
            Ok(fleet)
        } else {
            Err(faults)
        }
    }

    /// Applies one edit and returns its inverse. On an error, the tree is unchanged.
    fn apply(&mut self, edit: &SettingEdit) -> std::result::Result<SettingEdit, SettingFault> {
        let path = SettingPath::parse(&edit.path)?;
        let Some((last, parents)) = path.split_last() else {
            return Err(fault(&edit.path, "names no value or branch"));
        };
        match &edit.value {
            None => self.remove(&path, last, parents),
            Some(literal) => self.insert(&path, last, parents, literal),
        }
    }

    fn remove(
        &mut self,
        path: &SettingPath,
        last: &str,
        parents: &[String],
    ) -> std::result::Result<SettingEdit, SettingFault> {
        let absent = || path_fault(path, "is not set, so that it cannot be removed");
        let mut table = &mut self.root;
        for key in parents {
            let next = table.get_mut(key).ok_or_else(absent)?;
            table = next.as_table_mut().ok_or_else(absent)?;
        }
        let value = table.remove(last).ok_or_else(absent)?;
        Ok(edit_of(path, Some(&value)))
    }

    fn insert(
        &mut self,
        path: &SettingPath,
        last: &str,
        parents: &[String],
        literal: &str,
    ) -> std::result::Result<SettingEdit, SettingFault> {
        let value = parse_literal(literal)
            .ok_or_else(|| path_fault(path, format!("`{literal}` is no TOML value")))?;
        // Depth of the topmost branch that this edit creates; the inverse removes that branch.
        let mut topmost_created = None;
        let mut table = &mut self.root;
        for (depth, key) in parents.iter().enumerate() {
            let next = table.entry(key.as_str()).or_insert_with(|| {
                topmost_created.get_or_insert(depth + 1);
                Value::Table(Table::new())
            });
            table = next
                .as_table_mut()
                .ok_or_else(|| path_fault(path, format!("`{key}` is a value, not a branch")))?;
        }
        let previous = table.insert(last.to_owned(), value);
        Ok(match topmost_created {
            Some(depth) => edit_of(&path.prefix(depth), None),
            None => edit_of(path, previous.as_ref()),
        })
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

/// The fault for a TOML syntax error, with the line in place of a path.
pub(crate) fn syntax_fault(text: &str, error: &toml::de::Error) -> SettingFault {
    let start = error.span().map_or(0, |span| span.start);
    let before = text.get(..start).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    fault(&format!("line {line}"), error.message())
}

fn parse_literal(literal: &str) -> Option<Value> {
    let mut table = format!("value = {literal}").parse::<Table>().ok()?;
    let value = table.remove("value")?;
    table.is_empty().then_some(value)
}

/// The edit that sets or removes the value at `path`.
pub(crate) fn edit_of(path: &SettingPath, value: Option<&Value>) -> SettingEdit {
    SettingEdit {
        path: path.to_string(),
        value: value.map(ToString::to_string),
    }
}

fn path_fault(path: &SettingPath, reason: impl Into<String>) -> SettingFault {
    SettingFault {
        path: path.to_string(),
        reason: reason.into(),
    }
}

fn fault(path: &str, reason: &str) -> SettingFault {
    SettingFault {
        path: path.to_owned(),
        reason: reason.to_owned(),
    }
}
