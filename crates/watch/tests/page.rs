//! The status page: names and other texts must never be interpreted as markup.

use googletest::prelude::*;
use watch::page::{escape, render};
use watch::status::{EndpointStatus, FleetStatus, ServiceStatus};

use fixture::hostile_status;

mod fixture;

#[gtest]
fn every_special_character_is_replaced() {
    let text = escape("<a href=\"x\" id='y'>&\u{0}\n");

    expect_that!(
        text,
        eq("&lt;a href=&quot;x&quot; id=&#39;y&#39;&gt;&amp;\u{fffd}\u{fffd}")
    );
}

#[gtest]
fn names_are_never_rendered_as_markup() {
    let page = render(&hostile_status());

    expect_that!(page, not(contains_substring("<script")));
    expect_that!(page, not(contains_substring("alert('")));
    expect_that!(page, contains_substring("&lt;script&gt;"));
}

#[gtest]
fn the_page_is_stable() {
    let page = render(&hostile_status());

    insta::assert_snapshot!(page);
}

#[gtest]
fn a_large_fleet_is_truncated_with_a_note() {
    let endpoints = (0..720).map(|index| EndpointStatus {
        name: format!("runner-{index}"),
        service: "redaction".to_owned(),
        load_over_mean: f64::from(index) / 360.0,
        ..EndpointStatus::default()
    });
    let status = FleetStatus {
        services: vec![ServiceStatus {
            name: "redaction".to_owned(),
            load_bound: 1.25,
            ..ServiceStatus::default()
        }],
        endpoints: endpoints.collect(),
        ..FleetStatus::default()
    };

    let page = render(&status);

    expect_that!(page, contains_substring("and 656 more endpoints"));
    expect_that!(page, contains_substring("runner-719"));
    expect_that!(page, not(contains_substring("runner-0<")));
}
