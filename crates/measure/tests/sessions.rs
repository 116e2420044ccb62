//! Golden files of whole sessions, driven by plain calls.

use std::fmt::Debug;
use std::time::{Duration, Instant};

use bytes::Bytes;
use claim::{
    AnswerAssembly, AttemptLimits, AttemptTable, CallLedger, ClaimTable, ReplayBuffer, SuspectGate,
    SuspectTable,
};
use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;
use link::liveness::LivenessMonitor;
use wire::LinkMessage;
use wire::answer::{AnswerHead, AttemptKey, EndpointLoad};
use wire::command::{ClaimKey, ClaimRequest, RecordedAnswer};

const START: Duration = Duration::from_secs(1_000);
const MINUTE: Duration = Duration::from_secs(60);

/// The lines of a session.
#[derive(Default)]
struct SessionLog {
    lines: Vec<String>,
}

impl SessionLog {
    /// Writes what a party did and what came of it.
    fn note<T: Debug>(&mut self, party: &str, act: &str, verdict: T) {
        self.lines
            .push(format!("{party:<10} {act:<44} {verdict:?}"));
    }

    fn text(&self) -> String {
        self.lines.join("\n")
    }
}

fn key(request: u128, attempt: u32) -> AttemptKey {
    AttemptKey { request, attempt }
}

fn order(request: u128, fingerprint: u64) -> ClaimRequest {
    ClaimRequest {
        claim: ClaimKey {
            account: 1,
            key: "postage-17".to_owned(),
        },
        fingerprint,
        attempt: key(request, 1),
        endpoint: 3,
        retention: MINUTE * 60,
    }
}

fn head(key: AttemptKey) -> AnswerHead {
    AnswerHead {
        key,
        status: 200,
        headers: Vec::new(),
        cached_tokens: 0,
        queue_wait: Duration::ZERO,
    }
}

