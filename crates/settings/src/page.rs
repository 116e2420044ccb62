//! Generates the settings reference, docs/SETTINGS.md, from the key tables.

use crate::check::expected_type;
use crate::files::FILES;
use crate::keys::BRANCHES;
use crate::schema::{BranchSpec, DefaultValue, KeySpec, ValueType};

const HEAD: &str = "# Settings

All keys, their ranges and their defaults. This page is generated from the key tables of the crate
`settings` by `cargo run -p settings --example settings-page`; a test compares it with the tables.

";

const TREE_HEAD: &str = "## The settings tree

Stored by the control instances and changed by `sapphirectl set`. A key marked with * is inherited:
a branch that does not set it takes the value of the branch that it inherits from, and the default
applies when none sets it. `sapphirectl get --origin` shows where each value comes from.

";

const FILES_HEAD: &str = "## The file of each program

Read at the start with `--settings FILE`; `--check` only checks it. Annotated examples are in
`examples/`. `sapphire-fake` and `sapphirectl` read no file.

";

/// The settings reference as Markdown.
pub fn settings_page() -> String {
    let mut page = String::from(HEAD);
    page.push_str(TREE_HEAD);
    for branch in BRANCHES {
        push_table(&mut page, branch);
    }
    page.push_str(FILES_HEAD);
    for file in FILES {
        push_table(&mut page, file);
    }
    page.truncate(page.trim_end().len());
    page.push('\n');
    page
}

fn push_table(page: &mut String, branch: &BranchSpec) {
    page.push_str(&format!("### {}\n\n{}\n\n", title(branch), branch.help));
    page.push_str("| key | value | default | meaning |\n| --- | --- | --- | --- |\n");
    for key in branch.keys() {
        page.push_str(&row(key));
    }
    page.push('\n');
}

fn title(branch: &BranchSpec) -> String {
    if branch.label.contains(' ') {
        let mut letters = branch.label.chars();
        let first = letters.next().map(|letter| letter.to_ascii_uppercase());
        return first.into_iter().chain(letters).collect();
    }
    format!("`{}`", branch.label)
}

fn row(key: &KeySpec) -> String {
    let mark = if key.is_inherited { " *" } else { "" };
    let value_type = expected_type(key.value_type);
    let default = default_text(key);
    format!(
        "| `{}`{mark} | {value_type} | {default} | {} |\n",
        key.name, key.help
    )
}

fn default_text(key: &KeySpec) -> String {
    match (key.default, key.value_type) {
        (DefaultValue::Required, _) => "required".to_owned(),
        (DefaultValue::Absent, ValueType::Branches(_)) => "none".to_owned(),
        (DefaultValue::Absent, _) => "not set".to_owned(),
        (DefaultValue::Integer(number), _) => number.to_string(),
        (DefaultValue::Number(number), _) => number.to_string(),
        (DefaultValue::Boolean(flag), _) => flag.to_string(),
        (DefaultValue::Text(text), _) => format!("`\"{text}\"`"),
        (DefaultValue::EmptyList, _) => "`[]`".to_owned(),
    }
}
