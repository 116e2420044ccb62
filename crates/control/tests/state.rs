//! The replicated state across snapshots and changes of the leader.

use std::time::Duration;

use control::state::ControlState;
use googletest::prelude::*;
use wire::command::{ControlCommand, ControlReply, SettingEdit, SettingsChange, StampedCommand};

fn change(number: u64, base: u64) -> ControlCommand {
    ControlCommand::ChangeSettings(SettingsChange {
        change_id: format!("change-{number}"),
        base,
        operator: "yann".to_owned(),
        edits: vec![SettingEdit {
            path: "queue_limit".to_owned(),
            value: Some(number.to_string()),
        }],
    })
}

fn at(seconds: u64, command: ControlCommand) -> StampedCommand {
    StampedCommand {
        time: Duration::from_secs(seconds),
        command,
    }
}

fn changed_state(changes: u64) -> ControlState {
    let mut state = ControlState::default();
    for number in 1..=changes {
        state.apply(&at(number, change(number, number - 1)));
    }
    state
}

#[gtest]
fn snapshot_keeps_everything_that_was_answered() {
    let state = changed_state(300);

    let bytes = state.snapshot().unwrap();
    let mut restored = ControlState::restore(&bytes).unwrap();

    expect_that!(restored, eq(&state));
    let again = restored.apply(&at(400, change(7, 6)));
    expect_that!(again, eq(&ControlReply::SettingsAccepted(7)));
}

#[gtest]
fn cut_snapshot_is_refused() {
    let bytes = changed_state(3).snapshot().unwrap();

    for length in 0..bytes.len() {
        expect_that!(ControlState::restore(&bytes[..length]), err(anything()));
    }
}

#[gtest]
fn clock_of_the_next_leader_does_not_take_time_back() {
    let mut state = changed_state(3);
    state.apply(&at(1000, change(4, 3)));

    state.apply(&at(5, change(5, 4)));

    let times: Vec<Duration> = state.settings.records().map(|record| record.time).collect();
    expect_that!(times.is_sorted(), eq(true));
    expect_that!(times.last(), some(eq(&Duration::from_secs(1000))));
}
