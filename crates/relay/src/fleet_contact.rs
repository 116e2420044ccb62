//! Whether an instance hears enough of the others to learn of what they know.

use std::time::Duration;

/// Time after which instances that have left no longer count.
const PEAK_RETENTION: Duration = Duration::from_secs(60);

/// Number of live instances, and the largest number of the last minute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetContact {
    peak: usize,
    peak_at: Duration,
    lost_at: Option<Duration>,
}

impl FleetContact {
    /// Records the number of live instances, this one included. Returns whether this changes whether
    /// contact is lost: fewer than half of the instances are heard.
    pub fn note_live(&mut self, now: Duration, live: usize) -> bool {
        if live >= self.peak || now >= self.peak_at + PEAK_RETENTION {
            self.peak = live;
            self.peak_at = now;
        }
        let is_lost = live * 2 < self.peak;
        let is_changed = is_lost != self.lost_at.is_some();
        if is_changed {
            self.lost_at = is_lost.then_some(now);
        }
        is_changed
    }

    /// Since when contact is lost; `None` while it is not.
    pub fn lost_at(&self) -> Option<Duration> {
        self.lost_at
    }
}
