//! Endpoints whose bytes do not end. The relay stops to read them at its bounds, long before the
//! deadline of the call, and closes the connection.

use googletest::prelude::*;

use crate::fixture::{CallerAnswer, ScriptedEndpoint, ScriptedReply, call, event, request};
use crate::{relay_before, run};

/// More bytes than the relay may take of one answer, buffers of both sockets included.
const MAX_TAKEN_BYTES: usize = 48 * 1024 * 1024;
const SIGNED: &str = "X-Attempt-Id: a1\r\nX-Server-Stamp: s1\r\n";
const EVENTS: &str = "Content-Type: text/event-stream\r\n";

/// Calls an endpoint that sends `first`, then `rest` without end. Returns the answer and the number
/// of bytes that the endpoint could send before its connection was closed.
async fn call_endless(path: &str, first: &str, rest: &str) -> (CallerAnswer, usize) {
    let reply = ScriptedReply::Endless(first.to_owned(), rest.to_owned());
    let endpoint = ScriptedEndpoint::start("e1", vec![reply]).await;
    let relay = relay_before(&[&endpoint]).await;
    let answer = call(relay.address, &request(path, "b")).await;
    endpoint.left.notified().await;
    let sent = *endpoint.endless_bytes.borrow();
    (answer, sent)
}

fn head(fields: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{SIGNED}{fields}\r\n")
}

// Issue 23: bytes that are no answer may come without end.
#[gtest]
fn endless_head_or_body_is_not_read_until_the_deadline() {
    let chunked = head("Transfer-Encoding: chunked\r\n");
    let cases = [
        (
            "/unsafe/x",
            "HTTP/1.1 200 OK\r\nX-Long: ".to_owned(),
            "long".to_owned(),
        ),
        (
            "/unsafe/x",
            String::new(),
            "HTTP/1.1 103 Early Hints\r\n\r\n".to_owned(),
        ),
        ("/unsafe/x", String::new(), "no answer".to_owned()),
        ("/unsafe/x", head(""), "no answer".to_owned()),
        (
            "/unsafe/x",
            chunked.clone() + "5;ext=",
            "extension".to_owned(),
        ),
        (
            "/unsafe/x",
            chunked.clone(),
            "a\r\nten bytes.\r\n".to_owned(),
        ),
        ("/stream/x", head(EVENTS), "no event".to_owned()),
        ("/stream/x", chunked + "5;ext=", "extension".to_owned()),
    ];
    for (path, first, rest) in cases {
        let (answer, sent) = run(call_endless(path, &first, &rest));

        let text = format!("{path} {first}{rest}");
        expect_that!(answer.status(), eq(502), "{text}");
        expect_that!(sent, le(MAX_TAKEN_BYTES), "{text}");
    }
}

#[gtest]
fn endless_stream_is_cut() {
    let (answer, sent) = run(call_endless("/stream/x", &head(EVENTS), &event(1)));

    expect_that!(answer.status(), eq(200));
    expect_that!(answer.is_whole, eq(false));
    expect_that!(sent, le(MAX_TAKEN_BYTES));
}

#[gtest]
fn endless_body_of_a_refusal_does_not_hold_the_call_up() {
    let refusal = "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n\r\n";
    let (answer, sent) = run(call_endless("/unsafe/x", refusal, "no answer"));

    expect_that!(answer.status(), eq(503));
    expect_that!(sent, le(MAX_TAKEN_BYTES));
}
