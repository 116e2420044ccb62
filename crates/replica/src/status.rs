//! The status of a member for operators.

use crate::core::{ReplicaCore, ReplicaRole};
use crate::id::{LogIndex, MemberKey, TermNumber};
use crate::member::MemberSet;

/// Role of a member as its status reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleKind {
    /// Belongs to no cluster yet, or catches up as a learner.
    Joining,
    /// Follows a leader or waits for one.
    Follower,
    /// Stands for election, or asks whether it would win one.
    Candidate,
    /// Leads.
    Leader,
}

/// The status of a member for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// This member.
    pub own: MemberKey,
    /// Its role.
    pub role: RoleKind,
    /// Its term.
    pub term: TermNumber,
    /// The leader that it knows, if any.
    pub leader: Option<MemberKey>,
    /// The voters.
    pub members: MemberSet,
    /// Last entry that it holds.
    pub last_index: LogIndex,
    /// Last entry that it knows to be committed.
    pub commit: LogIndex,
    /// Last entry that it applied.
    pub applied: LogIndex,
    /// Last entry before those that the log holds; the snapshot covers it.
    pub start_index: LogIndex,
}

impl ReplicaCore {
    /// Returns the status of this member.
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
