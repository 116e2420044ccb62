//! The local copy of the settings in one process, and its lease.

use std::time::{Duration, Instant};

use fault::FaultKind;
use googletest::prelude::*;
use settings::SettingsHolder;
use settings::holder::{HolderError, LeaseState, UpdateOutcome};
use wire::command::SettingEdit;
use wire::message::SettingsUpdate;

const TREE: &str = r#"
settings_lease_ms = 10000

[services.redaction]

[services.guichet]
kind = "plain"
when_stale = "step-out"
"#;

fn full(version: u64) -> SettingsUpdate {
    SettingsUpdate::Full {
        version,
        text: TREE.to_owned(),
    }
}

fn delta(from: u64, version: u64) -> SettingsUpdate {
    SettingsUpdate::Delta {
        from,
        version,
        edits: vec![SettingEdit {
            path: "load_bound".to_owned(),
            value: Some("1.7".to_owned()),
        }],
    }
}

fn confirmed(version: u64) -> SettingsUpdate {
    SettingsUpdate::Confirmed { version }
}

fn holder_in_force(version: u64, now: Instant) -> SettingsHolder {
    let mut holder = SettingsHolder::default();
    holder.apply(&full(version), now).expect("valid");
    holder.apply(&confirmed(version), now).expect("held");
    holder
}

#[gtest]
fn first_settings_wait_for_a_quorum() {
    let now = Instant::now();
    let mut holder = SettingsHolder::default();

    let held = holder.apply(&full(3), now);
    expect_that!(held, ok(eq(&UpdateOutcome::Pending(3))));
    expect_that!(holder.fleet(), none());
    expect_that!(holder.version(), eq(0));

    let in_force = holder.apply(&confirmed(3), now);
    expect_that!(in_force, ok(eq(&UpdateOutcome::InForce(3))));
    expect_that!(holder.version(), eq(3));
}

#[gtest]
fn older_versions_are_never_applied() {
    let now = Instant::now();
    let mut holder = holder_in_force(3, now);

    for update in [full(2), full(3), delta(1, 2), confirmed(2)] {
        let outcome = holder.apply(&update, now);
        expect_that!(outcome, ok(eq(&UpdateOutcome::Outdated)));
    }
    expect_that!(holder.version(), eq(3));
}

#[gtest]
fn delta_needs_its_base() {
    let now = Instant::now();
    let mut holder = holder_in_force(3, now);

    let gap = holder.apply(&delta(4, 5), now);
    let next = holder.apply(&delta(3, 4), now);

    expect_that!(gap, err(eq(&HolderError::MissingBase { held: 3, from: 4 })));
    expect_that!(next, ok(eq(&UpdateOutcome::InForce(4))));
    let bound = holder.fleet().map(|fleet| fleet.policy.load_bound);
    expect_that!(bound, some(eq(1.7)));
}

#[gtest]
fn invalid_update_leaves_the_version_in_force() {
    let now = Instant::now();
    let mut holder = holder_in_force(3, now);
    let broken = SettingsUpdate::Full {
        version: 4,
        text: "load_bound = 'much'".to_owned(),
    };

    let outcome = holder.apply(&broken, now);

    expect_that!(outcome, err(pat!(HolderError::Invalid { version: &4, .. })));
    expect_that!(holder.version(), eq(3));
}

#[gtest]
fn lease_lapses_without_confirmation_and_renews_with_it() {
    let start = Instant::now();
    let mut holder = holder_in_force(3, start);
    let late = start + Duration::from_millis(10_001);

    expect_that!(holder.lease_state(late), eq(LeaseState::Lapsed));
    holder.apply(&confirmed(3), late).expect("held");

    expect_that!(holder.lease_state(late), eq(LeaseState::Current));
    expect_that!(holder.lease_remaining(late), eq(Duration::from_secs(10)));
}

#[gtest]
fn past_the_lease_each_service_follows_its_branch() {
    let start = Instant::now();
    let holder = holder_in_force(3, start);
    let late = start + Duration::from_secs(60);

    expect_that!(holder.check_lease("redaction", late), ok(anything()));
    let refused = holder.check_lease("guichet", late).expect_err("steps out");
    expect_that!(refused.kind, eq(FaultKind::SettingsStale));
    expect_that!(holder.check_lease("guichet", start), ok(anything()));
}
