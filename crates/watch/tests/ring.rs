//! The decision ring: capacities, sampling, records that are never sampled out, following.

use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use watch::filter::RecordFilter;
use watch::ring::{DecisionRing, RingEvent, RingSettings};

use fixture::{answered, drain_notice, millis, redirected, refused};

mod fixture;

fn small_ring() -> DecisionRing {
    DecisionRing::new(RingSettings {
        ordinary_capacity: 8,
        notable_capacity: 4,
        full_rate: 3,
        sample_divisor: 4,
    })
}

#[gtest]
fn past_the_full_rate_only_sampled_requests_are_stored() {
    let mut ring = small_ring();

    let stored: Vec<bool> = (1..=8)
        .map(|request| ring.push(answered(request, millis(10))))
        .collect();

    expect_that!(
        stored,
        elements_are![
            eq(&true),
            eq(&true),
            eq(&true),
            eq(&true),
            eq(&false),
            eq(&false),
            eq(&false),
            eq(&true)
        ]
    );
    expect_that!(ring.sampled_out(), eq(3));
}

#[gtest]
fn the_full_rate_starts_again_each_second() {
    let mut ring = small_ring();
    for request in [1, 2, 3] {
        ring.push(answered(request, millis(999)));
    }

    let late = ring.push(answered(5, millis(999)));
    let next = ring.push(answered(5, millis(1000)));

    expect_that!((late, next), eq((false, true)));
}

#[gtest]
fn entry_and_agent_sample_the_same_requests() {
    let mut entry = small_ring();
    let mut agent = small_ring();
    for request in 1001..1004 {
        entry.push(answered(request, millis(10)));
        agent.push(answered(request + 500, millis(10)));
    }

    for request in 1..100 {
        let at_entry = entry.push(answered(request, millis(20)));
        let at_agent = agent.push(answered(request, millis(30)));

        expect_that!(at_entry, eq(at_agent), "request {request}");
    }
}

#[gtest]
fn refusals_are_stored_at_any_rate_and_survive_a_flood_of_successes() {
    let mut ring = small_ring();
    for request in 1..=3 {
        ring.push(answered(request, millis(10)));
    }
    let stored = ring.push(refused(77, millis(10)));

    for second in 1..100 {
        ring.push(answered(1000 + u128::from(second), millis(second * 1000)));
    }

    expect_that!(stored, eq(true));
    expect_that!(ring.find(77), len(eq(1)));
}

#[gtest]
fn a_flood_of_refusals_stays_bounded() {
    let mut ring = small_ring();

    for request in 1..=1000 {
        ring.push(refused(request, millis(10)));
    }

    ring.verify();
    expect_that!(ring.last_decisions(100), len(eq(4)));
}

#[gtest]
fn a_follower_sees_each_entry_once_and_in_order() {
    let mut ring = small_ring();
    ring.push(answered(1, millis(10)));
    ring.push(refused(2, millis(11)));
    ring.push_notice(drain_notice(millis(12)));
    ring.push(answered(3, millis(13)));

    let first = ring.follow(0, &RecordFilter::default(), 3);
    let second = ring.follow(first.next, &RecordFilter::default(), 3);
    let third = ring.follow(second.next, &RecordFilter::default(), 3);

    let sequences: Vec<u64> = first.entries.iter().map(|entry| entry.sequence).collect();
    expect_that!(sequences, eq(&vec![1, 2, 3]));
    expect_that!(second.entries, len(eq(1)));
    expect_that!(third.entries, is_empty());
    expect_that!(third.next, eq(4));
}

#[gtest]
fn filters_select_by_account_service_and_every_endpoint_tried() {
    let mut ring = small_ring();
    ring.push(redirected(1));
    ring.push(answered(2, millis(10)));
    ring.push_notice(drain_notice(millis(12)));
    let count = |filter: RecordFilter| ring.follow(0, &filter, 100).entries.len();

    let by_tried = count(RecordFilter {
        endpoint: Some("redaction-1".to_owned()),
        ..RecordFilter::default()
    });
    let by_subject = count(RecordFilter {
        endpoint: Some("redaction-2".to_owned()),
        ..RecordFilter::default()
    });
    let by_account = count(RecordFilter {
        account: Some("mairie".to_owned()),
        service: Some("redaction".to_owned()),
        ..RecordFilter::default()
    });
    let by_stranger = count(RecordFilter {
        account: Some("somebody".to_owned()),
        ..RecordFilter::default()
    });

    expect_that!(
        (by_tried, by_subject, by_account, by_stranger),
        eq((1, 1, 2, 0))
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Compares the ring with a model that keeps the last notable events.
    #[test]
    fn the_ring_holds_the_last_notable_events(steps in prop::collection::vec((0u8..3, 0u64..5), 0..60)) {
        let mut ring = small_ring();
        let mut oracle: VecDeque<u128> = VecDeque::new();
        let mut time = Duration::ZERO;
        for (index, (kind, wait)) in steps.into_iter().enumerate() {
            time += millis(wait * 200);
            let request = index as u128;
            match kind {
                0 => {
                    ring.push(answered(request, time));
                }
                1 => {
                    ring.push(refused(request, time));
                    oracle.push_back(request);
                }
                _ => ring.push_notice(drain_notice(time)),
            }
            if kind == 2 {
                oracle.push_back(u128::MAX);
            }
            while oracle.len() > 4 {
                oracle.pop_front();
            }
            ring.verify();
        }
        let batch = ring.follow(0, &RecordFilter::default(), 100);
        let notable: Vec<u128> = batch.entries.iter().filter_map(|entry| match &entry.event {
            RingEvent::Decision(record) => record.is_notable().then_some(record.request),
            RingEvent::Notice(_) => Some(u128::MAX),
        }).collect();
        prop_assert_eq!(notable, Vec::from(oracle));
    }
}
