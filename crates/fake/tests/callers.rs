//! Answers to invalid, slow and abandoned calls, with real processes.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

use fake::fleet::caller::{CallerAnswer, HttpCall};
use fake::fleet::plan::{ACCOUNT_KEY, FleetPlan, MODEL};
use fake::fleet::{TestFleet, wait_for};
use googletest::prelude::*;
use serde_json::json;

const CHAT: &str = "/v1/chat/completions";

/// Parts of a refusal that callers depend on.
#[derive(Debug, PartialEq, Eq)]
struct RefusalFacts {
    status: u16,
    kind: String,
    outcome: String,
    has_request_id: bool,
}

fn refusal(status: u16, kind: &str) -> RefusalFacts {
    RefusalFacts {
        status,
        kind: kind.to_owned(),
        outcome: "not-run".to_owned(),
        has_request_id: true,
    }
}

fn facts_of(answer: &CallerAnswer) -> RefusalFacts {
    let error = &answer.json()["error"];
    RefusalFacts {
        status: answer.status,
        kind: error["kind"].as_str().unwrap_or_default().to_owned(),
        outcome: answer.outcome().to_owned(),
        has_request_id: answer.header("x-request-id")
            == error["request"].as_str().unwrap_or("none"),
    }
}

fn chat_call(fleet: &TestFleet, model: &str) -> HttpCall {
    let body = json!({"model": model, "messages": [{"role": "user", "content": "Bonjour"}]});
    HttpCall::post(fleet.entries[0].http, CHAT, &body)
}

#[gtest]
fn faulty_calls_are_refused_as_not_run_with_their_reason() {
    let fleet = TestFleet::start(&FleetPlan::default());
    let known = || chat_call(&fleet, MODEL).key(ACCOUNT_KEY);
    let service = |name: &str| {
        HttpCall::get(fleet.entries[0].http, &format!("/service/{name}/list")).key(ACCOUNT_KEY)
    };
    let oversized = vec![b' '; 5 * 1024 * 1024];
    let long_key = "k".repeat(200);

    let cases = [
        (chat_call(&fleet, MODEL), refusal(401, "missing-key")),
        (
            chat_call(&fleet, MODEL).key("nobody"),
            refusal(401, "unknown-key"),
        ),
        (
            chat_call(&fleet, "no-model").key(ACCOUNT_KEY),
            refusal(404, "unknown-model"),
        ),
        (
            known().body("{\"model\": "),
            refusal(400, "malformed-request"),
        ),
        (
            known().body("{\"model\": \"x\", \"messages\": []}"),
            refusal(400, "malformed-request"),
        ),
        (known().body(oversized), refusal(413, "oversized-body")),
        (
            known().header("x-class", "royal"),
            refusal(400, "malformed-request"),
        ),
        (
            known().header("x-deadline-ms", "soon"),
            refusal(400, "malformed-request"),
        ),
        (
            known().header("idempotency-key", &long_key),
            refusal(400, "malformed-request"),
        ),
        (service("no-service"), refusal(404, "unknown-service")),
        (service("redaction"), refusal(404, "unknown-service")),
    ];
    for (call, expected) in cases {
        let answer = call.send();

        expect_that!(facts_of(&answer), eq(&expected), "{}", answer.text());
    }
    expect_that!(
        fleet.engine_count(0, "runs") + fleet.engine_count(1, "runs"),
        le(1)
    );
}

#[gtest]
fn a_caller_that_leaves_midway_is_cancelled_at_the_engine() {
    let fleet = TestFleet::start(&FleetPlan {
        engines: 1,
        token_ms: 20,
        ..FleetPlan::default()
    });
    let cancelled = fleet.engine_count(0, "cancels");
    let body = json!({"model": MODEL, "stream": true, "max_tokens": 100_000,
        "messages": [{"role": "user", "content": "Bonjour"}]});
    let body = body.to_string();
    let mut caller = TcpStream::connect(fleet.entries[0].http).expect("the entry listens");
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    caller
        .write_all(request.as_bytes())
        .expect("the entry reads");
    let mut first = [0; 1];
    caller.read_exact(&mut first).expect("the answer begins");

    caller
        .shutdown(Shutdown::Both)
        .expect("the connection is open");

    wait_for("the cancel at the engine", || {
        fleet.engine_count(0, "cancels") > cancelled
    });
    wait_for("the end of the run", || {
        fleet.engine_count(0, "running") == 0
    });
}

#[gtest]
fn a_body_that_comes_too_slowly_is_refused_as_not_run() {
    let fleet = TestFleet::start(&FleetPlan {
        engines: 1,
        ..FleetPlan::default()
    });
    let mut caller = TcpStream::connect(fleet.entries[0].http).expect("the entry listens");
    let request = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
         content-length: 1000\r\n\r\n{{\"model\""
    );
    caller
        .write_all(request.as_bytes())
        .expect("the entry reads");

    let mut answer = [0; 4096];
    let length = caller.read(&mut answer).expect("the entry answers");

    let text = String::from_utf8_lossy(&answer[..length]);
    expect_that!(text.as_ref(), starts_with("HTTP/1.1 408"));
    expect_that!(
        text.to_lowercase(),
        contains_substring("x-outcome: not-run")
    );
}

#[gtest]
fn a_plain_service_gets_method_path_and_body_untouched() {
    let fleet = TestFleet::start(&FleetPlan {
        engines: 1,
        ..FleetPlan::default()
    });
    let path = "/service/guichet/parishes/12?year=2026&name=l%27%C3%AEle";
    let bytes: Vec<u8> = (0..=255).collect();
    let call = HttpCall::post(fleet.entries[0].http, path, &json!(null)).key(ACCOUNT_KEY);

    let answer = call.body(bytes.clone()).send();

    expect_that!(answer.status, eq(200));
    expect_that!(answer.header("x-method"), eq("POST"));
    expect_that!(
        answer.header("x-path"),
        eq("/parishes/12?year=2026&name=l%27%C3%AEle")
    );
    expect_that!(answer.body, eq(&bytes));
}
