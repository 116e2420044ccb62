//! A short soak test: real gateways violate no guarantee under a few seeded faults.
//!
//! It starts the programs in the build directory, so the workspace must be built first.

use std::time::Duration;

use googletest::prelude::*;
use soak::plan::{FaultKind, draw_plan};
use soak::run::{SoakSettings, run_seed};

/// Seeds of past failures, each with its cause. They are run permanently.
const REGRESSION_SEEDS: [u64; 0] = [];

fn short(seed: u64) -> SoakSettings {
    SoakSettings {
        seed,
        length: Duration::from_secs(6),
        callers: 6,
        ..SoakSettings::default()
    }
}

#[gtest]
fn guarantees_hold_under_seeded_faults() {
    for seed in [4].into_iter().chain(REGRESSION_SEEDS) {
        let folder = tempfile::tempdir().expect("a temporary directory can be created");

        let outcome =
            run_seed(&short(seed), folder.path()).expect("the fleet and the stand-ins start");

        expect_that!(outcome.violations, is_empty(), "seed {seed}");
        expect_that!(outcome.faults, not(is_empty()));
        expect_that!(outcome.counts.served, ge(1));
    }
}

#[gtest]
fn plan_is_deterministic_and_gateway_faults_do_not_overlap() {
    let length = Duration::from_secs(600);

    let plan = draw_plan(7, length);

    expect_that!(plan, eq(&draw_plan(7, length)));
    let mut free_at = Duration::ZERO;
    for fault in plan.iter().filter(|fault| fault.kind.is_gateway_fault()) {
        expect_that!(fault.at, ge(free_at));
        free_at = fault.at + fault.duration;
    }
    let kinds = plan
        .iter()
        .filter(|fault| matches!(fault.kind, FaultKind::DeleteData(_)));
    expect_that!(kinds.count(), ge(1));
}
