//! Endpoints that are cold after a start: which sign counts, and what an instance sends. Each test is
//! named after the failure that it guards against.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use googletest::prelude::*;
use pace::cold::ColdRule;
use pace::room::EndpointRoom;
use relay::fleet_contact::FleetContact;
use relay::rate_keeper::{RateKeeper, TokenRequest};
use relay::row::EndpointRow;
use relay::table::EndpointTable;
use wire::gateway::ListedEndpoint;
use wire::id::{EndpointId, name_id};
use wire::statement::{CallRate, TokenLot, TokenOutcome};

const START: Duration = Duration::from_secs(3);
const RATE: f64 = 8.2;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn listed(name: &str, port: u16) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_owned(),
        service: "chat".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        domain: 0,
        slots: 8,
        is_draining: false,
        version: "v1".to_owned(),
    }
}

fn rate() -> CallRate {
    CallRate::from_per_second(RATE).expect("a rate")
}

fn table() -> EndpointTable {
    let mut table = EndpointTable::default();
    let rule = ColdRule {
        start: START,
        rate: rate(),
    };
    table.set_cold_rules(HashMap::from([(name_id("chat"), rule)]));
    table.replace_at(Duration::ZERO, &[listed("e1", 1), listed("e2", 2)]);
    table
}

fn id() -> EndpointId {
    name_id("e1")
}

fn room(table: &EndpointTable, at_ms: u64) -> EndpointRoom {
    let row = table.row(id()).expect("a listed endpoint");
    table.room(millis(at_ms), row)
}

fn cold_until(table: &EndpointTable) -> Option<Duration> {
    table.row(id()).and_then(EndpointRow::cold_until)
}

#[gtest]
fn first_start_of_a_fleet_is_slowed_by_warm_endpoints() {
    let table = table();

    let room = room(&table, 0);

    expect_that!(room, eq(EndpointRoom::Open));
}

#[gtest]
fn restarted_instance_sends_to_endpoints_that_others_know_to_be_cold() {
    let mut table = table();
    table.keeper.uninformed_until = millis(5000);

    let rooms = [room(&table, 100), room(&table, 5000)];

    expect_that!(rooms, eq([EndpointRoom::Ask, EndpointRoom::Open]));
}

#[gtest]
fn instance_that_is_cut_off_sends_to_endpoints_that_restarted_meanwhile() {
    let mut table = table();
    table.note_activity(millis(900), id());
    table.keeper.cut_since = Some(millis(1000));
    table.note_activity(millis(2300), id());
    let rooms = [room(&table, 2400), room(&table, 3800)];

    table.note_activity(millis(3900), id());

    expect_that!(rooms, eq([EndpointRoom::Open, EndpointRoom::Ask]));
    expect_that!(room(&table, 4000), eq(EndpointRoom::Ask));
}

#[gtest]
fn instance_counts_as_cut_off_while_it_hears_most_of_the_others() {
    let mut contact = FleetContact::default();
    contact.note_live(millis(1000), 30);
    contact.note_live(millis(2000), 20);
    let with_domain_lost = contact.lost_at();

    contact.note_live(millis(3000), 14);

    expect_that!(with_domain_lost, none());
    expect_that!(contact.lost_at(), some(eq(millis(3000))));
}

#[gtest]
fn instance_counts_as_cut_off_for_good_after_the_fleet_has_shrunk() {
    let mut contact = FleetContact::default();
    contact.note_live(millis(1000), 30);
    contact.note_live(millis(2000), 10);

    contact.note_live(millis(61_000), 10);

    expect_that!(contact.lost_at(), none());
}

#[gtest]
fn service_without_cold_endpoints_asks_for_tokens() {
    let mut table = table();
    table.set_cold_rules(HashMap::new());
    table.note_maybe_cold(millis(1000), id());

    let room = room(&table, 1000);

    expect_that!(room, eq(EndpointRoom::Open));
}

#[gtest]
fn endpoint_that_was_down_counts_as_warm_before_it_has_answered_for_the_cold_time() {
    let mut table = table();
    table.note_maybe_cold(millis(1000), id());
    let before = room(&table, 20_000);
    table.note_answer(millis(20_010), id(), millis(20_000), millis(20_010));

    let rooms = [room(&table, 23_000), room(&table, 23_010)];

    expect_that!(before, eq(EndpointRoom::Ask));
    expect_that!(rooms, eq([EndpointRoom::Ask, EndpointRoom::Open]));
}

#[gtest]
fn answer_of_the_process_before_a_crash_ends_the_cold_time_of_the_next_one() {
    let mut table = table();
    table.note_maybe_cold(millis(1000), id());

    table.note_answer(millis(1005), id(), millis(900), millis(1005));

    expect_that!(cold_until(&table), some(eq(Duration::MAX)));
}

