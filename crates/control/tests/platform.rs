//! The platform's list, which lags, against lives that come and go.

use control::platform::{LifeMap, ListFollower, PlatformLine, PlatformState};
use googletest::prelude::*;
use member::list::ListEntry;
use wire::id::name_id;

fn line(state: PlatformState) -> PlatformLine {
    PlatformLine {
        name: "engine-0".to_owned(),
        state,
    }
}

fn life(incarnation: u64) -> LifeMap {
    LifeMap::from([(name_id("engine-0"), incarnation)])
}

fn incarnations(entries: &[ListEntry]) -> Vec<Option<u64>> {
    entries.iter().map(|entry| entry.incarnation).collect()
}

#[gtest]
fn a_line_that_turns_to_leaving_names_the_life_of_the_reading_before() {
    let mut follower = ListFollower::default();
    follower.observe(&[line(PlatformState::Live)], life(1));

    let entries = follower.observe(&[line(PlatformState::Leaving)], life(1));

    assert_that!(incarnations(&entries), elements_are![eq(&Some(1))]);
}

#[gtest]
fn a_lagging_line_never_touches_the_next_life() {
    let mut follower = ListFollower::default();
    follower.observe(&[line(PlatformState::Live)], life(1));
    follower.observe(&[line(PlatformState::Leaving)], life(1));

    let entries = follower.observe(&[line(PlatformState::Leaving)], life(2));

    assert_that!(entries, len(eq(0)));
}

#[gtest]
fn a_line_that_was_leaving_from_the_first_reading_says_nothing() {
    let mut follower = ListFollower::default();

    let first = follower.observe(&[line(PlatformState::Leaving)], life(1));
    let second = follower.observe(&[line(PlatformState::Leaving)], life(1));

    assert_that!(first, len(eq(0)));
    assert_that!(second, len(eq(0)));
}

#[gtest]
fn a_line_that_vanishes_leaves_the_sign_in_place() {
    let mut follower = ListFollower::default();
    follower.observe(&[line(PlatformState::Live)], life(1));
    follower.observe(&[line(PlatformState::Leaving)], life(1));

    let entries = follower.observe(&[], life(1));

    assert_that!(incarnations(&entries), elements_are![eq(&Some(1))]);
}
