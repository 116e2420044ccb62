//! Control's record of non-idempotent requests.

use std::time::Duration;

use bytes::Bytes;
use claim::{ClaimLimits, ClaimTable};
use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, ClaimRequest, ControlReply, RecordedAnswer};

const RETENTION: Duration = Duration::from_secs(60 * 60);
const START: Duration = Duration::from_secs(1_000);

fn key() -> ClaimKey {
    ClaimKey {
        account: 1,
        key: "order-17".to_owned(),
    }
}

fn attempt(request: u128, attempt: u32) -> AttemptKey {
    AttemptKey { request, attempt }
}

fn request(request: u128, number: u32) -> ClaimRequest {
    ClaimRequest {
        claim: key(),
        fingerprint: 5,
        attempt: attempt(request, number),
        endpoint: 9,
        retention: RETENTION,
    }
}

fn answer(size: usize) -> RecordedAnswer {
    RecordedAnswer {
        status: 201,
        headers: Vec::new(),
        body: Some(Bytes::from(vec![7; size])),
    }
}

fn held() -> ClaimTable {
    let mut table = ClaimTable::default();
    table.claim(START, &request(1, 1));
    table
}

fn finished(outcome: RunOutcome) -> ClaimTable {
    let mut table = held();
    let answer = (outcome == RunOutcome::Ran).then(|| answer(3));
    table.finish(START, &key(), attempt(1, 1), outcome, answer);
    table
}

fn kind(reply: &ControlReply) -> Option<FaultKind> {
    match reply {
        ControlReply::Refused(fault) => Some(fault.kind),
        _ => None,
    }
}

#[gtest]
fn one_attempt_is_granted_and_its_resend_again() {
    let mut table = ClaimTable::default();

    let first = table.claim(START, &request(1, 1));
    let resent = table.claim(START, &request(1, 1));
    let other = table.claim(START, &request(2, 1));

    expect_that!(first, eq(&ControlReply::ClaimGranted));
    expect_that!(resent, eq(&ControlReply::ClaimGranted));
    expect_that!(kind(&other), some(eq(FaultKind::StillRunning)));
}

#[gtest]
fn a_resend_gets_what_became_of_the_first() {
    let mut ran = finished(RunOutcome::Ran);
    let mut unknown = finished(RunOutcome::Unknown);
    let mut not_run = finished(RunOutcome::NotRun);

    let replies = [&mut ran, &mut unknown, &mut not_run].map(|t| t.claim(START, &request(2, 1)));

    expect_that!(replies[0], eq(&ControlReply::ClaimAnswered(answer(3))));
    expect_that!(kind(&replies[1]), some(eq(FaultKind::OutcomeUnknown)));
    expect_that!(replies[2], eq(&ControlReply::ClaimGranted));
}

#[gtest]
fn another_body_under_the_same_key_is_a_conflict() {
    let mut table = finished(RunOutcome::Ran);
    let other = ClaimRequest {
        fingerprint: 6,
        ..request(2, 1)
    };

    expect_that!(
        kind(&table.claim(START, &other)),
        some(eq(FaultKind::KeyConflict))
    );
}

#[gtest]
fn an_attempt_is_bound_to_its_endpoint_and_never_granted_after_it_was_given_up() {
    let mut table = held();
    let moved = ClaimRequest {
        endpoint: 10,
        ..request(1, 1)
    };

    let elsewhere = table.claim(START, &moved);
    let second_while_held = table.claim(START, &request(1, 2));
    table.finish(START, &key(), attempt(1, 1), RunOutcome::NotRun, None);
    let late = table.claim(START, &request(1, 1));
    let second = table.claim(START, &request(1, 2));

    expect_that!(kind(&elsewhere), some(eq(FaultKind::Fenced)));
    expect_that!(kind(&second_while_held), some(eq(FaultKind::StillRunning)));
    expect_that!(kind(&late), some(eq(FaultKind::Fenced)));
    expect_that!(second, eq(&ControlReply::ClaimGranted));
}

#[gtest]
fn what_was_told_does_not_change_back() {
    let mut unknown = finished(RunOutcome::Unknown);
    let mut ran = finished(RunOutcome::Ran);

    unknown.finish(START, &key(), attempt(1, 1), RunOutcome::NotRun, None);
    let still_unknown = unknown.claim(START, &request(2, 1));
    unknown.finish(
        START,
        &key(),
        attempt(1, 1),
        RunOutcome::Ran,
        Some(answer(2)),
    );
    let known_now = unknown.claim(START, &request(2, 1));
    ran.finish(START, &key(), attempt(1, 1), RunOutcome::NotRun, None);
    ran.finish(
        START,
        &key(),
        attempt(1, 1),
        RunOutcome::Ran,
        Some(answer(9)),
    );
    let still_first = ran.claim(START, &request(2, 1));

    expect_that!(kind(&still_unknown), some(eq(FaultKind::OutcomeUnknown)));
    expect_that!(known_now, eq(&ControlReply::ClaimAnswered(answer(2))));
    expect_that!(still_first, eq(&ControlReply::ClaimAnswered(answer(3))));
}

