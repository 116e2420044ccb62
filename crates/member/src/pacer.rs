//! Decides when an agent sends a heartbeat.
//!
//! Heartbeats are sent at a fixed interval, and earlier when the load or the state has changed: the
//! mean load of the service, which bounds every admission, is only as fresh as the heartbeats.

use std::time::{Duration, Instant};

use wire::answer::EndpointLoad;
use wire::member::EndpointState;

/// Intervals and thresholds of heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct PacerSettings {
    /// Longest time between two heartbeats.
    pub interval: Duration,
    /// Shortest time between two heartbeats that report the same state.
    pub min_interval: Duration,
    /// Relative change of the load above which a heartbeat is sent before the interval is over.
    pub load_change: f64,
}

impl Default for PacerSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(1),
            min_interval: Duration::from_millis(100),
            load_change: 0.1,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    load: u32,
    state: EndpointState,
    at: Instant,
}

/// Decides when an agent sends a heartbeat.
#[derive(Clone, Debug)]
pub struct HeartbeatPacer {
    settings: PacerSettings,
    sent: Option<SentHeartbeat>,
}

impl HeartbeatPacer {
    /// Creates a pacer whose first heartbeat is due at once.
    pub fn new(settings: PacerSettings) -> Self {
        Self {
            settings,
            sent: None,
        }
    }

    /// Whether a heartbeat is due.
    pub fn is_due(&self, load: EndpointLoad, state: EndpointState, now: Instant) -> bool {
        let Some(sent) = self.sent else {
            return true;
        };
        let age = now.saturating_duration_since(sent.at);
        if sent.state != state || age >= self.settings.interval {
            return true;
        }
        let change = f64::from(load.total().abs_diff(sent.load));
        let limit = self.settings.load_change * f64::from(sent.load);
        age >= self.settings.min_interval && change > limit
    }

    /// Records that a heartbeat was sent.
    pub fn record_sent(&mut self, load: EndpointLoad, state: EndpointState, now: Instant) {
        self.sent = Some(SentHeartbeat {
            load: load.total(),
            state,
            at: now,
        });
    }

    /// Forgets the last heartbeat, so that the next one is due at once, for example on a new
    /// connection.
    pub fn reset(&mut self) {
        self.sent = None;
    }
}
