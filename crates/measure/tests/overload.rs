//! Results of calls while the offered load exceeds the capacity of the engines, by load pattern.

use googletest::prelude::*;
use measure::overload::load::{CALL_KINDS, LoadCall, LoadPattern, draw_base, draw_load};
use measure::overload::replay::{AdmissionPolicy, replay};
use measure::overload::size::FleetSize;
use measure::overload::tally::OverloadResult;
use measure::overload::{PatternResult, measure};

const SEEDS: std::ops::Range<u64> = 1..4;
/// A kind of call counts as starved if its served share is below this fraction of the served share
/// of all calls.
const STARVED_PART: f64 = 0.25;

fn each_run(check: impl Fn(LoadPattern, u64, &PatternResult)) {
    for pattern in LoadPattern::ALL {
        for seed in SEEDS {
            check(pattern, seed, &measure(pattern, FleetSize::SMALL, seed));
        }
    }
}

#[gtest]
fn admission_control_earns_at_least_the_worth_of_admitting_every_call() {
    each_run(|pattern, seed, result| {
        let (bounded, open) = (result.bounded.worth(), result.open.worth());

        expect_that!(bounded, ge(open), "{pattern}, seed {seed}");
        expect_that!(bounded, le(result.ideal), "{pattern}, seed {seed}");
    });
}

#[gtest]
fn nothing_is_refused_while_most_slots_are_free() {
    each_run(|pattern, seed, result| {
        let refused = result.bounded.refused_half_free;

        expect_that!(refused, eq(0), "{pattern}, seed {seed}");
    });
}

#[gtest]
fn no_kind_starves() {
    each_run(|pattern, seed, result| {
        let least = result.bounded.served() * STARVED_PART;
        for (kind, tally) in CALL_KINDS.iter().zip(&result.bounded.kinds) {
            let served = tally.served();

            expect_that!(served, ge(least), "{}, {pattern}, seed {seed}", kind.name);
        }
    });
}

#[gtest]
fn more_urgent_kinds_are_served_at_least_as_often() {
    /// Largest accepted lead of a less urgent kind in its served share.
    const ALLOWED: f64 = 0.05;
    each_run(|pattern, seed, result| {
        for pair in result.bounded.kinds.windows(2) {
            let (urgent, less) = (pair[0].served(), pair[1].served());

            expect_that!(urgent, ge(less - ALLOWED), "{pattern}, seed {seed}");
        }
    });
}

// Without the speeds that engines state, calls wait at engines whose machines are slow just then.
#[gtest]
fn stated_speeds_earn_worth_while_engines_differ() {
    let patterns = [LoadPattern::EnginesFlap, LoadPattern::EnginesUneven];
    let worth = |policy| {
        let seeds = patterns.into_iter().flat_map(|pattern| {
            (1..9).map(move |seed| {
                let calls = draw_load(pattern, FleetSize::SMALL, seed);
                replay(pattern, policy, FleetSize::SMALL, &calls, seed).worth()
            })
        });
        seeds.sum::<f64>() / 16.0
    };

    let with_speeds = worth(AdmissionPolicy::Bounded);

    expect_that!(
        with_speeds,
        gt(worth(AdmissionPolicy::SpeedIgnored) + 0.003)
    );
}

/// Calls a check with results of a surge in some fleets: with shares of accounts, without shares, and
/// without the surge.
fn each_surge(check: impl Fn(&str, &[u64], [&OverloadResult; 3])) {
    let runs = [
        (FleetSize::SMALL, 1),
        (FleetSize::SMALL, 2),
        (FleetSize::MIDDLE, 1),
    ];
    for pattern in [LoadPattern::SurgeOne, LoadPattern::SurgeThree] {
        for (size, seed) in runs {
            let calls = draw_load(pattern, size, seed);
            let base = draw_base(pattern, size, seed);
            let run = |policy, calls: &[LoadCall]| replay(pattern, policy, size, calls, seed);

            let shared = run(AdmissionPolicy::AccountsShared, &calls);
            let unshared = run(AdmissionPolicy::Bounded, &calls);
            let calm = run(AdmissionPolicy::AccountsShared, &base);

            let case = format!("{pattern}, {size}, seed {seed}");
            check(&case, pattern.surging(), [&shared, &unshared, &calm]);
        }
    }
}

// Without shares over all gateways, a surge takes what other accounts have otherwise, as no gateway
// alone sees which account it is.
#[gtest]
fn other_accounts_keep_more_of_their_worth_with_shares() {
    each_surge(|case, surging, [shared, unshared, calm]| {
        let kept = shared.kept(calm, surging).0;
        let share = shared.share_ratio(surging);

        expect_that!(kept, gt(unshared.kept(calm, surging).0), "{case}");
        expect_that!(kept, ge(0.92), "{case}");
        expect_that!(share, ge(0.95), "{case}");
        expect_that!(share, lt(unshared.share_ratio(surging)), "{case}");
    });
}

// The target of the requirements.
#[gtest]
#[ignore = "known to fail, see KNOWN-RED.txt"]
fn surge_gets_its_fair_share_and_other_accounts_what_they_have_without_it() {
    each_surge(|case, surging, [shared, _, calm]| {
        let kept = shared.kept(calm, surging).0;
        let share = shared.share_ratio(surging);

        expect_that!(kept, ge(0.95), "{case}");
        expect_that!(share, all![ge(0.95), le(1.05)], "{case}");
    });
}
