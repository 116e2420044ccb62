//! The agent's table of attempts and the entry's ledger of outcomes.

use std::time::{Duration, Instant};

use claim::attempts::AttemptState;
use claim::{AttemptLimits, AttemptTable, CallLedger, CancelVerdict, ResumeVerdict, SubmitVerdict};
use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use wire::answer::AttemptKey;

const ACCEPTED: SubmitVerdict = SubmitVerdict::Accepted { superseded: None };

fn key(attempt: u32) -> AttemptKey {
    AttemptKey {
        request: 1,
        attempt,
    }
}

fn table() -> AttemptTable {
    AttemptTable::new(1, AttemptLimits::default())
}

#[gtest]
fn a_duplicate_starts_nothing() {
    let now = Instant::now();
    let mut table = table();
    table.submit(now, key(1), false);

    let first = table.start(key(1));
    let again = table.start(key(1));
    let duplicate = table.submit(now, key(1), false);

    expect_that!((first, again), eq((true, false)));
    expect_that!(
        duplicate,
        eq(SubmitVerdict::Duplicate(AttemptState::Running))
    );
}

#[gtest]
fn what_was_refused_or_cancelled_never_starts() {
    let now = Instant::now();
    let mut refused = table();
    let mut cancelled = table();
    for table in [&mut refused, &mut cancelled] {
        table.submit(now, key(1), true);
    }

    let is_refused = refused.refuse(now, key(1), FaultKind::Overloaded);
    let verdict = cancelled.cancel(now, key(1));

    expect_that!(is_refused, eq(true));
    expect_that!(verdict, eq(CancelVerdict::NotRun));
    expect_that!(
        [refused.start(key(1)), cancelled.start(key(1))],
        each(eq(false))
    );
    expect_that!(
        refused.submit(now, key(1), true),
        eq(SubmitVerdict::Duplicate(AttemptState::Refused(
            FaultKind::Overloaded
        )))
    );
}

#[gtest]
fn a_running_attempt_is_never_refused_as_not_run() {
    let now = Instant::now();
    let mut table = table();
    table.submit(now, key(1), false);
    let started = table.start(key(1));

    expect_that!(started, eq(true));
    expect_that!(table.refuse(now, key(1), FaultKind::Draining), eq(false));
    expect_that!(table.cancel(now, key(1)), eq(CancelVerdict::Stop));
    expect_that!(table.refuse_queued(now, FaultKind::Draining), is_empty());
}

#[gtest]
fn an_attempt_of_an_earlier_incarnation_is_lost_however_often_it_is_asked_for() {
    let now = Instant::now();
    let mut table = table();

    let resumes = [table.resume(now, key(1)), table.resume(now, key(1))];
    let cancels = [table.cancel(now, key(1)), table.cancel(now, key(1))];
    let submit = table.submit(now, key(1), false);

    expect_that!(resumes, each(eq(ResumeVerdict::Lost)));
    expect_that!(cancels, each(eq(CancelVerdict::Lost)));
    expect_that!(submit, eq(SubmitVerdict::Refuse(FaultKind::Fenced)));
    expect_that!(table.start(key(1)), eq(false));
    expect_that!(table.verify(), ok(anything()));
}

#[gtest]
fn a_later_attempt_fences_an_earlier_one() {
    let now = Instant::now();
    let mut table = table();
    table.submit(now, key(1), true);

    let second = table.submit(now, key(2), true);
    let late = table.submit(now, key(1), true);

    expect_that!(second, eq(ACCEPTED));
    expect_that!(table.start(key(1)), eq(false));
    expect_that!(
        late,
        eq(SubmitVerdict::Duplicate(AttemptState::Refused(
            FaultKind::Fenced
        )))
    );
}

#[gtest]
fn a_second_attempt_never_repeats_a_non_idempotent_run() {
    let now = Instant::now();
    let mut running = table();
    let mut ended = table();
    for table in [&mut running, &mut ended] {
        table.submit(now, key(1), false);
        expect_that!(table.start(key(1)), eq(true));
    }
    ended.end(now, key(1), RunOutcome::Unknown);

    let while_running = running.submit(now, key(2), false);
    let after = ended.submit(now, key(2), false);

    expect_that!(
        while_running,
        eq(SubmitVerdict::Refuse(FaultKind::StillRunning))
    );
    expect_that!(after, eq(SubmitVerdict::Refuse(FaultKind::OutcomeUnknown)));
}

