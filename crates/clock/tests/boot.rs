//! The clock that counts suspensions.

use std::time::{Duration, Instant};

use clock::BootClock;
use googletest::prelude::*;

#[gtest]
fn clock_starts_at_zero_and_counts_at_least_what_the_steady_clock_does() {
    let before = Instant::now();
    let clock = BootClock::start();
    let first = clock.elapsed();
    let steady = before.elapsed();
    std::thread::sleep(Duration::from_millis(5));

    let later = clock.elapsed();

    expect_that!(first, le(before.elapsed()));
    expect_that!(later, ge(first + Duration::from_millis(5)));
    expect_that!(steady, le(before.elapsed()));
}
