//! Which service and version a returning caller's stream goes on at, and the messages by which
//! instances tell each other.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use catalog::CallKind;
use fault::FaultKind;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use wire::gateway::GatewayDatagram;
use wire::id::{EndpointId, FingerprintHash, InstanceId, ServiceId, StreamId, VersionId, name_id};
use wire::process::ProcessQuery;
use wire::stream::{
    FleetSize, MAX_MESSAGE_STREAMS, OriginClaim, OriginNotice, OriginQuery, ProcessOrigin,
    StreamMessage, StreamOrigin,
};

use crate::call::CallMetadata;
use crate::caller_limits::DEFAULT_CALLER_TIMEOUT;
use crate::origin::{KeeperRanking, KnownFleet, KnownInstance, whole_millis};
use crate::origin_coverage::{COVERAGE_TIME, covering_count};
use crate::refusal::CallRefusal;
use crate::state::RelayState;
use crate::unsettled_origins::{LostCause, ProcessFinding, UnsettledStream};

/// How long the answers to each round of queries are awaited. The next round makes up for lost
/// datagrams, and for a notice that the return of its caller has overtaken.
const ROUND_WAITS: [Duration; 3] = [
    Duration::from_millis(40),
    Duration::from_millis(80),
    Duration::from_millis(120),
];
/// Interval at which the others are asked again for an origin that is not settled.
const SETTLING_INTERVAL: Duration = Duration::from_millis(200);
/// Time within which the keepers of processes answer.
const KEEPER_WAIT: Duration = Duration::from_millis(60);
/// Longest time from a reading of the list that may settle an origin until the next one arrives.
const READING_TIME: Duration = Duration::from_millis(1200);
/// Time of its caller that a return is left at most once it has waited until its stream may go on.
const RETURN_RESERVE: Duration = Duration::from_millis(500);
/// A return waits for the time of its caller divided by this at least.
const RETURN_DIVISOR: u32 = 2;
/// A return that waits for an instance which may hold its stream leaves its caller's time divided by this
/// at most, and [`RETURN_RESERVE`]: if it is refused, another one meets the same.
const HOLDER_RESERVE_DIVISOR: u32 = 8;
/// Interval at which it is checked whether such an instance is live again.
const HOLDER_INTERVAL: Duration = Duration::from_millis(100);
/// A lookup takes at most its caller's timeout divided by this, but for such a wait.
const LOOKUP_DIVISOR: u32 = 4;
/// Maximum number of lookups at once. Further callers that return are refused.
const MAX_LOOKUPS: usize = 256;
/// Maximum number of streams that another instance is told of when it becomes live.
const MAX_REFRESHED_STREAMS: usize = 2000;

/// The lookups in progress.
#[derive(Debug, Default)]
pub struct OriginLookups {
    lookups: HashMap<OriginQuery, OriginLookup>,
}

#[derive(Debug, Default)]
struct OriginLookup {
    /// Number of calls that wait for it.
    waiting: usize,
    /// Instances that were asked in any round.
    asked: BTreeSet<InstanceId>,
    /// Instances that were asked in the latest round and have not answered.
    unanswered: BTreeSet<InstanceId>,
    /// Instances with complete records that have answered.
    complete: BTreeSet<InstanceId>,
}

impl OriginLookups {
    /// Records that an instance has answered a query.
    fn note_answer(&mut self, from: InstanceId, query: OriginQuery) {
        if let Some(lookup) = self.lookups.get_mut(&query) {
            lookup.unanswered.remove(&from);
        }
    }

    /// Records that an instance with complete records has answered a query.
    fn note_complete(&mut self, from: InstanceId, query: OriginQuery) {
        if let Some(lookup) = self.lookups.get_mut(&query) {
            lookup.complete.insert(from);
        }
    }
}

/// Why a caller's stream does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusedReturn {
    /// Streams of its route may not be resumed.
    NotResumable,
    /// Streams of several origins have its id.
    Disputed,
    /// The version that began it is not certain yet.
    Unsettled,
    /// The version that began it will not be known.
    Lost,
    /// Nobody knows it.
    Unknown,
    /// Some that may know it have not answered.
    Unanswered,
    /// Nobody who is live knows it, and an instance that may have stored it is down.
    HolderDown,
}

