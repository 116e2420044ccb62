//! Bytes between the processes by kind of message.

use derive_more::Display;
use prometheus::{IntCounterVec, Registry};

use crate::metric::{Result, counter_family};
use crate::role::InstanceRole;

/// Which way a message went.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum TrafficDirection {
    /// From this process.
    #[display("sent")]
    Sent,
    /// To this process.
    #[display("received")]
    Received,
}

/// Messages and bytes on the links of this process.
#[derive(Clone, Debug)]
pub struct TrafficMetrics {
    bytes: IntCounterVec,
    messages: IntCounterVec,
}

impl TrafficMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A name that is taken.
    pub fn register(registry: &Registry) -> Result<Self> {
        let labels = ["kind", "peer", "direction"];
        Ok(Self {
            bytes: counter_family(
                registry,
                "sapphire_link_bytes_total",
                "Bytes of frames on links, by kind of message, role of the peer and direction.",
                &labels,
            )?,
            messages: counter_family(
                registry,
                "sapphire_link_messages_total",
                "Messages on links, by kind of message, role of the peer and direction.",
                &labels,
            )?,
        })
    }

    /// Counts one message of `bytes` on the wire.
    pub fn record(
        &self,
        kind: &'static str,
        peer: InstanceRole,
        direction: TrafficDirection,
        bytes: usize,
    ) {
        let peer = peer.to_string();
        let direction = direction.to_string();
        let labels = [kind, peer.as_str(), direction.as_str()];
        self.messages.with_label_values(&labels).inc();
        self.bytes.with_label_values(&labels).inc_by(bytes as u64);
    }
}

/// Kind of a probe of an idle link and of its reply.
pub const PROBE_KIND: &str = "probe";
