//! What a leader knows about the others.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::id::{LogIndex, MemberKey, ReadTicket, RoundNumber};
use crate::message::ClockStamp;

/// What a leader knows about one member.
#[derive(Clone, Debug)]
pub(crate) struct PeerProgress {
    /// Next entry to send. Above `matched`.
    pub(crate) next: LogIndex,
    /// Durable at the member and equal to the leader's log up to here.
    pub(crate) matched: LogIndex,
    /// Latest round that the member answered.
    pub(crate) round: RoundNumber,
    /// When the member was heard last.
    pub(crate) last_reply_at: Duration,
    /// Latest clock of the member.
    pub(crate) stamp: Option<ClockStamp>,
    /// Position in the snapshot with this last entry that is sent next.
    pub(crate) snapshot: Option<(LogIndex, u64)>,
}

impl PeerProgress {
    /// Nothing is known yet; sending starts at `next`.
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

/// A read that waits for its confirmation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) ticket: ReadTicket,
    /// Round that must be confirmed by a quorum. Begun after the read.
    pub(crate) round: RoundNumber,
    /// Entry that must be applied.
    pub(crate) index: LogIndex,
}

/// A leader on its way out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipTransfer {
    /// When the leader gives up and takes proposals again.
    pub(crate) deadline: Duration,
    /// Whom it asked to start an election.
    pub(crate) target: Option<MemberKey>,
}

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Every other voter, and members that catch up without a vote.
    pub(crate) progress: BTreeMap<MemberKey, PeerProgress>,
    /// First entry of this term. Nothing is committed by counting before it.
    pub(crate) first_index: LogIndex,
    /// Current round.
    pub(crate) round: RoundNumber,
    /// Start of the rounds that no quorum has answered yet, oldest first.
    pub(crate) rounds: VecDeque<(RoundNumber, Duration)>,
    /// Latest round that a quorum answered, and its start.
    pub(crate) confirmed: (RoundNumber, Duration),
    /// When the next heartbeat is due.
    pub(crate) heartbeat_at: Duration,
    /// Reads in order of their rounds.
    pub(crate) reads: VecDeque<PendingRead>,
    /// The hand-over that is under way.
    pub(crate) transfer: Option<LeadershipTransfer>,
}
