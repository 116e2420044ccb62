//! Origins of streams: which service and software version sent the first event of a stream that its
//! caller may resume at this or another instance.
//!
//! The instance that begins a stream records its origin and tells [`KEEPERS`] others before the
//! first event leaves. An instance to which a caller returns and that has no record asks the
//! instances that are most likely to have one. Both rank the instances by the request, which is the
//! same when its caller returns.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::id::{DomainId, FingerprintHash, InstanceId, ServiceId, StreamId};
use wire::stream::{MAX_MESSAGE_STREAMS, OriginClaim, OriginNotice, OriginQuery};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::caller_limits::DEFAULT_CALLER_TIMEOUT;

/// Number of other instances that are told of a stream when it begins.
pub const KEEPERS: usize = 3;
/// Number of other instances that are asked for an unknown stream. More than [`KEEPERS`], as some
/// of these may have been lost or replaced since the stream began.
pub const ASKED_INSTANCES: usize = 2 * KEEPERS;
/// Number of the keepers that are chosen among the instances with a disk first: their records outlive
/// all processes. Two, in different failure domains if there are such, as a disk may be lost together
/// with the processes.
pub const STORING_KEEPERS: usize = 2;
/// Number of the asked instances that are chosen so, one more: a gateway that heeds no failure domains
/// chose the two that rank first. The others hold all keepers that a gateway chose which knows of no
/// disks.
const ASKED_STORING: usize = ASKED_INSTANCES - KEEPERS;
/// Maximum number of changed records of one service that wait to be stored. A disk that answers nothing,
/// or refuses them, for longer loses the others.
const MAX_UNSTORED: usize = 16 * 1024;
/// Longest time for which a caller counts as waiting.
const MAX_LIFETIME: Duration = DEFAULT_CALLER_TIMEOUT;
/// Time for which a record is kept after its caller stops waiting.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Settings of the table of origins.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginSettings {
    /// Maximum number of records. If there are more, those that expire first are dropped.
    pub max_streams: usize,
    /// Whether this instance stores records on a disk.
    pub is_storing: bool,
    /// Time from the start of this instance until it knows the others that may hold records.
    pub discovery_time: Duration,
}

