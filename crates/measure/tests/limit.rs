//! Endpoints that name limits, ask for rest or leave, before a fleet of gateways. Each test is named after the failure that
//! it guards against.

use std::sync::LazyLock;

use googletest::prelude::*;
use measure::limit::replay::{ReplaySettings, StatementPattern, replay};
use measure::limit::{LimitResult, MIN_USED};

const SEEDS: std::ops::Range<u64> = 1..4;

/// The replays of all tests, which run once.
static REPLAYS: LazyLock<Vec<(ReplaySettings, LimitResult)>> = LazyLock::new(replay_all);

fn replay_all() -> Vec<(ReplaySettings, LimitResult)> {
    let mut replays = Vec::new();
    for instances in [3, 30] {
        for pattern in StatementPattern::ALL {
            for seed in SEEDS {
                let settings = ReplaySettings {
                    seed,
                    ..ReplaySettings::new(instances, pattern)
                };
                replays.push((settings, replay(settings)));
            }
        }
    }
    replays
}

fn each_replay(check: impl Fn(LimitResult, ReplaySettings)) {
    for (settings, result) in REPLAYS.iter() {
        check(*result, *settings);
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

// Issue 29, BUDGET.
#[gtest]
fn endpoint_gets_calls_in_the_rest_that_it_asked_for() {
    each_replay(|result, settings| {
        expect_that!(result.rest_breaches, eq(0), "{settings:?}: {result:?}");
    });
}

// Issue 29, DRAIN.
#[gtest]
fn endpoint_that_says_it_leaves_gets_new_calls() {
    each_replay(|result, settings| {
        expect_that!(result.leave_breaches, eq(0), "{settings:?}: {result:?}");
    });
}
