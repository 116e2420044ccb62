//! Validation of the tree: all faults are reported at once, each with its path.

use std::time::Duration;

use fault::FaultKind;
use googletest::prelude::*;
use settings::schema::{DefaultValue, KeySpec, ValueType};
use settings::{FleetSettings, SettingsHistory, SettingsTree, keys};
use wire::command::{SettingEdit, SettingsChange};

const VALID: &str = r#"
load_aim = 1.2
checks_fence = true

[services.redaction]
load_bound = 1.4
places = 8
share = 2
models.breton = { version = "3", endpoints = ["runner-1"], deadline_ms = 60000 }

[services.guichet]
kind = "plain"
non_idempotent_methods = ["POST"]

[endpoints.runner-1]
service = "redaction"

[endpoints.runner-2]
service = "redaction"
places = 16
checks_fence = false

[endpoints.desk-1]
service = "guichet"

[accounts.quimper]
key_hash = "1111111111111111111111111111111111111111111111111111111111111111"
concurrency = 4

[accounts.quimper.per_service.redaction]
concurrency = 2

[accounts.auray]
key_hash = "2222222222222222222222222222222222222222222222222222222222222222"
services = ["guichet"]

[operators.anna]
key_hash = "3333333333333333333333333333333333333333333333333333333333333333"
role = "change"
"#;

const FAULTY: &str = r#"
load_bond = 1.5
load_bound = "much"
queue_limit = -1
colour = "blue"

[services.redaction]
load_aim = 1.9
kind = "modell"
weight = 0

[services.redaction.models.breton]
endpoints = ["runner-1", "runer-2", "desk-1"]

[services.empty.models.latin]

[services.guichet]
kind = "plain"
models.breton = {}
non_idempotent_methods = ["post"]

[endpoints.runner-1]
service = "redaction"

[endpoints.runner-2]
service = "redakcion"
draining = "yes"

[endpoints.desk-1]
service = "guichet"

[endpoints.lost]

[accounts.quimper]
key_hash = "1111111111111111111111111111111111111111111111111111111111111111"
services = ["guichet", "guichet"]
retention_s = 1

[accounts.auray]
key_hash = "1111111111111111111111111111111111111111111111111111111111111111"
services = ["guichet"]
per_service.redaction.share = 0

[accounts."bad name"]

[operators.anna]
key_hash = "secret"
role = "chnge"
"#;

fn tree(text: &str) -> SettingsTree {
    SettingsTree::parse(text).expect("the text is TOML")
}

fn resolved(text: &str) -> FleetSettings {
    tree(text).resolve(1).expect("the tree is valid")
}

fn reasons(text: &str) -> Vec<String> {
    let faults = tree(text).resolve(1).err().unwrap_or_default();
    faults.iter().map(ToString::to_string).collect()
}

#[gtest]
fn every_fault_is_reported_at_once() {
    insta::assert_snapshot!(reasons(FAULTY).join("\n"));
}

#[gtest]
fn valid_tree_resolves_inheritance() {
    let fleet = resolved(VALID);

    let redaction = &fleet.services["redaction"];
    expect_that!(redaction.policy.load_bound, eq(1.4));
    expect_that!(redaction.policy.load_aim, eq(1.2));
    expect_that!(redaction.models["breton"].policy.load_bound, eq(1.4));
    expect_that!(fleet.endpoints["runner-1"].places, eq(8));
    expect_that!(fleet.endpoints["runner-2"].places, eq(16));
    expect_that!(fleet.endpoints["runner-1"].checks_fence, eq(true));
    expect_that!(fleet.endpoints["runner-2"].checks_fence, eq(false));
}

#[gtest]
fn request_policy_takes_the_account_before_the_service() {
    let fleet = resolved(VALID);

    let cases = [
        ("quimper", "redaction", 2, 2),
        ("quimper", "guichet", 4, 1),
        ("auray", "redaction", 0, 2),
        ("nobody", "nothing", 0, 1),
    ];
    for (account, service, concurrency, share) in cases {
        let policy = fleet.request_policy(account, service);
        expect_that!(policy.concurrency, eq(concurrency), "{account} {service}");
        expect_that!(policy.share, eq(share), "{account} {service}");
    }
}

