//! Whether a gateway may found the first log.
//!
//! Nobody tells a gateway how many others there are. At the first start of a fleet all of them meet
//! at the seeds, so a gateway that hears most of the seeds hears of every other one that does, and
//! two groups can't both hear most of them.

use std::time::Duration;

/// Time from the start before which no log is founded.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Time without a new gateway with a data folder before a log is founded.
const QUIET_TIME: Duration = Duration::from_millis(800);
/// Time from the start after which most of the seeds are enough.
const SEED_MAJORITY_TIME: Duration = Duration::from_secs(4);

/// What the decision rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundingView {
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Time since this gateway started.
    pub since_start: Duration,
    /// Time since a gateway with a data folder was heard for the first time.
    pub since_change: Duration,
    /// Seeds, this gateway included if it is one.
    pub seeds: usize,
    /// Seeds that were heard lately, this gateway included if it is one.
    pub seeds_heard: usize,
    /// Whether a live gateway belongs to a log.
    pub has_log: bool,
}

/// Whether a log may be founded.
pub fn may_found(view: &FoundingView) -> bool {
    let has_settled = view.since_start >= SETTLE_TIME && view.since_change >= QUIET_TIME;
    let hears_most = view.seeds_heard * 2 > view.seeds;
    let hears_enough =
        view.seeds_heard == view.seeds || (hears_most && view.since_start >= SEED_MAJORITY_TIME);
    view.is_first_start && !view.has_log && has_settled && hears_enough
}
