//! Requests that crash endpoints, with real processes.

use fake::fleet::caller::HttpCall;
use fake::fleet::plan::{FleetPlan, OPERATOR_KEY};
use fake::fleet::{TestFleet, wait_for};
use googletest::prelude::*;

/// Tokens of a stream that is still running when the processes are killed.
const LONG_STREAM: u64 = 4000;
const PROMPT: &str = "the request";

/// Sends the request until it runs, then kills every engine together with its agent.
fn lose_run(fleet: &mut TestFleet) {
    wait_for("the request runs", || {
        let call = fleet.chat(0, PROMPT, LONG_STREAM).spawn();
        call.wait_first_chunk()
    });
    for engine in &mut fleet.engines {
        engine.agent.process.kill();
        engine.endpoint.restart();
        engine.agent.restart();
    }
}

fn quarantined_count(fleet: &TestFleet) -> usize {
    let list = HttpCall::get(fleet.controls[0].http, "/operator/quarantine").key(OPERATOR_KEY);
    let list = list.send().json();
    list["quarantined"].as_array().map_or(0, Vec::len)
}

#[gtest]
fn request_that_takes_agents_down_with_their_endpoints_is_never_quarantined() {
    let mut fleet = TestFleet::start(&FleetPlan::default());

    lose_run(&mut fleet);
    lose_run(&mut fleet);
    wait_for("the request is quarantined", || {
        quarantined_count(&fleet) == 1
    });
    let answer = fleet.chat(0, PROMPT, LONG_STREAM).send();

    expect_that!(answer.status, eq(422), "{}", fleet.logs());
    expect_that!(answer.outcome(), eq("not-run"));
}
