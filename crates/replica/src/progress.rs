//! The leader's state: the progress of the other members, heartbeat rounds, reads and leadership
//! transfer.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::{LogIndex, MemberKey, ReadTicket, RoundNumber};
use crate::message::ClockStamp;

/// Replication progress of one member, as the leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    /// Next entry to send. Above `matched`.
    pub(crate) next: LogIndex,
    /// The member's log is durable and matches the leader's up to this entry.
    pub(crate) matched: LogIndex,
    /// Latest heartbeat round that the member answered.
    pub(crate) round: RoundNumber,
    /// When the member last replied; until its first reply, when its replication began.
    pub(crate) last_reply_at: Duration,
    /// Latest clock reading received from the member.
    pub(crate) stamp: Option<ClockStamp>,
    /// Snapshot that is being sent: its last entry, and the number of bytes acknowledged.
    pub(crate) snapshot: Option<(LogIndex, u64)>,
}

impl PeerProgress {
    /// Progress of a member that has not replied yet. Sending starts at `next`.
    pub(crate) fn new(next: LogIndex, now: Duration) -> Self {
        Self {
            next,
            matched: 0,
            round: 0,
            last_reply_at: now,
            stamp: None,
            snapshot: None,
        }
    }
}

/// A read that waits until a quorum confirms the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) ticket: ReadTicket,
    /// Heartbeat round, begun after the read, that a quorum must answer.
    pub(crate) round: RoundNumber,
    /// Entry that must be applied first.
    pub(crate) index: LogIndex,
}

/// A leadership transfer under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipTransfer {
    /// When the leader cancels the transfer and accepts proposals again.
    pub(crate) deadline: Duration,
    /// The voter that was asked to start an election.
    pub(crate) target: Option<MemberKey>,
}

/// State of a leader.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Progress of every other voter and of the learners.
    pub(crate) progress: BTreeMap<MemberKey, PeerProgress>,
    /// First entry of this term. Earlier entries are not committed by counting replicas.
    pub(crate) first_index: LogIndex,
    /// Current heartbeat round.
    pub(crate) round: RoundNumber,
    /// Rounds that no quorum has answered yet and their start times, oldest first.
    pub(crate) rounds: VecDeque<(RoundNumber, Duration)>,
    /// Latest round that a quorum answered, and its start time; until then, round 0 and the time of
    /// the election.
    pub(crate) confirmed: (RoundNumber, Duration),
    /// When the next heartbeat round is due.
    pub(crate) heartbeat_at: Duration,
    /// Pending reads, in order of their rounds.
    pub(crate) reads: VecDeque<PendingRead>,
    /// The leadership transfer under way, if any.
    pub(crate) transfer: Option<LeadershipTransfer>,
}
