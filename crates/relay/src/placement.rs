//! Choice of the endpoint that runs a call.
//!
//! Calls with a prompt go to an endpoint that probably has the shared part of the prompt in its
//! prefix cache: rendezvous hashing ranks the endpoints for each part, and the first one whose load
//! is within the bound and that has a free slot or a short queue takes the call. If there is none,
//! the least utilized endpoint within the bound takes it. Calls without a prompt go to the endpoint
//! that is expected to answer first.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use pace::room::EndpointRoom;
use wire::id::{DomainId, EndpointId, InstanceId, ServiceId, VersionId};
use wire::statement::{MAX_WISHES, TokenWish};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::row::{EndpointRow, EndpointStanding};
use crate::table::EndpointTable;

/// Settings of placement.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Factor of the bound on the load of an endpoint that takes calls with a prompt: the bound is
    /// the mean load of the usable endpoints times this, plus `load_slack`.
    pub load_factor: f64,
    /// Constant part of that bound, in requests. Without it, random variation of the load would
    /// exceed the bound in a small service.
    pub load_slack: f64,
    /// Queue of an endpoint relative to its capacity, up to which it takes calls for its cached
    /// prompts.
    pub warm_queue_limit: f64,
    /// Number of requests by which an endpoint of another failure domain counts as more loaded, for
    /// calls without a prompt.
    pub remote_domain_penalty: f64,
    /// Slowdown of an endpoint, relative to the fastest one, up to which it takes calls for its
    /// cached prompts.
    pub warm_slowdown_limit: f64,
    /// Utilization by which an endpoint counts as more utilized if its work takes twice as long.
    pub slowdown_penalty: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            load_factor: 1.6,
            load_slack: 2.8,
            warm_queue_limit: 0.3,
            remote_domain_penalty: 0.5,
            warm_slowdown_limit: 1.5,
            slowdown_penalty: 0.25,
        }
    }
}

/// Number of steps per unit of utilization. Endpoints in the same step count as equally utilized.
const UTILIZATION_STEPS: f64 = 4.0;

/// Inputs of the choice of an endpoint for one call.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Service that runs the call.
    pub service: ServiceId,
    /// The only software version whose endpoints are considered: that which began the stream which
    /// the call resumes. `None` if any version may run the call.
    pub version: Option<VersionId>,
    /// The only endpoint that is considered, whatever its version, as its process shows on the connection
    /// of the call that it began the stream; `None` if any may run the call.
    pub endpoint: Option<EndpointId>,
    /// The only failure domains whose endpoints are considered, for the call and as sources of its
    /// cache: those of the regions in which it must stay. `None` if it may go anywhere.
    pub domains: Option<&'a BTreeSet<DomainId>>,
    /// Id of the prompt part by which endpoints are ranked; `None` for calls without a prompt.
    pub shared_part: Option<u64>,
    /// Id of this instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub domain: DomainId,
    /// Endpoints that the call has tried already.
    pub tried: &'a [EndpointId],
    /// Whether the call begins a stream that its caller may resume, for which only software versions
    /// are considered that the quorum has recorded.
    pub is_resumable: bool,
    /// Whether endpoints are considered for which a token must be asked for.
    pub may_ask: bool,
    /// Current time.
    pub now: Duration,
}

/// Chooses an endpoint for a call. Returns `None` if no usable endpoint is left.
pub fn choose(
    settings: &PlacementSettings,
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
) -> Option<EndpointId> {
    let usable = best_standing(table, query);
    let lasts = |id| query.origin_lasts(table, id);
    match query.shared_part {
        Some(part) => choose_warm(settings, &usable, part, query, lasts),
        None => {
            let lasting = usable.iter().copied();
            let lasting = lasting.filter(|(id, row)| {
                lasts(*id) && row.queue_ratio(query.now) <= settings.warm_queue_limit
            });
            let lasting: Vec<_> = lasting.collect();
            let chosen = choose_fast(settings, &lasting, query);
            chosen.or_else(|| choose_fast(settings, &usable, query))
        }
    }
}

