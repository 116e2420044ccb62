//! The difference between two trees, as a list of edits.

use toml::{Table, Value};
use wire::command::SettingEdit;

use crate::path::SettingPath;
use crate::tree::edit_of;

/// The edits that lead from `old` to `new`.
///
/// Branches that exist in both trees are compared value by value. A branch that exists in only one
/// of them is added or removed by a single edit. In each branch, removals come first.
pub(crate) fn diff_tables(old: &Table, new: &Table) -> Vec<SettingEdit> {
    let mut edits = Vec::new();
    collect(&SettingPath::default(), old, new, &mut edits);
    edits
}

fn collect(path: &SettingPath, old: &Table, new: &Table, edits: &mut Vec<SettingEdit>) {
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        edits.push(edit_of(&path.child(key), None));
    }
    for (key, value) in new {
        let child = path.child(key);
        match (old.get(key), value) {
            (Some(before), after) if before == after => {}
            (Some(Value::Table(before)), Value::Table(after)) => {
                collect(&child, before, after, edits);
            }
            _ => edits.push(edit_of(&child, Some(value))),
        }
    }
}

/// Formats an edit as one line, for example `services.redaction.load_bound = 1.5`.
pub fn edit_line(edit: &SettingEdit) -> String {
    match &edit.value {
        Some(value) => format!("{} = {value}", edit.path),
        None => format!("{} removed", edit.path),
    }
}
