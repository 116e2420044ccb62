//! Failure domains of endpoints that come back cold into a burst, before a fleet of gateways. Each test
//! is named after the failure that it guards against.

use googletest::prelude::*;
use measure::limit::cold::ColdLoad;
use measure::limit::{LimitResult, replay_cold};

const SEEDS: std::ops::Range<u64> = 1..3;
const SIZES: [usize; 3] = [7, 30, 105];

fn replays(cold_load: ColdLoad, knows_cold: bool) -> Vec<LimitResult> {
    let runs = SIZES
        .into_iter()
        .flat_map(|size| SEEDS.map(move |seed| (size, seed)));
    runs.map(|(size, seed)| replay_cold(size, cold_load, seed, knows_cold))
        .collect()
}

#[gtest]
fn cold_endpoint_gets_more_calls_in_a_second_than_it_bears() {
    let results = replays(ColdLoad::Steady, true);

    expect_that!(results, each(field!(LimitResult.breaches, eq(&0))));
}

#[gtest]
fn cold_endpoint_of_a_quiet_service_gets_more_calls_in_a_second_than_it_bears() {
    let results = replays(ColdLoad::Quiet, true);

    expect_that!(results, each(field!(LimitResult.breaches, eq(&0))));
}

#[gtest]
fn replay_finds_no_breach_where_gateways_ignore_cold_endpoints() {
    let results = replays(ColdLoad::Steady, false);

    expect_that!(results, each(field!(LimitResult.breaches, gt(&0))));
}

#[gtest]
fn first_start_or_end_of_the_cold_time_is_slowed() {
    let results = replays(ColdLoad::Steady, true);

    expect_that!(results, each(field!(LimitResult.refused_first, eq(&0))));
    expect_that!(results, each(field!(LimitResult.after_cold, ge(&0.7))));
}
