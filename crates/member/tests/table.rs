//! Membership with late, lost and contradictory reports.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use member::{ListEntry, ListState, MemberSettings, MemberState, MemberTable};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::answer::EndpointLoad;
use wire::member::{AgentHeartbeat, EndpointRecord, EndpointState, MemberDigest};

const SECOND: Duration = Duration::from_secs(1);
const SEED: u128 = 0xcafe_f00d_d15e_a5e5;

fn record(endpoint: u64, incarnation: u64) -> EndpointRecord {
    EndpointRecord {
        endpoint,
        name: format!("runner-{endpoint}"),
        incarnation,
        cache_epoch: incarnation,
        service: 1,
        domain: 0,
        domain_name: String::new(),
        address: ([127, 0, 0, 1], 9000).into(),
        weight: 1,
    }
}

fn heartbeat(endpoint: u64, incarnation: u64, sequence: u64) -> AgentHeartbeat {
    AgentHeartbeat {
        record: (sequence == 1).then(|| record(endpoint, incarnation)),
        endpoint,
        incarnation,
        sequence,
        state: EndpointState::Serving,
        load: EndpointLoad {
            running: 10,
            queued: 0,
        },
        settings: 1,
    }
}

fn table_of(endpoints: u64, now: Instant) -> MemberTable {
    let mut table = MemberTable::new(MemberSettings::default());
    for endpoint in 0..endpoints {
        table.observe_heartbeat(&heartbeat(endpoint, 1, 1), now);
    }
    table.verify();
    table
}

fn state(table: &MemberTable, endpoint: u64) -> Option<MemberState> {
    table.get(endpoint).map(|row| row.state)
}

fn listed(endpoint: u64, incarnation: u64, state: ListState) -> ListEntry {
    ListEntry {
        endpoint,
        incarnation: Some(incarnation),
        state,
    }
}

#[gtest]
fn heartbeats_of_an_earlier_incarnation_or_out_of_order_are_ignored() {
    let now = Instant::now();
    let mut table = table_of(1, now);
    table.observe_heartbeat(&heartbeat(0, 2, 1), now);
    table.observe_heartbeat(&heartbeat(0, 2, 3), now);

    let late_incarnation = AgentHeartbeat {
        state: EndpointState::Down,
        ..heartbeat(0, 1, 9)
    };
    let late_sequence = AgentHeartbeat {
        state: EndpointState::Down,
        ..heartbeat(0, 2, 2)
    };
    table.observe_heartbeat(&late_incarnation, now);
    table.observe_heartbeat(&late_sequence, now);

    expect_that!(state(&table, 0), some(eq(MemberState::Live)));
    expect_that!(table.get(0).map(|row| row.record.incarnation), some(eq(2)));
}

#[gtest]
fn lost_and_late_heartbeats_do_not_expire_a_lease() {
    let start = Instant::now();
    let mut table = table_of(1, start);
    let mut rng = Pcg64Mcg::new(SEED);
    let mut arrivals: Vec<(Instant, u64)> = Vec::new();
    for sequence in 2..20_000 {
        if rng.random_bool(0.01) {
            continue;
        }
        let jitter = Duration::from_millis(rng.random_range(0..20));
        arrivals.push((start + SECOND * sequence as u32 + jitter, sequence));
    }
    arrivals.sort();

    for (at, sequence) in arrivals {
        table.tick(at);
        expect_that!(state(&table, 0), some(eq(MemberState::Live)));
        table.observe_heartbeat(&heartbeat(0, 1, sequence), at);
    }
}

#[gtest]
fn member_without_heartbeats_expires_and_the_list_does_not_revive_it() {
    let now = Instant::now();
    let mut table = table_of(2, now);

    let later = now + 4 * SECOND;
    table.observe_list(&[listed(0, 1, ListState::Live)], later);
    table.tick(later);

    expect_that!(state(&table, 0), some(eq(MemberState::Expired)));
    table.tick(now + 200 * SECOND);
    expect_that!(table.rows(), is_empty());
}

#[gtest]
fn stale_list_does_not_affect_the_next_incarnation() {
    let now = Instant::now();
    let mut table = table_of(1, now);
    table.observe_list(&[listed(0, 1, ListState::Leaving)], now);
    let while_leaving = state(&table, 0);
    table.observe_heartbeat(&heartbeat(0, 2, 1), now + SECOND);

    table.observe_list(&[listed(0, 1, ListState::Leaving)], now + 2 * SECOND);
    table.observe_list(&[], now + 2 * SECOND);

    expect_that!(while_leaving, some(eq(MemberState::Leaving)));
    expect_that!(state(&table, 0), some(eq(MemberState::Live)));
}