/// The tail of an answer, and its frames for a reader that keeps up.
fn answer_of(key: AttemptKey, parts: &[&'static str]) -> (ReplayBuffer, Vec<LinkMessage>) {
    let mut tail = ReplayBuffer::new(key, 1024);
    tail.set_head(head(key));
    let mut sent = frames(&mut tail);
    for part in parts {
        tail.push(Bytes::from_static(part.as_bytes()));
        sent.extend(frames(&mut tail));
    }
    tail.finish(RunOutcome::Ran);
    sent.extend(frames(&mut tail));
    (tail, sent)
}

fn frames(tail: &mut ReplayBuffer) -> Vec<LinkMessage> {
    std::iter::from_fn(|| tail.next_message(EndpointLoad::default())).collect()
}

fn feed(log: &mut SessionLog, reader: &str, assembly: &mut AnswerAssembly, frame: LinkMessage) {
    match frame {
        LinkMessage::Head(head) => {
            let act = format!("head of request {}", head.key.request);
            log.note(reader, &act, assembly.accept_head(head));
        }
        LinkMessage::Chunk(chunk) => {
            let act = format!("chunk of request {} at {}", chunk.key.request, chunk.offset);
            log.note(reader, &act, assembly.accept_chunk(chunk));
        }
        LinkMessage::End(end) => {
            let act = format!("end of request {} at {}", end.key.request, end.length);
            log.note(reader, &act, assembly.accept_end(&end));
        }
        _ => {}
    }
}

#[gtest]
fn a_postage_order_is_resent() {
    let now = Instant::now();
    let mut log = SessionLog::default();
    let mut control = ClaimTable::default();
    let mut agent = AttemptTable::new(1, AttemptLimits::default());
    let claim = order(1, 5).claim;
    let answer = RecordedAnswer {
        status: 201,
        headers: Vec::new(),
        body: Some(Bytes::from_static(b"two stamps")),
    };

    log.note(
        "control",
        "entry 1 claims for request 1",
        control.claim(START, &order(1, 5)),
    );
    log.note("agent", "submit 1", agent.submit(now, key(1, 1), false));
    log.note("agent", "start 1", agent.start(key(1, 1)));
    log.note(
        "control",
        "entry 2 claims for request 2",
        control.claim(START, &order(2, 5)),
    );
    log.note(
        "control",
        "another body, request 3",
        control.claim(START, &order(3, 6)),
    );
    log.note(
        "agent",
        "late duplicate of submit 1",
        agent.submit(now, key(1, 1), false),
    );
    agent.end(now, key(1, 1), RunOutcome::Ran);
    let end = control.finish(START, &claim, key(1, 1), RunOutcome::Ran, Some(answer));
    log.note("control", "agent reports the end of 1", end);
    log.note(
        "control",
        "entry 2 claims for request 4",
        control.claim(START, &order(4, 5)),
    );
    let lost = control.finish(START, &claim, key(1, 1), RunOutcome::Unknown, None);
    log.note("control", "entry 1 reports 1 as unknown", lost);
    log.note(
        "control",
        "entry 1 claims for request 5",
        control.claim(START, &order(5, 5)),
    );
    let expired = control.claim(START + MINUTE * 60, &order(6, 5));
    log.note("control", "an hour later, request 6", expired);

    insta::assert_snapshot!(log.text());
}

#[gtest]
fn a_dispatcher_and_a_secretary_cross() {
    let mut log = SessionLog::default();
    let mut secretary = AnswerAssembly::new(key(1, 1));
    let mut dispatcher = AnswerAssembly::new(key(2, 1));
    let (_, first) = answer_of(key(1, 1), &["Mass ", "at ten"]);
    let (_, second) = answer_of(key(2, 1), &["Lat ", "47.6"]);

    // Every frame reaches both, in turn, as if the connection had mixed them up.
    for (left, right) in first.into_iter().zip(second) {
        for frame in [right, left] {
            feed(&mut log, "secretary", &mut secretary, frame.clone());
            feed(&mut log, "dispatcher", &mut dispatcher, frame);
        }
    }

    insta::assert_snapshot!(log.text());
}

#[gtest]
fn a_poison_request_is_sent_again() {
    let (poison, innocent) = (66, 5);
    let mut log = SessionLog::default();
    let mut control = SuspectTable::default();
    let mut gates = [SuspectGate::default(), SuspectGate::default()];

    gates[0].started(key(1, 1), poison);
    gates[0].started(key(2, 1), innocent);
    gates[0].crashed(&[poison, innocent]);
    let report = control.report_crash(START, 1, 1, &[poison, innocent]);
    log.note("control", "endpoint 1 crashed with both", report);
    let again = control.report_crash(START, 1, 1, &[poison, innocent]);
    log.note("control", "the report is resent", again);
    gates[1].set_suspects(&control.suspects());
    log.note("agent 2", "poison arrives again", gates[1].check(poison));
    let permit = control.try_suspect(START, poison, 2, key(3, 1));
    log.note("control", "agent 2 asks for the permit", permit);
    gates[1].permit(key(3, 1), poison);
    log.note(
        "agent 2",
        "may start it alone",
        gates[1].may_start(key(3, 1), poison),
    );
    gates[1].started(key(3, 1), poison);
    let third = control.try_suspect(START, poison, 3, key(4, 1));
    log.note("control", "agent 3 asks for the permit, too", third);
    gates[1].crashed(&[poison]);
    let second = control.report_crash(START, 2, 1, &[poison]);
    log.note("control", "endpoint 2 crashed", second);
    log.note("control", "quarantined", control.quarantined());
    gates[1].set_quarantined(&control.quarantined());
    log.note(
        "agent 2",
        "poison arrives a third time",
        gates[1].check(poison),
    );
    log.note(
        "control",
        "the innocent one completes",
        control.clear(START, innocent),
    );
    log.note("control", "suspects", control.suspects());
    log.note("control", "an operator lifts", control.lift(START, poison));
    log.note("control", "quarantined", control.quarantined());

    insta::assert_snapshot!(log.text());
}

#[gtest]
fn an_agent_drains() {
    let now = Instant::now();
    let mut log = SessionLog::default();
    let mut agent = AttemptTable::new(1, AttemptLimits::default());
    let mut entry = CallLedger::new(2, false);
    let mut next = AttemptTable::new(1, AttemptLimits::default());

    log.note("agent 1", "submit 1", agent.submit(now, key(1, 1), true));
    log.note("agent 1", "start 1", agent.start(key(1, 1)));
    log.note("entry", "opens 2", entry.open());
    log.note("agent 1", "submit 2", agent.submit(now, key(2, 1), false));
    let refused = agent.refuse_queued(now, FaultKind::Draining);
    log.note("agent 1", "drains, refuses what waits", refused);
    entry.close(key(2, 1), RunOutcome::NotRun);
    log.note("entry", "may tell of 2", entry.outcome());
    log.note("agent 1", "late start of 2", agent.start(key(2, 1)));
    log.note("entry", "opens 2 elsewhere", entry.open());
    log.note("agent 2", "submit 2", next.submit(now, key(2, 2), false));
    log.note("agent 2", "start 2", next.start(key(2, 2)));
    agent.end(now, key(1, 1), RunOutcome::Ran);
    log.note("agent 1", "1 ended whole", agent.get(key(1, 1)));

    insta::assert_snapshot!(log.text());
}

#[gtest]
fn a_link_falls_silent() {
    let now = Instant::now();
    let mut log = SessionLog::default();
    let (mut tail, sent) = answer_of(key(1, 1), &["Lanndreger, ", "Gwened, ", "Naoned"]);
    let mut assembly = AnswerAssembly::new(key(1, 1));
    let mut agent = AttemptTable::new(1, AttemptLimits::default());
    agent.submit(now, key(1, 1), false);
    let is_started = agent.start(key(1, 1));
    agent.end(now, key(1, 1), RunOutcome::Ran);
    let mut monitor = LivenessMonitor::new(
        now,
        Duration::from_millis(1200),
        Duration::from_millis(2700),
    );
    log.note("agent", "start", is_started);

    // The third frame and all after it get lost.
    for frame in sent.into_iter().take(2) {
        feed(&mut log, "entry", &mut assembly, frame);
    }
    let resume = assembly.resume_request();
    monitor.record_sent(now, &LinkMessage::Resume(resume));
    for (text, millis) in [("after 1.2 s", 1200), ("after 2.7 s", 2700)] {
        let action = monitor.next_action(now + Duration::from_millis(millis));
        log.note("entry", text, action);
    }
    log.note(
        "agent",
        "resume on a new link",
        agent.resume(now, key(1, 1)),
    );
    log.note("agent", "continues at the offset", tail.resume(&resume));
    for frame in frames(&mut tail) {
        feed(&mut log, "entry", &mut assembly, frame);
    }
    log.note(
        "agent",
        "duplicate of the submit",
        agent.submit(now, key(1, 1), false),
    );

    insta::assert_snapshot!(log.text());
}
