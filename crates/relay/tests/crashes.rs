//! Tests of the detection of requests that crash endpoints.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use relay::crash::{CrashTracker, LostRun, SuspectKind};
use wire::gateway::{CrashNotice, EndpointCrash, MAX_NOTICE_REQUESTS, MAX_NOTICE_SERVED};

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);
const REQUEST: u64 = 7;

fn run_at(endpoint: u64, alive_at: Duration) -> LostRun {
    LostRun {
        fingerprint: REQUEST,
        parts: Rc::default(),
        endpoint,
        alive_at,
    }
}

fn is_refused(tracker: &CrashTracker, now: Duration, fingerprint: u64) -> bool {
    tracker.refused_for(now, fingerprint, &[]).is_some()
}

/// A run of the request is lost at an endpoint that is then found down.
fn lose_in_crash(tracker: &mut CrashTracker, now: Duration, endpoint: u64) {
    tracker.note_lost(now, run_at(endpoint, now - MILLI));
    tracker.note_down(now + MILLI, endpoint);
}

/// Hands everything that one instance found to another.
fn notify(now: Duration, from: &mut CrashTracker, to: &mut CrashTracker) {
    while let Some(notice) = from.take_notice(now, SuspectKind::Request) {
        to.note_notice(now, SuspectKind::Request, &notice);
    }
}

#[gtest]
fn request_is_refused_after_it_was_lost_in_three_crashes() {
    let mut tracker = CrashTracker::default();

    lose_in_crash(&mut tracker, SECOND, 1);
    lose_in_crash(&mut tracker, SECOND, 2);
    let after_two = is_refused(&tracker, SECOND, REQUEST);
    tracker.note_lost(SECOND, run_at(3, SECOND - MILLI));
    let before_verdict = is_refused(&tracker, SECOND, REQUEST);
    tracker.note_down(SECOND + MILLI, 3);

    expect_that!((after_two, before_verdict), eq((false, false)));
    expect_that!(is_refused(&tracker, SECOND, REQUEST), eq(true));
    expect_that!(is_refused(&tracker, SECOND, REQUEST + 1), eq(false));
}

#[gtest]
fn lost_answers_of_endpoints_that_did_not_crash_block_no_call() {
    // Endpoints lose the answers to a frequent call but keep serving other calls.
    let mut tracker = CrashTracker::default();

    for endpoint in 1..=9 {
        tracker.note_lost(SECOND, run_at(endpoint, SECOND));
        tracker.note_alive(endpoint, 2 * SECOND);
        tracker.note_down(2 * SECOND, endpoint);
    }
    tracker.note_lost(SECOND, run_at(10, SECOND));
    tracker.note_down(60 * SECOND, 10);

    expect_that!(tracker.crashes_of(REQUEST), eq(0));
    expect_that!(is_refused(&tracker, 2 * SECOND, REQUEST), eq(false));
}

#[gtest]
fn answer_to_an_earlier_call_clears_no_later_loss() {
    let mut tracker = CrashTracker::default();
    lose_in_crash(&mut tracker, SECOND, 1);
    lose_in_crash(&mut tracker, SECOND, 2);
    tracker.note_lost(2 * SECOND, run_at(3, 2 * SECOND));

    tracker.note_alive(3, SECOND);
    tracker.note_down(2 * SECOND, 3);

    expect_that!(is_refused(&tracker, 2 * SECOND, REQUEST), eq(true));
}

#[gtest]
fn loss_and_crash_that_different_instances_observe_are_combined() {
    for is_lost_first in [true, false] {
        let (mut loser, mut finder) = (CrashTracker::new(1), CrashTracker::new(2));
        let run = run_at(1, SECOND);

        if is_lost_first {
            loser.note_lost(SECOND + MILLI, run.clone());
        }
        finder.note_down(2 * SECOND, 1);
        notify(2 * SECOND, &mut finder, &mut loser);
        if !is_lost_first {
            loser.note_lost(5 * SECOND, run);
        }
        notify(5 * SECOND, &mut loser, &mut finder);

        expect_that!(loser.crashes_of(REQUEST), eq(1), "{is_lost_first}");
        expect_that!(finder.crashes_of(REQUEST), eq(1), "{is_lost_first}");
    }
}

#[gtest]
fn run_that_went_on_after_its_endpoint_was_found_down_was_not_lost_in_that_crash() {
    let (mut runner, mut finder) = (CrashTracker::new(1), CrashTracker::new(2));
    finder.note_down(2 * SECOND, 1);
    notify(2 * SECOND, &mut finder, &mut runner);

    runner.note_lost(3 * SECOND, run_at(1, 2 * SECOND + MILLI));

    expect_that!(runner.crashes_of(REQUEST), eq(0));
}

