//! Selects an endpoint for a request and records the candidates.
//!
//! Candidates are considered in this order:
//!
//! 1. the warm locations of the hint;
//! 2. the holders of the longest known shared prefix;
//! 3. the endpoints that the chat prefers, unless the request overflows;
//! 4. any endpoint, drawn with a probability proportional to its headroom.
//!
//! A request overflows if one of its warm locations is only temporarily unavailable, or if it was
//! refused or failed repeatedly. It then skips the preferred endpoints and is spread over all.
//!
//! The first candidate whose load stays within the limit of its step is chosen. If there is none,
//! the least loaded of the endpoints scanned in step 4 is chosen, whatever its load.
//!
//! The load targets (`load_aim` and the limits derived from it) are lower than the hard bound that
//! agents enforce (`load_bound`): requests that finish at other endpoints lower the mean, and with
//! it the bound of an endpoint that is already full.

use std::borrow::Cow;
use std::time::Instant;

use rand::{Rng, RngExt};
use settings::LoadLimits;
use wire::id::{EndpointId, ModelId, PrefixHash, ServiceId};
use wire::member::EndpointState;

use crate::decision::{CandidateRecord, ChoiceReason, Exclusion, RouteDecision};
use crate::hint::WarmHint;
use crate::preference::{AffinityKey, PreferenceList};
use crate::prefix::PrefixHolders;
use crate::table::{EndpointRow, RouteTable, ServiceRows};

/// Largest number of preferred endpoints that are considered.
pub const PREFERENCE_DEPTH: usize = 3;
/// Number of refused or failed attempts after which a request overflows: preferred endpoints are
/// not considered any more.
const OVERFLOW_ATTEMPTS: usize = 2;
/// Number of endpoints preferred by the chats of one shared prefix. In a small service these are
/// nearly all endpoints; in a large one they are the few whose caches hold the prefix.
const PREFERENCE_CANDIDATES: usize = 8;
/// Number of endpoints sampled for headroom when a pool has more.
const HEADROOM_SAMPLES: usize = 32;
/// Largest load of a preferred endpoint, as a multiple of the mean. The chat is not cached there
/// yet, and headroom above the mean is reserved for requests whose chat or prefix is.
const PREFERRED_LOAD_LIMIT: f64 = 1.0;
/// Number of holders of a shared prefix that are sampled, besides those that the chat prefers.
const HOLDER_SAMPLES: usize = 4;
/// Factor on the headroom of endpoints in the entry's own failure domain.
const LOCAL_DOMAIN_FACTOR: f64 = 2.0;

/// The inputs of a selection.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// Service to which the endpoint must belong.
    pub service: ServiceId,
    /// Model that the endpoint must carry.
    pub model: Option<ModelId>,
    /// Affinity key of the request, normally that of its chat.
    pub affinity: AffinityKey,
    /// Locations where the chat is cached, as sent by the caller.
    pub hint: &'a WarmHint,
    /// Chained hashes of the prompt's blocks, shortest prefix first.
    pub prefixes: &'a [PrefixHash],
    /// Endpoints at which earlier attempts of this request were refused or failed. They are chosen
    /// again only if no other endpoint is eligible.
    pub tried: &'a [EndpointId],
    /// Load limits of an endpoint.
    pub limits: LoadLimits,
}

/// Result of a scan of endpoints for headroom. All values are rows of the table.
#[derive(Default)]
struct HeadroomScan {
    /// Drawn with a probability proportional to headroom.
    drawn: Option<u32>,
    least_loaded: Option<u32>,
    /// The least loaded of those that refused or failed the request before.
    least_loaded_tried: Option<u32>,
}

/// State of one selection.
struct ChoiceRun<'a> {
    table: &'a RouteTable,
    request: &'a RouteRequest<'a>,
    now: Instant,
    mean: f64,
    /// Load target for requests whose chat is not cached at the endpoint, as a multiple of the mean.
    cold_aim: f64,
    /// Load target for requests whose chat is cached at the endpoint, as a multiple of the mean.
    warm_aim: f64,
    candidates: Vec<CandidateRecord>,
}