/// Chooses the least utilized endpoint, whatever its cache holds. Returns `None` if no usable
/// endpoint is left.
pub fn choose_least_utilized(
    settings: &PlacementSettings,
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
) -> Option<EndpointId> {
    let usable = best_standing(table, query);
    let seed = query.shared_part.unwrap_or_default() ^ query.instance;
    let chosen = least_utilized(settings, &usable, seed, query.now);
    chosen.map(|(id, _)| *id)
}

/// Endpoints of which tokens are to be asked for, in the order in which a call prefers them, before
/// it takes the best of those that are open. Returns none if an open one is the best.
pub fn endpoints_to_ask(
    settings: &PlacementSettings,
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
) -> Vec<EndpointId> {
    let mut skipped = query.tried.to_vec();
    let mut asked = Vec::new();
    while asked.len() < MAX_WISHES {
        let query = PlacementQuery {
            tried: &skipped,
            may_ask: true,
            ..*query
        };
        let Some(id) = choose(settings, table, &query) else {
            break;
        };
        let room = table.row(id).map(|row| table.room(query.now, row));
        if room != Some(EndpointRoom::Ask) {
            break;
        }
        asked.push(id);
        skipped.push(id);
    }
    asked
}

/// The wishes for tokens of endpoints, one for the call itself and some for those that follow it.
pub fn token_wishes(
    table: &mut EndpointTable,
    now: Duration,
    endpoints: &[EndpointId],
) -> Vec<TokenWish> {
    let mut wishes = Vec::new();
    for id in endpoints {
        let notice = table.notice(now, *id);
        let row = table.row_mut(*id);
        if let Some((notice, row)) = notice.zip(row) {
            let count = row.limit.wanted_tokens(now);
            wishes.push(TokenWish { notice, count });
        }
    }
    wishes
}

/// When the endpoints of a service take the next calls, while none of them is open.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NextRoom {
    /// Time until one of them takes a call.
    pub wait: Duration,
    /// Calls per second that these endpoints take from all instances together.
    pub rate: f64,
}

/// When the untried endpoints that a call may go on at take the next calls, if what they state keeps it from
/// some of them.
pub fn next_room(table: &EndpointTable, query: &PlacementQuery<'_>) -> Option<NextRoom> {
    let rows = table.of_service(query.service);
    let rows = rows.filter(|(id, row)| {
        !query.tried.contains(id) && query.matches(*id, row) && query.is_certain(table, *id)
    });
    let rows = rows.filter(|(_, row)| row.standing(query.now).is_some());
    let mut next: Option<NextRoom> = None;
    for (_, row) in rows {
        let wait = match table.room(query.now, row) {
            EndpointRoom::Closed { until } => until.saturating_sub(query.now),
            EndpointRoom::Ask => Duration::ZERO,
            EndpointRoom::Open => continue,
        };
        let rate = row.call_rate(query.now);
        next = Some(match next {
            Some(next) => NextRoom {
                wait: next.wait.min(wait),
                rate: next.rate + rate,
            },
            None => NextRoom { wait, rate },
        });
    }
    next
}

