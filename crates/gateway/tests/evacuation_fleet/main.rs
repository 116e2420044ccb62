//! Orders to evacuate a failure domain, given to a fleet of gateway processes on loopback, of which
//! some have no data folder.

use std::time::{Duration, Instant};

use googletest::prelude::*;

mod fixture;

use fixture::{Endpoints, GATEWAYS, GatewayFleet, STORES, wait_until};

const BEGIN: &str = "/v1/evacuations/rennes/begin";
const FINISH: &str = "/v1/evacuations/rennes/finish";
/// Pairs of orders after which the members have taken a snapshot.
const SNAPSHOT_ORDERS: usize = 16;
/// Calls to each gateway that show whether it obeys an order.
const CALLS: usize = 6;

// Guards against a gateway that goes on sending calls to the domain, and against an order that is
// refused when it is repeated.
#[gtest]
fn order_given_to_any_gateway_is_obeyed_by_all_until_it_is_revoked() {
    let endpoints = Endpoints::start(["rennes", "paris"]);
    let fleet = GatewayFleet::start(0, &endpoints);
    let calm = fleet.call_all(CALLS);
    let before = endpoints.received("rennes");

    let ordered_at = Instant::now();
    let begun = fleet.order(STORES, BEGIN);
    let acknowledged_after = ordered_at.elapsed();
    fleet.wait_evacuated("rennes");
    let obeyed_after = ordered_at.elapsed();
    let repeated = fleet.order(0, BEGIN);
    let evacuated_from = endpoints.received("rennes");
    let during = fleet.call_all(CALLS);
    let evacuated_to = endpoints.received("rennes");
    let revisions: Vec<_> = (0..GATEWAYS)
        .map(|place| fleet.status(place)["evacuation_revision"].as_u64())
        .collect();
    let metrics = fleet.metrics(GATEWAYS - 1);
    let finished = fleet.order(1, FINISH);
    fleet.wait_evacuated("");
    let after = fleet.call_all(CALLS);

    println!(
        "RESULT evacuation gateways={GATEWAYS} acknowledged_ms={} obeyed_by_all_ms={}",
        acknowledged_after.as_millis(),
        obeyed_after.as_millis()
    );
    expect_that!(before, gt(0));
    expect_that!((begun, repeated, finished), eq((200, 200, 200)));
    expect_that!(evacuated_to, eq(evacuated_from));
    expect_that!(endpoints.received("rennes"), gt(evacuated_to));
    expect_that!(revisions, each(some(eq(&1))));
    expect_that!(
        metrics,
        contains_substring("sapphire_gateway_evacuated_since_seconds{domain=\"rennes\"}")
    );
    for statuses in [calm, during, after] {
        expect_that!(statuses, each(eq(&200)));
    }
}

// Guards against orders in force for unknown domains, and against calls that wait or are sent when
// no domain is left.
#[gtest]
fn unknown_domain_is_refused_and_evacuation_of_the_last_one_refuses_calls() {
    let endpoints = Endpoints::start(["rennes", "paris"]);
    let fleet = GatewayFleet::start(1, &endpoints);

    let unknown = fleet.order_once(0, "/v1/evacuations/nowhere/begin").0;
    let malformed = fleet.order_once(0, "/v1/evacuations//begin").0;
    let without_endpoint = fleet.order(1, "/v1/evacuations/empty/begin");
    let first = fleet.order(0, BEGIN);
    let last = fleet.order(2, "/v1/evacuations/paris/begin");
    fleet.wait_evacuated("empty,paris,rennes");
    let received = endpoints.received("rennes") + endpoints.received("paris");
    let refused = fleet.call_all(2);

    expect_that!((unknown, malformed), eq((404, 400)));
    expect_that!((without_endpoint, first, last), eq((200, 200, 200)));
    expect_that!(refused, each(eq(&503)));
    expect_that!(
        endpoints.received("rennes") + endpoints.received("paris"),
        eq(received)
    );
}

// Guards against an acknowledged order that is lost, or that a restarted gateway obeys late: it must
// hold once a gateway is ready again.
#[gtest]
fn order_survives_kill_of_all_gateways_and_loss_of_a_disk() {
    let endpoints = Endpoints::start(["rennes", "paris"]);
    let mut fleet = GatewayFleet::start(2, &endpoints);
    let begun = fleet.order(GATEWAYS - 1, BEGIN);

    fleet.kill_all();
    fleet.wipe(0);
    fleet.start_all();
    fleet.wait_ready();
    fleet.wait_evacuated("rennes");
    let received = endpoints.received("rennes");
    let statuses = fleet.call_all(CALLS);

    expect_that!(begun, eq(200));
    expect_that!(statuses, each(eq(&200)));
    expect_that!(endpoints.received("rennes"), eq(received));
}

// Guards against an order that is lost with its leader: acknowledged by one gateway, and not yet
// known to the others.
#[gtest]
fn order_survives_the_loss_of_the_leader_right_after_the_acknowledgement() {
    let endpoints = Endpoints::start(["rennes", "paris"]);
    let mut fleet = GatewayFleet::start(3, &endpoints);
    let is_leader = |place: &usize| fleet.status(*place)["is_leader"] == true;
    let mut leader = None;
    wait_until("a gateway leads", || {
        leader = (0..STORES).find(is_leader);
        leader.is_some()
    });
    let leader = leader.expect("a gateway leads");

    let begun = fleet.order_once(leader, BEGIN).0;
    fleet.kill(leader);
    std::thread::sleep(Duration::from_millis(100));
    fleet.start_one(leader);
    fleet.wait_ready();
    fleet.wait_evacuated("rennes");
    let finished = fleet.order(leader, FINISH);
    fleet.wait_evacuated("");

    expect_that!((begun, finished), eq((200, 200)));
}

// Guards against calls that are sent to the domain while restarted gateways have a catalog from their
// snapshots, and do not know yet that the order in their logs is committed.
#[gtest]
fn restarted_fleet_obeys_an_order_that_is_newer_than_its_snapshots() {
    let endpoints = Endpoints::start(["rennes", "paris"]);
    let mut fleet = GatewayFleet::start(4, &endpoints);
    for _ in 0..SNAPSHOT_ORDERS {
        fleet.order(0, "/v1/evacuations/empty/begin");
        fleet.order(0, "/v1/evacuations/empty/finish");
    }
    let begun = fleet.order(0, BEGIN);
    fleet.wait_evacuated("rennes");

    fleet.kill_all();
    let received = endpoints.received("rennes");
    fleet.start_all();
    let mut served = 0;
    wait_until("all gateways obey after the restart", || {
        let statuses = fleet.call_all(1);
        served += statuses.iter().filter(|status| **status == 200).count();
        (0..GATEWAYS).all(|place| fleet.evacuated(place).as_deref() == Some("rennes"))
    });

    expect_that!(begun, eq(200));
    expect_that!(endpoints.received("rennes"), eq(received));
    println!("RESULT evacuation-restart served_before_all_obey={served}");
}
