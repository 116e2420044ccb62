//! Snapshots of sequences of calls across the claim, attempt, answer and suspect state machines.

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

/// Log of a session, the content of its snapshot.
#[derive(Default)]
struct SessionLog {
    lines: Vec<String>,
}

impl SessionLog {
    /// Adds a line with the acting party, its action and the result.
    fn record<T: Debug>(&mut self, party: &str, act: &str, verdict: T) {
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

/// Returns the replay buffer of an answer that consists of `parts`, and the frames sent for it when
/// each part is sent before the next one is added.
fn answer_of(key: AttemptKey, parts: &[&'static str]) -> (ReplayBuffer, Vec<LinkMessage>) {
    let mut replay_buffer = ReplayBuffer::new(key, 1024);
    replay_buffer.set_head(head(key));
    let mut sent = frames(&mut replay_buffer);
    for part in parts {
        replay_buffer.push(Bytes::from_static(part.as_bytes()));
        sent.extend(frames(&mut replay_buffer));
    }
    replay_buffer.finish(RunOutcome::Ran);
    sent.extend(frames(&mut replay_buffer));
    (replay_buffer, sent)
}

fn frames(replay_buffer: &mut ReplayBuffer) -> Vec<LinkMessage> {
    std::iter::from_fn(|| replay_buffer.next_message(EndpointLoad::default())).collect()
}

fn feed(log: &mut SessionLog, reader: &str, assembly: &mut AnswerAssembly, frame: LinkMessage) {
    match frame {
        LinkMessage::Head(head) => {
            let act = format!("head of request {}", head.key.request);
            log.record(reader, &act, assembly.accept_head(head));
        }
        LinkMessage::Chunk(chunk) => {
            let act = format!("chunk of request {} at {}", chunk.key.request, chunk.offset);
            log.record(reader, &act, assembly.accept_chunk(chunk));
        }
        LinkMessage::End(end) => {
            let act = format!("end of request {} at {}", end.key.request, end.length);
            log.record(reader, &act, assembly.accept_end(&end));
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

    log.record(
        "control",
        "entry 1 claims for request 1",
        control.claim(START, &order(1, 5)),
    );
    log.record("agent", "submit 1", agent.submit(now, key(1, 1), false));
    log.record("agent", "start 1", agent.start(key(1, 1)));
    log.record(
        "control",
        "entry 2 claims for request 2",
        control.claim(START, &order(2, 5)),
    );
    log.record(
        "control",
        "another body, request 3",
        control.claim(START, &order(3, 6)),
    );
    log.record(
        "agent",
        "late duplicate of submit 1",
        agent.submit(now, key(1, 1), false),
    );
    agent.end(now, key(1, 1), RunOutcome::Ran);
    let end = control.finish(START, &claim, key(1, 1), RunOutcome::Ran, Some(answer));
    log.record("control", "agent reports the end of 1", end);
    log.record(
        "control",
        "entry 2 claims for request 4",
        control.claim(START, &order(4, 5)),
    );
    let lost = control.finish(START, &claim, key(1, 1), RunOutcome::Unknown, None);
    log.record("control", "entry 1 reports 1 as unknown", lost);
    log.record(
        "control",
        "entry 1 claims for request 5",
        control.claim(START, &order(5, 5)),
    );
    let expired = control.claim(START + MINUTE * 60, &order(6, 5));
    log.record("control", "an hour later, request 6", expired);

    insta::assert_snapshot!(log.text());
}

#[gtest]
fn mixed_frames_reach_only_the_answer_they_belong_to() {
    let mut log = SessionLog::default();
    let mut secretary = AnswerAssembly::new(key(1, 1));
    let mut dispatcher = AnswerAssembly::new(key(2, 1));
    let (_, first) = answer_of(key(1, 1), &["Mass ", "at ten"]);
    let (_, second) = answer_of(key(2, 1), &["Lat ", "47.6"]);

    // Both assemblies get every frame, as if the connection had mixed up the answers.
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
    log.record("control", "endpoint 1 crashed with both", report);
    let again = control.report_crash(START, 1, 1, &[poison, innocent]);
    log.record("control", "the report is resent", again);
    gates[1].set_suspects(&control.suspects());
    log.record("agent 2", "poison arrives again", gates[1].check(poison));
    let permit = control.try_suspect(START, poison, 2, key(3, 1));
    log.record("control", "agent 2 asks for the permit", permit);
    gates[1].permit(key(3, 1), poison);
    log.record(
        "agent 2",
        "may start it alone",
        gates[1].may_start(key(3, 1), poison),
    );
    gates[1].started(key(3, 1), poison);
    let third = control.try_suspect(START, poison, 3, key(4, 1));
    log.record("control", "agent 3 asks for the permit, too", third);
    gates[1].crashed(&[poison]);
    let second = control.report_crash(START, 2, 1, &[poison]);
    log.record("control", "endpoint 2 crashed", second);
    log.record("control", "quarantined", control.quarantined());
    gates[1].set_quarantined(&control.quarantined());
    log.record(
        "agent 2",
        "poison arrives a third time",
        gates[1].check(poison),
    );
    log.record(
        "control",
        "the innocent one completes",
        control.clear(START, innocent),
    );
    log.record("control", "suspects", control.suspects());
    log.record("control", "an operator lifts", control.lift(START, poison));
    log.record("control", "quarantined", control.quarantined());

    insta::assert_snapshot!(log.text());
}

#[gtest]
fn an_agent_drains() {
    let now = Instant::now();
    let mut log = SessionLog::default();
    let mut agent = AttemptTable::new(1, AttemptLimits::default());
    let mut entry = CallLedger::new(2, false);
    let mut next = AttemptTable::new(1, AttemptLimits::default());

    log.record("agent 1", "submit 1", agent.submit(now, key(1, 1), true));
    log.record("agent 1", "start 1", agent.start(key(1, 1)));
    log.record("entry", "opens 2", entry.open());
    log.record("agent 1", "submit 2", agent.submit(now, key(2, 1), false));
    let refused = agent.refuse_queued(now, FaultKind::Draining);
    log.record("agent 1", "drains, refuses what waits", refused);
    entry.close(key(2, 1), RunOutcome::NotRun);
    log.record("entry", "may tell of 2", entry.outcome());
    log.record("agent 1", "late start of 2", agent.start(key(2, 1)));
    log.record("entry", "opens 2 elsewhere", entry.open());
    log.record("agent 2", "submit 2", next.submit(now, key(2, 2), false));
    log.record("agent 2", "start 2", next.start(key(2, 2)));
    agent.end(now, key(1, 1), RunOutcome::Ran);
    log.record("agent 1", "1 ended whole", agent.get(key(1, 1)));

    insta::assert_snapshot!(log.text());
}

#[gtest]
fn a_link_falls_silent() {
    let now = Instant::now();
    let mut log = SessionLog::default();
    let (mut replay_buffer, sent) = answer_of(key(1, 1), &["Lanndreger, ", "Gwened, ", "Naoned"]);
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
    log.record("agent", "start", is_started);

    // The third frame and all later ones are lost.
    for frame in sent.into_iter().take(2) {
        feed(&mut log, "entry", &mut assembly, frame);
    }
    let resume = assembly.resume_request();
    monitor.record_sent(now, &LinkMessage::Resume(resume));
    for (text, millis) in [("after 1.2 s", 1200), ("after 2.7 s", 2700)] {
        let action = monitor.next_action(now + Duration::from_millis(millis));
        log.record("entry", text, action);
    }
    log.record(
        "agent",
        "resume on a new link",
        agent.resume(now, key(1, 1)),
    );
    log.record(
        "agent",
        "continues at the offset",
        replay_buffer.resume(&resume),
    );
    for frame in frames(&mut replay_buffer) {
        feed(&mut log, "entry", &mut assembly, frame);
    }
    log.record(
        "agent",
        "duplicate of the submit",
        agent.submit(now, key(1, 1), false),
    );

    insta::assert_snapshot!(log.text());
}
