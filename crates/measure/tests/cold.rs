//! Failure domains of endpoints that come back cold into a burst, before a fleet of gateways. Each test
//! is named after the failure that it guards against.

use std::sync::LazyLock;

use googletest::prelude::*;
use measure::limit::cold::ColdLoad;
use measure::limit::{LimitResult, replay_cold};

const SEED: u64 = 1;
const QUIET_SEEDS: std::ops::Range<u64> = 1..4;
const SIZES: [usize; 3] = [7, 30, 105];

/// The replays under a steady load, which run once for all tests.
static STEADY: LazyLock<Vec<LimitResult>> = LazyLock::new(steady_replays);

fn steady_replays() -> Vec<LimitResult> {
    let sizes = SIZES.into_iter();
    let results = sizes.map(|size| replay_cold(size, ColdLoad::Steady, SEED, true));
    results.collect()
}

#[gtest]
fn cold_endpoint_gets_more_calls_in_a_second_than_it_bears() {
    let results = STEADY.iter();

    expect_that!(
        results.map(|result| result.breaches).collect::<Vec<_>>(),
        each(eq(&0))
    );
}

#[gtest]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn cold_endpoint_of_a_quiet_service_gets_more_calls_in_a_second_than_it_bears() {
    let results = QUIET_SEEDS.map(|seed| replay_cold(30, ColdLoad::Quiet, seed, true));

    let breaches = results.map(|result| result.breaches);
    expect_that!(breaches.collect::<Vec<_>>(), each(eq(&0)));
}

#[gtest]
fn replay_finds_no_breach_where_gateways_ignore_cold_endpoints() {
    let result = replay_cold(30, ColdLoad::Steady, SEED, false);

    expect_that!(result.breaches, gt(0));
}

#[gtest]
fn first_start_is_slowed() {
    let refused = STEADY.iter().map(|result| result.refused_first);

    expect_that!(refused.collect::<Vec<_>>(), each(eq(&0)));
}

#[gtest]
fn endpoint_is_starved_after_its_cold_time() {
    let shares = STEADY.iter().map(|result| result.after_cold);

    expect_that!(shares.collect::<Vec<_>>(), each(ge(&0.7)));
}
