//! Evacuated failure domains: the replicated state and the paths of orders.

use std::collections::BTreeSet;

use gateway::evacuation::{
    LogCommand, OrderPath, apply_order, decode_command, decode_snapshot, encode_command,
    encode_snapshot, read_order_path, recovered_evacuations,
};
use gateway::evacuation_spread::EvacuationSpread;
use googletest::prelude::*;
use replica::{EntryPayload, LogEntry};
use wire::codec;
use wire::gateway::{CatalogText, EvacuationAction, EvacuationOrder, EvacuationState};

fn order(domain: &str, action: EvacuationAction, at_ms: u64) -> EvacuationOrder {
    EvacuationOrder {
        domain: domain.to_owned(),
        action,
        at_ms,
    }
}

fn state_after(orders: &[EvacuationOrder]) -> EvacuationState {
    let mut state = EvacuationState::default();
    for order in orders {
        apply_order(&mut state, order);
    }
    state
}

fn catalog() -> CatalogText {
    CatalogText {
        version: 7,
        compressed: vec![1, 2, 3],
    }
}

// A repeated order must not count as a change: gateways would take the same set for a newer one, and
// the time of the first order would be lost.
#[gtest]
fn repeated_order_changes_nothing() {
    use EvacuationAction::{Begin, Finish};
    let mut state = state_after(&[order("b", Begin, 5), order("a", Begin, 6)]);

    let is_changed = apply_order(&mut state, &order("b", Begin, 9));
    let is_revoked = apply_order(&mut state, &order("c", Finish, 9));

    expect_that!((is_changed, is_revoked), eq((false, false)));
    expect_that!(state.revision, eq(2));
    let domains = state
        .domains
        .iter()
        .map(|one| (one.name.as_str(), one.since_ms));
    expect_that!(domains.collect::<Vec<_>>(), eq(&vec![("a", 6), ("b", 5)]));
}

#[gtest]
fn finish_revokes_one_of_several_evacuations() {
    use EvacuationAction::{Begin, Finish};

    let state = state_after(&[
        order("a", Begin, 1),
        order("b", Begin, 2),
        order("a", Finish, 3),
    ]);

    expect_that!(state.revision, eq(3));
    expect_that!(state.domains.len(), eq(1));
    expect_that!(state.domains[0].name.as_str(), eq("b"));
}

// Logs of older builds hold encoded catalogs, and members of older builds must not stumble over
// orders while a fleet is upgraded.
#[gtest]
fn log_entries_of_both_builds_are_read_by_both() {
    let old_entry = codec::encode(&catalog()).expect("a small catalog");
    let evacuate = LogCommand::Evacuate(order("a", EvacuationAction::Begin, 4));

    let new_entry = encode_command(&evacuate).expect("a small order");
    let as_old_build: CatalogText = codec::decode_as(&new_entry).expect("a catalog");

    expect_that!(
        decode_command(&old_entry),
        ok(eq(&LogCommand::Catalog(catalog())))
    );
    expect_that!(decode_command(&new_entry), ok(eq(&evacuate)));
    expect_that!(as_old_build.version, eq(0));
}

#[gtest]
fn snapshots_of_older_builds_are_read_and_written_without_orders() {
    let old = codec::encode_state(&catalog()).expect("a small catalog");
    let evacuated = state_after(&[order("a", EvacuationAction::Begin, 4)]);

    let new = encode_snapshot(&catalog(), &evacuated).expect("a small state");
    let calm = encode_snapshot(&catalog(), &EvacuationState::default()).expect("a small state");

    let none = EvacuationState::default();
    expect_that!(decode_snapshot(&old), ok(eq(&(catalog(), none))));
    expect_that!(decode_snapshot(&new), ok(eq(&(catalog(), evacuated))));
    expect_that!(calm, eq(&old));
}

#[gtest]
fn paths_of_orders_are_read_and_malformed_ones_named() {
    let begin = |domain: &str| OrderPath::Order(domain.to_owned(), EvacuationAction::Begin);
    let finish = OrderPath::Order("lyon 1/b".to_owned(), EvacuationAction::Finish);
    let is_malformed = |path: &str| matches!(read_order_path(path), OrderPath::Malformed(_));
    let long = format!("/v1/evacuations/{}/begin", "x".repeat(257));

    expect_that!(
        read_order_path("/v1/evacuations/lyon/begin"),
        eq(&begin("lyon"))
    );
    expect_that!(
        read_order_path("/v1/evacuations/lyon%201%2Fb/finish"),
        eq(&finish)
    );
    expect_that!(
        read_order_path("/v1/evacuationsx/begin"),
        eq(&OrderPath::Other)
    );
    for path in [
        "/v1/evacuations//begin",
        "/v1/evacuations/begin",
        "/v1/evacuations/lyon/start",
        "/v1/evacuations/a/b/begin",
        "/v1/evacuations/%ff/begin",
        "/v1/evacuations/%0a/begin",
        long.as_str(),
    ] {
        expect_that!(is_malformed(path), eq(true), "{path}");
    }
}

fn entry(index: u64, order: EvacuationOrder) -> LogEntry {
    let command = encode_command(&LogCommand::Evacuate(order)).expect("a small order");
    LogEntry {
        index,
        term: 1,
        payload: EntryPayload::Command(command),
    }
}

#[gtest]
fn orders_after_the_snapshot_are_recovered_and_those_within_it_count_once() {
    use EvacuationAction::{Begin, Finish};
    let in_snapshot = state_after(&[order("a", Begin, 1), order("b", Begin, 2)]);
    let bytes = encode_snapshot(&catalog(), &in_snapshot).expect("a small state");
    let entries = [
        entry(4, order("b", Begin, 2)),
        entry(5, order("a", Finish, 3)),
        entry(6, order("c", Begin, 4)),
    ];

    let recovered = recovered_evacuations(Some((4, &bytes)), &entries);
    let nothing_new = recovered_evacuations(Some((6, &bytes)), &entries);

    let recovered = recovered.expect("two orders follow the snapshot");
    let names = recovered.domains.iter().map(|domain| domain.name.as_str());
    expect_that!(names.collect::<Vec<_>>(), eq(&vec!["b", "c"]));
    expect_that!(recovered.revision, eq(4));
    expect_that!(nothing_new, none());
}

// Guards against a domain that is excluded for good because an order in the log was never committed, and
// against one that is released by an older state of another gateway.
#[gtest]
fn recovered_order_excludes_its_domain_until_the_log_or_a_newer_state_decides() {
    use EvacuationAction::Begin;
    let older = state_after(&[order("a", Begin, 1)]);
    let recovered = state_after(&[order("a", Begin, 1), order("b", Begin, 2)]);
    let excluded = |spread: &EvacuationSpread| {
        let domains: BTreeSet<String> = spread.excluded_domains().map(str::to_owned).collect();
        domains.into_iter().collect::<Vec<_>>().join(" ")
    };
    let mut lost = EvacuationSpread::new(1);
    lost.recover(recovered.clone());

    lost.take_over(older);
    let before = (excluded(&lost), lost.is_unsettled(), lost.state().revision);
    let mut confirmed = lost.clone();
    confirmed.take_over(recovered);
    lost.settle();

    expect_that!(before, eq(&("a b".to_owned(), true, 1)));
    expect_that!(excluded(&lost), eq("a"));
    expect_that!(excluded(&confirmed), eq("a b"));
    expect_that!(confirmed.is_unsettled(), eq(false));
}
