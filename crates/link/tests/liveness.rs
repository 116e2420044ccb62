//! When a connection is probed and when it is declared dead, with simulated time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use link::liveness::{DueStep, DueWatch};
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

fn watch(start: Instant) -> DueWatch {
    DueWatch::new(start, PROBE_AFTER, SILENCE_LIMIT)
}

#[gtest]
fn an_idle_connection_is_never_probed() {
    let start = Instant::now();
    let mut watch = watch(start);

    let step = watch.step(start + Duration::from_secs(24 * 60 * 60));

    expect_that!(step, eq(DueStep::Rest));
}

#[gtest]
fn a_chunk_sent_awaits_nothing() {
    let start = Instant::now();
    let mut watch = watch(start);

    watch.sent(
        start,
        &LinkMessage::Chunk(AnswerChunk {
            key: KEY,
            offset: 0,
            bytes: Bytes::from_static(b"kenavo"),
        }),
    );

    expect_that!(watch.is_due(), eq(false));
}

#[gtest]
fn an_awaited_answer_is_probed_once_and_then_found_silent_within_three_seconds() {
    let start = Instant::now();
    let mut watch = watch(start);
    let begun = start + Duration::from_secs(100);

    let begins = watch.sent(begun, &resume());
    let first = watch.step(begun);
    let probe = watch.step(begun + PROBE_AFTER);
    let wait = watch.step(begun + PROBE_AFTER);
    let last = watch.step(begun + SILENCE_LIMIT);

    expect_that!(begins, eq(true));
    expect_that!(first, eq(DueStep::WaitUntil(begun + PROBE_AFTER)));
    expect_that!(probe, eq(DueStep::Probe));
    expect_that!(wait, eq(DueStep::WaitUntil(begun + SILENCE_LIMIT)));
    expect_that!(last, eq(DueStep::Silent));
    expect_that!(SILENCE_LIMIT, lt(Duration::from_secs(3)));
}

#[gtest]
fn arrivals_put_the_probe_off() {
    let start = Instant::now();
    let mut watch = watch(start);
    watch.sent(start, &resume());
    let heard = start + Duration::from_secs(1);

    watch.heard(heard);

    expect_that!(
        watch.step(start + PROBE_AFTER),
        eq(DueStep::WaitUntil(heard + PROBE_AFTER))
    );
}

#[gtest]
fn a_receiver_that_looks_late_still_waits_for_the_reply_to_its_probe() {
    let start = Instant::now();
    let mut watch = watch(start);
    watch.sent(start, &resume());
    let late = start + Duration::from_secs(60);

    let step = watch.step(late);
    let next = watch.step(late);

    expect_that!(step, eq(DueStep::Probe));
    expect_that!(
        next,
        eq(DueStep::WaitUntil(late + SILENCE_LIMIT - PROBE_AFTER))
    );
}

#[gtest]
fn what_ends_a_request_ends_the_wait() {
    let start = Instant::now();
    let refused = LinkMessage::Refused(RefuseNotice {
        key: KEY,
        fault: FaultKind::Overloaded.because("full"),
        load: EndpointLoad::default(),
    });
    let mut ended = watch(start);
    let mut refusing = watch(start);
    let mut cancelled = watch(start);
    for watch in [&mut ended, &mut refusing, &mut cancelled] {
        watch.sent(start, &resume());
    }

    ended.received(&end());
    refusing.received(&refused);
    cancelled.sent(start, &LinkMessage::Cancel(CancelRequest { key: KEY }));

    expect_that!(ended.is_due(), eq(false));
    expect_that!(refusing.is_due(), eq(false));
    expect_that!(cancelled.is_due(), eq(false));
}

#[gtest]
fn a_decision_is_awaited_by_its_ticket() {
    let start = Instant::now();
    let mut watch = watch(start);
    let decided = |ticket| {
        LinkMessage::Decided(ControlDecision {
            ticket,
            reply: ControlReply::Recorded,
        })
    };
    watch.sent(
        start,
        &LinkMessage::Propose(ControlProposal {
            ticket: 3,
            command: ControlCommand::TakeFence { endpoint: 1 },
        }),
    );

    watch.received(&decided(2));
    let after_other = watch.is_due();
    watch.received(&decided(3));

    expect_that!(after_other, eq(true));
    expect_that!(watch.is_due(), eq(false));
}

#[gtest]
fn a_decision_that_never_comes_is_not_awaited_for_good() {
    let start = Instant::now();
    let mut watch = watch(start);
    watch.sent(
        start,
        &LinkMessage::Propose(ControlProposal {
            ticket: 3,
            command: ControlCommand::TakeFence { endpoint: 1 },
        }),
    );

    let step = watch.step(start + Duration::from_secs(10));

    expect_that!(step, eq(DueStep::Rest));
    expect_that!(watch.is_due(), eq(false));
}

#[gtest]
fn any_arrival_answers_a_heartbeat() {
    let start = Instant::now();
    let mut watch = watch(start);
    watch.sent(start, &heartbeat());
    let before = watch.is_due();

    watch.heard(start + Duration::from_millis(10));

    expect_that!(before, eq(true));
    expect_that!(watch.is_due(), eq(false));
}