#[gtest]
fn resolved_values_tell_their_origin() {
    let values = tree(VALID).resolved_values("accounts.quimper.per_service.redaction");

    let lines: Vec<String> = values
        .iter()
        .map(|it| format!("{} = {} ({})", it.path, it.value, it.origin))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn origins_agree_with_the_resolved_form() {
    let cases = [
        (
            "endpoints.runner-1.places",
            "8",
            "services.redaction.places",
        ),
        (
            "endpoints.runner-2.places",
            "16",
            "endpoints.runner-2.places",
        ),
        ("endpoints.desk-1.checks_fence", "true", "checks_fence"),
        ("endpoints.desk-1.weight", "1", "default"),
        (
            "services.redaction.models.breton.load_bound",
            "1.4",
            "services.redaction.load_bound",
        ),
    ];
    for (path, value, origin) in cases {
        let found = tree(VALID).resolved_values(path);
        assert_that!(found, len(eq(1)), "{path}");
        expect_that!(found[0].value.to_string(), eq(value), "{path}");
        expect_that!(found[0].origin.to_string(), eq(origin), "{path}");
    }
}

#[gtest]
fn syntax_error_names_its_line() {
    let faults = SettingsTree::parse("load_bound = 1.5\nload_aim = \n").expect_err("no TOML");

    expect_that!(faults[0].path, eq("line 2"));
}

#[gtest]
fn diff_leads_from_one_tree_to_the_other() {
    let old = tree(VALID);
    let new = tree("load_aim = 1.1\n[services.\"a.b\"]\nkind = \"plain\"\n");

    for (from, to) in [(&old, &new), (&new, &old), (&old, &old)] {
        let edits = from.diff(to);
        expect_that!(from.edited(&edits).as_ref(), ok(eq(to)));
    }
}

#[gtest]
fn edits_that_do_not_fit_are_all_reported() {
    let edit = |path: &str, value: Option<&str>| SettingEdit {
        path: path.to_owned(),
        value: value.map(str::to_owned),
    };
    let edits = [
        edit("", Some("1")),
        edit("services..x", Some("1")),
        edit("services.\"open", Some("1")),
        edit("load_aim.deeper", Some("1")),
        edit("load_bound", Some("1.5\nload_aim = 3")),
        edit("services.gone", None),
        edit("load_aim", Some("1.1")),
    ];

    let faults = tree(VALID).edited(&edits).expect_err("faulty edits");

    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[gtest]
fn refused_change_leaves_the_tree_as_it_was() {
    let mut history = SettingsHistory::default();
    let first = SettingsHistory::first_change(&tree(VALID));
    history.apply(&first, Duration::ZERO).expect("accepted");
    let edit = |path: &str, value: Option<&str>| SettingEdit {
        path: path.to_owned(),
        value: value.map(str::to_owned),
    };
    let faulty = vec![
        edit("services.new.models.m.version", Some("'1'")),
        edit("services.new.models.m.version", Some("'2'")),
        edit("accounts.quimper", None),
        edit("accounts.quimper.concurrency", Some("3")),
        edit("load_aim", Some("1.3")),
        edit("load_aim", None),
    ];
    let mut unfit = faulty.clone();
    unfit.push(edit("services.gone", None));

    for (id, edits) in [("faulty", faulty), ("unfit", unfit)] {
        let change = SettingsChange {
            change_id: id.to_owned(),
            base: 1,
            operator: "anna".to_owned(),
            edits,
        };
        let answer = history.apply(&change, Duration::ZERO);

        expect_that!(
            answer.expect_err("refused").kind,
            eq(FaultKind::InvalidSettings),
            "{id}"
        );
        expect_that!(history.tree(), eq(&tree(VALID)), "{id}");
        expect_that!(history.verify(), ok(anything()), "{id}");
    }
}

/// A valid value of the key's type that differs from its default.
fn other_value(key: &KeySpec) -> Option<String> {
    let value = match (key.value_type, key.default) {
        (ValueType::Integer { .. }, DefaultValue::Integer(number)) => (number + 7).to_string(),
        (ValueType::Number { .. }, _) => "1.2".to_owned(),
        (ValueType::Boolean, DefaultValue::Boolean(flag)) => (!flag).to_string(),
        (ValueType::Choice(words), DefaultValue::Text(word)) => {
            let other = words.iter().find(|other| **other != word)?;
            format!("\"{other}\"")
        }
        (ValueType::Text, _) => "\"other\"".to_owned(),
        (ValueType::Methods, _) => "[\"PATCH\"]".to_owned(),
        (ValueType::KeyHash, _) => format!("\"{}\"", "4".repeat(64)),
        _ => return None,
    };
    Some(value)
}

#[gtest]
fn every_key_of_the_tables_is_read() {
    let base = "services.p.share = 3\nservices.s.models.m.adapter = 'a'\n\
                endpoints.e.service = 's'\nendpoints.f.service = 'p'\n\
                accounts.a.key_hash = '1111111111111111111111111111111111111111111111111111111111111111'\n\
                accounts.a.per_service.s.share = 3\n\
                operators.o.key_hash = '2222222222222222222222222222222222222222222222222222222222222222'\n";
    let branches = [
        (&keys::ROOT, ""),
        (&keys::SERVICE, "services.p."),
        (&keys::MODEL, "services.s.models.m."),
        (&keys::ENDPOINT, "endpoints.e."),
        (&keys::ACCOUNT, "accounts.a."),
        (&keys::ACCOUNT_SERVICE, "accounts.a.per_service.s."),
        (&keys::OPERATOR, "operators.o."),
    ];
    let before = resolved(base);
    for (spec, prefix) in branches {
        for key in spec.keys() {
            let Some(value) = other_value(key) else {
                continue;
            };
            let edit = SettingEdit {
                path: format!("{prefix}{}", key.name),
                value: Some(value),
            };
            let tree = tree(base).edited(std::slice::from_ref(&edit));
            let after = tree.expect("the edit applies").resolve(1);

            expect_that!(after.as_ref().err(), none(), "{edit:?}");
            expect_that!(after.ok().as_ref() != Some(&before), eq(true), "{edit:?}");
        }
    }
}