impl RefusedReturn {
    /// Label for the log and the metrics.
    fn label(self) -> &'static str {
        match self {
            Self::NotResumable => "not-resumable",
            Self::Disputed => "disputed",
            Self::Unsettled => "unsettled",
            Self::Lost => "origin-lost",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
            Self::HolderDown => "holder-down",
        }
    }
}

/// What a lookup has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LookupFinding {
    /// What is known of the origin.
    Found(OriginClaim),
    /// All that may know the stream have answered, and none does.
    Unknown,
    /// Some of them have not answered.
    Silent,
    /// Nobody has answered: this instance may be cut off.
    Unanswered,
    /// All that are live have answered, and none knows the stream; others that may have stored it are down.
    HolderDown,
}

impl LookupFinding {
    /// Whether an instance that does not answer at present may know the stream.
    fn may_be_held(self) -> bool {
        match self {
            Self::Silent | Self::HolderDown => true,
            Self::Found(_) | Self::Unknown | Self::Unanswered => false,
        }
    }
}

/// Guard of a lookup, which ends with the last guard of its query.
struct LookupGuard<'a> {
    lookups: &'a RefCell<OriginLookups>,
    query: OriginQuery,
}

impl<'a> LookupGuard<'a> {
    /// Begins a lookup or joins the one of the same query. Returns `None` if there are too many.
    fn start(lookups: &'a RefCell<OriginLookups>, query: OriginQuery) -> Option<Self> {
        let mut table = lookups.borrow_mut();
        let is_full = table.lookups.len() >= MAX_LOOKUPS;
        if is_full && !table.lookups.contains_key(&query) {
            return None;
        }
        table.lookups.entry(query).or_default().waiting += 1;
        Some(Self { lookups, query })
    }

    /// Records which instances are asked in a round that begins.
    fn ask(&self, instances: &[InstanceId]) {
        if let Some(lookup) = self.lookups.borrow_mut().lookups.get_mut(&self.query) {
            lookup.asked.extend(instances);
            lookup.unanswered = instances.iter().copied().collect();
        }
    }

    /// Logs that the instances which were asked did not tell the origin.
    fn log_unknown(&self, age: Duration) {
        let table = self.lookups.borrow();
        if let Some(lookup) = table.lookups.get(&self.query) {
            log::info!(
                asked = lookup.asked.len(),
                unanswered = lookup.unanswered.len(),
                instance_age_ms = age.as_millis() as u64;
                "relay: origin of a stream is not found"
            );
        }
    }

    /// Whether the answers so far hold every stream of the request, of `asked` instances.
    fn is_covered(&self, asked: usize) -> bool {
        let table = self.lookups.borrow();
        let lookup = table.lookups.get(&self.query);
        lookup.is_some_and(|lookup| lookup.complete.len() >= covering_count(asked))
    }

    /// What is found if not all instances that were asked in the latest round have answered.
    fn unanswered(&self) -> LookupFinding {
        let table = self.lookups.borrow();
        let lookup = table.lookups.get(&self.query);
        let is_heard = lookup.is_some_and(|lookup| lookup.unanswered.len() < lookup.asked.len());
        match is_heard {
            true => LookupFinding::Silent,
            false => LookupFinding::Unanswered,
        }
    }

    /// Whether all instances that were asked in the latest round have answered.
    fn is_answered(&self) -> bool {
        let table = self.lookups.borrow();
        let lookup = table.lookups.get(&self.query);
        lookup.is_none_or(|lookup| lookup.unanswered.is_empty())
    }
}

impl Drop for LookupGuard<'_> {
    fn drop(&mut self) {
        let mut table = self.lookups.borrow_mut();
        if let Some(lookup) = table.lookups.get_mut(&self.query) {
            lookup.waiting -= 1;
            if lookup.waiting == 0 {
                table.lookups.remove(&self.query);
            }
        }
    }
}

