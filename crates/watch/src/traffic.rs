//! Metrics of frames and bytes on links, by kind of message.

use std::sync::{Arc, Mutex, PoisonError};

use link::{FrameDirection, LinkCounters, MessageKind};
use prometheus::{IntCounter, IntCounterVec, Registry};

use crate::metric::{Result, counter_family};
use crate::role::InstanceRole;

/// Value of the peer label for counters that cover peers of all roles.
const ANY_ROLE: &str = "any";

/// Counters of the links to peers of one role, or of all roles.
#[derive(Clone, Debug)]
struct RoleCounters {
    role: Option<InstanceRole>,
    counters: Arc<LinkCounters>,
}

/// Metrics of frames and bytes on the links of this process.
#[derive(Clone, Debug)]
pub struct TrafficMetrics {
    bytes: IntCounterVec,
    frames: IntCounterVec,
    /// At most one element per role.
    sources: Arc<Mutex<Vec<RoleCounters>>>,
}

impl TrafficMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric name is malformed or taken.
    pub fn register(registry: &Registry) -> Result<Self> {
        let labels = ["kind", "peer", "direction"];
        Ok(Self {
            bytes: counter_family(
                registry,
                "sapphire_link_bytes_total",
                "Bytes of frames on links, by kind of message, role of the peer and direction.",
                &labels,
            )?,
            frames: counter_family(
                registry,
                "sapphire_link_frames_total",
                "Frames on links, by kind of message, role of the peer and direction.",
                &labels,
            )?,
            sources: Arc::default(),
        })
    }

    /// Adds counters to the metrics; `role` is `None` if they cover peers of all roles.
    pub fn add_source(&self, role: Option<InstanceRole>, counters: Arc<LinkCounters>) {
        let mut sources = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        debug_assert!(sources.iter().all(|source| source.role != role));
        sources.push(RoleCounters { role, counters });
    }

    /// Copies the present values of the link counters into the metrics.
    pub fn update(&self) {
        let sources = self.sources.lock().unwrap_or_else(PoisonError::into_inner);
        for source in sources.iter() {
            for kind in MessageKind::ALL {
                for direction in [FrameDirection::Sent, FrameDirection::Received] {
                    self.update_one(source, kind, direction);
                }
            }
        }
    }

    fn update_one(&self, source: &RoleCounters, kind: MessageKind, direction: FrameDirection) {
        let count = source.counters.get(direction, kind);
        if count.frames == 0 {
            return;
        }
        let role = source.role.map(|role| role.to_string());
        let labels = [
            kind.to_string(),
            role.unwrap_or_else(|| ANY_ROLE.to_owned()),
            direction.to_string(),
        ];
        raise_to(&self.frames.with_label_values(&labels), count.frames);
        raise_to(&self.bytes.with_label_values(&labels), count.bytes);
    }
}

/// Raises a counter to an externally counted total.
fn raise_to(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}
