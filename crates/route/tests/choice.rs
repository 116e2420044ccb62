//! Tests of endpoint selection.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::{SEED, choose, record, request, sample, table_of, warm_at};
use fault::FaultKind;
use googletest::prelude::*;
use rand_pcg::Pcg64Mcg;
use route::{ChoiceReason, Exclusion, RouteRequest, RouteSettings, RouteTable, WarmHint};
use wire::answer::EndpointLoad;
use wire::member::{EndpointRecord, EndpointState, MemberDigest, WarmDigest};

#[gtest]
fn preference_ignores_list_order_and_moves_few_chats() {
    let now = Instant::now();
    let table = table_of(&[20; 9], now);
    let smaller = table_of(&[20; 8], now);
    let hint = WarmHint::default();
    let mut reversed = RouteTable::new(RouteSettings::default());
    for number in (0..9).rev() {
        let digest = MemberDigest {
            records: vec![record(number)],
            loads: vec![sample(number, EndpointState::Serving, 20)],
            ..MemberDigest::default()
        };
        reversed.observe_digest(&digest, now);
    }

    let later = now + RouteSettings::default().join_delay;
    let mut moved = 0;
    for chat in 0..900 {
        let endpoint = choose(&table, &request(chat, &hint), later).endpoint;
        let in_smaller = choose(&smaller, &request(chat, &hint), later).endpoint;
        let in_reversed = choose(&reversed, &request(chat, &hint), later).endpoint;
        expect_that!(in_reversed, eq(endpoint));
        if in_smaller != endpoint {
            expect_that!(endpoint, some(eq(record(8).endpoint)));
            moved += 1;
        }
    }

    expect_that!(moved, all!(gt(60), lt(140)));
}

#[gtest]
fn chats_are_distributed_by_weight() {
    let now = Instant::now();
    let mut table = table_of(&[0; 4], now);
    let heavy = EndpointRecord {
        weight: 3,
        ..record(0)
    };
    table.observe_digest(
        &MemberDigest {
            records: vec![heavy],
            ..MemberDigest::default()
        },
        now,
    );
    let hint = WarmHint::default();

    let mut counts = BTreeMap::new();
    for chat in 0..1200 {
        let endpoint = choose(&table, &request(chat, &hint), now).endpoint;
        *counts.entry(endpoint).or_insert(0) += 1;
    }

    expect_that!(counts[&Some(record(0).endpoint)], all!(gt(520), lt(680)));
}

#[gtest]
fn warm_location_is_chosen_until_it_exceeds_the_load_target() {
    let now = Instant::now();
    let hint = warm_at(2);

    let mut loads = [20; 9];
    loads[2] = 21;
    let below = choose(&table_of(&loads, now), &request(1, &hint), now);
    loads[2] = 24;
    let above = choose(&table_of(&loads, now), &request(1, &hint), now);

    expect_that!(below.reason, eq(ChoiceReason::Warm));
    expect_that!(below.endpoint, some(eq(record(2).endpoint)));
    expect_that!(above.reason, eq(ChoiceReason::Room));
    expect_that!(above.candidates[0].exclusion, some(eq(Exclusion::Loaded)));
}

#[gtest]
fn location_of_an_earlier_cache_epoch_is_cold() {
    let now = Instant::now();
    let mut table = table_of(&[20; 9], now);
    let restarted = EndpointRecord {
        incarnation: 2,
        cache_epoch: 2,
        ..record(2)
    };
    table.observe_digest(
        &MemberDigest {
            records: vec![restarted],
            ..MemberDigest::default()
        },
        now,
    );

    let decision = choose(&table, &request(1, &warm_at(2)), now);

    expect_that!(decision.candidates[0].exclusion, some(eq(Exclusion::Cold)));
}

#[gtest]
fn leaving_down_and_tried_endpoints_are_not_chosen() {
    let now = Instant::now();
    let mut table = table_of(&[20; 4], now);
    table.observe_digest(
        &MemberDigest {
            loads: vec![sample(1, EndpointState::Down, 0)],
            ..MemberDigest::default()
        },
        now,
    );
    let load = EndpointLoad::default();
    table.observe_refusal(record(2).endpoint, FaultKind::Draining, load, now);
    let hint = warm_at(2);
    let tried = [record(3).endpoint];

    for chat in 0..100 {
        let request = RouteRequest {
            tried: &tried,
            ..request(chat, &hint)
        };
        let decision = choose(&table, &request, now);
        expect_that!(decision.endpoint, some(eq(record(0).endpoint)));
    }
}

