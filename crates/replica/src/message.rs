//! Messages between members.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::codec;
use wire::id::InstanceId;

use crate::id::{
    ClusterId, LogIndex, MemberIdentity, MemberKey, ProbeNumber, RoundNumber, TermNumber,
};
use crate::log::LogEntry;
use crate::member::MemberSet;

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// The sender's cluster; 0 for a sender that belongs to none.
    pub cluster: ClusterId,
    /// The sender.
    pub from: MemberKey,
    /// The receiving instance.
    pub to: InstanceId,
    /// The receiving data folder; 0 for any data folder of the instance.
    pub identity: MemberIdentity,
    /// The sender's term.
    pub term: TermNumber,
    /// The content.
    pub body: MessageBody,
}

/// A reading of a member's clock. The leader echoes the latest one, which gives the member an upper
/// bound of the age of a message that was delayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStamp {
    /// Random number that identifies the member's process: clocks of different processes are not
    /// comparable.
    pub process_nonce: u64,
    /// The time on the member's clock.
    pub at: Duration,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Announces the sender. The leader replicates the log to it if it is no voter.
    Probe {
        /// Random number of the round of probes.
        probe: ProbeNumber,
    },
    /// Answers a probe.
    ProbeReply {
        /// The probe that is answered.
        probe: ProbeNumber,
        /// Whether the sender belongs to a cluster.
        has_cluster: bool,
    },
    /// Asks whether the receiver would vote for the sender.
    PreVote {
        /// Term of the election that the sender would start.
        election: TermNumber,
        /// The sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: TermNumber,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Term of the election that was asked about.
        election: TermNumber,
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests a vote in the sender's term.
    Vote {
        /// The sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: TermNumber,
        /// Whether the leader requested this election to transfer its leadership.
        is_transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the sender votes for the receiver in this term.
        granted: bool,
    },
    /// Leader: entries, or a heartbeat when there are none.
    Append {
        /// Index of the entry before `entries`.
        prev_index: LogIndex,
        /// Term of that entry.
        prev_term: TermNumber,
        /// The entries.
        entries: Vec<LogEntry>,
        /// Last entry that the leader knows to be committed.
        commit: LogIndex,
        /// Heartbeat round.
        round: RoundNumber,
        /// Time since the start of the last round that a quorum answered, if the leader has
        /// committed an entry of its own term.
        confirmed_age: Option<Duration>,
        /// The latest stamp that the leader has from the receiver.
        echo: Option<ClockStamp>,
    },
    /// Reports that the log up to `index` matches the leader's and is durable.
    AppendReply {
        /// The last matching durable entry.
        index: LogIndex,
        /// Heartbeat round that is answered.
        round: RoundNumber,
        /// The sender's clock.
        stamp: ClockStamp,
    },
    /// Reports that the log does not match the leader's before the entries of an append.
    AppendReject {
        /// Index at which the logs do not match.
        prev_index: LogIndex,
        /// Latest index at which the logs may match.
        hint: LogIndex,
        /// Heartbeat round that is answered.
        round: RoundNumber,
    },
    /// Leader: a chunk of a snapshot.
    SnapshotChunk {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Term of that entry.
        last_term: TermNumber,
        /// Voters as of that entry.
        members: MemberSet,
        /// Offset of the first byte in the snapshot.
        offset: u64,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
        /// Whether this is the last chunk.
        done: bool,
        /// Heartbeat round.
        round: RoundNumber,
    },
    /// Answers a chunk of a snapshot.
    SnapshotReply {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Number of bytes received without a gap.
        offset: u64,
        /// Heartbeat round that is answered.
        round: RoundNumber,
    },
    /// Leader: asks the receiver to start an election at once, as part of a leadership transfer.
    TimeoutNow,
    /// The first entry of the cluster's log, from a member that holds it durably to a voter that it
    /// names. A receiver without a cluster joins this one. Older builds ignore it.
    Found {
        /// The first voters.
        members: MemberSet,
    },
}

impl ReplicaMessage {
    /// Encodes the message for a link.
    ///
    /// # Errors
    /// When the message exceeds the size limit of a link.
    pub fn encode(&self) -> codec::Result<Vec<u8>> {
        codec::encode(self)
    }

    /// Decodes a message from a link.
    ///
    /// # Errors
    /// When the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> codec::Result<Self> {
        codec::decode_as(bytes)
    }
}
