//! What an instance forgets after a gap in which it did not run or heard none of the others, and what
//! it asks of them.

use std::time::Duration;

use crate::fleet_watch::WatchChange;
use crate::state::RelayState;

/// Shortest interval between two requests to all others. A machine that is slow for long may have a gap
/// every second.
const CATCH_UP_INTERVAL: Duration = Duration::from_secs(3);

impl RelayState {
    /// Records that this process runs. To be called with each heartbeat.
    pub fn note_running(&self) {
        let change = self.watch.borrow_mut().note_running(self.now());
        self.handle_watch_change(change);
    }

    /// Looks for a gap before a belief about endpoints or streams decides.
    pub fn check_gap(&self) {
        let change = self.watch.borrow_mut().check(self.now());
        self.handle_watch_change(change);
    }

    /// Records that a message of another instance has arrived. To be called before it is handled.
    pub fn note_heard(&self) {
        self.check_gap();
        let change = self.watch.borrow_mut().note_heard(self.now());
        self.handle_watch_change(change);
    }

    /// Whether messages that arrive now were not sent within a gap, so that the ages that they state
    /// are true.
    pub fn is_settled(&self) -> bool {
        self.watch.borrow().is_settled()
    }

    fn handle_watch_change(&self, change: WatchChange) {
        match change {
            WatchChange::None => {}
            WatchChange::Lost => {
                log::warn!("relay: other gateways are not heard");
                self.restart_beliefs(None);
            }
            WatchChange::Resumed => {
                log::warn!("relay: messages of other gateways may have been missed");
                self.restart_beliefs(Some(self.now()));
            }
            WatchChange::Settled => self.catch_up(),
        }
    }

    /// Forgets that this instance knew all: the signs of restarts, the streams of which it is a keeper,
    /// and which endpoints are cold. `since` is the end of the gap; `None` while it lasts.
    fn restart_beliefs(&self, since: Option<Duration>) {
        self.metrics.count_gap();
        self.table.borrow_mut().versions.restart_watch(since);
        self.origin_coverage.borrow_mut().restart(since);
        if since.is_some() {
            self.uninformed_since.set(since);
            self.refresh_informed();
        }
    }

    fn catch_up(&self) {
        let now = self.now();
        let asked_at = self.caught_up_at.get();
        if asked_at.is_some_and(|at| now < at + CATCH_UP_INTERVAL) {
            return;
        }
        self.caught_up_at.set(Some(now));
        if let Some(peers) = self.peers.get() {
            peers.catch_up();
        }
    }
}
