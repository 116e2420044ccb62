//! The other gateways that this one knows of, and which of them are live.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use relay::origin::KnownInstance;
use wire::gateway::{GatewayHeartbeat, StorageState};
use wire::id::{DomainId, InstanceId};

/// Time without a heartbeat after which a gateway is no longer live, if all gateways fit into one
/// round of heartbeats.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Gateways to which one heartbeat is sent at most, beside the seeds and those with a data folder.
const ROUND_GATEWAYS: usize = 32;
/// Time for which heartbeats are still sent to a gateway after it was last heard from or named.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// What is known about one other gateway.
#[derive(Clone, Debug, Default)]
struct GatewayRow {
    /// When its latest heartbeat arrived; `None` if it was only named by others.
    heard_at: Option<Duration>,
    /// When it was last heard from, or named by a heartbeat or the settings.
    known_at: Duration,
    /// Its latest heartbeat.
    heartbeat: GatewayHeartbeat,
    /// Revision of the evacuations that it last announced; 0 for none.
    evacuation_revision: u64,
}

/// The other gateways and their latest heartbeats.
#[derive(Debug)]
pub struct GatewayDirectory {
    own: InstanceId,
    rows: BTreeMap<InstanceId, GatewayRow>,
    /// Position at which the next round of heartbeats starts, among the gateways that are neither
    /// seeds nor have a data folder.
    next_position: usize,
    /// Highest number of gateways that were live at once, this one included.
    peak_live: usize,
    /// When a heartbeat last reported a data folder that the sender's heartbeat before it, if any,
    /// did not report.
    storage_changed_at: Duration,
}

