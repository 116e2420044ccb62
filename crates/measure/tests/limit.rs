//! Endpoints that name limits, before a fleet of gateways. Each test is named after the failure that
//! it guards against.

use googletest::prelude::*;
use measure::limit::replay::{LimitScope, ReplaySettings, replay};
use measure::limit::{LimitResult, MIN_USED};

const SEEDS: std::ops::Range<u64> = 1..4;

fn each_replay(check: impl Fn(LimitResult, ReplaySettings)) {
    for instances in [3, 30] {
        for scope in LimitScope::ALL {
            for seed in SEEDS {
                let settings = ReplaySettings {
                    seed,
                    ..ReplaySettings::new(instances, scope)
                };
                check(replay(settings), settings);
            }
        }
    }
}

// Issue 29, LIMIT.
#[gtest]
fn endpoint_gets_more_calls_than_the_limit_that_it_named() {
    each_replay(|result, settings| {
        expect_that!(result.breaches, eq(0), "{settings:?}: {result:?}");
    });
}

#[gtest]
fn limit_of_an_endpoint_starves_it() {
    each_replay(|result, settings| {
        expect_that!(result.used, ge(MIN_USED), "{settings:?}: {result:?}");
    });
}

#[gtest]
fn call_is_refused_for_a_limit_while_an_endpoint_has_room() {
    each_replay(|result, settings| {
        expect_that!(result.refused_with_room, eq(0), "{settings:?}: {result:?}");
    });
}
