//! Tests of warm hints and their text form.

use googletest::prelude::*;
use proptest::prelude::*;
use route::{WarmHint, WarmLocation};

fn location(endpoint: u64) -> WarmLocation {
    WarmLocation {
        endpoint,
        cache_epoch: 3,
        tokens: 100,
    }
}

#[gtest]
fn hint_keeps_the_most_recent_locations() {
    let hint = WarmHint::default()
        .moved_to(location(1))
        .moved_to(location(2))
        .moved_to(location(1))
        .moved_to(location(3));

    expect_that!(
        hint.locations(),
        elements_are![eq(&location(3)), eq(&location(1))]
    );
}

#[gtest]
fn malformed_texts_are_rejected() {
    for text in [
        "1",
        "1.2",
        "1.2.3.4",
        "x.1.1",
        "1.1.fffffffff",
        "1.1.1-",
        "1.1.1-1.1.1",
    ] {
        expect_that!(text.parse::<WarmHint>().is_err(), eq(true), "{text}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn text_round_trips(locations in prop::collection::vec((any::<u64>(), any::<u64>(), any::<u32>()), 0..4)) {
        let hint = locations.iter().fold(WarmHint::default(), |hint, (endpoint, cache_epoch, tokens)| {
            hint.moved_to(WarmLocation { endpoint: *endpoint, cache_epoch: *cache_epoch, tokens: *tokens })
        });

        let parsed: WarmHint = hint.to_string().parse().unwrap();

        prop_assert_eq!(parsed, hint);
    }

    #[test]
    fn any_text_is_parsed_or_rejected(text in ".{0,200}") {
        let _ = text.parse::<WarmHint>();
    }
}