impl GatewayDirectory {
    /// An empty directory for the gateway `own`.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            rows: BTreeMap::new(),
            next_position: 0,
            peak_live: 1,
            storage_changed_at: Duration::ZERO,
        }
    }

    /// Adds gateways to those that heartbeats are sent to, or refreshes them. Ignores this gateway.
    pub fn add_known(&mut self, now: Duration, instances: impl IntoIterator<Item = InstanceId>) {
        for instance in instances {
            if instance != self.own {
                let row = self.rows.entry(instance).or_default();
                row.known_at = row.known_at.max(now);
            }
        }
    }

    /// Records a heartbeat. Returns whether the gateway was not live before, or has restarted.
    pub fn record_heartbeat(
        &mut self,
        now: Duration,
        from: InstanceId,
        heartbeat: GatewayHeartbeat,
    ) -> bool {
        if from == self.own {
            return false;
        }
        let limit = self.silence_timeout();
        let has_storage = heartbeat.storage != StorageState::None;
        self.add_known(now, heartbeat.known.iter().copied());
        let row = self.rows.entry(from).or_default();
        let was_silent = row.heard_at.is_none_or(|at| now > at + limit);
        let has_restarted = row.heartbeat.incarnation != heartbeat.incarnation;
        if has_storage && (row.heard_at.is_none() || row.heartbeat.storage == StorageState::None) {
            self.storage_changed_at = now;
        }
        if has_restarted {
            row.evacuation_revision = 0;
        }
        row.heard_at = Some(now);
        row.known_at = now;
        row.heartbeat = heartbeat;
        self.peak_live = self.peak_live.max(self.live(now).count() + 1);
        was_silent || has_restarted
    }

    /// Records the revision of the evacuations that a gateway announced.
    pub fn record_evacuation_revision(&mut self, from: InstanceId, revision: u64) {
        if let Some(row) = self.rows.get_mut(&from) {
            row.evacuation_revision = revision;
        }
    }

    /// Revision of the evacuations that a gateway last announced; 0 for none.
    pub fn evacuation_revision(&self, instance: InstanceId) -> u64 {
        self.rows
            .get(&instance)
            .map_or(0, |row| row.evacuation_revision)
    }

    /// The live gateways in ascending order of their ids, with their latest heartbeats.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (InstanceId, &GatewayHeartbeat)> {
        let limit = self.silence_timeout();
        let is_live = move |row: &GatewayRow| row.heard_at.is_some_and(|at| now <= at + limit);
        let live = self.rows.iter().filter(move |(_, row)| is_live(row));
        live.map(|(instance, row)| (*instance, &row.heartbeat))
    }

    /// Visits the live gateways, in ascending order of their ids. Returns their number.
    pub fn visit_live(&self, now: Duration, visit: &mut dyn FnMut(KnownInstance)) -> usize {
        let mut count = 0;
        for (instance, heartbeat) in self.live(now) {
            let disk = disk_domain(heartbeat);
            visit(KnownInstance { instance, disk });
            count += 1;
        }
        count
    }

    /// Failure domain of a gateway that reported a data folder in its latest heartbeat.
    pub fn disk_domain(&self, instance: InstanceId) -> Option<DomainId> {
        let row = self.rows.get(&instance)?;
        row.heard_at.and_then(|_| disk_domain(&row.heartbeat))
    }

    /// The gateways whose latest heartbeat arrived within `window`, live or not.
    pub fn heard_within(&self, now: Duration, window: Duration) -> Vec<InstanceId> {
        let is_recent = |row: &GatewayRow| row.heard_at.is_some_and(|at| now <= at + window);
        let recent = self.rows.iter().filter(|(_, row)| is_recent(row));
        recent.map(|(instance, _)| *instance).collect()
    }

    /// Recipients of the next heartbeat: the seeds, the gateways with a data folder, and at most
    /// `ROUND_GATEWAYS` of the others, in turn, so that the cost of a heartbeat does not grow with
    /// the number of gateways without a data folder.
    pub fn next_recipients(&mut self, now: Duration, seeds: &[InstanceId]) -> Vec<InstanceId> {
        let always: BTreeSet<InstanceId> =
            seeds.iter().copied().chain(self.with_storage()).collect();
        let others = self
            .known(now)
            .into_iter()
            .filter(|one| !always.contains(one));
        let others: Vec<InstanceId> = others.collect();
        let start = self.next_position % others.len().max(1);
        let batch = others
            .iter()
            .cycle()
            .skip(start)
            .take(others.len().min(ROUND_GATEWAYS));
        let batch: Vec<InstanceId> = batch.copied().collect();
        self.next_position = start + batch.len();
        always
            .into_iter()
            .filter(|one| *one != self.own)
            .chain(batch)
            .collect()
    }

    /// Recipients of a notice that is sent at once: at most `ROUND_GATEWAYS` live gateways, those
    /// that follow this one in the order of their ids, so that different gateways notify different
    /// ones in a large fleet.
    pub fn notice_recipients(&self, now: Duration) -> Vec<InstanceId> {
        let live: Vec<InstanceId> = self.live(now).map(|(instance, _)| instance).collect();
        let first = live.partition_point(|instance| *instance < self.own);
        let following = live.iter().cycle().skip(first).take(live.len());
        following.take(ROUND_GATEWAYS).copied().collect()
    }

    /// The live gateway that follows `previous` in the cyclic order of ids; `None` if no other is
    /// live.
    pub fn next_live(&self, now: Duration, previous: InstanceId) -> Option<InstanceId> {
        let after = self.live(now).find(|(instance, _)| *instance > previous);
        let next = after.or_else(|| self.live(now).next());
        next.map(|(instance, _)| instance)
    }

    /// Whether the other gateways that were ever known are few enough that one heartbeat reaches
    /// all of them. If not, an extra heartbeat for a changed load would cost more than the few
    /// gateways that it reaches are worth.
    pub fn fits_one_round(&self) -> bool {
        self.rows.len() <= ROUND_GATEWAYS
    }

    /// Time without a heartbeat after which a gateway is no longer live. Grows with the number of
    /// heartbeats that it takes to reach every gateway once.
    fn silence_timeout(&self) -> Duration {
        let rounds = self.rows.len().div_ceil(ROUND_GATEWAYS);
        SILENCE_TIMEOUT * u32::try_from(rounds.max(1)).unwrap_or(u32::MAX)
    }

    /// Gateways that heartbeats are sent to.
    pub fn known(&self, now: Duration) -> Vec<InstanceId> {
        let known = self
            .rows
            .iter()
            .filter(|(_, row)| now <= row.known_at + RETENTION_TIME);
        known.map(|(instance, _)| *instance).collect()
    }

    /// Gateways that stopped being live between `since` and `now`.
    pub fn newly_silent(&self, since: Duration, now: Duration) -> Vec<InstanceId> {
        let silence_timeout = self.silence_timeout();
        let limit = |at: Duration| at + silence_timeout;
        let fell = |row: &GatewayRow| {
            let heard = row.heard_at;
            heard.is_some_and(|at| limit(at) >= since && limit(at) < now)
        };
        let silent = self.rows.iter().filter(|(_, row)| fell(row));
        silent.map(|(instance, _)| *instance).collect()
    }

    /// Gateways that reported a data folder in their latest heartbeat, live or not, without this
    /// one.
    pub fn with_storage(&self) -> Vec<InstanceId> {
        let stores = |row: &&(&InstanceId, &GatewayRow)| {
            row.1.heard_at.is_some() && row.1.heartbeat.storage != StorageState::None
        };
        let with_storage = self.rows.iter().filter(|row| stores(&row));
        with_storage.map(|(instance, _)| *instance).collect()
    }

    /// Failure domain of a gateway by its latest heartbeat; 0 if it is not known.
    pub fn domain(&self, instance: InstanceId) -> DomainId {
        let row = self.rows.get(&instance);
        row.map_or(0, |row| row.heartbeat.domain)
    }

    /// Gateways that reported no data folder in their latest heartbeat, live or not, without this
    /// one.
    pub fn without_storage(&self) -> BTreeSet<InstanceId> {
        let heard = self.rows.iter().filter(|(_, row)| row.heard_at.is_some());
        let without = heard.filter(|(_, row)| row.heartbeat.storage == StorageState::None);
        without.map(|(instance, _)| *instance).collect()
    }

    /// Number of live gateways with a lower id than this one.
    pub fn own_rank(&self, now: Duration) -> usize {
        self.live(now)
            .filter(|(instance, _)| *instance < self.own)
            .count()
    }

    /// Highest number of gateways that were live at once, this one included. Budgets of all
    /// gateways together are divided by it: a silent gateway still counts, as it may be serving on
    /// the other side of a network partition.
    pub fn peak_live(&self) -> usize {
        self.peak_live
    }

    /// When a heartbeat last reported a data folder that the sender's heartbeat before it, if any,
    /// did not report; zero if there was none.
    pub fn storage_changed_at(&self) -> Duration {
        self.storage_changed_at
    }

    /// The leader of the highest term that live gateways report.
    pub fn leader(&self, now: Duration) -> Option<InstanceId> {
        let leaders = self.live(now).filter_map(|(_, heartbeat)| heartbeat.leader);
        leaders.max().map(|(_, leader)| leader)
    }

    /// The live gateways that hold the newest reported catalog; none if its version is not above
    /// `version`.
    pub fn newest_holders(&self, now: Duration, version: u64) -> Vec<InstanceId> {
        let newest = self.live(now).map(|(_, heartbeat)| heartbeat.catalog).max();
        let Some(newest) = newest.filter(|newest| *newest > version) else {
            return Vec::new();
        };
        let holders = self
            .live(now)
            .filter(|(_, heartbeat)| heartbeat.catalog == newest);
        holders.map(|(instance, _)| instance).collect()
    }
}

/// Failure domain of a gateway that has a data folder.
fn disk_domain(heartbeat: &GatewayHeartbeat) -> Option<DomainId> {
    (heartbeat.storage != StorageState::None).then_some(heartbeat.domain)
}
