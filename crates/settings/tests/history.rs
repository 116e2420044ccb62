//! Changes of the settings: resends, conflicts, diffs and rollbacks.

use std::time::Duration;

use fault::FaultKind;
use googletest::prelude::*;
use settings::history::MAX_RECORDS;
use settings::{SettingsHistory, SettingsTree};
use wire::command::{SettingEdit, SettingsChange};
use wire::message::SettingsUpdate;

const TREE: &str = r#"
load_bound = 1.5

[services.redaction]
models.breton = { version = "3", endpoints = ["runner-1"] }

[services.guichet]
kind = "plain"

[endpoints.runner-1]
service = "redaction"

[endpoints.desk-1]
service = "guichet"
"#;

fn tree() -> SettingsTree {
    SettingsTree::parse(TREE).expect("the tree parses")
}

fn history() -> SettingsHistory {
    let mut history = SettingsHistory::default();
    let first = SettingsHistory::first_change(&tree());
    history
        .apply(&first, Duration::ZERO)
        .expect("the tree is valid");
    history
}

fn set(path: &str, value: &str) -> SettingEdit {
    SettingEdit {
        path: path.to_owned(),
        value: Some(value.to_owned()),
    }
}

fn change(change_id: &str, base: u64, edits: Vec<SettingEdit>) -> SettingsChange {
    SettingsChange {
        change_id: change_id.to_owned(),
        base,
        operator: "anna".to_owned(),
        edits,
    }
}

fn apply(history: &mut SettingsHistory, change: &SettingsChange) -> fault::Result<u64> {
    let answer = history.apply(change, Duration::from_secs(1));
    assert_that!(history.verify(), ok(anything()));
    answer
}

#[gtest]
fn first_tree_is_version_one_on_every_instance() {
    let mut history = history();

    let again = apply(&mut history, &SettingsHistory::first_change(&tree()));

    expect_that!(again, ok(eq(&1)));
    expect_that!(history.tree(), eq(&tree()));
}

#[gtest]
fn resend_gets_the_first_answer_after_later_changes_and_a_snapshot() {
    let mut history = history();
    let first = change("a", 1, vec![set("services.redaction.load_bound", "1.4")]);
    apply(&mut history, &first).expect("accepted");
    let second = change("b", 2, vec![set("services.redaction.load_bound", "1.3")]);
    apply(&mut history, &second).expect("accepted");
    let snapshot = serde_json::to_string(&history).expect("serializes");
    let mut restored: SettingsHistory = serde_json::from_str(&snapshot).expect("deserializes");

    let answer = apply(&mut restored, &first);

    expect_that!(answer, ok(eq(&2)));
    expect_that!(restored, eq(&history));
    let value = restored.tree().get("services.redaction.load_bound");
    expect_that!(value, some(eq(&toml::Value::Float(1.3))));
}

#[gtest]
fn resend_with_a_newer_base_gets_the_first_answer() {
    let mut history = history();
    let mut sent = change("a", 1, vec![set("load_bound", "1.6")]);
    apply(&mut history, &sent).expect("accepted");
    apply(
        &mut history,
        &change("b", 2, vec![set("load_bound", "1.7")]),
    )
    .expect("accepted");

    sent.base = 3;
    let answer = apply(&mut history, &sent);

    expect_that!(answer, ok(eq(&2)));
    expect_that!(history.version(), eq(3));
}

#[gtest]
fn large_records_evict_old_records_but_no_answers() {
    let mut history = history();
    let first = change("first", 1, vec![set("endpoints.desk-1.weight", "2")]);
    apply(&mut history, &first).expect("accepted");
    let version = format!("\"{}\"", "v".repeat(1_000));
    for base in 2..12 {
        let edits = (0..200).map(|index| set(&format!("services.s{index}.kind"), "\"plain\""));
        let edits = edits.chain((0..200).map(|index| {
            set(
                &format!("services.redaction.models.m{index}.version"),
                &version,
            )
        }));
        let next = change(&format!("n{base}"), base, edits.collect());
        history.apply(&next, Duration::ZERO).expect("accepted");
    }

    let answer = apply(&mut history, &first);

    expect_that!(answer, ok(eq(&2)));
    expect_that!(history.tree_at(1), none());
}

