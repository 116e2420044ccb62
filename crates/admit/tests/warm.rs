//! Tests of the estimate of cached prefixes.

use admit::WarmSet;
use googletest::prelude::*;

#[gtest]
fn match_depth_is_that_of_the_longest_recorded_prefix() {
    let mut set = WarmSet::new(100);
    set.record(&[1, 2, 3]);

    expect_that!(set.match_depth(&[1, 2, 3, 4]), eq(3));
    expect_that!(set.match_depth(&[1, 9]), eq(1));
    expect_that!(set.match_depth(&[9]), eq(0));
    set.clear();
    expect_that!(set.match_depth(&[1]), eq(0));
}

#[gtest]
fn memory_is_bounded_and_recent_prefixes_stay() {
    let mut set = WarmSet::new(10);
    for prefix in 0..100 {
        set.record(&[prefix]);
    }

    let kept = (0..100).filter(|prefix| set.contains(*prefix)).count();
    expect_that!(kept, le(20));
    expect_that!((90..100).all(|prefix| set.contains(prefix)), eq(true));
}