#[gtest]
fn each_source_makes_a_member_leave_at_once() {
    let now = Instant::now();
    let mut table = table_of(3, now);
    table.next_digest(now);

    table.observe_list(&[listed(0, 1, ListState::Leaving)], now);
    table.set_drained([1], now);
    let draining = AgentHeartbeat {
        state: EndpointState::Draining,
        ..heartbeat(2, 1, 2)
    };
    table.observe_heartbeat(&draining, now);
    table.verify();

    expect_that!(table.is_urgent(), eq(true));
    let digest = table.next_digest(now);
    let states: Vec<EndpointState> = digest.loads.iter().map(|sample| sample.state).collect();
    expect_that!(
        states,
        elements_are![
            eq(&EndpointState::Draining),
            eq(&EndpointState::Draining),
            eq(&EndpointState::Draining)
        ]
    );
    expect_that!(digest.means[0].weight, eq(0));
    expect_that!(table.is_urgent(), eq(false));
}

#[gtest]
fn closed_connection_shortens_the_lease_of_its_own_incarnation_only() {
    let now = Instant::now();
    let mut table = table_of(2, now);
    table.observe_heartbeat(&heartbeat(1, 2, 1), now);

    table.observe_close(0, 1, now);
    table.observe_close(1, 1, now);
    table.tick(now + SECOND);

    expect_that!(state(&table, 0), some(eq(MemberState::Expired)));
    expect_that!(state(&table, 1), some(eq(MemberState::Live)));
}

#[gtest]
fn flapping_member_is_damped_unless_its_capacity_is_needed() {
    let start = Instant::now();
    let flap = |table: &mut MemberTable, endpoint: u64, now: Instant| {
        for incarnation in 2..8 {
            table.observe_heartbeat(&heartbeat(endpoint, incarnation, 1), now);
        }
    };
    let mut table = table_of(9, start);
    let mut small = table_of(3, start);

    flap(&mut table, 0, start);
    flap(&mut small, 0, start);
    let damped = state(&table, 0);
    for second in 1..90 {
        for endpoint in 0..9 {
            let incarnation = if endpoint == 0 { 7 } else { 1 };
            let heartbeat = heartbeat(endpoint, incarnation, second + 1);
            table.observe_heartbeat(&heartbeat, start + SECOND * second as u32);
        }
    }

    expect_that!(damped, some(eq(MemberState::Damped)));
    expect_that!(state(&table, 0), some(eq(MemberState::Live)));
    expect_that!(state(&small, 0), some(eq(MemberState::Live)));
}

#[gtest]
fn incremental_digests_add_up_to_the_full_one() {
    let now = Instant::now();
    let mut table = table_of(3, now);
    let first = table.next_digest(now);
    let full = table.full_digest();
    table.observe_heartbeat(&heartbeat(1, 2, 1), now);

    let second = table.next_digest(now + SECOND);
    let third = table.next_digest(now + 2 * SECOND);

    expect_that!(first, eq(&full));
    expect_that!(second.records, elements_are![eq(&record(1, 2))]);
    expect_that!(second.loads.len(), eq(1));
    expect_that!(third, eq(&MemberDigest::default()));
}

#[gtest]
fn loads_stay_within_the_budget_and_the_largest_changes_are_sent_first() {
    let now = Instant::now();
    let mut table = table_of(200, now);
    table.next_digest(now);
    for endpoint in 0..200 {
        let changed = AgentHeartbeat {
            load: EndpointLoad {
                running: 10 + endpoint as u32,
                queued: 0,
            },
            ..heartbeat(endpoint, 1, 2)
        };
        table.observe_heartbeat(&changed, now);
    }

    let digest = table.next_digest(now + SECOND);

    let least = digest.loads.iter().map(|sample| sample.load.running).min();
    expect_that!(digest.loads.len(), eq(23));
    expect_that!(least, some(eq(187)));
    let bytes = wire::codec::encode(&digest.loads).map(|bytes| bytes.len());
    expect_that!(bytes, ok(le(&512)));
}
