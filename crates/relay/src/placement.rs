//! Which endpoint runs a call.
//!
//! Calls with a prompt go where the shared part of the prompt is warm: rendezvous hashing ranks the
//! endpoints for each part, and the first whose load is within the bound takes the call. The other
//! calls go to the endpoint that is expected to answer first.

use std::net::SocketAddrV4;
use std::time::Duration;

use wire::id::{DomainId, EndpointId, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::table::{EndpointRow, EndpointTable};

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Load of a warm endpoint over the mean of its service, up to which it takes more.
    pub load_factor: f64,
    /// Requests above that, which a small service would otherwise turn away by chance.
    pub load_slack: f64,
    /// Requests by which an endpoint of another failure domain counts as more loaded, for calls
    /// without a prompt.
    pub distance: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            load_factor: 1.6,
            load_slack: 2.8,
            distance: 0.5,
        }
    }
}

/// What the choice is for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service.
    pub service: ServiceId,
    /// Part of the prompt that other calls share.
    pub shared_part: Option<u64>,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Endpoints that the call has tried.
    pub tried: &'a [EndpointId],
    /// The time.
    pub now: Duration,
}

/// Chooses an endpoint, or none when no usable one is left.
pub fn choose(
    settings: &PlacementSettings,
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
) -> Option<EndpointId> {
    let usable = best_standing(table, query);
    match query.shared_part {
        Some(part) => choose_warm(settings, &usable, part, query.now),
        None => choose_fast(settings, &usable, query),
    }
}

/// The untried endpoints with the best standing that any of them has. A call is placed badly rather
/// than not at all.
fn best_standing<'a>(table: &'a EndpointTable, query: &PlacementQuery<'_>) -> Vec<Candidate<'a>> {
    let untried = table.of_service(query.service);
    let untried = untried.filter(|(id, _)| !query.tried.contains(id));
    let standing = untried.filter_map(|(id, row)| Some((row.standing(query.now)?, (id, row))));
    let standing: Vec<_> = standing.collect();
    let best = standing.iter().map(|(standing, _)| *standing).min();
    let of_best = standing
        .into_iter()
        .filter(|(standing, _)| Some(*standing) == best);
    of_best.map(|(_, candidate)| candidate).collect()
}

type Candidate<'a> = (EndpointId, &'a EndpointRow);

fn choose_warm(
    settings: &PlacementSettings,
    usable: &[Candidate<'_>],
    part: u64,
    now: Duration,
) -> Option<EndpointId> {
    let total: u32 = usable.iter().map(|(_, row)| row.load(now)).sum();
    let mean = f64::from(total) / usable.len().max(1) as f64;
    let bound = mean * settings.load_factor + settings.load_slack;
    let within = |(_, row): &&Candidate<'_>| f64::from(row.load(now)) < bound;
    let first = usable
        .iter()
        .filter(within)
        .max_by_key(|(id, _)| rank(part, *id));
    let least = || usable.iter().min_by_key(|(id, row)| (row.load(now), *id));
    let chosen = first.or_else(least);
    chosen.map(|(id, _)| *id)
}

/// The endpoint that most probably holds a shared part, beside the one that runs the call: the
/// first in the part's ranking. One that drains still hands out what it holds.
pub fn warm_source(
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
    chosen: EndpointId,
) -> Option<SocketAddrV4> {
    let part = query.shared_part?;
    let others = table
        .of_service(query.service)
        .filter(|(id, row)| *id != chosen && !query.tried.contains(id) && row.is_sound(query.now));
    let best = others.max_by_key(|(id, _)| rank(part, *id));
    best.map(|(_, row)| row.address)
}

/// Rank of an endpoint for a part: equal at all instances, and unrelated between parts.
fn rank(part: u64, id: EndpointId) -> u64 {
    xxh3_64_with_seed(&id.to_le_bytes(), part)
}

fn choose_fast(
    settings: &PlacementSettings,
    usable: &[Candidate<'_>],
    query: &PlacementQuery<'_>,
) -> Option<EndpointId> {
    let best_latency = usable
        .iter()
        .filter_map(|(_, row)| row.health.latency())
        .min();
    let best_failures = usable.iter().map(|(_, row)| row.health.failures());
    let best_failures = best_failures.fold(1.0, f64::min);
    let cost = |(id, row): &&Candidate<'_>| {
        let pace = match (row.health.latency(), best_latency) {
            (Some(own), Some(best)) => (own.as_secs_f64() / best.as_secs_f64()).max(1.0),
            _ => 1.0,
        };
        let failures = row.health.failures() - best_failures;
        let served = (1.0 - failures).max(0.1);
        let away = if row.domain == query.domain {
            0.0
        } else {
            settings.distance
        };
        let load = f64::from(row.load(query.now)) + 1.0 + away;
        (load * pace.sqrt() / served, *id)
    };
    let cheapest = usable.iter().min_by(|a, b| {
        cost(a)
            .partial_cmp(&cost(b))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    cheapest.map(|(id, _)| *id)
}
