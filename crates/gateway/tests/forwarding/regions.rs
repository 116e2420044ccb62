//! Calls that must stay in the regions that their route and their account allow, and calls beside
//! evacuated failure domains.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use catalog::CatalogIndex;
use googletest::prelude::*;
use relay::region::DomainRegions;
use wire::id::name_id;

use crate::fixture::{
    CallerAnswer, ScriptedEndpoint, ScriptedReply, call, chunk, event, not_run_answer, request,
    signed_answer, stream_head,
};
use crate::{RelayFixture, empty_state, listed_at, run, serve, valid_catalog};

/// A relay in front of one endpoint in each of these failure domains, whose calls all must stay in
/// the regions of both lists. `lyon` lies in the region `east`, `paris` in `centre`, and the region
/// of any other domain is not known.
async fn relay_in_regions(
    endpoints: &[(&str, &Rc<ScriptedEndpoint>)],
    of_routes: &[&str],
    of_account: &[&str],
) -> RelayFixture {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let state = empty_state();
    let mut catalog = valid_catalog();
    for route in &mut catalog.routes {
        route.allowed_regions = owned(of_routes);
        route.max_attempts = 5;
    }
    catalog.accounts[0].allowed_regions = owned(of_account);
    state.set_catalog(CatalogIndex::new(catalog));
    let domains = [("lyon", "east"), ("paris", "centre")];
    let domains = domains.map(|(domain, region)| (domain.to_owned(), region.to_owned()));
    state.set_regions(DomainRegions::new(&BTreeMap::from(domains)));
    let listed = endpoints
        .iter()
        .map(|(domain, one)| listed_at(&one.name, one.address, name_id(domain)));
    state.set_endpoints(&listed.collect::<Vec<_>>());
    serve(state).await
}

/// Answers of calls while one endpoint in each of three failure domains is listed, and the requests
/// that the endpoints in `lyon`, `paris` and a domain of unknown region received.
async fn calls_in_regions(of_routes: &[&str], of_account: &[&str]) -> (Vec<u16>, [usize; 3]) {
    let lyon = ScriptedEndpoint::start("e1", vec![]).await;
    let paris = ScriptedEndpoint::start("e2", vec![]).await;
    let other = ScriptedEndpoint::start("e3", vec![]).await;
    let endpoints = [("lyon", &lyon), ("paris", &paris), ("brest", &other)];
    let relay = relay_in_regions(&endpoints, of_routes, of_account).await;
    let mut statuses = Vec::new();
    for _ in 0..12 {
        let answer = call(relay.address, &request("/safe/x", "body")).await;
        statuses.push(answer.status());
    }
    (statuses, [lyon.runs(), paris.runs(), other.runs()])
}

// Guards against a first attempt outside of the regions, against a list that hides the other, and
// against an empty list that allows nothing.
#[gtest]
fn call_stays_in_the_regions_that_route_and_account_both_allow() {
    let lists: [(&[&str], &[&str], [bool; 3]); 4] = [
        (&["east"], &[], [true, false, false]),
        (&[], &["centre", "nowhere"], [false, true, false]),
        (&["east", "centre"], &["centre"], [false, true, false]),
        (&[], &[], [true, true, true]),
    ];
    for (of_routes, of_account, expected) in lists {
        let (statuses, runs) = run(calls_in_regions(of_routes, of_account));

        expect_that!(statuses, each(eq(&200)));
        let reached = runs.map(|runs| runs > 0);
        for (is_reached, may_be) in reached.into_iter().zip(expected) {
            expect_that!(
                is_reached && !may_be,
                eq(false),
                "{of_routes:?} {of_account:?}"
            );
        }
    }
}

// Guards against calls that wait, or are sent anywhere, when no endpoint is left.
#[gtest]
fn call_that_may_run_in_no_region_is_refused_as_not_run() {
    let lists: [(&[&str], &[&str]); 2] = [(&["east"], &["centre"]), (&["nowhere"], &[])];
    for (of_routes, of_account) in lists {
        let (statuses, runs) = run(calls_in_regions(of_routes, of_account));

        expect_that!(statuses, each(eq(&503)));
        expect_that!(runs, eq([0, 0, 0]));
    }
}

