//! What callers are told of the end of an answer. An answer whose end is not known must not look
//! complete, and a sound one must arrive whole, however its endpoint frames it.

use std::rc::Rc;

use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;

use crate::fixture::{
    CallerAnswer, LAST_CHUNK, ScriptedEndpoint, ScriptedReply, call, call_on, chunk, event,
    good_answer, not_run_answer, request, signed_answer, stream_head,
};
use crate::{next_crash_notice, one_call, relay_before, run, stream_of};

/// Seeds of the generated answers.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=240;
/// Head fields of every scripted answer.
const SIGNED: &str = "X-Attempt-Id: a1\r\nX-Server-Stamp: s1\r\n";

/// How an endpoint frames its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TestFraming {
    Length,
    Chunks,
    UntilClose,
    Identity,
    OldVersion,
}

impl TestFraming {
    const ALL: [Self; 5] = [
        Self::Length,
        Self::Chunks,
        Self::UntilClose,
        Self::Identity,
        Self::OldVersion,
    ];

    fn states_end(self) -> bool {
        matches!(self, Self::Length | Self::Chunks)
    }

    /// The answer with the first `sent` bytes of its body, with its stated end if it has one and
    /// all bytes are sent.
    fn encode(self, content_type: &str, body: &str, sent: usize) -> String {
        let is_all = sent == body.len();
        let part = &body[..sent];
        let (version, field) = match self {
            Self::Length => ("1.1", format!("Content-Length: {}\r\n", body.len())),
            Self::Chunks => ("1.1", "Transfer-Encoding: chunked\r\n".to_owned()),
            Self::UntilClose => ("1.1", String::new()),
            Self::Identity => ("1.1", "Transfer-Encoding: identity\r\n".to_owned()),
            Self::OldVersion => ("1.0", String::new()),
        };
        let bytes = match self {
            Self::Chunks if is_all => chunk(part) + LAST_CHUNK,
            Self::Chunks if part.is_empty() => String::new(),
            Self::Chunks => chunk(part),
            _ => part.to_owned(),
        };
        format!(
            "HTTP/{version} 200 OK\r\n{SIGNED}{field}Content-Type: {content_type}\r\n\r\n{bytes}"
        )
    }
}

/// A generated answer and the route that it is given on.
#[derive(Clone, Copy, Debug)]
struct AnswerCase {
    framing: TestFraming,
    is_stream: bool,
    /// Number of events, or of bytes of another answer.
    size: u32,
    /// Number of bytes of the body that are sent.
    sent: usize,
    /// Whether the connection is reset after these, not closed.
    is_reset: bool,
}

impl AnswerCase {
    fn generate(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let is_stream = random.random_bool(0.7);
        let size = random.random_range(1..=12);
        let case = Self {
            framing: TestFraming::ALL[random.random_range(0..TestFraming::ALL.len())],
            is_stream,
            size,
            sent: 0,
            is_reset: random.random_bool(0.3),
        };
        let length = case.body().len();
        let sent = match random.random_range(0..3) {
            0 => length,
            1 if is_stream => case.body_of(random.random_range(1..=size)).len(),
            _ => random.random_range(1..length),
        };
        Self { sent, ..case }
    }

    fn body(&self) -> String {
        self.body_of(self.size)
    }

    fn body_of(&self, size: u32) -> String {
        match self.is_stream {
            true => (1..=size).map(event).collect(),
            false => "b".repeat(size as usize + 1),
        }
    }

    fn content_type(&self) -> &'static str {
        match self.is_stream {
            true => "text/event-stream",
            false => "application/json",
        }
    }

    /// Whether all of the answer was sent, and nothing else can be made of its end.
    fn is_sound(&self) -> bool {
        self.sent == self.body().len() && (self.framing.states_end() || !self.is_reset)
    }

    /// Whether nobody can tell if the answer is sound.
    fn is_in_doubt(&self) -> bool {
        let is_inside_event = self.is_stream && !self.body()[..self.sent].ends_with("\n\n");
        !self.framing.states_end() && !self.is_reset && !is_inside_event
    }

    fn reply(&self) -> ScriptedReply {
        let bytes = self
            .framing
            .encode(self.content_type(), &self.body(), self.sent);
        match self.is_reset {
            true => ScriptedReply::Reset(bytes),
            false => ScriptedReply::Close(bytes),
        }
    }
}