/// Waits until a condition holds that may change with each notification.
async fn until(changes: &Notify, condition: impl Fn() -> bool) {
    loop {
        let changed = changes.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if condition() {
            return;
        }
        changed.await;
    }
}

/// Where a stream that its caller resumes goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumedOrigin {
    /// Its service and software version.
    pub origin: StreamOrigin,
    /// The process that began it, if the version is only what the list states for its endpoint now:
    /// the stream goes on at this process only.
    pub process: Option<ProcessOrigin>,
}

/// Id of the stream that began in the caller's attempt with this id.
pub fn stream_id(attempt_id: &str) -> StreamId {
    name_id(attempt_id)
}

/// Longest time for which a return waits for an instance that may hold its stream, if its caller still
/// waits for `left`.
fn holder_wait(left: Duration) -> Duration {
    left - RETURN_RESERVE.min(left / HOLDER_RESERVE_DIVISOR)
}

/// Longest time for which a return waits until its stream may go on, if its caller still waits for
/// `left`.
pub(crate) fn return_wait(left: Duration) -> Duration {
    let reserved = left.saturating_sub(RETURN_RESERVE);
    reserved.max(left / RETURN_DIVISOR)
}

impl RelayState {
    /// Finds the origin of the stream that a request resumes. `sole` is the only service of its
    /// route, if there is one, and the digest of the routes of streams. The caller waits since `started`. One
    /// that does not name the stream resumes one of the same request: it goes on if all known ones have one
    /// origin.
    ///
    /// # Errors
    /// A refusal of kind [`FaultKind::OriginUnknown`] if nobody who answers knows the origin, if it is
    /// disputed or not settled yet, or if the route does not allow that its streams are resumed.
    pub async fn resumed_origin(
        &self,
        kind: CallKind,
        request: FingerprintHash,
        metadata: &CallMetadata,
        sole: Option<(ServiceId, u64)>,
        started: Instant,
    ) -> Result<ResumedOrigin, CallRefusal> {
        let caller_timeout = metadata.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
        let ends_at = started + caller_timeout;
        if !kind.is_repeatable() {
            return Err(self.refuse_return(
                request,
                metadata,
                RefusedReturn::NotResumable,
                ends_at,
            ));
        }
        let query = OriginQuery {
            request,
            stream: metadata.resumes.as_deref().map(stream_id),
        };
        let finding = timeout(caller_timeout / LOOKUP_DIVISOR, self.find_origin(query));
        let mut finding = finding.await.unwrap_or(LookupFinding::Silent);
        if let Some((service, routing)) = sole
            && !matches!(finding, LookupFinding::Found(_))
            && let Some(origin) = self.sole_origin(service, routing).await
        {
            finding = LookupFinding::Found(OriginClaim::Known(origin));
        }
        if finding.may_be_held() && query.stream.is_some() {
            finding = self.until_held(query, ends_at, finding).await;
        }
        if finding == LookupFinding::Found(OriginClaim::Unsettled) {
            finding = LookupFinding::Found(self.until_settled(query, ends_at).await);
        }
        if let LookupFinding::Found(OriginClaim::Process(process)) = finding {
            match self.resume_process(process).await {
                Some(resumed) if resumed.process.is_some() => return Ok(resumed),
                Some(resumed) => {
                    finding = LookupFinding::Found(OriginClaim::Known(resumed.origin));
                }
                None => finding = LookupFinding::Found(self.until_settled(query, ends_at).await),
            }
        }
        let cause = match finding {
            LookupFinding::Found(OriginClaim::Known(origin)) => {
                if let Some(stream) = query.stream {
                    let claim = OriginClaim::Known(origin);
                    self.publish_claim(request, stream, claim, metadata.caller_timeout);
                }
                return Ok(ResumedOrigin {
                    origin,
                    process: None,
                });
            }
            LookupFinding::Found(OriginClaim::Process(_)) => RefusedReturn::Unsettled,
            LookupFinding::Found(OriginClaim::Disputed) => RefusedReturn::Disputed,
            LookupFinding::Found(OriginClaim::Unsettled) => RefusedReturn::Unsettled,
            LookupFinding::Found(OriginClaim::Lost) => RefusedReturn::Lost,
            LookupFinding::Unknown => RefusedReturn::Unknown,
            LookupFinding::Silent | LookupFinding::Unanswered => RefusedReturn::Unanswered,
            LookupFinding::HolderDown => RefusedReturn::HolderDown,
        };
        Err(self.refuse_return(request, metadata, cause, ends_at))
    }

