//! Decisions without I/O: bootstrap, readings of the endpoint list, the directory of gateways; and
//! the sizes of messages.

use std::collections::BTreeSet;
use std::time::Duration;

use gateway::bootstrap::{BootstrapView, may_bootstrap};
use gateway::catalog_codec::{compress, decompress};
use gateway::directory::GatewayDirectory;
use gateway::list_readings::{ListReadings, NoticeAction, without_duplicates};
use gateway::version_record::{additions, decode_command, encode_command, listed_versions, parts};
use googletest::prelude::*;
use relay::fleet_watch::{FleetWatch, WatchSettings};
use wire::codec;
use wire::gateway::{
    CatalogText, CrashNotice, CrashReport, EndpointCrash, GatewayDatagram, GatewayHeartbeat,
    ListAge, ListNotice, ListedEndpoint, MAX_CRASHES, MAX_DATAGRAM_BYTES, MAX_KNOWN_GATEWAYS,
    MAX_LOADS, MAX_NOTICE_CRASHES, MAX_NOTICE_REQUESTS, MAX_NOTICE_SERVED, ReadingKey,
    ServedRequest, StorageState, address_of, instance_at,
};

use wire::id::name_id;
use wire::version_record::{RecordedValue, VersionRecord};

const SECOND: Duration = Duration::from_secs(1);
const INTERVAL: Duration = Duration::from_millis(500);

fn settled_view() -> BootstrapView {
    BootstrapView {
        is_first_start: true,
        since_start: 3 * SECOND,
        since_storage_change: 2 * SECOND,
        seeds: 3,
        live_seeds: 3,
        has_cluster: false,
    }
}

fn listed(number: u16) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("e{number}"),
        service: "s".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: 1,
        slots: 1,
        is_draining: false,
        version: "v1".to_owned(),
    }
}

fn reading(number: u64) -> ReadingKey {
    ReadingKey {
        incarnation: 1,
        number,
    }
}

/// Records an own reading with these endpoints and returns its notice.
fn read(readings: &mut ListReadings, number: u64, endpoints: &[u16]) -> ListNotice {
    let endpoints = endpoints.iter().map(|number| listed(*number)).collect();
    readings.record_own(SECOND, reading(number), endpoints)
}

/// Guards against an entry of another writer that hides the endpoint whose id it has.
#[gtest]
fn entry_of_an_unknown_service_does_not_hide_the_endpoint_of_that_id() {
    let foreign = ListedEndpoint {
        service: "batch".to_owned(),
        ..listed(1)
    };
    let draining = ListedEndpoint {
        is_draining: true,
        ..listed(2)
    };
    let orders = [
        vec![foreign.clone(), listed(1), listed(2), draining.clone()],
        vec![listed(2), draining.clone(), listed(1), foreign],
    ];
    for read in orders {
        let unique = without_duplicates(read, |service| service == "s");

        expect_that!(unique.len(), eq(2));
        expect_that!(unique.contains(&listed(1)), eq(true));
        // A later entry of the same service is the newer one.
        expect_that!(unique.contains(&draining), eq(true));
    }
}

#[gtest]
fn ids_are_addresses() {
    let address = "10.1.2.3:7340".parse().unwrap();

    expect_that!(address_of(instance_at(address)), eq(address));
}

#[gtest]
fn cluster_is_bootstrapped_only_at_a_settled_first_start() {
    let settled = settled_view();

    expect_that!(may_bootstrap(&settled), eq(true));
    let forbidden = [
        BootstrapView {
            is_first_start: false,
            ..settled
        },
        BootstrapView {
            has_cluster: true,
            ..settled
        },
        BootstrapView {
            since_start: Duration::from_millis(300),
            ..settled
        },
        BootstrapView {
            since_storage_change: Duration::from_millis(100),
            ..settled
        },
        BootstrapView {
            live_seeds: 2,
            ..settled
        },
        BootstrapView {
            live_seeds: 1,
            since_start: 60 * SECOND,
            ..settled
        },
    ];
    for view in forbidden {
        expect_that!(may_bootstrap(&view), eq(false), "{view:?}");
    }
}

#[gtest]
fn majority_of_the_seeds_is_enough_after_a_while() {
    let view = BootstrapView {
        live_seeds: 2,
        since_start: 10 * SECOND,
        ..settled_view()
    };

    expect_that!(may_bootstrap(&view), eq(true));
}

#[gtest]
fn lowest_live_gateway_reads_and_the_others_take_over() {
    let mut readings = ListReadings::default();
    read(&mut readings, 1, &[1]);

    let due = |millis, rank| readings.is_due(Duration::from_millis(millis), INTERVAL, rank);

    expect_that!(due(1500, 0), eq(true));
    expect_that!(due(1500, 1), eq(false));
    expect_that!(due(3000, 1), eq(true));
    expect_that!(due(2400, 2), eq(false));
    expect_that!(due(3000, 2), eq(true));
}

