//! Retries of a request that crashes endpoints, before a fleet of gateways. Each test is named after
//! the failure that it guards against.

use googletest::prelude::*;
use measure::poison::pattern::CrashPattern;
use measure::poison::replay::replay;
use measure::poison::{MAX_LATE_RETRIES, PoisonResult};

const SEEDS: std::ops::Range<u64> = 1..4;

fn each_seed(pattern: CrashPattern, check: impl Fn(PoisonResult, u64)) {
    for seed in SEEDS {
        check(replay(pattern, seed), seed);
    }
}

fn expect_few_retries(pattern: CrashPattern) {
    each_seed(pattern, |result, seed| {
        expect_that!(result.crashes, ge(3), "{pattern}, seed {seed}");
        expect_that!(
            result.late_retries,
            le(MAX_LATE_RETRIES),
            "{pattern}, seed {seed}"
        );
    });
}

#[gtest]
fn retries_pile_up_when_endpoints_return_under_another_name() {
    expect_few_retries(CrashPattern::NewName);
}

#[gtest]
fn retries_pile_up_when_endpoints_return_under_their_name() {
    expect_few_retries(CrashPattern::SameName);
}

#[gtest]
fn retries_pile_up_when_endpoints_are_replaced_at_their_address() {
    expect_few_retries(CrashPattern::Replaced);
}

#[gtest]
fn retries_pile_up_when_endpoints_fall_silent() {
    expect_few_retries(CrashPattern::Silent);
}

#[gtest]
fn retries_pile_up_when_callers_leave_before_the_crash() {
    expect_few_retries(CrashPattern::CallerLeaves);
}

#[gtest]
fn retries_pile_up_beside_crashes_of_other_causes() {
    expect_few_retries(CrashPattern::CrashStorm);
}

#[gtest]
fn retries_pile_up_after_gateways_restart() {
    expect_few_retries(CrashPattern::GatewayRestarts);
}

#[gtest]
fn retries_pile_up_after_gateways_were_cut_off() {
    expect_few_retries(CrashPattern::GatewayCuts);
}

#[gtest]
fn retries_pile_up_while_answers_are_lost() {
    expect_few_retries(CrashPattern::LostAnswers);
}

#[gtest]
fn harmless_requests_are_refused_as_suspected() {
    for pattern in CrashPattern::ALL {
        each_seed(pattern, |result, seed| {
            expect_that!(result.refused, eq(0), "{pattern}, seed {seed}");
        });
    }
}