#[gtest]
fn racing_changes_of_one_branch_have_exactly_one_winner() {
    let mut history = history();
    let winner = change("a", 1, vec![set("services.redaction.load_bound", "1.4")]);
    let loser = change("b", 1, vec![set("services.redaction.load_aim", "1.2")]);

    let first = apply(&mut history, &winner);
    let second = apply(&mut history, &loser).expect_err("conflicts");

    expect_that!(first, ok(eq(&2)));
    expect_that!(second.kind, eq(FaultKind::VersionConflict));
    expect_that!(
        second.message,
        contains_substring("version 2 by anna: services.redaction.load_bound = 1.4")
    );
    expect_that!(apply(&mut history, &loser), err(eq(&second)));
    expect_that!(history.version(), eq(2));
}

#[gtest]
fn racing_changes_of_disjoint_branches_are_both_accepted() {
    let mut history = history();
    let left = change("a", 1, vec![set("endpoints.runner-1.draining", "true")]);
    let right = change("b", 1, vec![set("endpoints.desk-1.draining", "true")]);

    let first = apply(&mut history, &left);
    let second = apply(&mut history, &right);

    expect_that!(first, ok(eq(&2)));
    expect_that!(second, ok(eq(&3)));
}

#[gtest]
fn root_value_conflicts_with_every_branch() {
    let mut history = history();
    let root = change("a", 1, vec![set("load_bound", "1.6")]);
    let branch = change("b", 1, vec![set("endpoints.desk-1.draining", "true")]);

    apply(&mut history, &root).expect("accepted");
    let answer = apply(&mut history, &branch).expect_err("conflicts");

    expect_that!(answer.kind, eq(FaultKind::VersionConflict));
}

#[gtest]
fn change_id_of_another_change_is_refused() {
    let mut history = history();
    apply(
        &mut history,
        &change("a", 1, vec![set("load_bound", "1.6")]),
    )
    .expect("accepted");

    let other = change("a", 2, vec![set("load_bound", "1.7")]);
    let answer = apply(&mut history, &other).expect_err("another change");

    expect_that!(answer.kind, eq(FaultKind::KeyConflict));
}

#[gtest]
fn base_that_does_not_exist_is_refused() {
    let mut history = history();

    let future = change("a", 9, vec![set("load_bound", "1.6")]);
    let answer = apply(&mut history, &future).expect_err("no such version");

    expect_that!(answer.kind, eq(FaultKind::VersionConflict));
}

#[gtest]
fn rollback_is_a_new_version_with_the_old_tree() {
    let mut history = history();
    let edits = vec![
        set("services.redaction.load_bound", "1.4"),
        set("services.new.kind", "\"plain\""),
    ];
    apply(&mut history, &change("a", 1, edits)).expect("accepted");

    let back = history.diff(2, 1).expect("both are kept");
    let answer = apply(&mut history, &change("back", 2, back));

    expect_that!(answer, ok(eq(&3)));
    expect_that!(history.tree(), eq(&tree()));
}

#[gtest]
fn update_is_a_delta_where_the_version_is_kept() {
    let mut history = history();
    apply(
        &mut history,
        &change("a", 1, vec![set("load_bound", "1.6")]),
    )
    .expect("accepted");

    expect_that!(
        history.update_since(1),
        pat!(SettingsUpdate::Delta {
            from: &1,
            version: &2,
            ..
        })
    );
    expect_that!(
        history.update_since(0),
        pat!(SettingsUpdate::Full { version: &2, .. })
    );
    expect_that!(
        history.update_since(2),
        eq(&SettingsUpdate::Confirmed { version: 2 })
    );
}

#[gtest]
fn resend_whose_record_is_gone_still_gets_the_first_answer() {
    let mut history = history();
    let first = change("a", 1, vec![set("endpoints.desk-1.weight", "2")]);
    history.apply(&first, Duration::ZERO).expect("accepted");
    for base in 2..(MAX_RECORDS as u64 + 10) {
        let edits = vec![set("endpoints.desk-1.weight", &(base % 7 + 1).to_string())];
        let next = change(&format!("n{base}"), base, edits);
        history.apply(&next, Duration::ZERO).expect("accepted");
    }

    let resent = apply(&mut history, &first);
    let late = change("late", 1, vec![set("endpoints.runner-1.weight", "2")]);
    let refused = apply(&mut history, &late).expect_err("the base is no longer kept");

    expect_that!(resent, ok(eq(&2)));
    expect_that!(refused.kind, eq(FaultKind::VersionConflict));
}