impl Default for OriginSettings {
    fn default() -> Self {
        Self {
            max_streams: 32 * 1024,
            is_storing: false,
            discovery_time: Duration::from_secs(1),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OriginRecord {
    claim: OriginClaim,
    /// When it was first noted.
    noted_at: Duration,
    expires_at: Duration,
}

impl OriginRecord {
    fn notice(&self, now: Duration, key: RecordKey) -> OriginNotice {
        let (request, stream) = key;
        let kept = self.expires_at.saturating_sub(now);
        OriginNotice {
            request,
            stream,
            claim: self.claim,
            lifetime_ms: whole_millis(kept.saturating_sub(EXPIRY_MARGIN)),
        }
    }
}

type RecordKey = (FingerprintHash, StreamId);

/// Records that are stored under one condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum StoreGroup {
    /// Disputed ones: always, however many they are, as the origin that was stored before must not count.
    Disputed,
    /// Those of a service, once it has had several versions.
    Service(ServiceId),
}

impl StoreGroup {
    /// The group of a claim; `None` if it is never stored, as only its own instance could settle it.
    fn of(claim: OriginClaim) -> Option<Self> {
        match claim {
            OriginClaim::Known(origin) => Some(Self::Service(origin.service)),
            OriginClaim::Process(origin) => Some(Self::Service(origin.service)),
            OriginClaim::Disputed => Some(Self::Disputed),
            OriginClaim::Unsettled | OriginClaim::Lost => None,
        }
    }

    /// Maximum number of records of the group that wait.
    fn limit(self) -> usize {
        match self {
            Self::Disputed => usize::MAX,
            Self::Service(_) => MAX_UNSTORED,
        }
    }
}

/// The origins of streams that this instance knows.
#[derive(Debug, Default)]
pub struct OriginTable {
    settings: OriginSettings,
    /// Records by request and stream.
    records: BTreeMap<RecordKey, OriginRecord>,
    /// Keys of the same records, first to expire first.
    by_expiry: BTreeSet<(Duration, RecordKey)>,
    /// When the last of the records would have expired that were dropped for lack of room.
    lacks_until: Duration,
    /// Keys of records that have changed since they were last taken to be stored, each in the group of its
    /// claim.
    unstored: BTreeMap<StoreGroup, BTreeSet<RecordKey>>,
}

impl OriginTable {
    /// An empty table.
    pub fn new(settings: OriginSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether no record is missing that was dropped for lack of room and has not expired.
    pub fn holds_all(&self, now: Duration) -> bool {
        now >= self.lacks_until
    }

    /// Records the origin of a stream. A known origin is never replaced, but an unsettled one is
    /// settled: another claim makes the origin disputed. The later expiry holds.
    pub fn note(&mut self, now: Duration, notice: OriginNotice) {
        self.expire(now);
        let key = (notice.request, notice.stream);
        let lifetime = Duration::from_millis(u64::from(notice.lifetime_ms)).min(MAX_LIFETIME);
        let mut record = OriginRecord {
            claim: notice.claim,
            noted_at: now,
            expires_at: now + lifetime + EXPIRY_MARGIN,
        };
        let known = self.records.remove(&key);
        let known_claim = known.map(|known| known.claim);
        if let Some(known) = known {
            self.by_expiry.remove(&(known.expires_at, key));
            record.expires_at = record.expires_at.max(known.expires_at);
            record.noted_at = known.noted_at;
            record.claim = settle(known.claim, record.claim);
        }
        if self.settings.is_storing && known_claim != Some(record.claim) {
            if let Some(claim) = known_claim {
                self.forget_unstored(key, claim);
            }
            self.add_unstored(key, record.claim);
        }
        self.records.insert(key, record);
        self.by_expiry.insert((record.expires_at, key));
        if self.records.len() > self.settings.max_streams {
            let first = self.by_expiry.first().map(|(expires_at, _)| *expires_at);
            self.lacks_until = self.lacks_until.max(first.unwrap_or_default());
            self.drop_first();
        }
    }

    /// Takes the records that have changed since they were last taken and tell an origin, of services
    /// for which `is_stored`. The others wait until it holds for them.
    pub fn take_unstored(
        &mut self,
        now: Duration,
        is_stored: impl Fn(ServiceId) -> bool,
    ) -> Vec<OriginNotice> {
        let mut taken = Vec::new();
        let records = &self.records;
        self.unstored.retain(|group, keys| {
            match group {
                StoreGroup::Service(service) if !is_stored(*service) => return true,
                StoreGroup::Service(_) | StoreGroup::Disputed => {}
            }
            let notices = keys.iter();
            taken.extend(notices.filter_map(|key| Some(records.get(key)?.notice(now, *key))));
            false
        });
        taken
    }

    /// Takes back records that the store has refused. Those that are still known are taken again.
    pub fn put_back_unstored<'a>(&mut self, refused: impl Iterator<Item = &'a OriginNotice>) {
        for notice in refused {
            let key = (notice.request, notice.stream);
            if let Some(record) = self.records.get(&key) {
                self.add_unstored(key, record.claim);
            }
        }
    }

    fn add_unstored(&mut self, key: RecordKey, claim: OriginClaim) {
        if let Some(group) = StoreGroup::of(claim) {
            let keys = self.unstored.entry(group).or_default();
            if keys.len() < group.limit() {
                keys.insert(key);
            }
        }
    }

    fn forget_unstored(&mut self, key: RecordKey, claim: OriginClaim) {
        let Some(group) = StoreGroup::of(claim) else {
            return;
        };
        if let Some(keys) = self.unstored.get_mut(&group) {
            keys.remove(&key);
            if keys.is_empty() {
                self.unstored.remove(&group);
            }
        }
    }

    /// Whether the record of a stream waits to be stored.
    fn is_unstored(&self, key: RecordKey) -> bool {
        let group = self.records.get(&key);
        let group = group.and_then(|record| StoreGroup::of(record.claim));
        let keys = group.and_then(|group| self.unstored.get(&group));
        keys.is_some_and(|keys| keys.contains(&key))
    }

    /// Records the origin of a stream that was read from the store.
    pub fn restore(&mut self, now: Duration, notice: OriginNotice) {
        let key = (notice.request, notice.stream);
        let was_unstored = self.is_unstored(key);
        self.note(now, notice);
        let claim = self.records.get(&key).map(|record| record.claim);
        if let Some(claim) = claim.filter(|_| !was_unstored) {
            self.forget_unstored(key, claim);
        }
    }

    /// Whether the origin of a stream has been unsettled for `limit`: the instance that would settle it
    /// is gone.
    pub fn is_abandoned(&self, now: Duration, query: OriginQuery, limit: Duration) -> bool {
        self.records_of(now, query).any(|(_, record)| {
            record.claim == OriginClaim::Unsettled && now > record.noted_at + limit
        })
    }

    /// The origin of a stream; `None` if this instance has no record of it. For a query that names
    /// no stream, the origin of all streams of the request.
    pub fn find(&self, now: Duration, query: OriginQuery) -> Option<OriginClaim> {
        let claims = self.records_of(now, query).map(|(_, record)| record.claim);
        claims.reduce(merge)
    }

    /// What to tell another instance that asks; empty if this instance has no record. More than
    /// [`MAX_MESSAGE_STREAMS`] if one message can't hold all.
    pub fn notices_of(&self, now: Duration, query: OriginQuery) -> Vec<OriginNotice> {
        let records = self.records_of(now, query).take(MAX_MESSAGE_STREAMS + 1);
        records
            .map(|(key, record)| record.notice(now, key))
            .collect()
    }

    /// What to tell an instance that has lost its records: of the `most` streams that expire last,
    /// those that it is a keeper of.
    pub fn notices_for(
        &self,
        now: Duration,
        keeper: InstanceId,
        fleet: &KnownFleet,
        most: usize,
    ) -> Vec<OriginNotice> {
        let Some(check) = KeeperCheck::new(fleet, keeper) else {
            return Vec::new();
        };
        let latest = self.by_expiry.iter().rev().take(most);
        let kept = latest.filter(|(_, (request, _))| check.keeps(*request));
        let notices = kept.filter_map(|(_, key)| Some(self.records.get(key)?.notice(now, *key)));
        notices.collect()
    }

    /// The records that have not expired and match a query.
    fn records_of(
        &self,
        now: Duration,
        query: OriginQuery,
    ) -> impl Iterator<Item = (RecordKey, &OriginRecord)> {
        let first = query.stream.unwrap_or(StreamId::MIN);
        let last = query.stream.unwrap_or(StreamId::MAX);
        let range = (query.request, first)..=(query.request, last);
        let records = self
            .records
            .range(range)
            .map(|(key, record)| (*key, record));
        records.filter(move |(_, record)| now < record.expires_at)
    }

    fn expire(&mut self, now: Duration) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first()
            && let Some(record) = self.records.remove(&key)
        {
            self.forget_unstored(key, record.claim);
        }
    }
}

/// Whether instances with a disk store the notice of a claim, where `is_stored` tells it of a service.
pub fn is_stored_claim(claim: OriginClaim, is_stored: impl Fn(ServiceId) -> bool) -> bool {
    match StoreGroup::of(claim) {
        Some(StoreGroup::Service(service)) => is_stored(service),
        Some(StoreGroup::Disputed) => true,
        None => false,
    }
}

/// What two claims about one stream say together.
fn settle(one: OriginClaim, other: OriginClaim) -> OriginClaim {
    match (one, other) {
        (OriginClaim::Unsettled, claim) | (claim, OriginClaim::Unsettled) => claim,
        (OriginClaim::Lost, OriginClaim::Process(_))
        | (OriginClaim::Process(_), OriginClaim::Lost) => OriginClaim::Lost,
        (OriginClaim::Lost, claim) | (claim, OriginClaim::Lost) => claim,
        (OriginClaim::Process(_), OriginClaim::Known(origin))
        | (OriginClaim::Known(origin), OriginClaim::Process(_)) => OriginClaim::Known(origin),
        _ => merge(one, other),
    }
}

/// What the claims about two streams say of a caller that may mean either.
fn merge(one: OriginClaim, other: OriginClaim) -> OriginClaim {
    match one == other {
        true => one,
        false => OriginClaim::Disputed,
    }
}

/// Another instance that may keep records of streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownInstance {
    /// Its id.
    pub instance: InstanceId,
    /// The failure domain of its disk, if it stores records of streams on one.
    pub disk: Option<DomainId>,
}