#[gtest]
fn late_digest_does_not_end_the_exclusion_of_a_leaving_endpoint() {
    let now = Instant::now();
    let mut table = table_of(&[20, 20], now);
    let endpoint = record(1).endpoint;
    table.observe_refusal(endpoint, FaultKind::Draining, EndpointLoad::default(), now);
    let late = MemberDigest {
        loads: vec![sample(1, EndpointState::Serving, 0)],
        ..MemberDigest::default()
    };
    table.observe_digest(&late, now + Duration::from_secs(1));

    let decision = choose(
        &table,
        &request(1, &warm_at(1)),
        now + Duration::from_secs(2),
    );

    expect_that!(decision.endpoint, some(eq(record(0).endpoint)));
}

#[gtest]
fn joining_endpoint_is_excluded_until_it_admits() {
    let now = Instant::now();
    let mut table = table_of(&[20, 20], now);
    let digest = MemberDigest {
        records: vec![record(2)],
        loads: vec![sample(2, EndpointState::Serving, 0)],
        ..MemberDigest::default()
    };
    table.observe_digest(&digest, now);
    let hint = warm_at(2);

    let early = choose(&table, &request(1, &hint), now);
    let later = now + RouteSettings::default().join_delay;
    let late = choose(&table, &request(1, &hint), later);

    expect_that!(early.candidates[0].exclusion, some(eq(Exclusion::Joining)));
    expect_that!(early.endpoint, not(some(eq(record(2).endpoint))));
    expect_that!(late.endpoint, some(eq(record(2).endpoint)));
}

#[gtest]
fn tried_endpoint_is_chosen_when_no_other_is_eligible() {
    let now = Instant::now();
    let table = table_of(&[20, 22], now);
    let hint = WarmHint::default();
    let tried = [record(0).endpoint, record(1).endpoint];
    let request = RouteRequest {
        tried: &tried,
        ..request(1, &hint)
    };

    let decision = choose(&table, &request, now);

    expect_that!(decision.endpoint, some(eq(record(0).endpoint)));
    expect_that!(decision.reason, eq(ChoiceReason::LeastLoaded));
}

#[gtest]
fn overflow_spreads_over_endpoints_with_headroom() {
    let now = Instant::now();
    let table = table_of(&[40, 10, 10, 10, 10], now);
    let hint = warm_at(0);
    let mut rng = Pcg64Mcg::new(SEED);

    let mut counts = BTreeMap::new();
    for chat in 0..400 {
        let decision = table.choose(&request(chat, &hint), now, &mut rng);
        *counts.entry(decision.endpoint).or_insert(0) += 1;
    }

    expect_that!(counts.len(), eq(4));
    expect_that!(counts.values().all(|count| *count > 50), eq(true));
}

#[gtest]
fn new_chat_is_sent_to_a_holder_of_its_longest_prefix() {
    let now = Instant::now();
    let mut table = table_of(&[20; 9], now);
    table.observe_warm(&WarmDigest {
        endpoint: record(4).endpoint,
        cache_epoch: 1,
        prefixes: vec![11, 12],
    });
    let hint = warm_at(7);
    let prefixes = [10, 11, 12, 13];
    table.observe_digest(
        &MemberDigest {
            loads: vec![sample(7, EndpointState::Down, 0)],
            ..MemberDigest::default()
        },
        now,
    );

    let request = RouteRequest {
        prefixes: &prefixes,
        ..request(3, &hint)
    };
    let decision = choose(&table, &request, now);

    expect_that!(decision.reason, eq(ChoiceReason::SharedPrefix));
    expect_that!(decision.endpoint, some(eq(record(4).endpoint)));
}

#[gtest]
fn new_chats_of_one_prompt_share_few_endpoints_of_a_large_service() {
    let now = Instant::now();
    let table = table_of(&[20; 200], now);
    let hint = WarmHint::default();
    let mut rng = Pcg64Mcg::new(SEED);

    let mut counts = BTreeMap::new();
    for chat in 0..400 {
        let request = RouteRequest {
            prefixes: &[99],
            ..request(chat, &hint)
        };
        let decision = table.choose(&request, now, &mut rng);
        *counts.entry(decision.endpoint).or_insert(0) += 1;
    }

    expect_that!(counts.len(), eq(8));
    expect_that!(counts.values().all(|count| *count > 20), eq(true));
}

#[gtest]
fn model_is_served_only_where_it_is_placed() {
    let now = Instant::now();
    let mut table = table_of(&[20; 9], now);
    table.place_model(77, vec![record(6).endpoint]);
    let hint = warm_at(1);

    let request = RouteRequest {
        model: Some(77),
        ..request(3, &hint)
    };
    let decision = choose(&table, &request, now);

    expect_that!(decision.endpoint, some(eq(record(6).endpoint)));
}