#[gtest]
fn list_is_fetched_once_and_then_followed_by_its_changes() {
    let (mut reader, mut follower) = (ListReadings::default(), ListReadings::default());

    let first = read(&mut reader, 1, &[1, 2, 3]);
    let fetch = follower.handle_notice(
        SECOND,
        1,
        ListNotice {
            base_digest: 9,
            ..first
        },
    );
    follower.replace_list(SECOND, reader.list());
    let second = read(&mut reader, 2, &[2, 3, 4]);
    let change = follower.handle_notice(SECOND, 1, second.clone());
    let same = follower.handle_notice(SECOND, 1, second);

    expect_that!(fetch, eq(&NoticeAction::Fetch));
    expect_that!(change, eq(&NoticeAction::Apply(reader.list())));
    expect_that!(same, eq(&NoticeAction::Unchanged));
}

#[gtest]
fn list_is_fetched_after_a_missed_change_and_an_old_notice_is_ignored() {
    let (mut reader, mut follower) = (ListReadings::default(), ListReadings::default());
    let first = read(&mut reader, 1, &[1]);
    follower.replace_list(SECOND, reader.list());
    read(&mut reader, 2, &[1, 2]);
    let third = read(&mut reader, 3, &[1, 2, 3]);

    let missed = follower.handle_notice(SECOND, 1, third);
    let old = follower.handle_notice(SECOND, 1, first);

    expect_that!(missed, eq(&NoticeAction::Fetch));
    expect_that!(old, eq(&NoticeAction::Stale));
}

#[gtest]
fn notice_of_an_unchanged_list_is_small_for_any_length() {
    let mut reader = ListReadings::default();
    let all: Vec<u16> = (0..3000).collect();
    read(&mut reader, 1, &all);
    read(&mut reader, 2, &all[1..]);

    let notice = read(&mut reader, 3, &all[1..]);
    let bytes = codec::encode(&GatewayDatagram::List(notice)).expect("a small message");

    expect_that!(bytes.len(), le(200));
}

#[gtest]
fn largest_heartbeat_fits_into_a_datagram() {
    let report = CrashReport {
        fingerprint: u64::MAX,
        endpoint: u64::MAX,
    };
    let heartbeat = GatewayHeartbeat {
        incarnation: u64::MAX,
        domain: u64::MAX,
        storage: StorageState::Formed,
        is_leaving: true,
        catalog: u64::MAX,
        leader: Some((u64::MAX, u64::MAX)),
        known: vec![
            instance_at("255.255.255.255:65535".parse().expect("an address"));
            MAX_KNOWN_GATEWAYS
        ],
        loads: vec![(u64::MAX, u16::MAX); MAX_LOADS],
        crashes: vec![report; MAX_CRASHES],
    };

    let bytes = codec::encode(&GatewayDatagram::Heartbeat(Box::new(heartbeat))).expect("a message");

    expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
}

#[gtest]
fn largest_crash_notice_fits_into_a_datagram() {
    let crash = EndpointCrash {
        id: u64::MAX,
        endpoint: u64::MAX,
        age_ms: u32::MAX,
        requests: Vec::new(),
    };
    let served = ServedRequest {
        fingerprint: u64::MAX,
        age_ms: u32::MAX,
    };
    let mut notice = CrashNotice {
        crashes: vec![crash; MAX_NOTICE_CRASHES],
        served: vec![served; MAX_NOTICE_SERVED],
    };
    notice.crashes[0].requests = vec![u64::MAX; MAX_NOTICE_REQUESTS];

    let datagrams = [
        GatewayDatagram::Crashes(notice.clone()),
        GatewayDatagram::PartCrashes(notice),
    ];
    for datagram in datagrams {
        let bytes = codec::encode(&datagram).expect("a message");

        expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
    }
}

#[gtest]
fn crash_notice_goes_to_all_gateways_of_a_small_fleet_and_to_some_of_a_large_one() {
    for (gateways, expected) in [(30, 29), (300, 32)] {
        let mut directory = GatewayDirectory::new(7);
        for instance in 1..=gateways {
            directory.record_heartbeat(SECOND, instance, GatewayHeartbeat::default());
        }

        let recipients = directory.notice_recipients(SECOND);

        expect_that!(recipients.len(), eq(expected));
        expect_that!(recipients, not(contains(eq(&7))));
        expect_that!(recipients.first(), some(eq(&8)));
    }
}

