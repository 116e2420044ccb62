//! Tests of the export of cached prefixes when an endpoint leaves.

mod common;

use std::time::Instant;

use common::{SERVICE, choose, record, request, table_of, warm_at};
use googletest::prelude::*;
use route::export::ExportCandidate;
use wire::answer::EndpointLoad;
use wire::member::{EndpointState, MemberDigest};

fn candidate(prefix: u64, tokens: u32, bytes: u64, expected_uses: f64) -> ExportCandidate {
    ExportCandidate {
        prefix,
        affinity: prefix,
        shared: None,
        model: None,
        tokens,
        bytes,
        expected_uses,
    }
}

#[gtest]
fn most_valuable_prefixes_fill_the_budget() {
    let table = table_of(&[20; 9], Instant::now());
    let leaving = record(3).endpoint;
    let candidates = [
        candidate(1, 1000, 100, 0.1),
        candidate(2, 1000, 100, 2.0),
        candidate(3, 4000, 400, 1.0),
        candidate(4, 500, 50, 1.5),
    ];

    let plan = table.plan_export(SERVICE, leaving, &candidates, 200);

    let prefixes: Vec<u64> = plan.steps().map(|step| step.prefix).collect();
    expect_that!(prefixes, elements_are![eq(&2), eq(&4)]);
}

#[gtest]
fn prefix_is_exported_to_the_endpoint_that_its_chat_moves_to() {
    let now = Instant::now();
    let mut table = table_of(&[20; 9], now);
    let leaving = record(3).endpoint;
    let candidates: Vec<ExportCandidate> =
        (0..50).map(|chat| candidate(chat, 1000, 1, 1.0)).collect();
    let plan = table.plan_export(SERVICE, leaving, &candidates, 1000);
    let gone = MemberDigest {
        gone: vec![leaving],
        ..MemberDigest::default()
    };
    table.observe_digest(&gone, now);

    for step in plan.steps() {
        let decision = choose(&table, &request(step.prefix, &warm_at(3)), now);
        expect_that!(decision.endpoint, some(eq(step.target)));
    }
}

#[gtest]
fn no_step_is_returned_while_requests_are_queued() {
    let table = table_of(&[20; 9], Instant::now());
    let candidates = [candidate(1, 1000, 100, 1.0)];
    let mut plan = table.plan_export(SERVICE, record(3).endpoint, &candidates, 200);
    let load = |queued| EndpointLoad {
        running: 32,
        queued,
    };

    expect_that!(plan.next_step(load(1)), none());
    expect_that!(plan.next_step(load(0)).is_some(), eq(true));
    expect_that!(plan.next_step(load(0)), none());
}

#[gtest]
fn draining_endpoint_is_no_export_target() {
    let now = Instant::now();
    let mut table = table_of(&[20, 20], now);
    let draining = MemberDigest {
        loads: vec![common::sample(1, EndpointState::Draining, 0)],
        ..MemberDigest::default()
    };
    table.observe_digest(&draining, now);

    let candidates = [candidate(1, 1000, 100, 1.0)];
    let plan = table.plan_export(SERVICE, record(0).endpoint, &candidates, 200);

    expect_that!(plan.steps().count(), eq(0));
}