/// The other instances, as far as they are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownFleet {
    /// Those that are live.
    pub instances: Vec<KnownInstance>,
}

impl KnownFleet {
    /// The instances that keep the record of a stream.
    pub fn keepers(&self, request: FingerprintHash) -> Vec<InstanceId> {
        self.rank(request).keepers()
    }

    /// The instances that are asked for an unknown stream.
    pub fn asked(&self, request: FingerprintHash) -> Vec<InstanceId> {
        self.rank(request).asked()
    }

    fn rank(&self, request: FingerprintHash) -> KeeperRanking {
        let mut ranking = KeeperRanking::new(request);
        for known in &self.instances {
            ranking.add(*known);
        }
        ranking
    }
}

/// Tells which streams one instance is a keeper of. Looks at few others for most of them.
struct KeeperCheck<'a> {
    instance: InstanceId,
    fleet: &'a KnownFleet,
    /// The instances of the fleet with a disk.
    storing: Vec<KnownInstance>,
}

impl<'a> KeeperCheck<'a> {
    /// Returns `None` if the instance is not known.
    fn new(fleet: &'a KnownFleet, instance: InstanceId) -> Option<Self> {
        let is_known = fleet.instances.iter().any(|one| one.instance == instance);
        let storing = fleet.instances.iter().filter(|one| one.disk.is_some());
        is_known.then(|| Self {
            instance,
            fleet,
            storing: storing.copied().collect(),
        })
    }