#[gtest]
fn gateway_that_restarts_before_it_counts_as_silent_is_new() {
    let mut directory = GatewayDirectory::new(1);
    let heartbeat = |incarnation| GatewayHeartbeat {
        incarnation,
        ..GatewayHeartbeat::default()
    };

    let first = directory.record_heartbeat(SECOND, 2, heartbeat(5));
    let same = directory.record_heartbeat(SECOND + INTERVAL, 2, heartbeat(5));
    let restarted = directory.record_heartbeat(2 * SECOND, 2, heartbeat(6));

    expect_that!((first, same, restarted), eq((true, false, true)));
}

#[gtest]
fn live_gateways_follow_each_other_in_a_cycle() {
    let mut directory = GatewayDirectory::new(4);
    for instance in [2, 6, 9] {
        directory.record_heartbeat(SECOND, instance, GatewayHeartbeat::default());
    }

    let mut visited = vec![4];
    for _ in 0..4 {
        let previous = visited[visited.len() - 1];
        visited.extend(directory.next_live(SECOND, previous));
    }

    expect_that!(visited, eq(&vec![4, 6, 9, 2, 6]));
    expect_that!(GatewayDirectory::new(4).next_live(SECOND, 4), none());
}

#[gtest]
fn heartbeat_recipients_are_bounded_and_reach_all_in_turn() {
    let mut directory = GatewayDirectory::new(1);
    for instance in 2..=300 {
        let storage = match instance <= 8 {
            true => StorageState::Formed,
            false => StorageState::None,
        };
        let heartbeat = GatewayHeartbeat {
            storage,
            ..GatewayHeartbeat::default()
        };
        directory.record_heartbeat(SECOND, instance, heartbeat);
    }

    let mut reached = BTreeSet::new();
    expect_that!(directory.fits_one_round(), eq(false));
    for _ in 0..10 {
        let round = directory.next_recipients(SECOND, &[1, 2, 3]);
        expect_that!(round.len(), le(40));
        for store in 2..=8 {
            expect_that!(round.contains(&store), eq(true));
        }
        reached.extend(round);
    }

    expect_that!(reached.len(), eq(299));
    expect_that!(directory.live(6 * SECOND).count(), eq(299));
}

#[gtest]
fn heartbeat_of_a_small_fleet_reaches_all_at_once() {
    let mut directory = GatewayDirectory::new(1);
    for instance in 2..=29 {
        directory.record_heartbeat(SECOND, instance, GatewayHeartbeat::default());
    }

    let round = directory.next_recipients(SECOND, &[1, 2, 3]);

    expect_that!(directory.fits_one_round(), eq(true));
    expect_that!(round.len(), eq(28));
}

#[gtest]
fn gateways_are_learned_from_others_and_not_live_when_silent() {
    let mut directory = GatewayDirectory::new(1);
    let heartbeat = GatewayHeartbeat {
        known: vec![1, 3],
        storage: StorageState::Formed,
        leader: Some((4, 3)),
        catalog: 9,
        ..GatewayHeartbeat::default()
    };

    let is_new = directory.record_heartbeat(SECOND, 2, heartbeat);

    expect_that!(is_new, eq(true));
    expect_that!(directory.known(SECOND), elements_are![eq(&2), eq(&3)]);
    expect_that!(directory.own_rank(SECOND), eq(0));
    expect_that!(directory.leader(SECOND), some(eq(3)));
    expect_that!(directory.newest_holders(SECOND, 8), elements_are![eq(&2)]);
    expect_that!(directory.newest_holders(SECOND, 9), is_empty());
    expect_that!(directory.live(4 * SECOND).count(), eq(0));
    let silent = directory.newly_silent(2 * SECOND, 4 * SECOND);
    expect_that!(silent, elements_are![eq(&2)]);
    expect_that!(directory.peak_live(), eq(2));
}

#[gtest]
fn gateways_that_are_behind_spread_over_all_that_have_the_newest_catalog() {
    // Many gateways may start at once. If all of them fetched from the same one, its link would be
    // saturated.
    let mut directory = GatewayDirectory::new(1);
    for (instance, catalog) in [(2, 8), (3, 9), (4, 9), (5, 9)] {
        let heartbeat = GatewayHeartbeat {
            catalog,
            ..GatewayHeartbeat::default()
        };
        directory.record_heartbeat(SECOND, instance, heartbeat);
    }

    let holders = directory.newest_holders(SECOND, 7);

    expect_that!(holders, elements_are![eq(&3), eq(&4), eq(&5)]);
}