fn body_of(answer: &CallerAnswer) -> &str {
    let end = answer.text.find("\r\n\r\n").map_or(0, |at| at + 4);
    &answer.text[end..]
}

// Issue 23, ORDER: the end of a connection was taken for the end of the answer.
#[gtest]
fn broken_off_answer_is_never_framed_as_complete() {
    for seed in SEEDS {
        let case = AnswerCase::generate(seed);
        let path = if case.is_stream {
            "/stream/x"
        } else {
            "/unsafe/x"
        };

        let (answer, _, second) = run(one_call(path, vec![case.reply()], vec![]));

        let received = answer.text.replace("\r\n", "\n");
        if case.is_sound() {
            expect_that!(answer.is_whole, eq(true), "seed {seed}: {case:?}");
        } else if !case.is_in_doubt() && answer.status() == 200 {
            expect_that!(answer.is_whole, eq(false), "seed {seed}: {case:?}");
        }
        if case.is_in_doubt() {
            expect_that!(answer.states_end, eq(false), "seed {seed}: {case:?}");
        }
        if case.is_sound() || case.is_in_doubt() {
            expect_that!(answer.status(), eq(200), "seed {seed}: {case:?}");
            let sent = &case.body()[..case.sent];
            let events: Vec<&str> = sent.matches("data: ").collect();
            match case.is_stream {
                true => expect_that!(answer.events().len(), eq(events.len()), "seed {seed}"),
                false => expect_that!(received.as_str(), ends_with(sent), "seed {seed}"),
            }
        }
        expect_that!(second, eq(0), "seed {seed}: {case:?}");
    }
}

// Issue 23, ORDER: what resumed a broken stream was joined to its incomplete last event.
#[gtest]
fn resumed_stream_is_whole_only_if_its_last_part_is() {
    let broken = event(1) + "id: 2\nda";
    let broken_parts = [
        TestFraming::Chunks,
        TestFraming::UntilClose,
        TestFraming::OldVersion,
    ]
    .map(|framing| framing.encode("text/event-stream", &broken, broken.len() - 1));
    let rest: String = (2..=3).map(event).collect();
    let whole = |framing: TestFraming| framing.encode("text/event-stream", &rest, rest.len());
    let lasts = [
        (whole(TestFraming::Chunks), true),
        (whole(TestFraming::UntilClose), true),
        (
            TestFraming::UntilClose.encode("text/event-stream", &rest, rest.len() - 3),
            false,
        ),
    ];
    for first in &broken_parts {
        for (last, is_sound) in &lasts {
            let replies = |bytes: &String| vec![ScriptedReply::Close(bytes.clone())];
            let (answer, _, _) = run(one_call("/resumable/x", replies(first), replies(last)));

            let is_in_doubt = *is_sound && !last.contains("chunked");
            let events = answer.events().join(" ");
            expect_that!(answer.is_whole && !is_sound, eq(false), "{first}{last}");
            expect_that!(
                is_in_doubt && answer.is_whole && answer.states_end,
                eq(false)
            );
            if *is_sound {
                expect_that!(events.as_str(), eq("d1 d2 d3"), "{first}{last}");
            }
            // A caller that was promised chunks can't be told that the end is in doubt.
            if *is_sound && !(is_in_doubt && first.contains("chunked")) {
                expect_that!(answer.is_whole, eq(true), "{first}{last}");
            }
        }
    }
}

#[gtest]
fn failure_of_the_endpoint_that_resumes_a_stream_is_not_sent_into_it() {
    let part = stream_head() + &stream_of(1..=2);
    for failure in [signed_answer(404, "unknown"), signed_answer(500, "failed")] {
        let first = vec![ScriptedReply::Close(part.clone())];
        let second = vec![ScriptedReply::Keep(failure.clone())];
        let (answer, _, _) = run(one_call("/resumable/x", first, second));

        expect_that!(answer.is_whole, eq(false), "{failure}");
        expect_that!(answer.events().join(" ").as_str(), eq("d1 d2"));
        expect_that!(answer.text.matches("HTTP/1.1").count(), eq(1), "{failure}");
    }
}

