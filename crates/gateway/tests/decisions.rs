//! Decisions of a gateway about the others.

use std::time::Duration;

use gateway::directory::GatewayDirectory;
use gateway::founding::{FoundingView, may_found};
use gateway::packing::{pack, unpack};
use gateway::readings::ReadingBoard;
use googletest::prelude::*;
use wire::gateway::{
    GatewayBeat, ListPart, ListedEndpoint, ReadingKey, StorageState, address_of, instance_at,
};

const SECOND: Duration = Duration::from_secs(1);
const INTERVAL: Duration = Duration::from_millis(500);

fn settled_view() -> FoundingView {
    FoundingView {
        is_first_start: true,
        since_start: 3 * SECOND,
        since_change: 2 * SECOND,
        seeds: 3,
        seeds_heard: 3,
        has_log: false,
    }
}

fn part(number: u64, part: u16, parts: u16) -> ListPart {
    ListPart {
        reading: ReadingKey {
            incarnation: 1,
            number,
        },
        part,
        parts,
        endpoints: vec![ListedEndpoint {
            name: format!("e{part}"),
            service: "s".to_owned(),
            address: "10.0.0.1:80".parse().expect("an address"),
            domain: 1,
            slots: 1,
            is_draining: false,
        }],
    }
}

#[gtest]
fn ids_are_addresses() {
    let address = "10.1.2.3:7340".parse().unwrap();

    expect_that!(address_of(instance_at(address)), eq(address));
}

#[gtest]
fn log_is_founded_only_at_a_settled_first_start() {
    let sound = settled_view();

    expect_that!(may_found(&sound), eq(true));
    let faulty = [
        FoundingView {
            is_first_start: false,
            ..sound
        },
        FoundingView {
            has_log: true,
            ..sound
        },
        FoundingView {
            since_start: Duration::from_millis(300),
            ..sound
        },
        FoundingView {
            since_change: Duration::from_millis(100),
            ..sound
        },
        FoundingView {
            seeds_heard: 2,
            ..sound
        },
        FoundingView {
            seeds_heard: 1,
            since_start: 60 * SECOND,
            ..sound
        },
    ];
    for view in faulty {
        expect_that!(may_found(&view), eq(false), "{view:?}");
    }
}

#[gtest]
fn most_of_the_seeds_are_enough_after_a_while() {
    let view = FoundingView {
        seeds_heard: 2,
        since_start: 10 * SECOND,
        ..settled_view()
    };

    expect_that!(may_found(&view), eq(true));
}

#[gtest]
fn lowest_live_gateway_reads_and_the_others_take_over() {
    let mut board = ReadingBoard::default();
    board.take_part(SECOND, 1, part(1, 0, 1));

    let due = |millis, rank| board.is_due(Duration::from_millis(millis), INTERVAL, rank);

    expect_that!(due(1500, 0), eq(true));
    expect_that!(due(1500, 1), eq(false));
    expect_that!(due(3000, 1), eq(true));
    expect_that!(due(2400, 2), eq(false));
    expect_that!(due(3000, 2), eq(true));
}

#[gtest]
fn reading_is_obeyed_once_all_its_parts_are_there() {
    let mut board = ReadingBoard::default();

    let first = board.take_part(SECOND, 1, part(2, 0, 2));
    let old = board.take_part(SECOND, 1, part(1, 1, 2));
    let second = board.take_part(SECOND, 1, part(2, 1, 2));

    expect_that!(first, none());
    expect_that!(old, none());
    expect_that!(second.map(|whole| whole.len()), some(eq(2)));
}

#[gtest]
fn gateways_are_found_through_others_and_forgotten_when_silent() {
    let mut directory = GatewayDirectory::new(1);
    let beat = GatewayBeat {
        known: vec![1, 3],
        storage: StorageState::Formed,
        leader: Some((4, 3)),
        catalog: 9,
        ..GatewayBeat::default()
    };

    let is_new = directory.hear(SECOND, 2, beat);

    expect_that!(is_new, eq(true));
    expect_that!(directory.told(SECOND), elements_are![eq(&2), eq(&3)]);
    expect_that!(directory.own_rank(SECOND), eq(0));
    expect_that!(directory.leader(SECOND), some(eq(3)));
    expect_that!(directory.ahead_of(SECOND, 8), elements_are![eq(&2)]);
    expect_that!(directory.ahead_of(SECOND, 9), is_empty());
    expect_that!(directory.live(4 * SECOND).count(), eq(0));
    let silent = directory.fallen_silent(2 * SECOND, 4 * SECOND);
    expect_that!(silent, elements_are![eq(&2)]);
    expect_that!(directory.sharers(), eq(2));
}

#[gtest]
fn gateways_that_are_behind_spread_over_all_that_have_the_newest_catalog() {
    // Many gateways start together; if all of them asked one, its link would be full.
    let mut directory = GatewayDirectory::new(1);
    for (instance, catalog) in [(2, 8), (3, 9), (4, 9), (5, 9)] {
        let beat = GatewayBeat {
            catalog,
            ..GatewayBeat::default()
        };
        directory.hear(SECOND, instance, beat);
    }

    let ahead = directory.ahead_of(SECOND, 7);

    expect_that!(ahead, elements_are![eq(&3), eq(&4), eq(&5)]);
}

#[gtest]
fn packed_catalog_is_small_and_comes_back_as_it_was() {
    let route = r#"{"name":"r","host":"a.example","pathPrefix":"/x/","routeKind":"safe"},"#;
    let body = route.repeat(400).into_bytes();

    let text = pack(9, &body).unwrap();

    expect_that!(unpack(&text).unwrap() == body, eq(true));
    expect_that!(text.packed.len(), le(body.len() / 8));
}
