//! Whether a gateway may bootstrap the cluster of the quorum at the first start of all gateways.
//!
//! The number of gateways is not configured. At the first start every gateway sends heartbeats to
//! the seeds, whose own heartbeats name the live gateways. The seeds with a data folder are the
//! founders: a majority of them bootstraps the cluster, and all of them are its first voters, also
//! those that are not heard. Any two majorities of the founders have one in common, and a data
//! folder belongs to one cluster for life, so that at most one cluster gets a leader
//! (`docs/design/bootstrap.md`).

use std::time::Duration;

use wire::gateway::StorageState;
use wire::id::InstanceId;

use crate::directory::GatewayDirectory;

/// Earliest time after the start of this gateway at which it may bootstrap a cluster.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Shortest time between the appearance of a new gateway with a data folder and the bootstrap.
const QUIET_TIME: Duration = Duration::from_millis(800);
/// Time after the start of this gateway from which a majority of the seeds is enough. Before, all
/// seeds are needed.
const SEED_MAJORITY_TIME: Duration = Duration::from_secs(4);

/// Inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BootstrapView {
    /// Whether the data folder was created at the first start of all gateways.
    pub is_first_start: bool,
    /// Time since this gateway started.
    pub since_start: Duration,
    /// Time since a new gateway with a data folder appeared.
    pub since_storage_change: Duration,
    /// Number of seeds, this gateway included if it is one.
    pub seeds: usize,
    /// Number of live seeds, this gateway included if it is one.
    pub live_seeds: usize,
    /// Whether another live gateway belongs to a cluster.
    pub has_cluster: bool,
}

/// Whether this gateway may bootstrap a cluster.
pub fn may_bootstrap(view: &BootstrapView) -> bool {
    let has_settled = view.since_start >= SETTLE_TIME && view.since_storage_change >= QUIET_TIME;
    let has_majority = view.live_seeds * 2 > view.seeds;
    let has_enough_seeds =
        view.live_seeds == view.seeds || (has_majority && view.since_start >= SEED_MAJORITY_TIME);
    view.is_first_start && !view.has_cluster && has_settled && has_enough_seeds
}

/// What this gateway is, for the decisions on the quorum.
#[derive(Clone, Debug)]
pub struct QuorumStanding {
    /// This gateway.
    pub own: InstanceId,
    /// The seeds of the settings.
    pub seeds: Vec<InstanceId>,
    /// Whether the data folder was created at the first start of all gateways.
    pub is_first_start: bool,
    /// Smallest number of voters: more than twice the number of disks that may be lost at once.
    pub min_voters: usize,
    /// Whether this gateway's member belongs to a cluster.
    pub has_cluster: bool,
}

/// What the quorum's member of this gateway is told about the other gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuorumPeers {
    /// Gateways that may be members.
    pub peers: Vec<InstanceId>,
    /// Gateways that are about to stop.
    pub leaving: Vec<InstanceId>,
    /// Gateways of which a majority bootstraps a cluster.
    pub founders: Vec<InstanceId>,
    /// Whether this gateway may bootstrap a cluster.
    pub may_bootstrap: bool,
}

/// The gateways of which a majority bootstraps a cluster: the seeds, but those that are known to
/// have no data folder. All gateways have the same seeds, so their majorities have one in common,
/// also if some don't know yet that a seed has no data folder. Where too few seeds have one, all
/// gateways that reported one are founders.
fn founders(directory: &GatewayDirectory, standing: &QuorumStanding) -> Vec<InstanceId> {
    let without_storage = directory.without_storage();
    let seeds = standing.seeds.iter().copied();
    let founders: Vec<InstanceId> = seeds
        .filter(|seed| !without_storage.contains(seed))
        .collect();
    if founders.len() >= standing.min_voters {
        return founders;
    }
    let mut all = directory.with_storage();
    all.push(standing.own);
    all
}

/// Decides what the quorum's member of this gateway is told about the other gateways.
pub fn quorum_peers(
    directory: &GatewayDirectory,
    now: Duration,
    standing: &QuorumStanding,
) -> QuorumPeers {
    let in_state = |wanted: StorageState| -> Vec<InstanceId> {
        let live = directory.live(now);
        let live = live.filter(|(_, heartbeat)| heartbeat.storage == wanted);
        live.map(|(instance, _)| instance).collect()
    };
    let is_live = |seed: &&InstanceId| {
        **seed == standing.own || directory.live(now).any(|(instance, _)| instance == **seed)
    };
    let view = BootstrapView {
        is_first_start: standing.is_first_start,
        since_start: now,
        since_storage_change: now.saturating_sub(directory.storage_changed_at()),
        seeds: standing.seeds.len(),
        live_seeds: standing.seeds.iter().filter(is_live).count(),
        has_cluster: !in_state(StorageState::Formed).is_empty(),
    };
    let founders = founders(directory, standing);
    // Two members that bootstrap at once may each keep the other from a majority.
    let mut bootstrapping = in_state(StorageState::Bootstrapping).into_iter();
    let is_first = !bootstrapping.any(|one| one < standing.own && founders.contains(&one));
    let may_bootstrap = !standing.has_cluster && is_first && may_bootstrap(&view);
    let leaving = directory.live(now);
    let leaving = leaving.filter(|(_, heartbeat)| heartbeat.is_leaving);
    QuorumPeers {
        peers: match may_bootstrap {
            true => [StorageState::Bootstrapping, StorageState::Joining]
                .into_iter()
                .flat_map(in_state)
                .collect(),
            false => directory.with_storage(),
        },
        leaving: leaving.map(|(instance, _)| instance).collect(),
        founders,
        may_bootstrap,
    }
}