    /// Finds where a stream goes on whose process is known, but not its version: anywhere at its version
    /// if a keeper knows it, otherwise at its endpoint while that takes calls and states no other process.
    async fn resume_process(&self, process: ProcessOrigin) -> Option<ResumedOrigin> {
        if self.known_version(process).is_none() {
            self.ask_for_process(process);
            let is_known = || self.known_version(process).is_some();
            let changed = until(&self.processes_changed, is_known);
            let _ = timeout(KEEPER_WAIT, changed).await;
        }
        let service = process.service;
        if let Some(version) = self.known_version(process) {
            let origin = StreamOrigin { service, version };
            return Some(ResumedOrigin {
                origin,
                process: None,
            });
        }
        let table = self.table.borrow();
        let now = self.now();
        let row = table.row(process.endpoint)?;
        let may_serve = row.may_report(now) && row.is_sound(now);
        let is_gone = table.versions.is_gone(process.endpoint, process.start);
        let version = row.version_id;
        (may_serve && !is_gone).then_some(ResumedOrigin {
            origin: StreamOrigin { service, version },
            process: Some(process),
        })
    }

    fn known_version(&self, process: ProcessOrigin) -> Option<VersionId> {
        let table = self.table.borrow();
        let known = table
            .versions
            .known
            .stating(process.endpoint, process.start);
        known.map(|known| known.version())
    }

    fn ask_for_process(&self, process: ProcessOrigin) {
        self.ask_for_processes(ProcessQuery {
            service: process.service,
            version: None,
            endpoint: Some(process.endpoint),
        });
    }

    /// Waits until an origin is settled, as long as the list may take to state it within the time of the
    /// caller.
    async fn until_settled(&self, query: OriginQuery, ends_at: Instant) -> OriginClaim {
        let left = ends_at.saturating_duration_since(Instant::now());
        let limit = return_wait(left).min(self.settling_time());
        let claim = || match self.known_origin(query).unwrap_or(OriginClaim::Unsettled) {
            OriginClaim::Process(process) => match self.known_version(process) {
                Some(version) => OriginClaim::Known(StreamOrigin {
                    service: process.service,
                    version,
                }),
                None => OriginClaim::Process(process),
            },
            claim => claim,
        };
        let is_settled = || !matches!(claim(), OriginClaim::Unsettled | OriginClaim::Process(_));
        let settled = async {
            loop {
                for instance in self.rank_live(query.request).asked() {
                    self.send_query(instance, query);
                }
                if let OriginClaim::Process(process) = claim() {
                    self.ask_for_process(process);
                }
                let changed = self.until(is_settled);
                if timeout(SETTLING_INTERVAL, changed).await.is_ok() {
                    return;
                }
            }
        };
        // What is known after the limit decides.
        let _ = timeout(limit, settled).await;
        claim()
    }

    /// Waits for the service and version that began a stream whose process is known, as long as the list may
    /// take to state them within the time of the caller, which stops to wait at `ends_at`.
    pub(crate) async fn settled_origin(
        &self,
        request: FingerprintHash,
        resumes: Option<&str>,
        ends_at: Instant,
    ) -> Option<StreamOrigin> {
        let stream = resumes.map(stream_id);
        let query = OriginQuery { request, stream };
        match self.until_settled(query, ends_at).await {
            OriginClaim::Known(origin) => Some(origin),
            _ => None,
        }
    }

    /// Longest time until the list states which process an endpoint has.
    pub(crate) fn settling_time(&self) -> Duration {
        self.settings.list_lag + READING_TIME
    }

