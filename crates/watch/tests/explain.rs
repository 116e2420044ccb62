//! Golden tests of the text and JSON forms of decision records.

use googletest::prelude::*;
use watch::explain::{explain, summarize};
use watch::record::{DecisionRecord, request_from_text, request_to_text};
use watch::ring::RingEvent;

use fixture::{admitted, drain_notice, millis, redirected, refused};

mod fixture;

#[gtest]
fn the_explanation_joins_entry_and_agent_in_order() {
    let records = [admitted(0xabc), redirected(0xabc)];

    let text = explain(&records);

    insta::assert_snapshot!(text);
}

#[gtest]
fn an_unknown_request_is_reported_as_such() {
    let text = explain(&[]);

    expect_that!(text, starts_with("no record of this request"));
}

#[gtest]
fn a_follower_reads_one_line_per_event() {
    let refusal = RingEvent::Decision(Box::new(refused(0xabc, millis(10))));
    let notice = RingEvent::Notice(drain_notice(millis(10)));

    let lines = [summarize(&refusal), summarize(&notice)].join("\n");

    insta::assert_snapshot!(lines);
}

#[gtest]
fn json_keeps_every_field() {
    for record in [admitted(0xabc), redirected(0xabc), refused(1, millis(3))] {
        let text = serde_json::to_string(&record).unwrap();

        let read: DecisionRecord = serde_json::from_str(&text).unwrap();

        expect_that!(read, eq(&record));
    }
}

#[gtest]
fn json_is_stable() {
    let text = serde_json::to_string_pretty(&admitted(0xabc)).unwrap();

    insta::assert_snapshot!(text);
}

#[gtest]
fn request_ids_survive_their_text_form() {
    for request in [0, 1, u128::MAX, 0xabc] {
        let text = request_to_text(request);

        expect_that!(text, char_count(eq(32)));
        expect_that!(request_from_text(&text), some(eq(request)));
    }
    expect_that!(request_from_text("no hex"), none());
}