impl PlacementQuery<'_> {
    /// Whether the call may go on at an endpoint.
    pub(crate) fn matches(&self, id: EndpointId, row: &EndpointRow) -> bool {
        if self.endpoint.is_some() {
            return self.endpoint == Some(id) && self.stays(row);
        }
        let is_version = self.version.is_none_or(|version| version == row.version_id);
        is_version && self.stays(row)
    }

    /// Whether an endpoint is where the call must stay.
    fn stays(&self, row: &EndpointRow) -> bool {
        self.domains
            .is_none_or(|domains| domains.contains(&row.domain))
    }

    /// Whether the version of an endpoint is certain, if the call depends on it, or can be shown on the
    /// connection of the call, and whether it is recorded, if it must be.
    pub(crate) fn is_certain(&self, table: &EndpointTable, id: EndpointId) -> bool {
        let Some(row) = table.row(id) else {
            return false;
        };
        let is_recorded = !self.is_resumable || table.recorded.allows(row.service, row.version_id);
        let is_shown = |version| {
            let versions = &table.versions;
            let process = versions.serving_process(id, version);
            let may_show = process.is_some() && row.may_report(self.now);
            versions.is_certain(id) || may_show
        };
        match self.endpoint {
            Some(_) => is_recorded && row.may_report(self.now),
            None => is_recorded && self.version.is_none_or(is_shown),
        }
    }

    /// Whether a stream that begins at an endpoint can be taken up if it breaks off at once: its version
    /// is certain or known, or the service has had one version only, or the call begins no such stream.
    fn origin_lasts(&self, table: &EndpointTable, id: EndpointId) -> bool {
        let begins = self.is_resumable && self.version.is_none();
        let has_versions = table.recorded.only_known(self.service).is_none();
        let lasts = |row: &EndpointRow| table.versions.lasts(id, row.version_id);
        !(begins && has_versions) || table.row(id).is_some_and(lasts)
    }

    /// Whether the call has not tried an endpoint, may go on there, and the endpoint's statements
    /// allow it.
    fn admits(&self, table: &EndpointTable, id: EndpointId, row: &EndpointRow) -> bool {
        !self.tried.contains(&id)
            && self.matches(id, row)
            && self.is_certain(table, id)
            && match table.room(self.now, row) {
                EndpointRoom::Open => true,
                EndpointRoom::Ask => self.may_ask,
                EndpointRoom::Closed { .. } => false,
            }
    }
}

/// Returns the untried endpoints with the best standing that match the query and have room, without
/// draining and misplaced ones. If every endpoint is silent or left out, a call is sent to one of
/// these rather than to none.
fn best_standing<'a>(table: &'a EndpointTable, query: &PlacementQuery<'_>) -> Vec<Candidate<'a>> {
    let untried = table.of_service(query.service);
    let untried = untried.filter(|(id, row)| query.admits(table, *id, row));
    let standing = untried.filter_map(|(id, row)| Some((row.standing(query.now)?, (id, row))));
    let standing: Vec<_> = standing.collect();
    let best = standing.iter().map(|(standing, _)| *standing).min();
    let of_best = standing
        .into_iter()
        .filter(|(standing, _)| Some(*standing) == best);
    of_best.map(|(_, candidate)| candidate).collect()
}

/// The untried endpoints that may have the version which a call depends on, but not certainly.
pub fn uncertain(table: &EndpointTable, query: &PlacementQuery<'_>) -> Vec<EndpointId> {
    let rows = table.of_service(query.service);
    let uncertain = rows.filter(|(id, row)| {
        let may_serve = !query.tried.contains(id) && row.standing(query.now).is_some();
        may_serve && query.matches(*id, row) && !query.is_certain(table, *id)
    });
    uncertain.map(|(id, _)| id).collect()
}

/// Whether an untried endpoint that matches the query is sound and takes new calls.
pub fn has_sound(table: &EndpointTable, query: &PlacementQuery<'_>) -> bool {
    let untried = table.of_service(query.service);
    let mut untried = untried.filter(|(id, row)| query.admits(table, *id, row));
    untried.any(|(_, row)| row.standing(query.now) == Some(EndpointStanding::Sound))
}

/// Whether a stream can begin at another endpoint with a short queue, where it can be taken up if it breaks
/// off at once.
pub fn has_lasting(
    settings: &PlacementSettings,
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
) -> bool {
    let untried = table.of_service(query.service);
    let mut untried = untried.filter(|(id, row)| query.admits(table, *id, row));
    untried.any(|(id, row)| {
        let has_room = row.queue_ratio(query.now) <= settings.warm_queue_limit;
        row.is_sound(query.now) && has_room && query.origin_lasts(table, id)
    })
}

type Candidate<'a> = (EndpointId, &'a EndpointRow);

