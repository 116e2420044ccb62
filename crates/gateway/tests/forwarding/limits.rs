//! Calls to endpoints that name limits, or ask for rest.

use googletest::prelude::*;

use crate::fixture::{
    CallerAnswer, ScriptedEndpoint, ScriptedReply, call, good_answer, not_run_answer, request,
};
use crate::{relay_before, run};

fn answer_with_limit(limit: &str) -> String {
    let head = format!("X-Server-Stamp: s1\r\nServer-Limit: {limit}");
    good_answer("limited").replace("X-Server-Stamp: s1", &head)
}

/// Answers to two calls, the first of which an endpoint with this limit serves, and the numbers of
/// runs at it and at another one, if there is one.
async fn two_calls(limit: &str, has_other: bool) -> ([CallerAnswer; 2], [usize; 2]) {
    let reply = ScriptedReply::Keep(answer_with_limit(limit));
    let limited = ScriptedEndpoint::start("e1", vec![reply]).await;
    let other = ScriptedEndpoint::start("e2", vec![]).await;
    let relay = match has_other {
        true => relay_before(&[&limited, &other]).await,
        false => relay_before(&[&limited]).await,
    };
    let first = call(relay.address, &request("/unsafe/x", "")).await;
    let second = call(relay.address, &request("/unsafe/x", "")).await;
    ([first, second], [limited.runs(), other.runs()])
}

#[gtest]
fn call_above_a_limit_is_sent_though_another_endpoint_has_room() {
    let ([first, second], runs) = run(two_calls("0.5", true));

    expect_that!((first.status(), second.status()), eq((200, 200)));
    expect_that!(runs, eq([1, 1]));
}

#[gtest]
fn call_above_the_limits_of_all_endpoints_is_not_refused_as_not_run() {
    let ([first, second], runs) = run(two_calls("0.5", false));

    expect_that!((first.status(), second.status()), eq((200, 503)));
    expect_that!(runs, eq([1, 0]));
    expect_that!(second.text.as_str(), contains_substring("not-run"));
    let head = second.text.to_ascii_lowercase();
    expect_that!(head, contains_substring("retry-after: 1."));
}

#[gtest]
fn unreadable_limit_is_obeyed() {
    let ([first, second], runs) = run(two_calls("-3", false));

    expect_that!((first.status(), second.status()), eq((200, 200)));
    expect_that!(runs, eq([2, 0]));
}

fn rest_answer(seconds: &str) -> String {
    let rest = format!("X-Not-Executed: 1\r\nRetry-After: {seconds}");
    not_run_answer().replace("X-Not-Executed: 1", &rest)
}

#[gtest]
fn endpoint_that_asked_for_rest_is_tried_by_the_next_call() {
    let (statuses, runs) = run(async {
        let rest = ScriptedReply::Keep(rest_answer("30"));
        let resting = ScriptedEndpoint::start("e1", vec![rest]).await;
        let other = ScriptedEndpoint::start("e2", vec![]).await;
        let relay = relay_before(&[&resting, &other]).await;
        let mut statuses = Vec::new();
        for _ in 0..3 {
            let answer = call(relay.address, &request("/unsafe/x", "")).await;
            statuses.push(answer.status());
        }
        (statuses, [resting.runs(), other.runs()])
    });

    expect_that!(statuses, eq(&vec![200, 200, 200]));
    expect_that!(runs, eq([1, 3]));
}

#[gtest]
fn call_is_sent_or_held_while_all_endpoints_rest() {
    let (first, second, runs) = run(async {
        let rest = ScriptedReply::Keep(rest_answer("1.2"));
        let resting = ScriptedEndpoint::start("e1", vec![rest]).await;
        let relay = relay_before(&[&resting]).await;
        let first = call(relay.address, &request("/unsafe/x", "")).await;
        let second = call(relay.address, &request("/unsafe/x", "")).await;
        (first, second, resting.runs())
    });

    expect_that!((first.status(), second.status()), eq((503, 503)));
    expect_that!(runs, eq(1));
    expect_that!(second.text.as_str(), contains_substring("not-run"));
    let head = second.text.to_ascii_lowercase();
    expect_that!(head, contains_substring("retry-after: 1."));
}
