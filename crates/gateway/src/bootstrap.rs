//! Whether a gateway may bootstrap the cluster of the quorum at the first start of all gateways.
//!
//! The number of gateways is not configured. At the first start every gateway sends heartbeats to
//! the seeds, whose own heartbeats name the live gateways. Any two majorities of the seeds have a
//! seed in common, so two gateways that each hear a majority learn of each other, and two disjoint
//! groups don't each bootstrap a cluster.

use std::time::Duration;

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
    /// Whether the settings say that all gateways start for the first time.
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
