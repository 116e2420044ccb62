//! Validation of catalogs, look-up of routes and keys, weights and ranks.

use std::time::Duration;

use catalog::check::check;
use catalog::{
    AccountRule, CallKind, CatalogError, CatalogIndex, KeyMatch, RouteCatalog, RouteRule,
    ServiceRule, ServiceShare,
};
use googletest::prelude::*;

fn service(name: &str) -> ServiceRule {
    ServiceRule {
        name: name.to_owned(),
        health_path: "/healthz".to_owned(),
        max_connections: 10,
        engine: None,
        cold_start: Duration::ZERO,
        cold_rate: None,
    }
}

fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_event_gap: None,
        priority: 1,
        services: vec![ServiceShare {
            service: "plain".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        is_public: false,
        has_prompt: false,
        allowed_regions: Vec::new(),
    }
}

fn account(name: &str, keys: &[&str]) -> AccountRule {
    AccountRule {
        name: name.to_owned(),
        keys: keys.iter().map(|key| (*key).to_owned()).collect(),
        priority: None,
        allowed_regions: Vec::new(),
    }
}

fn valid_catalog() -> RouteCatalog {
    RouteCatalog {
        version: 3,
        routes: vec![route("wide", "/x/"), route("narrow", "/x/y/")],
        services: vec![service("plain")],
        accounts: vec![account("one", &["k1", "k2"]), account("two", &["k3"])],
        ..RouteCatalog::default()
    }
}

#[gtest]
fn longest_prefix_of_the_host_wins() {
    let index = CatalogIndex::new(valid_catalog());

    let name = |host, path| index.find_route(host, path).map(|route| route.name.clone());

    expect_that!(name("a.example", "/x/y/z"), some(eq("narrow")));
    expect_that!(name("A.example:80", "/x/z"), some(eq("wide")));
    expect_that!(name("a.example", "/x"), none());
    expect_that!(name("b.example", "/x/y/z"), none());
}

#[gtest]
fn each_key_of_an_account_is_found() {
    let index = CatalogIndex::new(valid_catalog());

    let holder = |key: &str| match index.find_account(Some(key.as_bytes())) {
        KeyMatch::Account(account) => Some(account.name.clone()),
        _ => None,
    };

    expect_that!(holder("k2"), some(eq("one")));
    expect_that!(holder("k3"), some(eq("two")));
    expect_that!(index.find_account(Some(b"k4")), eq(KeyMatch::Unknown));
    expect_that!(index.find_account(None), eq(KeyMatch::Unknown));
}

#[gtest]
fn without_accounts_no_key_is_needed() {
    let catalog = RouteCatalog {
        accounts: Vec::new(),
        ..valid_catalog()
    };

    let index = CatalogIndex::new(catalog);

    expect_that!(index.find_account(None), eq(KeyMatch::NotRequired));
}

#[gtest]
fn violations_are_reported_by_kind() {
    let valid = valid_catalog();
    let with_routes = |routes| RouteCatalog {
        routes,
        ..valid_catalog()
    };
    let unknown_service = RouteRule {
        services: vec![ServiceShare {
            service: "lost".to_owned(),
            weight: 1,
        }],
        ..route("a", "/a/")
    };
    let zero_weights = RouteRule {
        services: vec![ServiceShare {
            service: "plain".to_owned(),
            weight: 0,
        }],
        ..route("a", "/a/")
    };
    let no_timeout = RouteRule {
        timeout: Duration::ZERO,
        ..route("a", "/a/")
    };
    let shared_key = RouteCatalog {
        accounts: vec![account("one", &["k1"]), account("two", &["k1"])],
        ..valid_catalog()
    };

    expect_that!(check(&valid), ok(anything()));
    expect_that!(
        check(&with_routes(vec![unknown_service])),
        err(pat!(CatalogError::UnknownService { .. }))
    );
    expect_that!(
        check(&with_routes(vec![zero_weights])),
        err(pat!(CatalogError::ZeroWeights { .. }))
    );
    expect_that!(
        check(&with_routes(vec![no_timeout])),
        err(pat!(CatalogError::NoTimeout { .. }))
    );
    expect_that!(
        check(&with_routes(vec![route("a", "/x/"), route("b", "/x/")])),
        err(pat!(CatalogError::DuplicateRoute { .. }))
    );
    expect_that!(
        check(&shared_key),
        err(pat!(CatalogError::SharedKey { .. }))
    );
}

#[gtest]
fn weights_split_a_route() {
    let mut split = route("split", "/s/");
    split.services = vec![
        ServiceShare {
            service: "a".to_owned(),
            weight: 9,
        },
        ServiceShare {
            service: "b".to_owned(),
            weight: 1,
        },
    ];

    let chosen = (0..100).filter(|draw| split.choose_service(*draw) == Some("b"));

    expect_that!(chosen.count(), eq(10));
}

#[gtest]
fn priority_of_the_account_goes_before_that_of_the_route() {
    let routes = [("urgent", 0), ("usual", 1), ("other", 2)];
    let mut catalog = valid_catalog();
    catalog.routes = routes
        .iter()
        .map(|(name, priority)| RouteRule {
            priority: *priority,
            ..route(name, &format!("/{name}/"))
        })
        .collect();
    let with_priority = |name: &str, priority| AccountRule {
        priority,
        ..account(name, &[name])
    };
    catalog.accounts = vec![
        with_priority("first", Some(0)),
        with_priority("second", Some(1)),
        with_priority("plain", None),
    ];
    let service = catalog.routes[0].services[0].service.clone();
    let index = CatalogIndex::new(catalog);

    let rank = |route: usize, account: usize| {
        let catalog = index.catalog();
        index.rank(
            &service,
            &catalog.routes[route],
            Some(&catalog.accounts[account]),
        )
    };

    for account in [0, 1] {
        expect_that!(rank(0, account), lt(rank(1, account)));
        expect_that!(rank(1, account), lt(rank(2, account)));
    }
    for route in 0..3 {
        expect_that!(rank(2, 0), lt(rank(route, 1)), "route {route}");
    }
    expect_that!(rank(0, 0), eq(0));
    expect_that!(rank(1, 2), eq(rank(1, 1)));
}

#[gtest]
fn calls_of_equal_priority_have_rank_0() {
    let index = CatalogIndex::new(valid_catalog());
    let route = &index.catalog().routes[0];

    let rank = index.rank(&route.services[0].service, route, None);

    expect_that!(rank, eq(0));
}
