//! Checks of the table that maps each error kind to its answer.

use std::collections::HashSet;

use fault::{FaultKind, RunOutcome};
use googletest::prelude::*;

#[gtest]
fn kinds_have_distinct_texts() {
    let texts: HashSet<String> = FaultKind::ALL.iter().map(ToString::to_string).collect();

    expect_that!(texts, len(eq(FaultKind::ALL.len())));
}

#[gtest]
fn retry_is_only_suggested_when_it_can_help() {
    for kind in FaultKind::ALL {
        let answer = kind.answer();

        let is_refused_for_good = [400, 401, 403, 404, 413, 422].contains(&answer.status);
        expect_that!(
            is_refused_for_good && answer.retry_after.is_some(),
            eq(false),
            "{kind}"
        );
    }
}

#[gtest]
fn failures_while_running_are_never_reported_as_not_run() {
    let kinds = [
        FaultKind::EndpointFailed,
        FaultKind::ConnectionLost,
        FaultKind::DeadlinePassed,
    ];

    for kind in kinds {
        expect_that!(kind.answer().outcome, eq(RunOutcome::Unknown), "{kind}");
    }
}