impl RouteTable {
    /// Chooses an endpoint for `request`.
    pub fn choose<R: Rng>(
        &self,
        request: &RouteRequest<'_>,
        now: Instant,
        rng: &mut R,
    ) -> RouteDecision {
        let Some(service) = self.services.get(&request.service) else {
            return RouteDecision::none();
        };
        let mut run = ChoiceRun {
            table: self,
            request,
            now,
            mean: self.mean_load(service),
            cold_aim: request.limits.cold_aim(service.rows.len() as f64),
            warm_aim: request.limits.warm_aim(service.absent_share),
            candidates: Vec::new(),
        };
        let pool = self.pool(service, request.model);
        let choice = run.pick(&pool, rng);
        RouteDecision {
            endpoint: choice.map(|(endpoint, _)| endpoint),
            reason: choice.map_or(ChoiceReason::NoneLeft, |(_, reason)| reason),
            candidates: run.candidates,
            mean: run.mean,
            known: pool.len() as u32,
        }
    }

    /// Rows of the endpoints that carry `model`; those of all endpoints of the service if the model
    /// is not restricted to some.
    fn pool<'a>(&'a self, service: &'a ServiceRows, model: Option<ModelId>) -> Cow<'a, [u32]> {
        let placed = model.and_then(|model| self.placement.get(&model));
        let Some(endpoints) = placed else {
            return Cow::Borrowed(&service.rows);
        };
        let rows = endpoints.iter().filter_map(|endpoint| self.find(*endpoint));
        Cow::Owned(rows.map(|row| row as u32).collect())
    }

    /// Rows of `pool` in the order in which a chat prefers them. With a shared prefix, these are
    /// the endpoints nearest to the prefix, ordered by their distance from the chat. Without one,
    /// they are the endpoints nearest to the chat.
    pub(crate) fn preference_order(
        &self,
        pool: &[u32],
        affinity: AffinityKey,
        shared: Option<PrefixHash>,
    ) -> Vec<u32> {
        let nearest = self.nearest(pool, shared.unwrap_or(affinity));
        if shared.is_none() {
            return nearest;
        }
        self.nearest(&nearest, affinity)
    }

    /// At most [`PREFERENCE_CANDIDATES`] rows of `pool`: those nearest to `key`, nearest first.
    fn nearest(&self, pool: &[u32], key: AffinityKey) -> Vec<u32> {
        let mut list = PreferenceList::<PREFERENCE_CANDIDATES>::default();
        for index in pool {
            let found = &self.keys[*index as usize];
            list.offer(key, found.endpoint, found.weight, *index);
        }
        list.ranks().iter().map(|rank| rank.row).collect()
    }

    /// Mean load per unit of weight: as last reported by control, or else computed from the loads
    /// that this entry knows.
    fn mean_load(&self, service: &ServiceRows) -> f64 {
        if let Some(mean) = service.mean {
            return mean;
        }
        let rows = service.rows.iter().map(|row| &self.rows[*row as usize]);
        let (load, weight) = rows
            .filter(|row| row.state == EndpointState::Serving)
            .fold((0, 0), |(load, weight), row| {
                (load + row.load.total() + row.pending, weight + row.weight)
            });
        f64::from(load) / f64::from(weight.max(1))
    }
}

/// Whether a warm location is lost, as opposed to temporarily unavailable.
fn is_location_lost(candidate: &CandidateRecord) -> bool {
    use Exclusion as E;
    let lost = [E::Leaving, E::Down, E::Cold, E::Unknown, E::Misplaced];
    candidate.exclusion.is_some_and(|why| lost.contains(&why))
}