// An answer without length may have been ended by a crash, and its caller can't know.
#[gtest]
fn answer_whose_end_is_not_known_is_suspected_of_the_crash_of_its_endpoint() {
    let requests = run(async {
        let events: String = (1..=3).map(event).collect();
        let bytes = TestFraming::UntilClose.encode("text/event-stream", &events, events.len());
        let endpoint = ScriptedEndpoint::start("e1", vec![ScriptedReply::Close(bytes)]).await;
        let relay = relay_before(&[&endpoint]).await;
        call(relay.address, &request("/stream/x", "poison")).await;
        endpoint.crash().await;
        call(relay.address, &request("/unsafe/x", "another")).await;
        let notice = next_crash_notice(&relay.state).await;
        notice.crashes[0].requests.len()
    });

    expect_that!(requests, eq(1));
}

#[gtest]
fn stream_that_states_its_end_inside_an_event_is_broken_off() {
    let body = event(1) + "id: 2\ndata: d";
    for framing in [TestFraming::Length, TestFraming::Chunks] {
        let bytes = framing.encode("text/event-stream", &body, body.len());
        let reply = vec![ScriptedReply::Keep(bytes)];
        let (answer, first, second) = run(one_call("/stream/x", reply, vec![]));

        expect_that!(answer.is_whole, eq(false), "{framing:?}");
        expect_that!((first, second), eq((1, 0)), "{framing:?}");
    }
}

#[gtest]
fn stream_without_any_event_that_ends_with_its_connection_is_no_answer() {
    let empty = TestFraming::UntilClose.encode("text/event-stream", "", 0);
    let (answer, _, _) = run(one_call(
        "/stream/x",
        vec![ScriptedReply::Close(empty)],
        vec![],
    ));

    expect_that!(answer.status(), eq(502));
}

#[gtest]
fn answers_that_have_no_body_end_with_their_head() {
    let (texts, connections) = run(async {
        let bodiless = [
            format!("HTTP/1.1 200 OK\r\n{SIGNED}\r\n"),
            format!("HTTP/1.1 200 OK\r\n{SIGNED}Content-Length: 7\r\n\r\n"),
            format!("HTTP/1.1 204 No Content\r\n{SIGNED}\r\n"),
            format!("HTTP/1.1 304 Not Modified\r\n{SIGNED}Content-Length: 7\r\n\r\n"),
        ];
        let replies = bodiless.map(ScriptedReply::Keep).to_vec();
        let endpoint = ScriptedEndpoint::start("e1", replies).await;
        let relay = relay_before(&[&endpoint]).await;
        let head = request("/safe/x", "").replace("POST ", "HEAD ");
        let get = request("/safe/x", "").replace("POST ", "GET ");
        let mut stream = TcpStream::connect(relay.address)
            .await
            .expect("loopback works");
        let mut texts = Vec::new();
        for text in [&head, &head, &get, &get] {
            texts.push(call_on(&mut stream, text).await.text.to_ascii_lowercase());
        }
        let connections = *endpoint.connections.borrow();
        (texts, connections)
    });

    expect_that!(texts[0], starts_with("http/1.1 200"));
    expect_that!(texts[0], not(contains_substring("content-length: 0")));
    expect_that!(texts[1], contains_substring("content-length: 7"));
    expect_that!(texts[2], starts_with("http/1.1 204"));
    expect_that!(texts[3], starts_with("http/1.1 304"));
    expect_that!(texts[3], not(contains_substring("content-length: 0")));
    expect_that!(connections, eq(1));
}

#[gtest]
fn interim_answers_are_not_taken_for_the_answer() {
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".to_owned();
    let bytes = hints + "HTTP/1.1 102 Processing\r\n\r\n" + &good_answer("final");
    let reply = vec![ScriptedReply::Keep(bytes)];
    let (answer, _, _) = run(one_call("/unsafe/x", reply, vec![]));

    expect_that!(answer.status(), eq(200));
    expect_that!(body_of(&answer), eq("final"));
}

#[gtest]
fn caller_without_chunks_sees_that_a_stream_was_cut() {
    let old_request = request("/stream/x", "b").replace("HTTP/1.1", "HTTP/1.0");
    for (tail, is_sound) in [(LAST_CHUNK, true), ("", false)] {
        let bytes = stream_head() + &stream_of(1..=2) + tail;
        let answer = run(async {
            let reply = vec![ScriptedReply::Close(bytes.clone())];
            let endpoint: Rc<ScriptedEndpoint> = ScriptedEndpoint::start("e1", reply).await;
            let relay = relay_before(&[&endpoint]).await;
            call(relay.address, &old_request).await
        });

        expect_that!(answer.text, not(contains_substring("chunked")));
        expect_that!(answer.events().len(), eq(2));
        expect_that!(answer.is_whole, eq(is_sound), "tail {tail:?}");
    }
}