#[gtest]
fn broken_connection_of_a_running_endpoint_makes_it_cold() {
    let mut table = table();
    table.note_maybe_cold(millis(1000), id());

    // A stream whose head arrived long before that goes on.
    table.note_answer(millis(1300), id(), millis(100), millis(200));

    expect_that!(room(&table, 1300), eq(EndpointRoom::Open));
}

#[gtest]
fn later_sign_of_the_same_outage_undoes_the_answer_that_another_instance_got() {
    let (mut one, mut two) = (table(), table());
    one.note_maybe_cold(millis(1000), id());
    one.note_answer(millis(4010), id(), millis(4000), millis(4010));
    two.note_maybe_cold(millis(1500), id());
    let at = millis(4050);
    let (from_one, from_two) = (one.cold_notice(at, id()), two.cold_notice(at, id()));

    let told_one = from_two.is_some_and(|notice| one.note_told_cold(at, &notice));
    let told_two = from_one.is_some_and(|notice| two.note_told_cold(at, &notice));

    expect_that!(told_one, eq(false));
    expect_that!(told_two, eq(true));
    expect_that!(cold_until(&two), some(eq(millis(7010))));
}

#[gtest]
fn reading_of_the_list_from_before_the_restart_makes_an_endpoint_warm() {
    let mut table = table();
    table.note_maybe_cold(millis(1000), id());
    table.note_answer(millis(4010), id(), millis(4000), millis(4010));
    let row = table.row_mut(id()).expect("a listed endpoint");

    row.note_listed_cold(millis(4500), Duration::ZERO);

    expect_that!(row.cold_until(), some(eq(millis(7010))));
}

#[gtest]
fn cold_time_of_the_list_is_ignored() {
    let mut table = table();
    let row = table.row_mut(id()).expect("a listed endpoint");

    row.note_listed_cold(millis(4500), millis(2000));

    expect_that!(room(&table, 6499), eq(EndpointRoom::Ask));
    expect_that!(room(&table, 6500), eq(EndpointRoom::Open));
}

#[gtest]
fn new_endpoint_that_the_list_states_as_warm_counts_as_cold() {
    let mut table = table();
    table.replace_at(millis(9000), &[listed("e2", 2)]);
    table.replace_at(millis(10_000), &[listed("e1", 1), listed("e2", 2)]);
    let before = room(&table, 10_000);
    let row = table.row_mut(id()).expect("a listed endpoint");

    row.note_listed_cold(millis(10_000), Duration::ZERO);

    expect_that!(before, eq(EndpointRoom::Ask));
    expect_that!(room(&table, 10_000), eq(EndpointRoom::Open));
}

#[gtest]
fn tokens_of_a_warm_time_are_used_at_a_cold_endpoint() {
    let mut table = table();
    table.keeper.uninformed_until = millis(100);
    let lot = TokenLot {
        endpoint: id(),
        count: 5,
    };
    let outcome = TokenOutcome::Kept {
        lot: Some(lot),
        shortages: Vec::new(),
    };
    table.note_tokens(millis(20), millis(10), &outcome);
    let before = room(&table, 20);

    table.note_maybe_cold(millis(30), id());

    expect_that!(before, eq(EndpointRoom::Open));
    expect_that!(room(&table, 30), eq(EndpointRoom::Ask));
}

#[gtest]
fn keeper_grants_more_in_a_second_than_a_cold_endpoint_tolerates() {
    let mut keeper = RateKeeper::default();
    keeper.set_term(Some(1));
    let request = TokenRequest {
        endpoint: id(),
        limit: Some(rate()),
        is_cold: true,
        count: 100,
    };
    let mut granted = 0;
    // Tokens of 300 ms before the second may still be used in it.
    for at in (0..6300).step_by(10) {
        let outcome = keeper.hand_out(millis(at), &[request]);
        let TokenOutcome::Kept { lot, .. } = outcome else {
            continue;
        };
        let is_used = at >= 5000;
        granted += lot.filter(|_| is_used).map_or(0, |lot| lot.count);
    }

    expect_that!(f64::from(granted), le(RATE * 1.5 + 5.0));
    expect_that!(f64::from(granted), ge(RATE * 0.95));
}

/// Guards against calls that are refused at once after all instances have restarted, while the quorum
/// elects the leader that hands out tokens.
#[gtest]
fn calls_wait_for_a_keeper_only_while_an_instance_is_uninformed() {
    let mut table = table();
    let (cold, other) = (name_id("chat"), name_id("plain"));
    let informed = table.needs_keeper(millis(100), cold);

    table.keeper.uninformed_until = millis(5000);

    expect_that!(informed, eq(false));
    expect_that!(table.needs_keeper(millis(100), cold), eq(true));
    expect_that!(table.needs_keeper(millis(100), other), eq(false));
    expect_that!(table.needs_keeper(millis(5000), cold), eq(false));
}
