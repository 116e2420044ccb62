//! Streams with real processes: an answer is complete and belongs to its own prompt, or its failure
//! is visible.

use fake::fleet::caller::{CallerAnswer, PendingCall};
use fake::fleet::plan::FleetPlan;
use fake::fleet::process::SignalKind;
use fake::fleet::{TestFleet, wait_for};
use googletest::prelude::*;

/// Tokens of a stream that is still running when the fault is injected.
const LONG_STREAM: u64 = 300;

/// Starts `count` streams at an entry and waits until all have begun.
fn start_streams(fleet: &TestFleet, entry: usize, count: usize) -> Vec<(String, PendingCall)> {
    let prompts = (0..count).map(|index| format!("chat {index} of entry {entry}"));
    let calls: Vec<(String, PendingCall)> = prompts
        .map(|prompt| {
            let call = fleet.chat(entry, &prompt, LONG_STREAM).spawn();
            (prompt, call)
        })
        .collect();
    for (_, call) in &calls {
        call.wait_first_chunk();
    }
    calls
}

fn finish_streams(calls: Vec<(String, PendingCall)>) -> Vec<(String, CallerAnswer)> {
    let answers = calls.into_iter();
    answers
        .map(|(prompt, call)| (prompt, call.finish()))
        .collect()
}

/// Checks that each answer consists of its own tokens in order, and that an incomplete one ends
/// with an error.
fn expect_complete_or_failed(answers: &[(String, CallerAnswer)], logs: &str) {
    for (prompt, answer) in answers {
        let is_complete_or_failed =
            answer.is_whole() || answer.error.is_some() || answer.status != 200;
        expect_that!(
            answer.is_answer_to(prompt, LONG_STREAM),
            eq(true),
            "{prompt}\n{logs}"
        );
        expect_that!(
            is_complete_or_failed,
            eq(true),
            "{prompt}: {}\n{logs}",
            answer.text()
        );
    }
}

fn whole_count(answers: &[(String, CallerAnswer)]) -> usize {
    answers
        .iter()
        .filter(|(_, answer)| answer.is_whole())
        .count()
}

#[gtest]
fn concurrent_streams_do_not_mix() {
    let fleet = TestFleet::start(&FleetPlan {
        entries: 2,
        ..FleetPlan::default()
    });

    let mut calls = start_streams(&fleet, 0, 8);
    calls.extend(start_streams(&fleet, 1, 8));
    let answers = finish_streams(calls);

    expect_that!(whole_count(&answers), eq(16), "{}", fleet.logs());
    expect_complete_or_failed(&answers, &fleet.logs());
}

#[gtest]
fn a_killed_agent_breaks_its_own_streams_visibly_and_no_others() {
    let mut fleet = TestFleet::start(&FleetPlan::default());
    let calls = start_streams(&fleet, 0, 8);
    let on_other = fleet.engine_count(1, "running");

    fleet.engines[0].agent.process.kill();
    let answers = finish_streams(calls);

    expect_that!(on_other, gt(0));
    expect_that!(
        whole_count(&answers) as u64,
        ge(on_other),
        "{}",
        fleet.logs()
    );
    expect_complete_or_failed(&answers, &fleet.logs());
    wait_for("chats are served by the other engine", || {
        fleet.chat(0, "after the kill", 3).send().is_whole()
    });
}

#[gtest]
fn a_killed_engine_breaks_its_own_streams_visibly_and_no_others() {
    let mut fleet = TestFleet::start(&FleetPlan::default());
    let calls = start_streams(&fleet, 0, 8);
    let on_other = fleet.engine_count(1, "running");

    fleet.engines[0].endpoint.process.kill();
    let answers = finish_streams(calls);

    expect_that!(
        whole_count(&answers) as u64,
        ge(on_other),
        "{}",
        fleet.logs()
    );
    expect_complete_or_failed(&answers, &fleet.logs());
}

#[gtest]
fn streams_of_a_frozen_agent_end_and_new_chats_go_elsewhere() {
    let fleet = TestFleet::start(&FleetPlan::default());
    let calls = start_streams(&fleet, 0, 8);

    fleet.engines[0].agent.process.signal(SignalKind::Suspend);
    let answers = finish_streams(calls);

    expect_complete_or_failed(&answers, &fleet.logs());
    wait_for("chats are served by the other engine", || {
        fleet.chat(0, "during the freeze", 3).send().is_whole()
    });
    fleet.engines[0].agent.process.signal(SignalKind::Resume);
    let late = fleet.chat(0, "after the freeze", 3).send();
    expect_that!(late.is_answer_to("after the freeze", 3), eq(true));
}

#[gtest]
fn streams_survive_a_short_freeze_of_their_entry() {
    let fleet = TestFleet::start(&FleetPlan {
        entries: 2,
        ..FleetPlan::default()
    });
    let calls = start_streams(&fleet, 0, 4);

    fleet.entries[0].process.signal(SignalKind::Suspend);
    let elsewhere = fleet.chat(1, "another entry", 3).spawn().finish();
    fleet.entries[0].process.signal(SignalKind::Resume);
    let answers = finish_streams(calls);

    expect_that!(elsewhere.is_whole(), eq(true));
    expect_that!(whole_count(&answers), eq(4), "{}", fleet.logs());
    expect_complete_or_failed(&answers, &fleet.logs());
}

#[gtest]
fn a_silent_connection_to_an_engine_never_passes_for_a_whole_answer() {
    let fleet = TestFleet::start(&FleetPlan::default());
    let calls = start_streams(&fleet, 0, 8);

    fleet.engines[0].forwarder.stall_connections();
    let answers = finish_streams(calls);

    expect_complete_or_failed(&answers, &fleet.logs());
    wait_for("new chats work on new connections", || {
        fleet.chat(0, "after the stall", 3).send().is_whole()
    });
}
