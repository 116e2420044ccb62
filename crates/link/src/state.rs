//! State shared by the sender, the receiver and the writer of one connection.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::sync::Notify;

use crate::counters::LinkCounters;
use crate::liveness::LivenessMonitor;

/// Shared state of one connection.
pub(crate) struct LinkState {
    monitor: Mutex<LivenessMonitor>,
    /// Wakes the receiver when the first reply becomes pending, so that it arms its timeout.
    pub(crate) reply_pending: Notify,
    is_closed: AtomicBool,
    /// Wakes all tasks that wait for the end of the connection.
    closed: Notify,
    pub(crate) counters: Arc<LinkCounters>,
}

impl LinkState {
    pub(crate) fn new(monitor: LivenessMonitor, counters: Arc<LinkCounters>) -> Self {
        Self {
            monitor: Mutex::new(monitor),
            reply_pending: Notify::new(),
            is_closed: AtomicBool::new(false),
            closed: Notify::new(),
            counters,
        }
    }

    pub(crate) fn monitor(&self) -> MutexGuard<'_, LivenessMonitor> {
        self.monitor
            .lock()
            .expect("no thread panics while it holds the monitor")
    }

    /// Marks the connection as closed and wakes all tasks that use it.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
        self.closed.notify_waiters();
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
    }

    /// Waits until the connection is closed.
    pub(crate) async fn until_closed(&self) {
        let closed = self.closed.notified();
        tokio::pin!(closed);
        // Registers before reading the flag, so that a concurrent close is not missed.
        closed.as_mut().enable();
        if !self.is_closed() {
            closed.await;
        }
    }
}
