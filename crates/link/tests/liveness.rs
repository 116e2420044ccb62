//! When a connection is probed and when it is declared dead, with simulated time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use link::liveness::{LivenessAction, LivenessMonitor};
use wire::LinkMessage;
use wire::answer::{
    AnswerChunk, AnswerEnd, AttemptKey, CancelRequest, EndpointLoad, RefuseNotice, ResumeRequest,
};
use wire::command::{ControlCommand, ControlReply};
use wire::member::EntryHeartbeat;
use wire::message::{ControlDecision, ControlProposal};

const PROBE_AFTER: Duration = Duration::from_millis(1200);
const SILENCE_LIMIT: Duration = Duration::from_millis(2700);
const KEY: AttemptKey = AttemptKey {
    request: 7,
    attempt: 1,
};

fn resume() -> LinkMessage {
    LinkMessage::Resume(ResumeRequest {
        key: KEY,
        has_head: false,
        offset: 0,
    })
}

fn end() -> LinkMessage {
    LinkMessage::End(AnswerEnd {
        key: KEY,
        length: 0,
        checksum: 0,
        outcome: RunOutcome::Ran,
        load: EndpointLoad::default(),
    })
}

fn heartbeat() -> LinkMessage {
    LinkMessage::EntryHeartbeat(EntryHeartbeat {
        instance: 1,
        name: "rennes-1".to_owned(),
        domain_name: String::new(),
        incarnation: 1,
        settings: 1,
    })
}

fn monitor(start: Instant) -> LivenessMonitor {
    LivenessMonitor::new(start, PROBE_AFTER, SILENCE_LIMIT)
}

#[gtest]
fn an_idle_connection_is_never_probed() {
    let start = Instant::now();
    let mut monitor = monitor(start);

    let action = monitor.next_action(start + Duration::from_secs(24 * 60 * 60));

    expect_that!(action, eq(LivenessAction::Idle));
}

#[gtest]
fn sending_a_chunk_awaits_no_reply() {
    let start = Instant::now();
    let mut monitor = monitor(start);

    monitor.record_sent(
        start,
        &LinkMessage::Chunk(AnswerChunk {
            key: KEY,
            offset: 0,
            bytes: Bytes::from_static(b"kenavo"),
        }),
    );

    expect_that!(monitor.is_reply_pending(), eq(false));
}

#[gtest]
fn a_pending_answer_is_probed_once_and_times_out_within_three_seconds() {
    let start = Instant::now();
    let mut monitor = monitor(start);
    let sent_at = start + Duration::from_secs(100);

    let starts_wait = monitor.record_sent(sent_at, &resume());
    let first = monitor.next_action(sent_at);
    let probe = monitor.next_action(sent_at + PROBE_AFTER);
    let wait = monitor.next_action(sent_at + PROBE_AFTER);
    let last = monitor.next_action(sent_at + SILENCE_LIMIT);

    expect_that!(starts_wait, eq(true));
    expect_that!(first, eq(LivenessAction::WaitUntil(sent_at + PROBE_AFTER)));
    expect_that!(probe, eq(LivenessAction::Probe));
    expect_that!(wait, eq(LivenessAction::WaitUntil(sent_at + SILENCE_LIMIT)));
    expect_that!(last, eq(LivenessAction::TimedOut));
    expect_that!(SILENCE_LIMIT, lt(Duration::from_secs(3)));
}

#[gtest]
fn received_bytes_postpone_the_probe() {
    let start = Instant::now();
    let mut monitor = monitor(start);
    monitor.record_sent(start, &resume());
    let arrival = start + Duration::from_secs(1);

    monitor.record_bytes_received(arrival);

    expect_that!(
        monitor.next_action(start + PROBE_AFTER),
        eq(LivenessAction::WaitUntil(arrival + PROBE_AFTER))
    );
}

#[gtest]
fn a_receiver_scheduled_late_still_waits_for_the_reply_to_its_probe() {
    let start = Instant::now();
    let mut monitor = monitor(start);
    monitor.record_sent(start, &resume());
    let late = start + Duration::from_secs(60);

    let action = monitor.next_action(late);
    let next = monitor.next_action(late);

    expect_that!(action, eq(LivenessAction::Probe));
    expect_that!(
        next,
        eq(LivenessAction::WaitUntil(
            late + SILENCE_LIMIT - PROBE_AFTER
        ))
    );
}

#[gtest]
fn the_end_of_a_request_ends_the_wait() {
    let start = Instant::now();
    let refused = LinkMessage::Refused(RefuseNotice {
        key: KEY,
        fault: FaultKind::Overloaded.because("full"),
        load: EndpointLoad::default(),
    });
    let mut ended = monitor(start);
    let mut refusing = monitor(start);
    let mut cancelled = monitor(start);
    for monitor in [&mut ended, &mut refusing, &mut cancelled] {
        monitor.record_sent(start, &resume());
    }

    ended.record_received(&end());
    refusing.record_received(&refused);
    cancelled.record_sent(start, &LinkMessage::Cancel(CancelRequest { key: KEY }));

    expect_that!(ended.is_reply_pending(), eq(false));
    expect_that!(refusing.is_reply_pending(), eq(false));
    expect_that!(cancelled.is_reply_pending(), eq(false));
}

#[gtest]
fn a_decision_is_awaited_by_its_ticket() {
    let start = Instant::now();
    let mut monitor = monitor(start);
    let decided = |ticket| {
        LinkMessage::Decided(ControlDecision {
            ticket,
            reply: ControlReply::Recorded,
        })
    };
    monitor.record_sent(
        start,
        &LinkMessage::Propose(ControlProposal {
            ticket: 3,
            command: ControlCommand::TakeFence { endpoint: 1 },
        }),
    );

    monitor.record_received(&decided(2));
    let after_other = monitor.is_reply_pending();
    monitor.record_received(&decided(3));

    expect_that!(after_other, eq(true));
    expect_that!(monitor.is_reply_pending(), eq(false));
}

#[gtest]
fn a_missing_decision_is_not_awaited_forever() {
    let start = Instant::now();
    let mut monitor = monitor(start);
    monitor.record_sent(
        start,
        &LinkMessage::Propose(ControlProposal {
            ticket: 3,
            command: ControlCommand::TakeFence { endpoint: 1 },
        }),
    );

    let action = monitor.next_action(start + Duration::from_secs(10));

    expect_that!(action, eq(LivenessAction::Idle));
    expect_that!(monitor.is_reply_pending(), eq(false));
}

#[gtest]
fn any_arrival_answers_a_heartbeat() {
    let start = Instant::now();
    let mut monitor = monitor(start);
    monitor.record_sent(start, &heartbeat());
    let before = monitor.is_reply_pending();

    monitor.record_bytes_received(start + Duration::from_millis(10));

    expect_that!(before, eq(true));
    expect_that!(monitor.is_reply_pending(), eq(false));
}