fn choose_warm(
    settings: &PlacementSettings,
    usable: &[Candidate<'_>],
    part: u64,
    query: &PlacementQuery<'_>,
    lasts: impl Fn(EndpointId) -> bool,
) -> Option<EndpointId> {
    let now = query.now;
    let total: u32 = usable.iter().map(|(_, row)| row.load(now)).sum();
    let mean = f64::from(total) / usable.len().max(1) as f64;
    let bound = mean * settings.load_factor + settings.load_slack;
    let within = usable.iter().copied();
    let within: Vec<_> = within
        .filter(|(_, row)| f64::from(row.load(now)) < bound)
        .collect();
    let lasting = within.iter().copied().filter(|(id, _)| lasts(*id));
    let lasting: Vec<_> = lasting.collect();
    let first = first_with_room(settings, &lasting, part, now);
    let first = first.or_else(|| first_with_room(settings, &within, part, now));
    let chosen = first.or_else(|| least_utilized(settings, &within, part ^ query.instance, now));
    chosen.map(|(id, _)| *id)
}

/// Returns the first endpoint in the ranking of a prompt part that has a free slot or a short queue, and
/// is not far slower than the fastest one.
fn first_with_room<'a, 'b>(
    settings: &PlacementSettings,
    candidates: &'b [Candidate<'a>],
    part: u64,
    now: Duration,
) -> Option<&'b Candidate<'a>> {
    let lowest = candidates.iter().map(|(_, row)| row.slowdown(now));
    let lowest = lowest.fold(f64::INFINITY, f64::min);
    let slowdown_limit = lowest.max(1.0) * settings.warm_slowdown_limit;
    let with_room = candidates.iter().filter(|(_, row)| {
        row.queue_ratio(now) <= settings.warm_queue_limit && row.slowdown(now) <= slowdown_limit
    });
    with_room.max_by_key(|(id, _)| affinity(part, *id))
}

/// Returns the least utilized endpoint; among about equally utilized ones, the first in the ranking
/// by `seed`. The seed must differ between instances, as otherwise all instances would choose the
/// same endpoint and overload it.
fn least_utilized<'a, 'b>(
    settings: &PlacementSettings,
    usable: &'b [Candidate<'a>],
    seed: u64,
    now: Duration,
) -> Option<&'b Candidate<'a>> {
    let step = |row: &EndpointRow| {
        let penalty = (row.slowdown(now) - 1.0) * settings.slowdown_penalty;
        ((row.utilization(now) + penalty) * UTILIZATION_STEPS).floor()
    };
    usable.iter().min_by(|(left_id, left), (right_id, right)| {
        let by_step = step(left).total_cmp(&step(right));
        by_step.then_with(|| affinity(seed, *right_id).cmp(&affinity(seed, *left_id)))
    })
}

/// Address of the endpoint that most probably has the shared part of the prompt in its cache, other
/// than the one that runs the call: the first sound one of the same software version in the part's
/// ranking. Draining endpoints are included, as they still serve their cache, those that rest are not.
pub fn warm_source(
    table: &EndpointTable,
    query: &PlacementQuery<'_>,
    chosen: EndpointId,
) -> Option<SocketAddrV4> {
    let part = query.shared_part?;
    let version = table.row(chosen)?.version_id;
    // While the service has only ever had one version, uncertain endpoints are sources, too: to leave
    // them out costs half as many prompt tokens read again on days with many broken connections.
    let is_only_version = table.recorded.only_known(query.service) == Some(version);
    let is_certain = |id| is_only_version || table.versions.is_certain(id);
    if !is_certain(chosen) {
        return None;
    }
    let others = table.of_service(query.service).filter(|(id, row)| {
        let is_other = *id != chosen && !query.tried.contains(id) && query.stays(row);
        let is_same = row.version_id == version && is_certain(*id);
        is_other && is_same && row.is_sound(query.now) && !row.rests(query.now)
    });
    let best = others.max_by_key(|(id, _)| affinity(part, *id));
    best.map(|(_, row)| row.address)
}

/// Affinity of an endpoint to a prompt part. All instances compute the same value, and the rankings
/// of different parts are independent.
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
        let penalty = if row.domain == query.domain {
            0.0
        } else {
            settings.remote_domain_penalty
        };
        let load = f64::from(row.load(query.now)) + 1.0 + penalty;
        let slowdown = slowdown.sqrt().max(row.slowdown(query.now));
        (load * slowdown / served, *id)
    };
    let cheapest = usable.iter().min_by(|a, b| {
        let ((left, left_id), (right, right_id)) = (cost(a), cost(b));
        left.total_cmp(&right).then(left_id.cmp(&right_id))
    });
    cheapest.map(|(id, _)| *id)
}