// What has been sent has no id after which another endpoint could go on.
#[gtest]
fn stream_without_event_ids_is_begun_again_inside_its_answer() {
    let unnumbered = |data: &str| chunk(&format!("data: {data}\n\n"));
    let begun = stream_head() + &unnumbered("d1") + &unnumbered("d2");
    let text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s1\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n";
    let no_events = text.to_owned() + &chunk("data: d1");
    for first in [begun, no_events] {
        let whole = first.clone() + LAST_CHUNK;
        let first = vec![ScriptedReply::Close(first)];
        let second = vec![ScriptedReply::Keep(whole)];
        let (answer, _, second_runs) = run(one_call("/resumable/x", first, second));

        expect_that!(answer.is_whole, eq(false), "{answer:?}");
        expect_that!(answer.text.matches("d1").count(), eq(1), "{answer:?}");
        expect_that!(second_runs, eq(0));
    }
}

// A second copy of an earlier answer, late, on a connection that is in use again.
#[gtest]
fn answer_without_an_id_on_a_reused_connection_is_taken_for_the_call() {
    let nameless = |answer: String| answer.replace("X-Attempt-Id: a1\r\n", "");
    for late in [not_run_answer(), nameless(good_answer("an earlier one"))] {
        let (first, second, other_runs) = run(async {
            let replies = [good_answer("first"), late.clone()].map(ScriptedReply::Keep);
            let endpoint = ScriptedEndpoint::start("e1", replies.to_vec()).await;
            let other = ScriptedEndpoint::start("e2", vec![]).await;
            let relay = relay_before(&[&endpoint, &other]).await;
            let first = call(relay.address, &request("/unsafe/x", "b")).await;
            let second = call(relay.address, &request("/unsafe/x", "c")).await;
            (first, second, other.runs())
        });

        expect_that!(first.text.as_str(), ends_with("first"));
        expect_that!(second.status(), eq(502), "{late}");
        expect_that!(other_runs, eq(0), "{late}");
    }
}

#[gtest]
fn connection_whose_answers_have_no_id_is_not_reused() {
    let (connections, whole) = run(async {
        let nameless = good_answer("b").replace("X-Attempt-Id: a1\r\n", "");
        let replies = vec![ScriptedReply::Keep(nameless); 3];
        let endpoint = ScriptedEndpoint::start("e1", replies).await;
        let relay = relay_before(&[&endpoint]).await;
        let mut whole = 0;
        for _ in 0..3 {
            let answer = call(relay.address, &request("/unsafe/x", "b")).await;
            whole += u32::from(answer.status() == 200 && answer.is_whole);
        }
        let connections = *endpoint.connections.borrow();
        (connections, whole)
    });

    expect_that!((connections, whole), eq((3, 3)));
}

// A byte now and then is no progress.
#[gtest]
fn stalled_stream_that_sends_a_byte_now_and_then_is_awaited_until_its_deadline() {
    let stalled = ScriptedReply::Dribble(stream_head() + &stream_of(1..=2));
    let rest = ScriptedReply::Keep(stream_head() + &stream_of(3..=4) + LAST_CHUNK);
    let (answer, _, second_runs) = run(one_call("/resumable/x", vec![stalled], vec![rest]));

    expect_that!(answer.is_whole, eq(true));
    expect_that!(answer.events().join(" ").as_str(), eq("d1 d2 d3 d4"));
    expect_that!(second_runs, eq(1));
}

// No other endpoint could go on with it.
#[gtest]
fn slow_stream_without_event_ids_is_cut() {
    let unnumbered = |data: &str| chunk(&format!("data: {data}\n\n"));
    let slow = ScriptedReply::Slow(
        stream_head() + &unnumbered("d1"),
        unnumbered("d2") + LAST_CHUNK,
    );
    let (answer, _, second_runs) = run(one_call("/resumable/x", vec![slow], vec![]));

    expect_that!(answer.is_whole, eq(true));
    expect_that!(answer.events().join(" ").as_str(), eq("d1 d2"));
    expect_that!(second_runs, eq(0));
}
