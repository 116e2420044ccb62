//! Counts of frames and bytes by kind of message.

use std::sync::atomic::{AtomicU64, Ordering};

use derive_more::Display;
use wire::LinkMessage;

/// What a frame carries.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum MessageKind {
    /// Hello and proof.
    #[display("handshake")]
    Handshake,
    /// Liveness probe.
    #[display("probe")]
    Probe,
    /// Answer to a probe.
    #[display("probe-reply")]
    ProbeReply,
    /// A request.
    #[display("submit")]
    Submit,
    /// Acknowledgement of an answer's bytes.
    #[display("ack")]
    Ack,
    /// Cancellation of a request.
    #[display("cancel")]
    Cancel,
    /// Continuation of an answer.
    #[display("resume")]
    Resume,
    /// Admission of a request.
    #[display("admitted")]
    Admitted,
    /// Refusal of a request.
    #[display("refused")]
    Refused,
    /// Head of an answer.
    #[display("head")]
    Head,
    /// Bytes of an answer.
    #[display("chunk")]
    Chunk,
    /// End of an answer.
    #[display("end")]
    End,
    /// Heartbeat of an agent.
    #[display("agent-heartbeat")]
    AgentHeartbeat,
    /// Heartbeat of an entry.
    #[display("entry-heartbeat")]
    EntryHeartbeat,
    /// Membership and load digest.
    #[display("members")]
    Members,
    /// Digest of the prefixes in the endpoints' prefix caches.
    #[display("warm")]
    Warm,
    /// Settings.
    #[display("settings")]
    Settings,
    /// List of quarantined requests.
    #[display("quarantine")]
    Quarantine,
    /// List of requests suspected of crashing endpoints.
    #[display("suspects")]
    Suspects,
    /// Proposal to the quorum.
    #[display("propose")]
    Propose,
    /// Decision of the quorum.
    #[display("decided")]
    Decided,
    /// Message of the consensus protocol.
    #[display("replica")]
    Replica,
    /// Query for decision records, or its answer.
    #[display("decisions")]
    Decisions,
    /// Query from one gateway to another, or its answer.
    #[display("gateway")]
    Gateway,
}

impl MessageKind {
    /// Every kind, in declaration order.
    pub const ALL: [Self; 24] = [
        Self::Handshake,
        Self::Probe,
        Self::ProbeReply,
        Self::Submit,
        Self::Ack,
        Self::Cancel,
        Self::Resume,
        Self::Admitted,
        Self::Refused,
        Self::Head,
        Self::Chunk,
        Self::End,
        Self::AgentHeartbeat,
        Self::EntryHeartbeat,
        Self::Members,
        Self::Warm,
        Self::Settings,
        Self::Quarantine,
        Self::Suspects,
        Self::Propose,
        Self::Decided,
        Self::Replica,
        Self::Decisions,
        Self::Gateway,
    ];

    /// The kind of a message.
    pub fn of(message: &LinkMessage) -> Self {
        match message {
            LinkMessage::Submit(_) => Self::Submit,
            LinkMessage::Ack(_) => Self::Ack,
            LinkMessage::Cancel(_) => Self::Cancel,
            LinkMessage::Resume(_) => Self::Resume,
            LinkMessage::Admitted(_) => Self::Admitted,
            LinkMessage::Refused(_) => Self::Refused,
            LinkMessage::Head(_) => Self::Head,
            LinkMessage::Chunk(_) => Self::Chunk,
            LinkMessage::End(_) => Self::End,
            LinkMessage::AgentHeartbeat(_) => Self::AgentHeartbeat,
            LinkMessage::EntryHeartbeat(_) => Self::EntryHeartbeat,
            LinkMessage::Members(_) => Self::Members,
            LinkMessage::Warm(_) => Self::Warm,
            LinkMessage::Settings(_) => Self::Settings,
            LinkMessage::Quarantine(_) => Self::Quarantine,
            LinkMessage::Suspects(_) => Self::Suspects,
            LinkMessage::Propose(_) => Self::Propose,
            LinkMessage::Decided(_) => Self::Decided,
            LinkMessage::Replica(_) => Self::Replica,
            LinkMessage::QueryDecisions(_) | LinkMessage::Decisions(_) => Self::Decisions,
            LinkMessage::GatewayRequest(_) | LinkMessage::GatewayReply(_) => Self::Gateway,
        }
    }

    /// Whether the kind is control traffic. Every other kind belongs to a single request: the
    /// request itself, its answer, and its flow control.
    pub fn is_control(self) -> bool {
        !matches!(
            self,
            Self::Submit
                | Self::Ack
                | Self::Cancel
                | Self::Resume
                | Self::Admitted
                | Self::Refused
                | Self::Head
                | Self::Chunk
                | Self::End
        )
    }
}

/// Direction of a frame, seen from this process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum FrameDirection {
    /// Sent by this process.
    #[display("sent")]
    Sent,
    /// Received by this process.
    #[display("received")]
    Received,
}

/// Frames and bytes of one kind in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrameCount {
    /// Number of frames.
    pub frames: u64,
    /// Bytes including framing, without TCP and IP headers.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct CounterCell {
    frames: AtomicU64,
    bytes: AtomicU64,
}

/// Traffic counters of the connections of a process.
#[derive(Debug, Default)]
pub struct LinkCounters {
    sent: [CounterCell; MessageKind::ALL.len()],
    received: [CounterCell; MessageKind::ALL.len()],
}

impl LinkCounters {
    /// Counts one frame.
    pub fn add(&self, direction: FrameDirection, kind: MessageKind, bytes: usize) {
        let cell = self.cell(direction, kind);
        cell.frames.fetch_add(1, Ordering::Relaxed);
        cell.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The totals so far.
    pub fn get(&self, direction: FrameDirection, kind: MessageKind) -> FrameCount {
        let cell = self.cell(direction, kind);
        FrameCount {
            frames: cell.frames.load(Ordering::Relaxed),
            bytes: cell.bytes.load(Ordering::Relaxed),
        }
    }

    /// Bytes of control traffic in both directions.
    pub fn control_bytes(&self) -> u64 {
        let kinds = MessageKind::ALL
            .into_iter()
            .filter(|kind| kind.is_control());
        let both = |kind| {
            let sent = self.get(FrameDirection::Sent, kind).bytes;
            sent + self.get(FrameDirection::Received, kind).bytes
        };
        kinds.map(both).sum()
    }

    fn cell(&self, direction: FrameDirection, kind: MessageKind) -> &CounterCell {
        match direction {
            FrameDirection::Sent => &self.sent[kind as usize],
            FrameDirection::Received => &self.received[kind as usize],
        }
    }
}
