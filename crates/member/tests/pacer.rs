//! Timing of an agent's heartbeats.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use member::{HeartbeatPacer, PacerSettings};
use wire::answer::EndpointLoad;
use wire::member::EndpointState;

fn load(running: u32) -> EndpointLoad {
    EndpointLoad { running, queued: 0 }
}

#[gtest]
fn heartbeats_follow_the_interval_the_state_and_the_load() {
    let now = Instant::now();
    let serving = EndpointState::Serving;
    let after = |millis| now + Duration::from_millis(millis);
    let mut pacer = HeartbeatPacer::new(PacerSettings::default());
    let first = pacer.is_due(load(20), serving, now);
    pacer.record_sent(load(20), serving, now);

    expect_that!(first, eq(true));
    expect_that!(pacer.is_due(load(20), serving, after(999)), eq(false));
    expect_that!(pacer.is_due(load(20), serving, after(1000)), eq(true));
    expect_that!(pacer.is_due(load(22), serving, after(100)), eq(false));
    expect_that!(pacer.is_due(load(23), serving, after(100)), eq(true));
    expect_that!(pacer.is_due(load(23), serving, after(99)), eq(false));
    expect_that!(
        pacer.is_due(load(20), EndpointState::Draining, after(1)),
        eq(true)
    );
}