#[gtest]
fn the_end_of_an_attempt_that_does_not_hold_the_claim_changes_nothing() {
    let mut table = held();

    let reply = table.finish(START, &key(), attempt(2, 1), RunOutcome::NotRun, None);
    let other = table.claim(START, &request(2, 1));

    expect_that!(kind(&reply), some(eq(FaultKind::Fenced)));
    expect_that!(kind(&other), some(eq(FaultKind::StillRunning)));
}

#[gtest]
fn a_key_past_its_retention_is_refused_and_later_new() {
    let mut table = finished(RunOutcome::Ran);
    let expiry = START + RETENTION;
    let forgotten = expiry + ClaimLimits::default().expired_retention;

    let within = table.claim(expiry - Duration::from_millis(1), &request(2, 1));
    let expired = table.claim(expiry, &request(2, 1));
    let late = table.claim(expiry, &request(1, 1));
    let anew = table.claim(forgotten, &request(3, 1));

    expect_that!(within, eq(&ControlReply::ClaimAnswered(answer(3))));
    expect_that!(kind(&expired), some(eq(FaultKind::KeyExpired)));
    expect_that!(kind(&late), some(eq(FaultKind::KeyExpired)));
    expect_that!(anew, eq(&ControlReply::ClaimGranted));
    expect_that!(table.verify(), ok(anything()));
}

#[gtest]
fn a_claim_whose_holder_is_gone_becomes_unknown() {
    let mut abandoned = held();
    let mut overdue = held();

    abandoned.abandon(START, 9);
    overdue.advance(START + RETENTION);
    let replies = [&mut abandoned, &mut overdue].map(|table| {
        let reply = table.claim(START, &request(2, 1));
        kind(&reply)
    });

    expect_that!(replies, each(some(eq(FaultKind::OutcomeUnknown))));
}

#[gtest]
fn stamps_that_run_backwards_revive_nothing() {
    let mut table = finished(RunOutcome::Ran);
    table.advance(START + RETENTION);

    let reply = table.claim(START, &request(2, 1));

    expect_that!(kind(&reply), some(eq(FaultKind::KeyExpired)));
}

#[gtest]
fn keys_and_answers_are_bounded() {
    let limits = ClaimLimits {
        // The record of a one-byte key counts as 162 bytes: 160 and twice the key.
        key_bytes: 3 * 162,
        answer_bytes: 100,
        max_answer_bytes: 60,
        ..ClaimLimits::default()
    };
    let mut table = ClaimTable::new(limits);
    let claim = |index: u128| ClaimRequest {
        claim: ClaimKey {
            account: 1,
            key: index.to_string(),
        },
        ..request(index, 1)
    };
    for (index, size) in [(1, 50), (2, 60), (3, 61)] {
        table.claim(START, &claim(index));
        let body = Some(answer(size));
        let key = claim(index).claim;
        table.finish(START, &key, attempt(index, 1), RunOutcome::Ran, body);
    }

    let bodies = [1, 2, 3].map(|index| match table.claim(START, &claim(index)) {
        ControlReply::ClaimAnswered(answer) => answer.body.map(|body| body.len()),
        _ => Some(usize::MAX),
    });
    let fourth = table.claim(START, &claim(4));

    expect_that!(bodies, eq([None, Some(60), None]));
    expect_that!(kind(&fourth), some(eq(FaultKind::StoreFull)));
    expect_that!(table.verify(), ok(anything()));
}

#[gtest]
fn an_oversized_key_is_refused() {
    let mut table = ClaimTable::default();
    let long = ClaimRequest {
        claim: ClaimKey {
            account: 1,
            key: "x".repeat(256),
        },
        ..request(1, 1)
    };

    let reply = table.claim(START, &long);

    expect_that!(kind(&reply), some(eq(FaultKind::MalformedRequest)));
    expect_that!(table.is_empty(), eq(true));
}

#[gtest]
fn a_full_table_leaves_room_for_the_settings_in_a_snapshot() {
    let mut table = ClaimTable::default();
    let mut index: u128 = 0;
    loop {
        index += 1;
        let claim = ClaimRequest {
            claim: ClaimKey {
                account: u64::MAX,
                key: format!("{index:036}"),
            },
            attempt: attempt(u128::MAX - index, u32::MAX),
            fingerprint: u64::MAX,
            endpoint: u64::MAX,
            ..request(index, 1)
        };
        if table.claim(START, &claim) != ControlReply::ClaimGranted {
            break;
        }
        let body = Some(answer(200));
        table.finish(START, &claim.claim, claim.attempt, RunOutcome::Ran, body);
    }

    let snapshot = postcard::to_stdvec(&table).unwrap();

    expect_that!(index, gt(20_000));
    expect_that!(snapshot.len(), lt(wire::codec::MAX_MESSAGE_BYTES * 2 / 3));
    expect_that!(table.verify(), ok(anything()));
}

#[gtest]
fn a_snapshot_keeps_everything() {
    let mut table = finished(RunOutcome::Ran);
    table.advance(START + RETENTION);
    table.claim(
        START + RETENTION,
        &ClaimRequest {
            claim: ClaimKey {
                account: 2,
                key: "edit-3".to_owned(),
            },
            ..request(5, 1)
        },
    );

    let bytes = postcard::to_stdvec(&table).unwrap();
    let restored: ClaimTable = postcard::from_bytes(&bytes).unwrap();

    expect_that!(restored, eq(&table));
    expect_that!(restored.verify(), ok(anything()));
}
