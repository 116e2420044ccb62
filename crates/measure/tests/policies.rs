//! Command line of `sapphire-measure`: exit codes and RESULT lines.

use std::process::{Command, Output};

use googletest::prelude::*;

fn measure(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sapphire-measure"))
        .args(args)
        .output()
        .expect("the program starts")
}

fn result_line(output: &Output) -> String {
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().last().expect("a last line");
    line.to_owned()
}

/// Returns the keys of a measurement's RESULT line.
fn result_keys(args: &[&str]) -> Vec<String> {
    let line = result_line(&measure(args));
    let words = line.split_whitespace();
    let pairs = words.filter_map(|word| word.split_once('='));
    pairs.map(|(key, _)| key.to_owned()).collect()
}

#[gtest]
fn bad_arguments_exit_with_2() {
    for args in [vec![], vec!["skew", "--policy", "best"], vec!["drift"]] {
        expect_that!(measure(&args).status.code(), some(eq(2)), "{args:?}");
    }
}

#[gtest]
fn equal_seeds_give_equal_results() {
    let args = ["skew", "--seed", "3", "--endpoints", "4", "--churn", "5"];
    let args = [&args[..], &["--surge", "40", "--requests", "3000"]].concat();

    let first = result_line(&measure(&args));
    let second = result_line(&measure(&args));

    expect_that!(first, starts_with("RESULT skew policy=warm seed=3"));
    expect_that!(second, eq(&first));
}

#[gtest]
fn each_measurement_prints_its_keys() {
    let small = ["--endpoints", "3", "--requests", "1000"];

    let skew = result_keys(&[&["skew"], &small[..]].concat());
    let reuse = result_keys(&[&["reuse"], &small[..]].concat());
    let control = result_keys(&["control", "--entries", "2", "--endpoints", "3"]);

    let skew_keys = [
        "over_bound",
        "max_over_mean",
        "p99_over_mean",
        "over_share",
        "refused",
    ];
    let control_keys = [
        "bytes_per_second_per_node_max",
        "bytes_per_second_per_node_mean",
    ];
    let expected = [
        (skew, &skew_keys[..]),
        (reuse, &["hit", "hit_of_ideal"]),
        (control, &control_keys),
    ];
    for (found, keys) in expected {
        for key in keys {
            expect_that!(found.iter().any(|name| name == key), eq(true), "{key}");
        }
    }
}

#[gtest]
fn control_traffic_at_the_target_stays_within_its_bound() {
    let output = measure(&["control", "--seed", "7"]);

    expect_that!(
        output.status.code(),
        some(eq(0)),
        "{}",
        result_line(&output)
    );
}

#[gtest]
fn run_that_ends_within_its_warm_up_proves_nothing() {
    let output = measure(&["skew", "--endpoints", "3", "--requests", "100"]);

    expect_that!(
        output.status.code(),
        some(eq(1)),
        "{}",
        result_line(&output)
    );
}

#[gtest]
fn broken_bound_exits_with_1() {
    let output = measure(&["control", "--policy", "least", "--endpoints", "200"]);

    expect_that!(
        output.status.code(),
        some(eq(1)),
        "{}",
        result_line(&output)
    );
}
