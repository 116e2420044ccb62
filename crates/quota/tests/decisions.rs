//! Decisions on bytes, connections and progress, without clock and socket.

use std::net::IpAddr;
use std::time::Duration;

use googletest::prelude::*;
use quota::connections::{AdmitResult, ConnectionLimits, ConnectionTable, ConnectionUse};
use quota::ledger::{ByteLedger, ChargeResult, HolderId};
use quota::progress::ProgressLimits;

const MEGABYTE: usize = 1024 * 1024;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(last: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, last])
}

/// A ledger in which each of `count` holders holds a megabyte since its number of milliseconds.
fn ledger_with(count: u64, capacity: usize) -> (ByteLedger, Vec<HolderId>) {
    let mut ledger = ByteLedger::new(capacity);
    let mut holders = Vec::new();
    for number in 0..count {
        let id = ledger.add(at(number));
        ledger.charge(at(number), id, MEGABYTE);
        holders.push(id);
    }
    (ledger, holders)
}

fn table_of(connections: usize, per_address: usize) -> ConnectionTable {
    ConnectionTable::new(ConnectionLimits {
        connections,
        per_address,
        waiting: 0,
        closing: 0,
    })
}

#[gtest]
fn holder_without_progress_is_evicted_and_not_the_one_that_arrives() {
    let (mut ledger, holders) = ledger_with(7, 8 * MEGABYTE);
    for id in &holders[1..] {
        ledger.note_progress(at(5000), *id);
    }
    let new = ledger.add(at(5000));

    let exhausted = ledger.charge(at(5001), new, 100 * 1024);
    ledger.remove(holders[0]);
    let granted = ledger.charge(at(5002), new, 100 * 1024);

    expect_that!(exhausted, eq(&ChargeResult::Exhausted(vec![holders[0]])));
    expect_that!(granted, eq(&ChargeResult::Granted));
}

#[gtest]
fn evicted_holder_gets_no_more_bytes() {
    let (mut ledger, holders) = ledger_with(7, 8 * MEGABYTE);
    let new = ledger.add(at(100));
    ledger.charge(at(100), new, 100 * 1024);

    let after = ledger.charge(at(101), holders[0], 1);

    expect_that!(after, eq(&ChargeResult::Evicted));
}

#[gtest]
fn no_more_are_evicted_than_the_lack_of_bytes_needs() {
    // Guards against an eviction for each retry of a charge, while the evicted release their bytes.
    let (mut ledger, _) = ledger_with(7, 8 * MEGABYTE);
    let new = ledger.add(at(100));
    ledger.charge(at(100), new, 100 * 1024);

    let again = ledger.charge(at(101), new, 100 * 1024);

    expect_that!(again, eq(&ChargeResult::Exhausted(vec![])));
}

#[gtest]
fn request_that_is_being_served_is_not_evicted() {
    let (mut ledger, holders) = ledger_with(7, 8 * MEGABYTE);
    for id in &holders {
        ledger.set_pinned(at(10), *id, true);
    }
    let large = ledger.add(at(9000));
    let small = ledger.add(at(9000));

    let of_large = ledger.charge(at(9000), large, 100 * 1024);
    let of_small = ledger.charge(at(9000), small, 8 * 1024);

    expect_that!(of_large, eq(&ChargeResult::Exhausted(vec![])));
    // A part of the budget is left to small requests.
    expect_that!(of_small, eq(&ChargeResult::Granted));
}

#[gtest]
fn small_holder_outlasts_large_ones() {
    let mut ledger = ByteLedger::new(8 * MEGABYTE);
    let small = ledger.add(at(0));
    ledger.charge(at(0), small, 8 * 1024);
    let large = ledger.add(at(900));
    ledger.charge(at(900), large, 6 * MEGABYTE);
    let new = ledger.add(at(1000));

    let result = ledger.charge(at(1000), new, 2 * MEGABYTE);

    expect_that!(result, eq(&ChargeResult::Exhausted(vec![large])));
}

#[gtest]
fn held_bytes_never_exceed_the_capacity_and_return_to_zero() {
    let (mut ledger, holders) = ledger_with(40, 8 * MEGABYTE);
    let peak = ledger.held();
    for id in &holders {
        ledger.remove(*id);
    }

    expect_that!(peak, le(8 * MEGABYTE));
    expect_that!(ledger.held(), eq(0));
}

#[gtest]
fn connection_whose_request_is_overdue_gives_way_before_an_idle_one() {
    let mut table = table_of(2, 0);
    let AdmitResult::Admitted(idle) = table.admit(at(0), address(1)) else {
        panic!("the table is empty");
    };
    table.note_use(at(0), idle, ConnectionUse::Idle);
    let AdmitResult::Admitted(overdue) = table.admit(at(100), address(1)) else {
        panic!("the table has room");
    };

    let result = table.admit(at(2000), address(2));

    expect_that!(result, eq(AdmitResult::Replaces(overdue + 1, overdue)));
    expect_that!(table.count(), eq(2));
}

#[gtest]
fn connections_with_calls_or_recent_progress_are_not_closed() {
    let mut table = table_of(2, 0);
    let AdmitResult::Admitted(serving) = table.admit(at(0), address(1)) else {
        panic!("the table is empty");
    };
    table.note_use(at(0), serving, ConnectionUse::Serving);
    table.admit(at(9990), address(1));

    let result = table.admit(at(10_000), address(2));

    expect_that!(result, eq(AdmitResult::Refused));
}

#[gtest]
fn address_with_too_many_connections_replaces_its_own() {
    let mut table = table_of(10, 1);
    table.admit(at(0), address(1));
    let AdmitResult::Admitted(own) = table.admit(at(1), address(2)) else {
        panic!("the table has room");
    };

    let result = table.admit(at(5000), address(2));

    expect_that!(result, eq(AdmitResult::Replaces(own + 1, own)));
}

#[gtest]
fn steady_transfer_has_time_and_a_stalled_one_has_not() {
    let limits = ProgressLimits {
        bytes_per_second: 1000,
        grace: Duration::from_secs(10),
        total: Duration::from_secs(300),
    };

    expect_that!(limits.time_for(0), eq(Duration::from_secs(10)));
    expect_that!(limits.time_for(50_000), eq(Duration::from_secs(60)));
    expect_that!(limits.time_for(MEGABYTE), eq(Duration::from_secs(300)));
}

#[gtest]
fn new_connection_is_refused_while_those_that_gave_way_are_not_closed() {
    // Guards against memory of connections that a busy process has not closed yet.
    let mut table = ConnectionTable::new(ConnectionLimits {
        connections: 10,
        per_address: 0,
        waiting: 1,
        closing: 1,
    });
    table.admit(at(0), address(1));
    let AdmitResult::Replaces(second, first) = table.admit(at(1000), address(1)) else {
        panic!("one connection may wait");
    };

    let while_closing = table.admit(at(2000), address(1));
    table.remove(first);
    let after = table.admit(at(3000), address(1));

    expect_that!(while_closing, eq(AdmitResult::Refused));
    expect_that!(after, eq(AdmitResult::Replaces(second + 1, second)));
}