#[gtest]
fn a_full_table_promises_nothing() {
    let now = Instant::now();
    let limits = AttemptLimits {
        attempts: 1,
        ..AttemptLimits::default()
    };
    let mut table = AttemptTable::new(1, limits);
    table.submit(now, key(1), true);
    let other = AttemptKey {
        request: 2,
        attempt: 1,
    };

    let verdict = table.submit(now, other, true);

    expect_that!(verdict, eq(SubmitVerdict::Refuse(FaultKind::Internal)));
    expect_that!(
        FaultKind::Internal.answer().outcome,
        eq(RunOutcome::Unknown)
    );
}

#[gtest]
fn an_ended_attempt_is_remembered_for_longer_than_any_frame_lives() {
    let now = Instant::now();
    let mut table = table();
    table.submit(now, key(1), true);
    expect_that!(table.refuse(now, key(1), FaultKind::Overloaded), eq(true));
    let retention = AttemptLimits::default().retention;

    table.evict_expired(now + retention - Duration::from_millis(1));
    let before = table.get(key(1));
    table.evict_expired(now + retention);

    expect_that!(before, some(anything()));
    expect_that!(table.get(key(1)), none());
}

#[gtest]
fn a_crash_of_the_endpoint_leaves_what_waits() {
    let now = Instant::now();
    let mut table = table();
    let waiting = AttemptKey {
        request: 2,
        attempt: 1,
    };
    table.submit(now, key(1), true);
    table.submit(now, waiting, true);
    expect_that!(table.start(key(1)), eq(true));

    let failed = table.fail_running(now);

    expect_that!(failed, elements_are![eq(&key(1))]);
    expect_that!(table.get(waiting), some(eq(AttemptState::Queued)));
    expect_that!(
        table.get(key(1)),
        some(eq(AttemptState::Ended(RunOutcome::Unknown)))
    );
}

#[gtest]
fn the_ledger_sends_once_what_may_not_be_repeated() {
    let mut once = CallLedger::new(1, false);
    let mut often = CallLedger::new(1, true);
    for ledger in [&mut once, &mut often] {
        expect_that!(ledger.open(), some(eq(key(1))));
        expect_that!(ledger.open(), none());
        ledger.mark_lost(key(1));
    }

    expect_that!(once.open(), none());
    expect_that!(often.open(), some(eq(key(2))));
}

#[gtest]
fn the_ledger_calls_not_run_only_what_never_ran() {
    let unsent = CallLedger::new(1, false);
    let mut refused = CallLedger::new(1, false);
    let mut open = CallLedger::new(1, false);
    let mut lost_then_refused = CallLedger::new(1, true);
    refused.open();
    refused.close(key(1), RunOutcome::NotRun);
    open.open();
    lost_then_refused.open();
    lost_then_refused.mark_lost(key(1));
    lost_then_refused.open();
    lost_then_refused.close(key(2), RunOutcome::NotRun);
    let fault = || FaultKind::Overloaded.because("full");

    let outcomes = [&unsent, &refused, &open, &lost_then_refused].map(CallLedger::outcome);
    let told = [&refused, &lost_then_refused].map(|ledger| ledger.final_fault(fault()).outcome());

    expect_that!(
        outcomes,
        eq([
            RunOutcome::NotRun,
            RunOutcome::NotRun,
            RunOutcome::Unknown,
            RunOutcome::Unknown
        ])
    );
    expect_that!(told, eq([RunOutcome::NotRun, RunOutcome::Unknown]));
}

#[gtest]
fn the_ledger_ignores_reports_about_other_attempts() {
    let mut ledger = CallLedger::new(1, true);
    ledger.open();
    ledger.mark_lost(key(1));
    ledger.open();

    ledger.close(key(1), RunOutcome::Ran);

    expect_that!(ledger.is_current(key(2)), eq(true));
    expect_that!(ledger.outcome(), eq(RunOutcome::Unknown));
    expect_that!(ledger.verify(), ok(anything()));
}
