//! Suspicion, trial and quarantine of requests that crash endpoints.

use std::time::Duration;

use claim::{GateVerdict, SuspectGate, SuspectLimits, SuspectTable};
use fault::FaultKind;
use googletest::prelude::*;
use wire::answer::AttemptKey;
use wire::command::ControlReply;

const START: Duration = Duration::from_secs(1_000);
const POISON: u64 = 66;
const HARMLESS: u64 = 1;

fn attempt(request: u128) -> AttemptKey {
    AttemptKey {
        request,
        attempt: 1,
    }
}

/// A table after a crash of endpoint 1, which was running both requests.
fn suspecting() -> SuspectTable {
    let mut table = SuspectTable::default();
    table.report_crash(START, 1, 1, &[POISON, HARMLESS]);
    table
}

fn try_at(table: &mut SuspectTable, fingerprint: u64, request: u128) -> Option<FaultKind> {
    match table.try_suspect(START, fingerprint, 2, attempt(request)) {
        ControlReply::Refused(fault) => Some(fault.kind),
        _ => None,
    }
}

#[gtest]
fn a_second_crash_leads_to_quarantine() {
    let mut table = suspecting();
    try_at(&mut table, POISON, 1);

    table.report_crash(START, 2, 1, &[POISON]);

    expect_that!(table.quarantined(), elements_are![eq(&POISON)]);
    expect_that!(table.suspects(), elements_are![eq(&HARMLESS)]);
    expect_that!(
        try_at(&mut table, POISON, 2),
        some(eq(FaultKind::Quarantined))
    );
}

#[gtest]
fn a_resent_report_counts_once() {
    let mut table = suspecting();

    table.report_crash(START, 1, 1, &[POISON, HARMLESS]);

    expect_that!(table.quarantined(), is_empty());
}

#[gtest]
fn a_harmless_request_is_cleared_by_completing() {
    let mut table = suspecting();
    try_at(&mut table, HARMLESS, 1);

    table.clear(START, HARMLESS);

    expect_that!(table.suspects(), elements_are![eq(&POISON)]);
}

#[gtest]
fn one_attempt_at_a_time_holds_the_permit() {
    let mut table = suspecting();

    let first = try_at(&mut table, POISON, 1);
    let resent = try_at(&mut table, POISON, 1);
    let other = try_at(&mut table, POISON, 2);
    table.drop_trial(START, POISON, attempt(2));
    let still = try_at(&mut table, POISON, 2);
    table.drop_trial(START, POISON, attempt(1));
    let free = try_at(&mut table, POISON, 2);

    expect_that!([first, resent, free], each(none()));
    expect_that!([other, still], each(some(eq(FaultKind::Overloaded))));
}

#[gtest]
fn a_trial_that_falls_silent_ends_in_quarantine_until_it_completes_after_all() {
    let limits = SuspectLimits::default();
    let mut table = suspecting();
    try_at(&mut table, POISON, 1);

    table.advance(START + limits.trial);
    let silent = table.quarantined();
    table.clear(START + limits.trial, POISON);

    expect_that!(silent, elements_are![eq(&POISON)]);
    expect_that!(table.quarantined(), is_empty());
}

#[gtest]
fn a_quarantine_ends_by_time_or_by_an_operator() {
    let limits = SuspectLimits::default();
    let mut expired = suspecting();
    expired.report_crash(START, 2, 1, &[POISON]);
    let mut lifted = expired.clone();

    expired.advance(START + limits.quarantine);
    lifted.lift(START, POISON);

    expect_that!(expired.quarantined(), is_empty());
    expect_that!(expired.suspects(), elements_are![eq(&POISON)]);
    expect_that!(lifted.suspects(), elements_are![eq(&HARMLESS)]);
}

#[gtest]
fn the_table_is_bounded_and_never_forgets_a_quarantine_for_a_suspicion() {
    let limits = SuspectLimits {
        requests: 2,
        ..SuspectLimits::default()
    };
    let mut table = SuspectTable::new(limits);
    table.report_crash(START, 1, 1, &[POISON]);
    table.report_crash(START, 1, 2, &[POISON]);

    table.report_crash(START, 1, 3, &[10, 11, 12]);

    expect_that!(table.quarantined(), elements_are![eq(&POISON)]);
    expect_that!(table.suspects(), elements_are![eq(&12)]);
    expect_that!(table.verify(), ok(anything()));
}

#[gtest]
fn a_snapshot_keeps_everything() {
    let mut table = suspecting();
    try_at(&mut table, POISON, 1);

    let bytes = postcard::to_stdvec(&table).unwrap();
    let restored: SuspectTable = postcard::from_bytes(&bytes).unwrap();

    expect_that!(restored, eq(&table));
}

#[gtest]
fn a_suspect_runs_alone_and_with_its_permit() {
    let mut gate = SuspectGate::default();
    gate.set_suspects(&[POISON]);
    gate.started(attempt(9), HARMLESS);

    let unpermitted = gate.may_start(attempt(1), POISON);
    gate.permit(attempt(1), POISON);
    let in_company = gate.may_start(attempt(1), POISON);
    let others_wait = !gate.may_start(attempt(10), HARMLESS);
    gate.ended(HARMLESS);
    let alone = gate.may_start(attempt(1), POISON);
    gate.started(attempt(1), POISON);
    let beside = gate.may_start(attempt(10), HARMLESS);

    expect_that!((unpermitted, in_company), eq((false, false)));
    expect_that!((others_wait, alone, beside), eq((true, true, false)));
    expect_that!(gate.verify(), ok(anything()));
    expect_that!(gate.ended(POISON), eq(true));
}

#[gtest]
fn what_ran_at_a_crash_is_suspected_before_control_answers() {
    let mut gate = SuspectGate::default();
    gate.started(attempt(1), POISON);

    gate.crashed(&[POISON]);
    gate.set_suspects(&[]);
    let before = gate.check(POISON);
    gate.set_quarantined(&[POISON]);
    gate.report_recorded();

    expect_that!(before, eq(GateVerdict::Alone));
    expect_that!(gate.check(POISON), eq(GateVerdict::Refuse));
    expect_that!(gate.may_start(attempt(2), POISON), eq(false));
}

#[gtest]
fn a_suspect_cleared_elsewhere_does_not_block_its_own_attempt() {
    let mut gate = SuspectGate::default();
    gate.set_suspects(&[HARMLESS]);
    gate.permit(attempt(1), HARMLESS);

    gate.set_suspects(&[]);

    expect_that!(gate.may_start(attempt(1), HARMLESS), eq(true));
    expect_that!(gate.drop_permit(attempt(1), HARMLESS), eq(true));
    expect_that!(gate.may_start(attempt(2), 5), eq(true));
}
