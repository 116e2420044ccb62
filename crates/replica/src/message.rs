//! What members send to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::codec;
use wire::id::InstanceId;

use crate::id::{
    ClusterId, LogIndex, MemberIdentity, MemberKey, ProbeNumber, RoundNumber, TermNumber,
};
use crate::log::LogEntry;
use crate::member::MemberSet;

/// A message with its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// The log that it is about; 0 for a sender that belongs to none.
    pub cluster: ClusterId,
    /// The sender.
    pub from: MemberKey,
    /// The instance that it goes to.
    pub to: InstanceId,
    /// The data folder that it is for; 0 for whichever the instance has.
    pub identity: MemberIdentity,
    /// The sender's term.
    pub term: TermNumber,
    /// What it says.
    pub body: MessageBody,
}

/// Clock of a member, echoed by the leader, so that the member knows the least age of a message
/// that was held up on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockStamp {
    /// Random number of the member's process; clocks of other processes are not comparable.
    pub process_nonce: u64,
    /// The member's clock.
    pub at: Duration,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A member that is no voter shows itself.
    Probe {
        /// Random number of the round of probes.
        probe: ProbeNumber,
    },
    /// Answers a probe.
    ProbeReply {
        /// The probe that is answered.
        probe: ProbeNumber,
        /// Whether the sender belongs to a log.
        has_cluster: bool,
    },
    /// Would the receiver vote for the sender?
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
        /// Whether the receiver would have this vote.
        granted: bool,
    },
    /// Asks for a vote in the sender's term.
    Vote {
        /// The sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: TermNumber,
        /// Whether the leader itself asked for this election.
        is_transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Whether the sender votes for the receiver in this term.
        granted: bool,
    },
    /// Leader: entries, or a heartbeat when there are none.
    Append {
        /// Position before the entries.
        prev_index: LogIndex,
        /// Term at that position.
        prev_term: TermNumber,
        /// The entries.
        entries: Vec<LogEntry>,
        /// Last committed position.
        commit: LogIndex,
        /// Heartbeat round.
        round: RoundNumber,
        /// Time since the start of the last round that a quorum answered, if the leader has
        /// committed an entry of its own term.
        confirmed_age: Option<Duration>,
        /// The latest stamp that the leader has from the receiver.
        echo: Option<ClockStamp>,
    },
    /// Everything up to `index` agrees with the leader's log and is durable.
    AppendReply {
        /// The position.
        index: LogIndex,
        /// Heartbeat round that is answered.
        round: RoundNumber,
        /// The sender's clock.
        stamp: ClockStamp,
    },
    /// The position before the entries does not agree.
    AppendReject {
        /// The position that does not agree.
        prev_index: LogIndex,
        /// Latest position that may agree.
        hint: LogIndex,
        /// Heartbeat round that is answered.
        round: RoundNumber,
    },
    /// Leader: part of a snapshot.
    SnapshotChunk {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Term of that entry.
        last_term: TermNumber,
        /// Voters as of that entry.
        members: MemberSet,
        /// Position of the first byte.
        offset: u64,
        /// The bytes.
        bytes: Vec<u8>,
        /// Whether the snapshot ends here.
        done: bool,
        /// Heartbeat round.
        round: RoundNumber,
    },
    /// Answers part of a snapshot.
    SnapshotReply {
        /// Last entry of the snapshot.
        index: LogIndex,
        /// Bytes that have arrived without a gap.
        offset: u64,
        /// Heartbeat round that is answered.
        round: RoundNumber,
    },
    /// Leader: start an election at once; I am stopping.
    TimeoutNow,
}

impl ReplicaMessage {
    /// Encodes the message for a link.
    ///
    /// # Errors
    /// A message that exceeds the limit of a link.
    pub fn encode(&self) -> codec::Result<Vec<u8>> {
        codec::encode(self)
    }

    /// Decodes a message from a link.
    ///
    /// # Errors
    /// Bytes that are no message.
    pub fn decode(bytes: &[u8]) -> codec::Result<Self> {
        codec::decode_as(bytes)
    }
}
