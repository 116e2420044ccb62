//! Tests of the retry budget and back-off.

use std::time::Duration;

use googletest::prelude::*;
use rand_pcg::Pcg64Mcg;
use route::{RetryBudget, RetrySettings};

#[gtest]
fn retries_stay_a_share_of_first_attempts() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings.clone());

    let mut retries = 0.0;
    for _ in 0..1000 {
        budget.record_first_attempt();
        // Every attempt fails and is retried while the budget lasts, as after the loss of a
        // failure domain.
        while budget.try_retry() {
            retries += 1.0;
        }
    }

    expect_that!(retries, le(settings.burst + 1000.0 * settings.ratio));
}

#[gtest]
fn redirects_have_a_budget_of_their_own() {
    let settings = RetrySettings::default();
    let mut budget = RetryBudget::new(settings.clone());
    while budget.try_retry() {}

    let mut redirects = 0.0;
    for _ in 0..1000 {
        budget.record_first_attempt();
        while budget.try_redirect() {
            redirects += 1.0;
        }
    }

    let burst = settings.burst * settings.redirect_ratio / settings.ratio;
    expect_that!(redirects, ge(1000.0 * settings.redirect_ratio));
    expect_that!(redirects, le(burst + 1000.0 * settings.redirect_ratio));
}

#[gtest]
fn backoff_doubles_up_to_its_limit_and_is_jittered() {
    let budget = RetryBudget::new(RetrySettings::default());
    let mut rng = Pcg64Mcg::new(1);

    let waits: Vec<Duration> = (1..=40)
        .map(|retry| budget.backoff(retry, &mut rng))
        .collect();

    expect_that!(waits[0], le(Duration::from_millis(50)));
    expect_that!(waits.iter().max(), some(le(&Duration::from_secs(2))));
    expect_that!(waits[39], not(eq(waits[38])));
}