#[gtest]
fn crash_that_several_instances_find_counts_once() {
    let mut trackers = [1, 2, 3].map(CrashTracker::new);

    for tracker in &mut trackers {
        lose_in_crash(tracker, SECOND, 1);
    }
    let [first, second, third] = &mut trackers;
    notify(SECOND, second, first);
    notify(SECOND, third, first);

    expect_that!(first.crashes_of(REQUEST), eq(1));
}

#[gtest]
fn each_crash_of_an_endpoint_under_one_name_counts() {
    let mut tracker = CrashTracker::default();

    for at in [SECOND, 4 * SECOND, 7 * SECOND] {
        lose_in_crash(&mut tracker, at, 1);
        tracker.note_alive(1, at + 2 * SECOND);
    }

    expect_that!(tracker.crashes_of(REQUEST), eq(3));
}

#[gtest]
fn request_with_two_crashes_is_not_retried_while_a_third_is_possible() {
    let mut tracker = CrashTracker::default();
    lose_in_crash(&mut tracker, SECOND, 1);
    lose_in_crash(&mut tracker, SECOND, 2);

    let before = tracker.may_retry(REQUEST);
    tracker.note_lost(SECOND, run_at(3, SECOND));
    let while_pending = tracker.may_retry(REQUEST);
    tracker.note_alive(3, SECOND);

    expect_that!((before, while_pending), eq((true, false)));
    expect_that!(tracker.may_retry(REQUEST), eq(true));
}

#[gtest]
fn endpoint_is_checked_once_at_a_time_while_the_cause_of_a_loss_is_unknown() {
    let mut tracker = CrashTracker::default();

    let without_loss = tracker.start_check(1);
    tracker.note_lost(SECOND, run_at(1, SECOND));
    let (first, second) = (tracker.start_check(1), tracker.start_check(1));
    tracker.end_check(1);
    let again = tracker.start_check(1);

    expect_that!(without_loss, eq(false));
    expect_that!((first, second, again), eq((true, false, true)));
}

#[gtest]
fn crash_with_many_lost_requests_is_announced_in_several_notices() {
    let (mut loser, mut other) = (CrashTracker::new(1), CrashTracker::new(2));
    let requests = 2 * MAX_NOTICE_REQUESTS as u64 + 5;
    for fingerprint in 0..requests {
        let run = LostRun {
            fingerprint,
            ..run_at(1, SECOND)
        };
        loser.note_lost(SECOND, run);
    }
    loser.note_down(SECOND, 1);

    let mut notices = 0;
    while let Some(notice) = loser.take_notice(SECOND, SuspectKind::Request) {
        notices += 1;
        other.note_notice(SECOND, SuspectKind::Request, &notice);
    }

    expect_that!(notices, eq(3));
    expect_that!(
        (0..requests).all(|one| other.crashes_of(one) == 1),
        eq(true)
    );
}

fn told(id: u64, requests: Vec<u64>) -> CrashNotice {
    let crash = EndpointCrash {
        id,
        endpoint: id,
        age_ms: 0,
        requests,
    };
    CrashNotice {
        crashes: vec![crash],
        ..CrashNotice::default()
    }
}

#[gtest]
fn number_of_kept_requests_is_bounded_and_those_of_several_crashes_are_kept() {
    let mut tracker = CrashTracker::default();
    tracker.note_notice(SECOND, SuspectKind::Request, &told(1, vec![REQUEST]));
    tracker.note_notice(SECOND, SuspectKind::Request, &told(2, vec![REQUEST]));

    for number in 1000..11_000 {
        let at = SECOND + number as u32 * MILLI;
        tracker.note_notice(at, SuspectKind::Request, &told(number, vec![number]));
    }
    let kept = (1000..11_000).filter(|one| tracker.crashes_of(*one) > 0);

    expect_that!(kept.count(), all![ge(1000), le(4096)]);
    expect_that!(tracker.crashes_of(REQUEST), eq(2));
    expect_that!(tracker.crashes_of(10_999), eq(1));
}

/// A tracker that knows three crashes of the request, found by itself.
fn tracker_of_blocked_request(seed: u64) -> CrashTracker {
    let mut tracker = CrashTracker::new(seed);
    for (at, endpoint) in [(10, 1), (12, 1), (14, 2)] {
        lose_in_crash(&mut tracker, at * SECOND, endpoint);
        tracker.note_alive(endpoint, (at + 1) * SECOND);
    }
    tracker
}

