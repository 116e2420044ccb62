//! Log level and format, and the rate limit of log lines.

use googletest::prelude::*;
use log::LevelFilter;
use watch::logging::{LogError, LogFormat, LogSettings};

#[gtest]
fn arguments_choose_level_and_format() {
    let settings = LogSettings::choose(Some("debug"), Some("json"));

    expect_that!(
        settings,
        ok(eq(&LogSettings {
            level: LevelFilter::Debug,
            format: LogFormat::Json,
        }))
    );
}

#[gtest]
fn unknown_values_are_refused_with_the_valid_ones() {
    let level = LogSettings::choose(Some("loud"), Some("text")).unwrap_err();
    let format = LogSettings::choose(Some("info"), Some("xml")).unwrap_err();

    expect_that!(level.to_string(), contains_substring("off, error, warn"));
    expect_that!(format.to_string(), contains_substring("text or json"));
}

#[gtest]
fn a_second_logger_is_refused() {
    let settings = LogSettings::choose(Some("error"), Some("text")).unwrap();

    let results = [settings.install(), settings.install()];

    expect_that!(results, eq(&[Ok(()), Err(LogError::AlreadyInstalled)]));
}

#[gtest]
fn the_line_rate_is_limited_after_a_burst() {
    let start = std::time::Instant::now();
    let mut budget = watch::output::LineBudget::new(start);

    let burst = (0..10_000).filter(|_| budget.try_take(start)).count();
    let second = start + std::time::Duration::from_secs(1);
    let later = (0..10_000).filter(|_| budget.try_take(second)).count();

    expect_that!(burst, eq(1000));
    expect_that!(later, eq(250));
}
