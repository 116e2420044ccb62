//! Whether the records of origins are complete, so that a stream which is not among them has not
//! begun.
//!
//! A caller that returns without naming its stream goes on at the origin of the known streams of its
//! request. If records were lost, these may all be streams of other callers. Load pattern: several
//! instances are killed at once while callers send the same requests to two software versions.

use std::collections::BTreeSet;
use std::time::Duration;

use wire::id::InstanceId;

use crate::caller_limits::DEFAULT_CALLER_TIMEOUT;
use crate::origin::KEEPERS;

/// Time after which the callers of all streams that began before have stopped waiting.
pub const COVERAGE_TIME: Duration = DEFAULT_CALLER_TIMEOUT;

/// Number of the other instances of which at least one holds each stream that an instance began, if
/// this many of `others` are taken: all but the keepers, and one of these.
pub fn covering_count(others: usize) -> usize {
    others.saturating_sub(KEEPERS - 1).max(1)
}

/// Whether the records of one instance are complete.
#[derive(Debug)]
pub struct OriginCoverage {
    /// Time from which the instance has recorded all streams whose callers still wait.
    recorded_at: Duration,
    /// Highest number of instances in the fleet that another one has stated, this one included.
    fleet_size: usize,
    /// Instances with complete records that have told this one those that it is a keeper of.
    told_by: BTreeSet<InstanceId>,
}

impl OriginCoverage {
    /// Coverage of an instance that starts at zero. At the first start of the whole fleet, no
    /// stream has begun before.
    pub fn new(is_first_start: bool) -> Self {
        let recorded_at = match is_first_start {
            true => Duration::ZERO,
            false => COVERAGE_TIME,
        };
        Self {
            recorded_at,
            fleet_size: 0,
            told_by: BTreeSet::new(),
        }
    }

    /// Records that this instance may have missed streams of which it is a keeper until `at`, or
    /// misses them now.
    pub fn restart(&mut self, at: Option<Duration>) {
        self.recorded_at = at.map_or(Duration::MAX, |at| at + COVERAGE_TIME);
        self.fleet_size = 0;
        self.told_by.clear();
    }

    /// Records that an instance with complete records has told this one all that it is a keeper of.
    pub fn note_told(&mut self, from: InstanceId, fleet_size: usize) {
        self.fleet_size = self.fleet_size.max(fleet_size);
        self.told_by.insert(from);
    }

    /// Whether the records are complete.
    pub fn is_complete(&self, now: Duration) -> bool {
        let others = self.fleet_size.saturating_sub(1);
        let is_told = self.fleet_size > 0 && self.told_by.len() >= covering_count(others);
        now >= self.recorded_at || is_told
    }
}
