//! The text of warm hints.

use googletest::prelude::*;
use proptest::prelude::*;
use route::{WarmHint, WarmPlace};

fn place(endpoint: u64) -> WarmPlace {
    WarmPlace {
        endpoint,
        cache_epoch: 3,
        tokens: 100,
    }
}

#[gtest]
fn hint_keeps_the_latest_places() {
    let hint = WarmHint::default()
        .moved_to(place(1))
        .moved_to(place(2))
        .moved_to(place(1))
        .moved_to(place(3));

    expect_that!(hint.places(), elements_are![eq(&place(3)), eq(&place(1))]);
}

#[gtest]
fn broken_texts_are_refused() {
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
    fn text_round_trips(places in prop::collection::vec((any::<u64>(), any::<u64>(), any::<u32>()), 0..4)) {
        let hint = places.iter().fold(WarmHint::default(), |hint, (endpoint, cache_epoch, tokens)| {
            hint.moved_to(WarmPlace { endpoint: *endpoint, cache_epoch: *cache_epoch, tokens: *tokens })
        });

        let parsed: WarmHint = hint.to_string().parse().unwrap();

        prop_assert_eq!(parsed, hint);
    }

    #[test]
    fn any_text_is_parsed_or_refused(text in ".{0,200}") {
        let _ = text.parse::<WarmHint>();
    }
}