#[gtest]
fn instance_that_starts_later_learns_which_requests_are_refused() {
    let mut tracker = tracker_of_blocked_request(1);
    while tracker
        .take_notice(14 * SECOND, SuspectKind::Request)
        .is_some()
    {}
    let (mut second, mut third) = (CrashTracker::new(2), CrashTracker::new(3));

    let notice = tracker
        .next_repetition(100 * SECOND, SuspectKind::Request)
        .expect("a repetition");
    second.note_notice(SECOND, SuspectKind::Request, &notice);
    let notice = second
        .next_repetition(5 * SECOND, SuspectKind::Request)
        .expect("a repetition");
    third.note_notice(SECOND, SuspectKind::Request, &notice);

    expect_that!(second.crashes_of(REQUEST), eq(3));
    expect_that!(is_refused(&second, SECOND, REQUEST), eq(true));
    expect_that!(is_refused(&third, SECOND, REQUEST), eq(true));
}

#[gtest]
fn repetitions_do_not_extend_the_time_of_a_refusal() {
    let minute = 60 * SECOND;
    let mut first = tracker_of_blocked_request(1);
    let mut second = CrashTracker::new(2);

    let notice = first
        .next_repetition(9 * minute, SuspectKind::Request)
        .expect("a repetition");
    second.note_notice(SECOND, SuspectKind::Request, &notice);
    let notice = second
        .next_repetition(2 * SECOND, SuspectKind::Request)
        .expect("a repetition");
    first.note_notice(9 * minute + SECOND, SuspectKind::Request, &notice);

    expect_that!(is_refused(&first, 10 * minute, REQUEST), eq(true));
    expect_that!(is_refused(&first, 11 * minute, REQUEST), eq(false));
    expect_that!(is_refused(&second, minute, REQUEST), eq(true));
    expect_that!(is_refused(&second, 2 * minute, REQUEST), eq(false));
}

#[gtest]
fn request_that_was_refused_long_enough_is_refused_again_after_one_more_crash() {
    let minute = 60 * SECOND;
    let mut tracker = tracker_of_blocked_request(1);

    tracker.expire(30 * minute);
    let while_let_through = is_refused(&tracker, 30 * minute, REQUEST);
    lose_in_crash(&mut tracker, 30 * minute, 3);
    let after_one_crash = is_refused(&tracker, 31 * minute, REQUEST);
    tracker.expire(100 * minute);

    expect_that!((while_let_through, after_one_crash), eq((false, true)));
    expect_that!(tracker.crashes_of(REQUEST), eq(0));
}

#[gtest]
fn repetitions_cover_all_requests_with_several_crashes_in_turn() {
    let (mut knowing, mut other) = (CrashTracker::new(1), CrashTracker::new(2));
    for request in 0..100 {
        for crash in 0..3 {
            let id = 3 * request + crash;
            knowing.note_notice(SECOND, SuspectKind::Request, &told(id, vec![request]));
        }
    }
    knowing.note_notice(SECOND, SuspectKind::Request, &told(900, vec![500]));

    for _ in 0..50 {
        let notice = knowing
            .next_repetition(SECOND, SuspectKind::Request)
            .expect("a repetition");
        other.note_notice(SECOND, SuspectKind::Request, &notice);
    }

    let known = (0..100).filter(|request| is_refused(&other, SECOND, *request));
    expect_that!(known.count(), eq(100));
    expect_that!(other.crashes_of(500), eq(0));
}

#[gtest]
fn request_that_was_served_is_not_refused_for_crashes_around_its_answer() {
    let mut tracker = CrashTracker::default();

    lose_in_crash(&mut tracker, SECOND, 1);
    lose_in_crash(&mut tracker, 2 * SECOND, 2);
    tracker.note_served(3 * SECOND, REQUEST);
    for endpoint in 3..6 {
        lose_in_crash(&mut tracker, 4 * SECOND, endpoint);
    }
    let around_answer = tracker.crashes_of(REQUEST);
    for endpoint in 6..9 {
        lose_in_crash(&mut tracker, 20 * SECOND, endpoint);
    }

    expect_that!(around_answer, eq(0));
    expect_that!(is_refused(&tracker, 20 * SECOND, REQUEST), eq(true));
}