    /// Refuses a caller whose stream does not go on. It may return when that may have changed; if
    /// nothing will change, as late as callers honour.
    fn refuse_return(
        &self,
        request: FingerprintHash,
        metadata: &CallMetadata,
        cause: RefusedReturn,
        ends_at: Instant,
    ) -> CallRefusal {
        self.metrics.count_stream_return(cause.label());
        let left = ends_at.saturating_duration_since(Instant::now());
        log::info!(
            call = metadata.attempt_id.as_deref().unwrap_or("-"),
            resumes = metadata.resumes.as_deref().unwrap_or(""),
            cause = cause.label(),
            stores_down = self.down_stores(request).len(),
            left_ms = left.as_millis() as u64;
            "relay: stream is not taken up"
        );
        CallRefusal {
            scheduled_wait: match cause {
                RefusedReturn::Unsettled => Some(self.settings.list_lag),
                RefusedReturn::Unanswered => None,
                RefusedReturn::HolderDown
                | RefusedReturn::Disputed
                | RefusedReturn::Lost
                | RefusedReturn::Unknown
                | RefusedReturn::NotResumable => Some(left),
            },
            ..CallRefusal::new(
                FaultKind::OriginUnknown,
                metadata.caller_timeout.map(|_| left),
            )
        }
    }

    /// Records which service and version begin a stream, or go on with it, and tells its keepers.
    /// Call before the caller gets the first event.
    pub fn publish_origin(
        &self,
        request: FingerprintHash,
        stream: StreamId,
        origin: StreamOrigin,
        caller_timeout: Option<Duration>,
    ) {
        self.publish_claim(request, stream, OriginClaim::Known(origin), caller_timeout);
    }

