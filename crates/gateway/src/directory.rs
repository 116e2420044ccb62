//! The gateways that were heard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::gateway::{GatewayBeat, StorageState};
use wire::id::InstanceId;

/// Silence after which a gateway counts as gone.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Gateways that one round of heartbeats takes, beside the seeds and those with a data folder.
const ROUND_GATEWAYS: usize = 32;
/// Time for which a silent gateway is still told of this one.
const RETENTION_TIME: Duration = Duration::from_secs(600);

/// What is known of one other gateway.
#[derive(Clone, Debug, Default)]
struct GatewayRow {
    /// When it was heard; never, if others only named it.
    heard_at: Option<Duration>,
    /// When it was heard or named last.
    known_at: Duration,
    /// Its latest heartbeat.
    beat: GatewayBeat,
}

/// The other gateways.
#[derive(Debug)]
pub struct GatewayDirectory {
    own: InstanceId,
    rows: BTreeMap<InstanceId, GatewayRow>,
    /// Where the next round of heartbeats starts.
    next_position: usize,
    /// Most gateways that were live at once.
    peak_live: usize,
    /// When a gateway with a data folder was heard for the first time.
    storage_changed_at: Duration,
}

impl GatewayDirectory {
    /// A directory without other gateways.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            rows: BTreeMap::new(),
            next_position: 0,
            peak_live: 1,
            storage_changed_at: Duration::ZERO,
        }
    }

    /// Notes gateways that are worth a heartbeat.
    pub fn add_known(&mut self, now: Duration, instances: impl IntoIterator<Item = InstanceId>) {
        for instance in instances {
            if instance != self.own {
                let row = self.rows.entry(instance).or_default();
                row.known_at = row.known_at.max(now);
            }
        }
    }

    /// Takes in a heartbeat. Tells whether the gateway was silent before.
    pub fn record_heartbeat(&mut self, now: Duration, from: InstanceId, beat: GatewayBeat) -> bool {
        if from == self.own {
            return false;
        }
        let limit = self.silence_timeout();
        let has_storage = beat.storage != StorageState::None;
        self.add_known(now, beat.known.iter().copied());
        let row = self.rows.entry(from).or_default();
        let was_silent = row.heard_at.is_none_or(|at| now > at + limit);
        if has_storage && (row.heard_at.is_none() || row.beat.storage == StorageState::None) {
            self.storage_changed_at = now;
        }
        row.heard_at = Some(now);
        row.known_at = now;
        row.beat = beat;
        self.peak_live = self.peak_live.max(self.live(now).count() + 1);
        was_silent
    }

    /// Gateways that were heard lately, in order of their ids, with their latest heartbeat.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (InstanceId, &GatewayBeat)> {
        let limit = self.silence_timeout();
        let is_live = move |row: &GatewayRow| row.heard_at.is_some_and(|at| now <= at + limit);
        let live = self.rows.iter().filter(move |(_, row)| is_live(row));
        live.map(|(instance, row)| (*instance, &row.beat))
    }

    /// Gateways that get the next heartbeat: the seeds, those with a data folder, and as many of the
    /// others in turn as one round takes. What a heartbeat costs thus has a bound, however many
    /// gateways there are.
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

    /// Whether one heartbeat reaches every gateway. Where it does not, one sent out of turn would cost
    /// more than it tells.
    pub fn fits_one_round(&self) -> bool {
        self.rows.len() <= ROUND_GATEWAYS
    }

    /// Silence after which a gateway counts as gone: several rounds of heartbeats.
    fn silence_timeout(&self) -> Duration {
        let rounds = self.rows.len().div_ceil(ROUND_GATEWAYS);
        SILENCE_TIMEOUT * u32::try_from(rounds.max(1)).unwrap_or(u32::MAX)
    }

    /// Gateways that are told of this one.
    pub fn known(&self, now: Duration) -> Vec<InstanceId> {
        let known = self
            .rows
            .iter()
            .filter(|(_, row)| now <= row.known_at + RETENTION_TIME);
        known.map(|(instance, _)| *instance).collect()
    }

    /// Gateways that fell silent since `since`.
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

    /// Gateways with a data folder that were ever heard, this one not included.
    pub fn with_storage(&self) -> Vec<InstanceId> {
        let stores = |row: &&(&InstanceId, &GatewayRow)| {
            row.1.heard_at.is_some() && row.1.beat.storage != StorageState::None
        };
        let with_storage = self.rows.iter().filter(|row| stores(&row));
        with_storage.map(|(instance, _)| *instance).collect()
    }

    /// Position of this gateway among the live ones, in order of their ids.
    pub fn own_rank(&self, now: Duration) -> usize {
        self.live(now)
            .filter(|(instance, _)| *instance < self.own)
            .count()
    }

    /// Gateways that share what holds over all of them, this one included. Those that are silent
    /// count on, as they may be at work on the other side of a cut.
    pub fn peak_live(&self) -> usize {
        self.peak_live
    }

    /// When a gateway with a data folder was heard for the first time.
    pub fn storage_changed_at(&self) -> Duration {
        self.storage_changed_at
    }

    /// The leader of the latest term that the live gateways tell of.
    pub fn leader(&self, now: Duration) -> Option<InstanceId> {
        let leaders = self.live(now).filter_map(|(_, beat)| beat.leader);
        leaders.max().map(|(_, leader)| leader)
    }

    /// The live gateways with the newest catalog, if that is above `version`.
    pub fn newest_holders(&self, now: Duration, version: u64) -> Vec<InstanceId> {
        let newest = self.live(now).map(|(_, beat)| beat.catalog).max();
        let Some(newest) = newest.filter(|newest| *newest > version) else {
            return Vec::new();
        };
        let holders = self.live(now).filter(|(_, beat)| beat.catalog == newest);
        holders.map(|(instance, _)| instance).collect()
    }
}