#[gtest]
fn instance_that_served_a_request_objects_to_its_refusal_by_others() {
    let mut losers = [1, 2, 3].map(CrashTracker::new);
    let (mut server, mut bystander) = (CrashTracker::new(4), CrashTracker::new(5));
    server.note_served(SECOND, REQUEST);
    for (loser, endpoint) in losers.iter_mut().zip(1..) {
        lose_in_crash(loser, 2 * SECOND, endpoint);
    }

    let mut objections = Vec::new();
    for loser in &mut losers {
        let notice = loser
            .take_notice(2 * SECOND, SuspectKind::Request)
            .expect("a notice");
        bystander.note_notice(2 * SECOND, SuspectKind::Request, &notice);
        objections.extend(server.note_notice(2 * SECOND, SuspectKind::Request, &notice));
    }
    let before = is_refused(&bystander, 2 * SECOND, REQUEST);
    losers[0].note_notice(2 * SECOND, SuspectKind::Request, &objections[0]);
    notify(2 * SECOND, &mut losers[0], &mut bystander);

    expect_that!(objections.len(), eq(3));
    expect_that!(before, eq(true));
    expect_that!(bystander.crashes_of(REQUEST), eq(0));
}

#[gtest]
fn repetition_of_cleared_crashes_is_objected_to() {
    let mut stale = tracker_of_blocked_request(1);
    let mut server = CrashTracker::new(2);
    server.note_served(20 * SECOND, REQUEST);

    let repetition = stale
        .next_repetition(20 * SECOND, SuspectKind::Request)
        .expect("a repetition");
    let objection = server.note_notice(20 * SECOND, SuspectKind::Request, &repetition);
    let objection = objection.expect("an objection");
    let reply = stale.note_notice(20 * SECOND, SuspectKind::Request, &objection);

    expect_that!(stale.crashes_of(REQUEST), eq(0));
    expect_that!(
        stale.next_repetition(20 * SECOND, SuspectKind::Request),
        none()
    );
    expect_that!(reply, none());
}

#[gtest]
fn number_of_kept_served_requests_is_bounded() {
    let mut tracker = CrashTracker::default();

    for number in 0..20_000 {
        tracker.note_served(SECOND + number as u32 * MILLI, number);
    }
    let notice = told(1, (0..20_000).collect());
    let objections = tracker
        .note_notice(22 * SECOND, SuspectKind::Request, &notice)
        .expect("some");
    let counted = (0..20_000).filter(|one| tracker.crashes_of(*one) > 0);

    expect_that!(objections.served.len(), le(MAX_NOTICE_SERVED));
    expect_that!(counted.count(), gt(0));
}

/// Requests of one instance that are lost in the same crash.
fn lose_together(tracker: &mut CrashTracker, now: Duration, endpoint: u64, requests: &[u64]) {
    for request in requests {
        let run = LostRun {
            fingerprint: *request,
            ..run_at(endpoint, now - MILLI)
        };
        tracker.note_lost(now, run);
    }
    tracker.note_down(now + MILLI, endpoint);
}

// Issue 23: a popular request is lost in two crashes of the one that crashes endpoints, and in one
// of another cause.
#[gtest]
fn request_is_refused_for_crashes_of_another_that_is_to_blame() {
    const POPULAR: u64 = 8;
    let mut tracker = CrashTracker::default();

    lose_together(&mut tracker, SECOND, 1, &[REQUEST]);
    lose_together(&mut tracker, 2 * SECOND, 2, &[REQUEST, POPULAR]);
    lose_together(&mut tracker, 3 * SECOND, 3, &[REQUEST, POPULAR]);
    lose_together(&mut tracker, 4 * SECOND, 4, &[POPULAR]);

    expect_that!(is_refused(&tracker, 4 * SECOND, REQUEST), eq(true));
    expect_that!(is_refused(&tracker, 4 * SECOND, POPULAR), eq(false));
    expect_that!(tracker.crashes_of(POPULAR), eq(1));
}

// A harmless request had enough crashes first; the next crash shows which one causes them.
#[gtest]
fn request_that_crashes_endpoints_is_let_through_for_one_that_was_lost_beside_it() {
    const POPULAR: u64 = 8;
    let mut tracker = CrashTracker::default();

    lose_together(&mut tracker, SECOND, 1, &[POPULAR]);
    for endpoint in 2..=3 {
        lose_together(&mut tracker, 2 * SECOND, endpoint, &[REQUEST, POPULAR]);
    }
    for endpoint in 4..=5 {
        lose_together(&mut tracker, 3 * SECOND, endpoint, &[REQUEST]);
    }

    expect_that!(is_refused(&tracker, 3 * SECOND, REQUEST), eq(true));
    expect_that!(is_refused(&tracker, 3 * SECOND, POPULAR), eq(false));
}
