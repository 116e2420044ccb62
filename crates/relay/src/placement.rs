//! Which endpoint runs a call.
//!
//! Calls with a prompt go where the shared part of the prompt is warm: rendezvous hashing ranks the
//! endpoints for each part, and the first whose load is within the bound and that has a free place or
//! a short queue takes the call; when none has, the least full one. The other calls go to the endpoint
//! that is expected to answer first.

use std::net::SocketAddrV4;
use std::time::Duration;

use wire::id::{DomainId, EndpointId, InstanceId, ServiceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::row::EndpointRow;
use crate::table::EndpointTable;

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Load of a warm endpoint over the mean of its service, up to which it takes more.
    pub load_factor: f64,
    /// Requests above that, which a small service would otherwise turn away by chance.
    pub load_slack: f64,
    /// Queue of a warm endpoint, as a part of its places, up to which it takes more.
    pub warm_queue_limit: f64,
    /// Requests by which an endpoint of another failure domain counts as more loaded, for calls
    /// without a prompt.
    pub remote_domain_penalty: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            load_factor: 1.6,
            load_slack: 2.8,
            warm_queue_limit: 0.3,
            remote_domain_penalty: 0.5,
        }
    }
}

/// Steps of the places of an endpoint within which two endpoints count as equally full.
const UTILIZATION_STEPS: f64 = 4.0;

/// What the choice is for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// The service.
    pub service: ServiceId,
    /// Part of the prompt that other calls share.
    pub shared_part: Option<u64>,
    /// This instance.
    pub instance: InstanceId,
    /// Its failure domain.
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
        Some(part) => choose_warm(settings, &usable, part, query),
        None => choose_fast(settings, &usable, query),
    }
}

/// The least full endpoint for a call with a prompt, wherever its parts are warm; or none when no
/// usable one is left.
pub fn choose_least_utilized(
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
) -> Option<EndpointId> {
    let usable = best_standing(table, query);
    let seed = query.shared_part.unwrap_or_default() ^ query.instance;
    let chosen = least_utilized(&usable, seed, query.now);
    chosen.map(|(id, _)| *id)
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
    query: &PlacementQuery<'_>,
) -> Option<EndpointId> {
    let now = query.now;
    let total: u32 = usable.iter().map(|(_, row)| row.load(now)).sum();
    let mean = f64::from(total) / usable.len().max(1) as f64;
    let bound = mean * settings.load_factor + settings.load_slack;
    let within = usable.iter().copied();
    let within: Vec<_> = within
        .filter(|(_, row)| f64::from(row.load(now)) < bound)
        .collect();
    let has_room = |(_, row): &&Candidate<'_>| row.queue_ratio(now) <= settings.warm_queue_limit;
    let first = within
        .iter()
        .filter(has_room)
        .max_by_key(|(id, _)| affinity(part, *id));
    let chosen = first.or_else(|| least_utilized(&within, part ^ query.instance, now));
    chosen.map(|(id, _)| *id)
}

/// The least full endpoint; among those that are about equally full, the first in the ranking by
/// `seed`. Without a seed of its own, each instance would see the same one as the least full, and send
/// all its calls there.
fn least_utilized<'a, 'b>(
    usable: &'b [Candidate<'a>],
    seed: u64,
    now: Duration,
) -> Option<&'b Candidate<'a>> {
    let step = |row: &EndpointRow| (row.utilization(now) * UTILIZATION_STEPS).floor();
    usable.iter().min_by(|(left_id, left), (right_id, right)| {
        let by_step = step(left).total_cmp(&step(right));
        by_step.then_with(|| affinity(seed, *right_id).cmp(&affinity(seed, *left_id)))
    })
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
    let best = others.max_by_key(|(id, _)| affinity(part, *id));
    best.map(|(_, row)| row.address)
}

/// Affinity of an endpoint to a part: equal at all instances, and unrelated between parts.
fn affinity(part: u64, id: EndpointId) -> u64 {
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
    let lowest_failures = usable.iter().map(|(_, row)| row.health.failures());
    let lowest_failures = lowest_failures.fold(1.0, f64::min);
    let cost = |(id, row): &&Candidate<'_>| {
        let slowdown = match (row.health.latency(), best_latency) {
            (Some(own), Some(best)) => (own.as_secs_f64() / best.as_secs_f64()).max(1.0),
            _ => 1.0,
        };
        let failures = row.health.failures() - lowest_failures;
        let served = (1.0 - failures).max(0.1);
        let away = if row.domain == query.domain {
            0.0
        } else {
            settings.remote_domain_penalty
        };
        let load = f64::from(row.load(query.now)) + 1.0 + away;
        (load * slowdown.sqrt() / served, *id)
    };
    let cheapest = usable.iter().min_by(|a, b| {
        let ((left, left_id), (right, right_id)) = (cost(a), cost(b));
        left.total_cmp(&right).then(left_id.cmp(&right_id))
    });
    cheapest.map(|(id, _)| *id)
}
