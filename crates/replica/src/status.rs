//! A member as operators see it.

use crate::core::{ReplicaCore, ReplicaRole};
use crate::id::{LogIndex, MemberKey, TermNumber};
use crate::member::MemberSet;

/// The kind of a member's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleKind {
    /// Belongs to no log yet, or catches up without a vote.
    Joining,
    /// Follows a leader or waits for one.
    Follower,
    /// Seeks election.
    Candidate,
    /// Leads.
    Leader,
}

/// A member as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// This member.
    pub own: MemberKey,
    /// Its role.
    pub role: RoleKind,
    /// Its term.
    pub term: TermNumber,
    /// The leader that it knows.
    pub leader: Option<MemberKey>,
    /// The voters.
    pub members: MemberSet,
    /// Last entry that it holds.
    pub last_index: LogIndex,
    /// Last entry that it knows to be committed.
    pub commit: LogIndex,
    /// Last entry that it applied.
    pub applied: LogIndex,
    /// First entry that only the snapshot holds is at or before this one.
    pub start_index: LogIndex,
}

impl ReplicaCore {
    /// This member as operators see it.
    pub fn status(&self) -> ReplicaStatus {
        let role = match &self.role {
            _ if !self.is_voter() => RoleKind::Joining,
            ReplicaRole::Follower => RoleKind::Follower,
            ReplicaRole::PreCandidate { .. } | ReplicaRole::Candidate { .. } => RoleKind::Candidate,
            ReplicaRole::Leader(_) => RoleKind::Leader,
        };
        ReplicaStatus {
            own: self.own,
            role,
            term: self.hard.term,
            leader: self.leader,
            members: self.log.members().1.clone(),
            last_index: self.log.last_index(),
            commit: self.commit,
            applied: self.applied,
            start_index: self.log.start_index(),
        }
    }
}