/// The answer of a call to the route `path` that must stay in the region `east`, where the only
/// endpoint replies `first`, and the numbers of requests there and elsewhere.
async fn retried_call(path: &str, first: ScriptedReply) -> (CallerAnswer, usize, usize) {
    let lyon = ScriptedEndpoint::start("e1", vec![first]).await;
    let paris = ScriptedEndpoint::start("e2", vec![]).await;
    let endpoints = [("lyon", &lyon), ("paris", &paris)];
    let relay = relay_in_regions(&endpoints, &["east"], &[]).await;
    let answer = call(relay.address, &request(path, "body")).await;
    (answer, lyon.runs(), paris.runs())
}

// Guards against retries and resumed streams that leave the regions of the first attempt.
#[gtest]
fn retry_and_resumed_stream_do_not_leave_the_region() {
    let part = stream_head() + &chunk(&event(1)) + &chunk(&event(2));
    let replies = [
        ("/unsafe/x", ScriptedReply::Keep(not_run_answer())),
        ("/safe/x", ScriptedReply::Keep(signed_answer(500, "failed"))),
        ("/safe/x", ScriptedReply::Reset(String::new())),
        ("/resumable/x", ScriptedReply::Close(part)),
    ];
    for (path, reply) in replies {
        let (answer, inside, outside) = run(retried_call(path, reply));

        expect_that!((inside, outside), eq((1, 0)), "{path}");
        expect_that!(
            answer.is_whole && answer.status() == 200,
            eq(false),
            "{path}"
        );
    }
}

// Guards against an idle connection to the predecessor of an endpoint that was replaced under its
// name, in another region.
#[gtest]
fn idle_connection_to_another_region_is_not_used() {
    let (statuses, before, after) = run(async {
        let paris = ScriptedEndpoint::start("e1", vec![]).await;
        let lyon = ScriptedEndpoint::start("e1", vec![]).await;
        let relay = relay_in_regions(&[("lyon", &paris)], &["east"], &[]).await;
        let first = call(relay.address, &request("/safe/x", "body")).await;
        let before = paris.runs();
        let listed = listed_at("e1", lyon.address, name_id("lyon"));
        relay.state.set_endpoints(&[listed]);
        let second = call(relay.address, &request("/safe/x", "body")).await;
        let statuses = (first.status(), second.status());
        (statuses, before, (paris.runs(), lyon.runs()))
    });

    expect_that!(statuses, eq((200, 200)));
    expect_that!(before, eq(1));
    expect_that!(after, eq((1, 1)));
}

// Guards against a retry, or the rest of a stream, that is sent to an evacuated domain, and against
// running work there that is cut.
#[gtest]
fn running_call_finishes_in_an_evacuated_domain_and_is_not_retried_there() {
    let (answer, retried, runs) = run(async {
        let slow = ScriptedReply::Slow(
            stream_head() + &chunk(&event(1)),
            chunk(&event(2)) + "0\r\n\r\n",
        );
        let failed = ScriptedReply::Keep(not_run_answer());
        let lyon = ScriptedEndpoint::start("e1", vec![slow]).await;
        let paris = ScriptedEndpoint::start("e2", vec![failed]).await;
        let relay = relay_in_regions(&[("lyon", &lyon)], &[], &[]).await;
        let (address, state) = (relay.address, Rc::clone(&relay.state));
        let running =
            actix_rt::spawn(async move { call(address, &request("/stream/x", "body")).await });
        while lyon.runs() == 0 {
            tokio::task::yield_now().await;
        }
        state.set_evacuated(&BTreeSet::from([name_id("lyon")]));
        let listed = [("e1", &lyon, "lyon"), ("e2", &paris, "paris")]
            .map(|(name, one, domain)| listed_at(name, one.address, name_id(domain)));
        state.set_endpoints(&listed);
        let retried = call(address, &request("/unsafe/x", "body")).await;
        let answer = running.await.expect("the call was not cancelled");
        (answer, retried, (lyon.runs(), paris.runs()))
    });

    expect_that!(answer.events(), eq(&vec!["d1".to_owned(), "d2".to_owned()]));
    expect_that!(retried.status(), eq(503));
    expect_that!(runs, eq((1, 1)));
}
