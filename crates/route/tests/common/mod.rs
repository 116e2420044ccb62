//! Fixtures of the route tests.

#![allow(dead_code)]

use std::time::Instant;

use rand_pcg::Pcg64Mcg;
use route::{RouteDecision, RouteRequest, RouteSettings, RouteTable, WarmHint, WarmLocation};
use settings::LoadLimits;
use wire::answer::EndpointLoad;
use wire::id::name_id;
use wire::member::{EndpointRecord, EndpointState, LoadSample, MemberDigest, ServiceMean};

pub(crate) const SERVICE: u64 = 5;
pub(crate) const SEED: u128 = 0xcafe_f00d_d15e_a5e5;

pub(crate) fn record(number: u64) -> EndpointRecord {
    EndpointRecord {
        endpoint: name_id(&format!("runner-{number}")),
        name: format!("runner-{number}"),
        incarnation: 1,
        cache_epoch: 1,
        service: SERVICE,
        domain: number % 3,
        domain_name: format!("domain-{}", number % 3),
        address: ([127, 0, 0, 1], 9000).into(),
        weight: 1,
    }
}

pub(crate) fn sample(number: u64, state: EndpointState, running: u32) -> LoadSample {
    LoadSample {
        endpoint: record(number).endpoint,
        incarnation: 1,
        state,
        load: EndpointLoad { running, queued: 0 },
    }
}

pub(crate) fn table_of(loads: &[u32], now: Instant) -> RouteTable {
    let mut table = RouteTable::new(RouteSettings::default());
    let numbers = 0..loads.len() as u64;
    let total: u32 = loads.iter().sum();
    let digest = MemberDigest {
        records: numbers.clone().map(record).collect(),
        loads: numbers
            .map(|number| sample(number, EndpointState::Serving, loads[number as usize]))
            .collect(),
        means: vec![ServiceMean {
            service: SERVICE,
            load: total.into(),
            weight: loads.len() as u64,
            absent: 0,
        }],
        ..MemberDigest::default()
    };
    table.observe_digest(&digest, now);
    table.verify();
    table
}

pub(crate) fn request(affinity: u64, hint: &WarmHint) -> RouteRequest<'_> {
    RouteRequest {
        service: SERVICE,
        model: None,
        affinity,
        hint,
        prefixes: &[],
        tried: &[],
        limits: LoadLimits::default(),
    }
}

pub(crate) fn choose(table: &RouteTable, request: &RouteRequest, now: Instant) -> RouteDecision {
    table.choose(request, now, &mut Pcg64Mcg::new(SEED))
}

pub(crate) fn warm_at(number: u64) -> WarmHint {
    WarmHint::default().moved_to(WarmLocation {
        endpoint: record(number).endpoint,
        cache_epoch: 1,
        tokens: 4000,
    })
}