impl ChoiceRun<'_> {
    fn pick<R: Rng>(&mut self, pool: &[u32], rng: &mut R) -> Option<(EndpointId, ChoiceReason)> {
        if let Some(endpoint) = self.pick_warm() {
            return Some((endpoint, ChoiceReason::Warm));
        }
        // Only a request that does not overflow may use preferred endpoints. Holders of its shared
        // prefix are considered in either case.
        let may_use_preferred = self.candidates.iter().all(is_location_lost)
            && self.request.tried.len() < OVERFLOW_ATTEMPTS;
        let holders = self.table.prefixes.holders(self.request.prefixes);
        if may_use_preferred || holders.is_some() {
            let preferred = self.preferred(pool);
            if let Some(holders) = holders
                && let Some(endpoint) = self.pick_holder(&preferred, &holders, rng)
            {
                return Some((endpoint, ChoiceReason::SharedPrefix));
            }
            if may_use_preferred && let Some(endpoint) = self.pick_preferred(&preferred) {
                return Some((endpoint, ChoiceReason::Preferred));
            }
        }
        let scan = self.scan_headroom(pool, rng);
        if let Some(row) = scan.drawn {
            return Some((self.accept(row, ChoiceReason::Room), ChoiceReason::Room));
        }
        // After enough refusals an agent admits a request up to the hard bound instead of the
        // load target, so an endpoint that refused it before may admit it now.
        let row = scan.least_loaded.or(scan.least_loaded_tried)?;
        let reason = ChoiceReason::LeastLoaded;
        Some((self.accept(row, reason), reason))
    }

    /// Rows of the preferred endpoints that are eligible, nearest first.
    fn preferred(&self, pool: &[u32]) -> Vec<u32> {
        let shared = self.request.prefixes.first().copied();
        let order = self
            .table
            .preference_order(pool, self.request.affinity, shared);
        let rows = order.into_iter();
        rows.filter(|row| self.exclusion(&self.table.rows[*row as usize]).is_none())
            .take(PREFERENCE_DEPTH)
            .collect()
    }

    /// Scans a random sample of `pool` for headroom, or all of it when the pool is small or no
    /// endpoint of the sample is eligible.
    fn scan_headroom<R: Rng>(&self, pool: &[u32], rng: &mut R) -> HeadroomScan {
        if pool.len() > HEADROOM_SAMPLES {
            let draws = std::array::from_fn::<u32, HEADROOM_SAMPLES, _>(|_| {
                pool[rng.random_range(0..pool.len())]
            });
            let scan = self.scan_rows(&draws, rng);
            if scan.least_loaded.is_some() {
                return scan;
            }
        }
        self.scan_rows(pool, rng)
    }

    fn scan_rows<R: Rng>(&self, rows: &[u32], rng: &mut R) -> HeadroomScan {
        let mut scan = HeadroomScan::default();
        let mut total_headroom = 0.0;
        let mut least_load = f64::INFINITY;
        let mut least_tried_load = f64::INFINITY;
        for index in rows {
            let row = &self.table.rows[*index as usize];
            let load = self.load_with_request(row);
            let exclusion = self.exclusion(row);
            if exclusion == Some(Exclusion::Tried) && load < least_tried_load {
                least_tried_load = load;
                scan.least_loaded_tried = Some(*index);
            }
            if exclusion.is_some() {
                continue;
            }
            if load < least_load {
                least_load = load;
                scan.least_loaded = Some(*index);
            }
            let headroom = self.headroom(row, load);
            if headroom > 0.0 {
                total_headroom += headroom;
                if rng.random_range(0.0..total_headroom) < headroom {
                    scan.drawn = Some(*index);
                }
            }
        }
        scan
    }

    fn pick_warm(&mut self) -> Option<EndpointId> {
        let hint = self.request.hint;
        for location in hint.locations() {
            let row = self.table.find(location.endpoint);
            let row = row.map(|index| &self.table.rows[index]);
            let exclusion = match row {
                None => Some(Exclusion::Unknown),
                Some(row) if row.cache_epoch != location.cache_epoch => Some(Exclusion::Cold),
                Some(row) => self
                    .exclusion(row)
                    .or_else(|| self.overload(row, self.warm_aim)),
            };
            let load = row.map_or(0.0, |row| self.load_with_request(row));
            self.candidates.push(CandidateRecord {
                endpoint: location.endpoint,
                load,
                warm_tokens: location.tokens,
                reason: ChoiceReason::Warm,
                exclusion,
            });
            if exclusion.is_none() {
                return Some(location.endpoint);
            }
        }
        None
    }

    fn pick_preferred(&mut self, preferred: &[u32]) -> Option<EndpointId> {
        for index in preferred {
            let row = &self.table.rows[*index as usize];
            let exclusion = self.overload(row, PREFERRED_LOAD_LIMIT);
            let endpoint = row.endpoint;
            self.record(*index, ChoiceReason::Preferred, exclusion);
            if exclusion.is_none() {
                return Some(endpoint);
            }
        }
        None
    }

    /// Chooses a holder of the prefix. Preferred endpoints that hold it are considered first.
    fn pick_holder<R: Rng>(
        &mut self,
        preferred: &[u32],
        holders: &PrefixHolders,
        rng: &mut R,
    ) -> Option<EndpointId> {
        let rows = preferred.iter();
        let preferred = rows.map(|row| self.table.rows[*row as usize].endpoint);
        let draws = (0..HOLDER_SAMPLES).map(|_| rng.random_range(0..holders.endpoints.len()));
        let sampled = draws.map(|draw| holders.endpoints[draw]);
        let ordered: Vec<EndpointId> = preferred
            .filter(|endpoint| holders.endpoints.binary_search(endpoint).is_ok())
            .chain(sampled)
            .collect();
        ordered
            .into_iter()
            .find(|endpoint| self.consider_holder(*endpoint))
    }

    fn consider_holder(&mut self, endpoint: EndpointId) -> bool {
        let Some(index) = self.table.find(endpoint) else {
            return false;
        };
        let row = &self.table.rows[index];
        let exclusion = self
            .exclusion(row)
            .or_else(|| self.overload(row, self.cold_aim));
        self.record(index as u32, ChoiceReason::SharedPrefix, exclusion);
        exclusion.is_none()
    }

    fn accept(&mut self, row: u32, reason: ChoiceReason) -> EndpointId {
        self.record(row, reason, None);
        self.table.rows[row as usize].endpoint
    }

    fn record(&mut self, row: u32, reason: ChoiceReason, exclusion: Option<Exclusion>) {
        let row = &self.table.rows[row as usize];
        let record = CandidateRecord {
            endpoint: row.endpoint,
            load: self.load_with_request(row),
            warm_tokens: 0,
            reason,
            exclusion,
        };
        self.candidates.push(record);
    }

    /// Why `row` is not eligible, whatever its load.
    fn exclusion(&self, row: &EndpointRow) -> Option<Exclusion> {
        let is_future = |until: Option<Instant>| until.is_some_and(|until| self.now < until);
        if row.state == EndpointState::Draining || is_future(row.leaving_until) {
            return Some(Exclusion::Leaving);
        }
        if row.state == EndpointState::Down {
            return Some(Exclusion::Down);
        }
        if is_future(row.suspect_until) {
            return Some(Exclusion::Suspect);
        }
        if is_future(row.joining_until) {
            return Some(Exclusion::Joining);
        }
        if self.is_misplaced(row) {
            return Some(Exclusion::Misplaced);
        }
        let is_tried = self.request.tried.contains(&row.endpoint);
        is_tried.then_some(Exclusion::Tried)
    }

    fn is_misplaced(&self, row: &EndpointRow) -> bool {
        row.service != self.request.service || !self.table.carries(row.endpoint, self.request.model)
    }

    fn overload(&self, row: &EndpointRow, limit: f64) -> Option<Exclusion> {
        (self.load_with_request(row) > limit).then_some(Exclusion::Loaded)
    }

    /// Load of `row` as a multiple of its expected load, both including the request. The expected
    /// load is the mean load times the endpoint's weight.
    fn load_with_request(&self, row: &EndpointRow) -> f64 {
        let expected = self.mean * f64::from(row.weight);
        let load = expected + self.deviation(row, expected);
        (load + f64::from(row.pending) + 1.0) / (expected + 1.0)
    }

    /// Deviation of the reported load from the expected one, which decays linearly to zero with
    /// the age of the report. A load below the expected one decays faster, because every entry that
    /// received the report sends requests there.
    fn deviation(&self, row: &EndpointRow, expected: f64) -> f64 {
        let Some(seen_at) = row.seen_at else {
            return 0.0;
        };
        let deviation = f64::from(row.load.total()) - expected;
        let settings = &self.table.settings;
        let decay = if deviation < 0.0 {
            settings.low_load_decay
        } else {
            settings.high_load_decay
        };
        let age = self.now.saturating_duration_since(seen_at).as_secs_f64();
        deviation * (1.0 - age / decay.as_secs_f64()).max(0.0)
    }

    /// Number of requests that fit within the cold load target on top of `load`, weighted in favor
    /// of endpoints in the entry's own failure domain. Negative when `load` exceeds the target.
    fn headroom(&self, row: &EndpointRow, load: f64) -> f64 {
        let expected = self.mean * f64::from(row.weight) + 1.0;
        let is_local = row.domain == self.table.settings.domain;
        let factor = if is_local { LOCAL_DOMAIN_FACTOR } else { 1.0 };
        (self.cold_aim - load) * expected * factor
    }
}
