//! The gateways that were heard.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::gateway::{GatewayBeat, StorageState};
use wire::id::InstanceId;

/// Silence after which a gateway counts as gone.
const LIVE_LIMIT: Duration = Duration::from_millis(1500);
/// Gateways that one round of heartbeats takes, beside the seeds and those with a data folder.
const ROUND_GATEWAYS: usize = 32;
/// Time for which a silent gateway is still told of this one.
const MEMORY: Duration = Duration::from_secs(600);

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
    next_place: usize,
    /// Most gateways that were live at once.
    most_live: usize,
    /// When a gateway with a data folder was heard for the first time.
    storage_changed_at: Duration,
}

impl GatewayDirectory {
    /// A directory without other gateways.
    pub fn new(own: InstanceId) -> Self {
        Self {
            own,
            rows: BTreeMap::new(),
            next_place: 0,
            most_live: 1,
            storage_changed_at: Duration::ZERO,
        }
    }

    /// Notes gateways that are worth a heartbeat.
    pub fn name(&mut self, now: Duration, instances: impl IntoIterator<Item = InstanceId>) {
        for instance in instances {
            if instance != self.own {
                let row = self.rows.entry(instance).or_default();
                row.known_at = row.known_at.max(now);
            }
        }
    }

    /// Takes in a heartbeat. Tells whether the gateway was silent before.
    pub fn hear(&mut self, now: Duration, from: InstanceId, beat: GatewayBeat) -> bool {
        if from == self.own {
            return false;
        }
        let limit = self.live_limit();
        let has_storage = beat.storage != StorageState::None;
        self.name(now, beat.known.iter().copied());
        let row = self.rows.entry(from).or_default();
        let was_silent = row.heard_at.is_none_or(|at| now > at + limit);
        if has_storage && (row.heard_at.is_none() || row.beat.storage == StorageState::None) {
            self.storage_changed_at = now;
        }
        row.heard_at = Some(now);
        row.known_at = now;
        row.beat = beat;
        self.most_live = self.most_live.max(self.live(now).count() + 1);
        was_silent
    }

    /// Gateways that were heard lately, in order of their ids, with their latest heartbeat.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = (InstanceId, &GatewayBeat)> {
        let limit = self.live_limit();
        let is_live = move |row: &GatewayRow| row.heard_at.is_some_and(|at| now <= at + limit);
        let live = self.rows.iter().filter(move |(_, row)| is_live(row));
        live.map(|(instance, row)| (*instance, &row.beat))
    }

    /// Gateways that get the next heartbeat: the seeds, those with a data folder, and as many of the
    /// others in turn as one round takes. What a heartbeat costs thus has a bound, however many
    /// gateways there are.
    pub fn next_told(&mut self, now: Duration, seeds: &[InstanceId]) -> Vec<InstanceId> {
        let always: BTreeSet<InstanceId> = seeds.iter().copied().chain(self.storing()).collect();
        let others = self
            .told(now)
            .into_iter()
            .filter(|one| !always.contains(one));
        let others: Vec<InstanceId> = others.collect();
        let start = self.next_place % others.len().max(1);
        let turn = others
            .iter()
            .cycle()
            .skip(start)
            .take(others.len().min(ROUND_GATEWAYS));
        let turn: Vec<InstanceId> = turn.copied().collect();
        self.next_place = start + turn.len();
        always
            .into_iter()
            .filter(|one| *one != self.own)
            .chain(turn)
            .collect()
    }

    /// Whether one heartbeat reaches every gateway. Where it does not, one sent out of turn would cost
    /// more than it tells.
    pub fn reaches_all_at_once(&self) -> bool {
        self.rows.len() <= ROUND_GATEWAYS
    }

    /// Silence after which a gateway counts as gone: several rounds of heartbeats.
    fn live_limit(&self) -> Duration {
        let rounds = self.rows.len().div_ceil(ROUND_GATEWAYS);
        LIVE_LIMIT * u32::try_from(rounds.max(1)).unwrap_or(u32::MAX)
    }

    /// Gateways that are told of this one.
    pub fn told(&self, now: Duration) -> Vec<InstanceId> {
        let known = self
            .rows
            .iter()
            .filter(|(_, row)| now <= row.known_at + MEMORY);
        known.map(|(instance, _)| *instance).collect()
    }

    /// Gateways that fell silent since `since`.
    pub fn fallen_silent(&self, since: Duration, now: Duration) -> Vec<InstanceId> {
        let live_limit = self.live_limit();
        let limit = |at: Duration| at + live_limit;
        let fell = |row: &GatewayRow| {
            let heard = row.heard_at;
            heard.is_some_and(|at| limit(at) >= since && limit(at) < now)
        };
        let silent = self.rows.iter().filter(|(_, row)| fell(row));
        silent.map(|(instance, _)| *instance).collect()
    }

    /// Gateways with a data folder that were ever heard, this one not included.
    pub fn storing(&self) -> Vec<InstanceId> {
        let stores = |row: &&(&InstanceId, &GatewayRow)| {
            row.1.heard_at.is_some() && row.1.beat.storage != StorageState::None
        };
        let storing = self.rows.iter().filter(|row| stores(&row));
        storing.map(|(instance, _)| *instance).collect()
    }

    /// Position of this gateway among the live ones, in order of their ids.
    pub fn own_rank(&self, now: Duration) -> usize {
        self.live(now)
            .filter(|(instance, _)| *instance < self.own)
            .count()
    }

    /// Gateways that share what holds over all of them, this one included. Those that are silent
    /// count on, as they may be at work on the other side of a cut.
    pub fn sharers(&self) -> usize {
        self.most_live
    }

    /// When a gateway with a data folder was heard for the first time.
    pub fn storage_changed_at(&self) -> Duration {
        self.storage_changed_at
    }

    /// The leader of the latest term that the live gateways tell of.
    pub fn leader(&self, now: Duration) -> Option<InstanceId> {
        let told = self.live(now).filter_map(|(_, beat)| beat.leader);
        told.max().map(|(_, leader)| leader)
    }

    /// The live gateways with the newest catalog, if that is above `version`.
    pub fn ahead_of(&self, now: Duration, version: u64) -> Vec<InstanceId> {
        let newest = self.live(now).map(|(_, beat)| beat.catalog).max();
        let Some(newest) = newest.filter(|newest| *newest > version) else {
            return Vec::new();
        };
        let holders = self.live(now).filter(|(_, beat)| beat.catalog == newest);
        holders.map(|(instance, _)| instance).collect()
    }
}