    /// Whether [`KnownFleet::keepers`] has the instance.
    fn keeps(&self, request: FingerprintHash) -> bool {
        let mut ranking = KeeperRanking::new(request);
        for known in &self.storing {
            ranking.add(*known);
        }
        let storing = ranking.storing_keepers();
        if storing.contains(&self.instance) {
            return true;
        }
        let own = rank_of(request, self.instance);
        let places = KEEPERS - storing.len();
        let others = self.fleet.instances.iter().map(|known| known.instance);
        let before = others.filter(|one| rank_of(request, *one) < own && !storing.contains(one));
        before.take(places).count() < places
    }
}

/// An instance and its place for a request; the lowest place ranks first.
type RankedInstance = (u64, InstanceId);

/// The instances that rank first for a request, by rendezvous hashing. Instances with slightly different
/// views of the fleet thus choose mostly the same ones. All others are added one by one, so that no list
/// of them is needed.
#[derive(Clone, Debug)]
pub struct KeeperRanking {
    request: FingerprintHash,
    /// The first of all, at most [`ASKED_INSTANCES`].
    first: Vec<RankedInstance>,
    /// The first with a disk, at most [`ASKED_STORING`].
    storing: Vec<RankedInstance>,
    /// The first with a disk of each failure domain.
    domains: Vec<(DomainId, RankedInstance)>,
}

impl KeeperRanking {
    /// The ranking of no instance.
    pub fn new(request: FingerprintHash) -> Self {
        Self {
            request,
            first: Vec::with_capacity(ASKED_INSTANCES + 1),
            storing: Vec::with_capacity(ASKED_STORING + 1),
            domains: Vec::new(),
        }
    }

    /// Adds an instance.
    pub fn add(&mut self, known: KnownInstance) {
        let ranked = rank_of(self.request, known.instance);
        insert_first(&mut self.first, ranked, ASKED_INSTANCES);
        let Some(domain) = known.disk else {
            return;
        };
        insert_first(&mut self.storing, ranked, ASKED_STORING);
        match self.domains.iter_mut().find(|(one, _)| *one == domain) {
            Some((_, best)) => *best = ranked.min(*best),
            None => self.domains.push((domain, ranked)),
        }
    }

    /// The instances that keep the record of a stream: the first with a disk, the first with a disk in
    /// another failure domain, or else the next one, and others.
    pub fn keepers(&self) -> Vec<InstanceId> {
        self.fill(self.storing_keepers(), KEEPERS)
    }

    /// The instances that are asked for an unknown stream. Beside those of [`Self::keepers`], they hold
    /// all that a gateway chose which heeds no failure domains, or knows of no disks.
    pub fn asked(&self) -> Vec<InstanceId> {
        let mut chosen = self.storing_keepers();
        for (_, instance) in &self.storing {
            if chosen.len() < ASKED_STORING && !chosen.contains(instance) {
                chosen.push(*instance);
            }
        }
        self.fill(chosen, ASKED_INSTANCES)
    }

    /// The keepers that are chosen for their disks; at most [`STORING_KEEPERS`].
    pub fn storing_keepers(&self) -> Vec<InstanceId> {
        // The first of a failure domain that is not the first of all lies in another one.
        let of_domains = self.domains.iter().map(|(_, ranked)| *ranked);
        let mut ranked: Vec<RankedInstance> = of_domains.collect();
        ranked.sort_unstable();
        ranked.truncate(STORING_KEEPERS);
        let mut chosen: Vec<InstanceId> = ranked.into_iter().map(|(_, one)| one).collect();
        for (_, instance) in &self.storing {
            if chosen.len() < STORING_KEEPERS && !chosen.contains(instance) {
                chosen.push(*instance);
            }
        }
        chosen
    }

    /// Adds the first instances that are not chosen yet, up to `count`.
    fn fill(&self, mut chosen: Vec<InstanceId>, count: usize) -> Vec<InstanceId> {
        for (_, instance) in &self.first {
            if chosen.len() < count && !chosen.contains(instance) {
                chosen.push(*instance);
            }
        }
        chosen
    }
}

fn rank_of(request: FingerprintHash, instance: InstanceId) -> RankedInstance {
    let place = xxh3_64_with_seed(&instance.to_le_bytes(), request);
    (place, instance)
}

/// Inserts an instance into the `count` first, if it is one of them.
fn insert_first(first: &mut Vec<RankedInstance>, ranked: RankedInstance, count: usize) {
    if first.len() == count && first.last().is_some_and(|last| *last < ranked) {
        return;
    }
    let position = first.partition_point(|one| *one < ranked);
    first.insert(position, ranked);
    first.truncate(count);
}

/// The `count` instances that rank first for a request, in the order of a [`KeeperRanking`].
pub fn rank_instances(
    request: FingerprintHash,
    instances: &[InstanceId],
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<InstanceId> = instances.to_vec();
    ranked.sort_by_cached_key(|instance| rank_of(request, *instance));
    ranked.truncate(count);
    ranked
}

/// A time in whole milliseconds, limited to what a notice can hold.
pub fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