    /// Records what is known of the origin of a stream and tells its keepers.
    pub fn publish_claim(
        &self,
        request: FingerprintHash,
        stream: StreamId,
        claim: OriginClaim,
        caller_timeout: Option<Duration>,
    ) {
        let notice = OriginNotice {
            request,
            stream,
            claim,
            lifetime_ms: whole_millis(caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT)),
        };
        self.record_origin(notice);
        self.tell_origin(notice);
    }

    fn record_origin(&self, notice: OriginNotice) {
        self.origins.borrow_mut().note(self.now(), notice);
        self.origin_store_due.notify_one();
    }

    /// Takes the records that are to be stored. Those of a service that has had one version only need
    /// no store.
    pub fn take_unstored_origins(&self) -> Vec<OriginNotice> {
        let is_stored = |service| self.is_stored(service);
        self.origins
            .borrow_mut()
            .take_unstored(self.now(), is_stored)
    }

    /// Whether the streams of a service are stored, as it has had several versions.
    pub(crate) fn is_stored(&self, service: ServiceId) -> bool {
        let table = self.table.borrow();
        table.recorded.only_known(service).is_none()
    }

    /// Takes back records that the store has refused.
    pub fn put_back_unstored_origins<'a>(&self, refused: impl Iterator<Item = &'a OriginNotice>) {
        self.origins.borrow_mut().put_back_unstored(refused);
    }

    /// Takes over the records that the store held when this instance started.
    pub fn restore_origins(&self, notices: impl IntoIterator<Item = OriginNotice>) {
        let now = self.now();
        for notice in notices {
            self.origins.borrow_mut().restore(now, notice);
        }
        self.has_stored_origins.set(true);
        self.origin_changed.notify_waiters();
    }

    /// Ranks the other instances, as they are known at present, for a request.
    pub(crate) fn rank_live(&self, request: FingerprintHash) -> KeeperRanking {
        let mut ranking = KeeperRanking::new(request);
        if let Some(peers) = self.peers.get() {
            peers.visit_live(&mut |known| ranking.add(known));
        }
        ranking
    }

    /// The other instances, as they are known at present.
    fn known_fleet(&self) -> KnownFleet {
        let mut fleet = KnownFleet::default();
        if let Some(peers) = self.peers.get() {
            peers.visit_live(&mut |known| fleet.instances.push(known));
        }
        fleet
    }

    /// The instances that may have stored the record of a stream of a request and are not live. One that was
    /// not live since the caller began to wait has no record of its stream.
    fn down_stores(&self, request: FingerprintHash) -> Vec<InstanceId> {
        let Some(peers) = self.peers.get() else {
            return Vec::new();
        };
        let lately_live = peers.lately_live(COVERAGE_TIME);
        let mut ranking = KeeperRanking::new(request);
        for instance in peers.storing() {
            if lately_live.contains(&instance) {
                let disk = Some(peers.domain(instance));
                ranking.add(KnownInstance { instance, disk });
            }
        }
        let live = peers.instances();
        let mut stores = ranking.storing_keepers();
        stores.retain(|store| !live.contains(store));
        stores
    }

    /// Whether this instance has had the time to find all that may hold records of streams, and to read
    /// its own.
    fn knows_holders(&self) -> bool {
        let has_found = self.now() >= self.settings.origins.discovery_time;
        self.settings.is_first_start || has_found && self.has_stored_origins.get()
    }

    /// Publishes the origins of the streams that began at a version which has become certain.
    pub(crate) fn settle_origins(&self) {
        self.settle_origins_where(|_| true);
    }

    /// The same for the streams of some endpoints.
    pub(crate) fn settle_origins_at(&self, endpoints: &[EndpointId]) {
        self.settle_origins_where(|endpoint| endpoints.contains(&endpoint));
    }

    fn settle_origins_where(&self, is_due: impl Fn(EndpointId) -> bool) {
        let settlement = {
            let table = self.table.borrow();
            self.unsettled.borrow_mut().settle(self.now(), |stream| {
                if !is_due(stream.endpoint) {
                    return ProcessFinding::Open;
                }
                if let Some(version) = table.versions.reported_version(stream) {
                    return ProcessFinding::Version(version);
                }
                let row = table.row(stream.endpoint);
                match row.filter(|row| row.address == stream.address) {
                    Some(row) => table.versions.find_process(stream, row.version_id),
                    None => ProcessFinding::Lost(LostCause::NotListed),
                }
            })
        };
        for (stream, cause) in settlement.lost {
            self.metrics.count_stream_return("lost");
            self.log_lost(&stream, cause);
            let claim = OriginClaim::Lost;
            self.publish_claim(stream.request, stream.stream, claim, stream.caller_timeout);
        }
        for (stream, version) in settlement.settled {
            let origin = StreamOrigin {
                service: stream.service,
                version,
            };
            self.metrics.count_stream_return("settled");
            self.publish_origin(stream.request, stream.stream, origin, stream.caller_timeout);
        }
    }

    fn log_lost(&self, stream: &UnsettledStream, cause: LostCause) {
        let table = self.table.borrow();
        let row = table.row(stream.endpoint);
        let age = self.now().saturating_sub(stream.accepted_at);
        log::info!(
            endpoint = row.map_or("-", |row| row.name.as_str()),
            cause = cause.label(),
            connection_age_ms = age.as_millis() as u64;
            "relay: origin of a stream is lost"
        );
    }

    /// Looks up the origin of a stream.
    async fn find_origin(&self, query: OriginQuery) -> LookupFinding {
        let own = self.known_origin(query);
        if let Some(claim) = own.filter(|_| query.stream.is_some()) {
            self.metrics.count_stream_return("recorded");
            return LookupFinding::Found(claim);
        }
        let finding = match query.stream {
            Some(_) => self.ask_for_stream(query).await,
            None => match self.ask_for_request(query).await {
                Some(claim) => LookupFinding::Found(claim),
                None => LookupFinding::Unanswered,
            },
        };
        if matches!(finding, LookupFinding::Found(_)) {
            self.metrics.count_stream_return("found");
        }
        finding
    }

    /// Asks for the origin of a stream that its caller names.
    async fn ask_for_stream(&self, query: OriginQuery) -> LookupFinding {
        let Some(guard) = LookupGuard::start(&self.origin_lookups, query) else {
            return LookupFinding::Unanswered;
        };
        let mut rounds = 0;
        loop {
            let asked = self.rank_live(query.request).asked();
            self.send_queries(&guard, &asked);
            // In the first round, the notice of the stream may still be on its way. After a start, those
            // that hold it may not be known yet.
            let may_be_unknown = rounds > 0 && self.knows_holders();
            let settled = self.until(|| {
                let is_known = self.known_origin(query).is_some();
                is_known || may_be_unknown && guard.is_answered()
            });
            let wait = ROUND_WAITS[rounds.min(ROUND_WAITS.len() - 1)];
            let is_settled = timeout(wait, settled).await.is_ok();
            if let Some(claim) = self.known_origin(query) {
                return LookupFinding::Found(claim);
            }
            rounds += 1;
            if is_settled {
                guard.log_unknown(self.now());
                return match self.down_stores(query.request).is_empty() {
                    true => LookupFinding::Unknown,
                    false => LookupFinding::HolderDown,
                };
            }
            if rounds >= ROUND_WAITS.len() && self.knows_holders() {
                guard.log_unknown(self.now());
                return guard.unanswered();
            }
        }
    }

    /// Waits until the instances that may hold a stream answer, within the time of its caller. Asks again
    /// those that are silent, and all when one of those that are down becomes live.
    async fn until_held(
        &self,
        query: OriginQuery,
        ends_at: Instant,
        before: LookupFinding,
    ) -> LookupFinding {
        let left = ends_at.saturating_duration_since(Instant::now());
        let finding = Cell::new(before);
        let held = async {
            let mut down = self.down_stores(query.request);
            loop {
                let known = self.until(|| self.known_origin(query).is_some());
                let is_known = timeout(HOLDER_INTERVAL, known).await.is_ok();
                let still_down = self.down_stores(query.request);
                let is_same = finding.get() == LookupFinding::HolderDown && still_down == down;
                if is_same && !is_known {
                    continue;
                }
                down = still_down;
                finding.set(self.find_origin(query).await);
                if !finding.get().may_be_held() {
                    return;
                }
            }
        };
        // What was found last decides after the limit.
        let _ = timeout(holder_wait(left), held).await;
        finding.get()
    }

    /// Asks for the origin of all streams of a request. `None` unless every stream of the request
    /// is certainly known: one that is missing may be the caller's.
    async fn ask_for_request(&self, query: OriginQuery) -> Option<OriginClaim> {
        if !self.knows_all_streams() {
            return None;
        }
        let Some(peers) = self.peers.get() else {
            return self.known_origin(query);
        };
        let guard = LookupGuard::start(&self.origin_lookups, query)?;
        for wait in ROUND_WAITS {
            // An instance that was killed lately may hold the only record.
            let mut ranking = KeeperRanking::new(query.request);
            let storing = peers.storing();
            for instance in peers.lately_live(COVERAGE_TIME) {
                let is_storing = storing.contains(&instance);
                let disk = is_storing.then(|| peers.domain(instance));
                ranking.add(KnownInstance { instance, disk });
            }
            let asked = ranking.asked();
            self.send_queries(&guard, &asked);
            let is_alone = asked.is_empty();
            let covered = self.until(|| is_alone || guard.is_covered(asked.len()));
            if timeout(wait, covered).await.is_ok() {
                return self.known_origin(query);
            }
        }
        None
    }

    fn send_queries(&self, guard: &LookupGuard<'_>, asked: &[InstanceId]) {
        guard.ask(asked);
        for instance in asked {
            self.send_query(*instance, guard.query);
        }
    }

    fn send_query(&self, instance: InstanceId, query: OriginQuery) {
        if let Some(peers) = self.peers.get() {
            let message = GatewayDatagram::Stream(StreamMessage::Query(query));
            peers.send(instance, &message);
        }
    }

    /// Waits until a condition holds that messages of other instances about origins change.
    async fn until(&self, condition: impl Fn() -> bool) {
        until(&self.origin_changed, condition).await;
    }

    /// Whether this instance has a record of each stream that it began or is a keeper of.
    fn knows_all_streams(&self) -> bool {
        let now = self.now();
        let is_complete = self.origin_coverage.borrow().is_complete(now);
        is_complete && self.origins.borrow().holds_all(now)
    }

    fn known_origin(&self, query: OriginQuery) -> Option<OriginClaim> {
        let (origins, now) = (self.origins.borrow(), self.now());
        match origins.find(now, query) {
            Some(OriginClaim::Unsettled)
                if origins.is_abandoned(now, query, self.settling_time()) =>
            {
                Some(OriginClaim::Lost)
            }
            claim => claim,
        }
    }

    /// Handles a message of another instance.
    pub fn handle_stream_message(&self, from: InstanceId, message: StreamMessage) {
        match message {
            StreamMessage::Origins(notices) => {
                for notice in notices {
                    self.note_origin(from, notice);
                }
            }
            StreamMessage::Tracked(notices) => {
                self.confirm_origins(from, &notices);
                for notice in notices {
                    self.note_origin(from, notice);
                }
            }
            StreamMessage::Held(digests) => self.note_held(from, &digests),
            StreamMessage::Query(query) => self.answer_query(from, query),
            StreamMessage::Unknown(query) => {
                self.origin_lookups.borrow_mut().note_answer(from, query);
            }
            StreamMessage::AllOrigins(query, notices) => {
                for notice in notices {
                    self.note_origin(from, notice);
                }
                let mut lookups = self.origin_lookups.borrow_mut();
                lookups.note_answer(from, query);
                lookups.note_complete(from, query);
            }
            // What was sent within a gap is not all.
            StreamMessage::Told(_) if !self.watch.borrow().is_settled() => {}
            StreamMessage::Told(fleet_size) => {
                let mut coverage = self.origin_coverage.borrow_mut();
                coverage.note_told(from, fleet_size as usize);
            }
        }
        self.origin_changed.notify_waiters();
    }

    fn note_origin(&self, from: InstanceId, notice: OriginNotice) {
        self.record_origin(notice);
        let mut lookups = self.origin_lookups.borrow_mut();
        for stream in [Some(notice.stream), None] {
            let request = notice.request;
            lookups.note_answer(from, OriginQuery { request, stream });
        }
    }

    fn answer_query(&self, from: InstanceId, query: OriginQuery) {
        let mut notices = self.origins.borrow().notices_of(self.now(), query);
        let is_complete = self.knows_all_streams();
        let has_all = is_complete && notices.len() <= MAX_MESSAGE_STREAMS;
        notices.truncate(MAX_MESSAGE_STREAMS);
        if notices.is_empty() && !self.has_stored_origins.get() {
            // The records that are still to be read may tell it.
            return;
        }
        let answer = match query.stream {
            None if has_all => StreamMessage::AllOrigins(query, notices),
            _ if notices.is_empty() => StreamMessage::Unknown(query),
            _ => StreamMessage::Origins(notices),
        };
        if let Some(peers) = self.peers.get() {
            peers.send(from, &GatewayDatagram::Stream(answer));
        }
    }

    /// Tells an instance that has become live, and may have lost its records, of the streams that
    /// it is a keeper of.
    pub fn refresh_keeper(&self, keeper: InstanceId) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        self.note_keeper_live(keeper);
        let fleet = self.known_fleet();
        let origins = self.origins.borrow();
        let notices = origins.notices_for(self.now(), keeper, &fleet, MAX_REFRESHED_STREAMS);
        for notices in notices.chunks(MAX_MESSAGE_STREAMS) {
            let message = StreamMessage::Origins(notices.to_vec());
            peers.send(keeper, &GatewayDatagram::Stream(message));
        }
        let has_all = origins.len() <= MAX_REFRESHED_STREAMS;
        if has_all && self.knows_all_streams() {
            let known = peers.lately_live(COVERAGE_TIME).len() + 1;
            let message = StreamMessage::Told(FleetSize::try_from(known).unwrap_or(FleetSize::MAX));
            peers.send(keeper, &GatewayDatagram::Stream(message));
        }
    }
}