#[gtest]
fn compressed_catalog_is_small_and_decompresses_to_the_original() {
    let route = r#"{"name":"r","host":"a.example","pathPrefix":"/x/","routeKind":"safe"},"#;
    let body = route.repeat(400).into_bytes();

    let text = compress(9, &body).unwrap();

    expect_that!(decompress(&text).unwrap() == body, eq(true));
    expect_that!(text.compressed.len(), le(body.len() / 8));
}

/// A process that was stopped finds messages that are older than they say.
#[gtest]
fn age_of_a_reading_is_not_believed_after_a_stall() {
    let mut readings = ListReadings::default();
    let mut watch = FleetWatch::new(WatchSettings::default());
    let notice = read(&mut readings, 1, &[1]);
    let age = ListAge {
        digest: notice.digest,
        age_ms: 100,
    };

    watch.note_running(SECOND / 2);
    watch.note_running(SECOND);
    readings.note_age(SECOND, &age, watch.is_settled());
    let before = readings.stated_at();
    watch.note_running(5 * SECOND);
    readings.note_age(5 * SECOND, &age, watch.is_settled());

    expect_that!(before, some(eq(Duration::from_millis(900))));
    expect_that!(readings.stated_at(), eq(before));
}

/// A reading says nothing of a list that is not the active one.
#[gtest]
fn reading_of_another_list_does_not_state_the_active_one() {
    let mut readings = ListReadings::default();
    let notice = read(&mut readings, 1, &[1]);

    readings.note_began(notice.digest, SECOND);
    let before = readings.stated_at();
    read(&mut readings, 2, &[2]);

    expect_that!(before, some(eq(SECOND)));
    expect_that!(readings.stated_at(), none());
}

fn listed_of(service: &str, version: &str) -> ListedEndpoint {
    ListedEndpoint {
        service: service.to_owned(),
        version: version.to_owned(),
        ..listed(1)
    }
}

/// A service whose versions of the last minute are not known must not be recorded as one with a
/// single version.
#[gtest]
fn versions_of_a_service_are_recorded_once_all_are_known() {
    let seen = listed_versions(&[listed_of("s", "v1")]);
    let known = seen.clone();
    let later = listed_versions(&[listed_of("s", "v2"), listed_of("t", "v1")]);

    let after_a_restart = additions(&VersionRecord::default(), &seen, false, 59 * SECOND);
    let after_a_minute = additions(&VersionRecord::default(), &seen, false, 60 * SECOND);
    let at_the_first_start = additions(&VersionRecord::default(), &seen, true, SECOND);
    let of_a_release = additions(&known, &later, false, SECOND);

    expect_that!(after_a_restart, eq(&VersionRecord::default()));
    expect_that!(after_a_minute, eq(&known));
    expect_that!(at_the_first_start, eq(&known));
    let several = Some(&RecordedValue::Several);
    expect_that!(of_a_release.versions.get(&name_id("s")), eq(several));
    expect_that!(of_a_release.versions.get(&name_id("t")), none());
}

/// A route that led to another service began streams there.
#[gtest]
fn only_version_is_not_known_after_a_change_of_the_routes() {
    let mut record = listed_versions(&[listed_of("s", "v1")]);
    record.add_routing(7);
    let before = record.only_version(name_id("s"), 7);
    let of_another = record.only_version(name_id("s"), 8);

    record.add_routing(8);
    record.add_routing(7);

    expect_that!(before, some(eq(name_id("v1"))));
    expect_that!(of_another, none());
    expect_that!(record.only_version(name_id("s"), 7), none());
}

/// Logs of earlier builds hold catalogs only, and these skip what they can't read.
#[gtest]
fn record_of_versions_is_no_catalog_and_a_catalog_no_record() {
    let record = listed_versions(&[listed_of("s", "v1")]);
    let catalog = CatalogText {
        version: u64::MAX,
        compressed: vec![0xff; 9],
    };

    let command = encode_command(&record).expect("a small record");
    let of_catalog = codec::encode(&catalog).expect("a small catalog");

    expect_that!(codec::decode_as::<CatalogText>(&command), err(anything()));
    expect_that!(decode_command(&of_catalog).is_none(), eq(true));
    expect_that!(decode_command(&command), some(ok(eq(&record))));
}

/// A part that is too large for a datagram would never arrive.
#[gtest]
fn parts_of_a_record_fit_into_datagrams() {
    let mut record = VersionRecord::default();
    for service in 0..300 {
        record.add(u64::MAX - service, u64::MAX);
    }

    let parts = parts(&record);

    let mut merged = VersionRecord::default();
    for part in &parts {
        let datagram = GatewayDatagram::Versions(part.clone());
        let bytes = codec::encode(&datagram).expect("it can be encoded");
        expect_that!(bytes.len(), le(MAX_DATAGRAM_BYTES));
        merged.merge(part);
    }
    expect_that!(merged, eq(&record));
}
