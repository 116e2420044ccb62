//! Elections: pre-vote, vote and leadership transfer.

use std::collections::BTreeSet;

use crate::action::ReplicaAction;
use crate::core::{ReplicaCore, ReplicaRole};
use crate::id::{LogIndex, MemberKey, TermNumber};
use crate::message::MessageBody;

/// Term and index of the last entry of a log. A log whose end is at least that of every log of some
/// quorum holds every committed entry.
pub(crate) type LogEnd = (TermNumber, LogIndex);

impl ReplicaCore {
    /// Whether this member leads, or received a message of the leader of this term within the
    /// shortest election timeout.
    pub(crate) fn has_live_leader(&self) -> bool {
        let recent = |at| self.now < at + self.settings.election_min;
        match self.role {
            ReplicaRole::Leader(_) => true,
            _ => self.leader_contact_at.is_some_and(recent),
        }
    }

    /// Enters a later term as a follower without a leader.
    pub(crate) fn enter_term(&mut self, term: TermNumber) {
        debug_assert!(term > self.hard.term, "new term is not later");
        self.hard.term = term;
        self.hard.vote = None;
        self.persist_hard();
        self.leader = None;
        self.leader_contact_at = None;
        self.become_follower();
    }

    /// Becomes a follower in the current term.
    pub(crate) fn become_follower(&mut self) {
        if let ReplicaRole::Leader(state) = &mut self.role {
            let reads = std::mem::take(&mut state.reads);
            let failed = reads.into_iter().map(|read| read.ticket);
            self.actions.extend(failed.map(ReplicaAction::ReadFailed));
            self.leader = None;
        }
        self.role = ReplicaRole::Follower;
        self.matched = 0;
        self.round = 0;
        self.confirmed_at = None;
        self.incoming = None;
        self.reset_election();
        self.actions.push(ReplicaAction::RoleChanged);
    }

    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election();
        self.leader = None;
        self.role = ReplicaRole::PreCandidate {
            granted: BTreeSet::from([self.own]),
        };
        self.actions.push(ReplicaAction::RoleChanged);
        self.probe_all();
        self.announce_founding();
        let (last_term, last_index) = self.log_end();
        self.send_voters(&MessageBody::PreVote {
            election: self.hard.term + 1,
            last_index,
            last_term,
        });
        self.count_pre_votes();
    }

    pub(crate) fn on_pre_vote(&mut self, from: MemberKey, election: TermNumber, end: LogEnd) {
        let granted = election > self.hard.term && !self.has_live_leader() && end >= self.log_end();
        self.send_when_durable(from, MessageBody::PreVoteReply { election, granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: MemberKey,
        election: TermNumber,
        granted: bool,
    ) {
        if !granted || election != self.hard.term + 1 {
            return;
        }
        if let ReplicaRole::PreCandidate { granted } = &mut self.role {
            granted.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let ReplicaRole::PreCandidate { granted } = &self.role else {
            return;
        };
        let members = self.log.members().1;
        if members.has_quorum(|member| granted.contains(&member)) {
            self.start_election(false);
        }
    }

    fn start_election(&mut self, is_transfer: bool) {
        self.hard.term += 1;
        self.hard.vote = Some(self.own);
        self.persist_hard();
        self.leader = None;
        self.leader_contact_at = None;
        self.reset_election();
        self.role = ReplicaRole::Candidate {
            granted: BTreeSet::new(),
            is_transfer,
        };
        self.actions.push(ReplicaAction::RoleChanged);
    }

    /// Counts this member's vote for itself and requests the other votes, once its own is durable.
    pub(crate) fn count_own_vote(&mut self) {
        if self.persist_queue.hard != self.hard {
            return;
        }
        let ReplicaRole::Candidate {
            granted,
            is_transfer,
        } = &mut self.role
        else {
            return;
        };
        if !granted.insert(self.own) {
            return;
        }
        let is_transfer = *is_transfer;
        let (last_term, last_index) = self.log_end();
        self.send_voters(&MessageBody::Vote {
            last_index,
            last_term,
            is_transfer,
        });
        self.count_votes();
    }

    pub(crate) fn on_vote(&mut self, from: MemberKey, end: LogEnd) {
        let can_vote = self.hard.vote.is_none_or(|vote| vote == from);
        let is_follower = matches!(
            self.role,
            ReplicaRole::Follower | ReplicaRole::PreCandidate { .. }
        );
        let granted = can_vote && is_follower && self.leader.is_none() && end >= self.log_end();
        if granted && self.hard.vote.is_none() {
            self.hard.vote = Some(from);
            self.persist_hard();
        }
        if granted {
            self.role = ReplicaRole::Follower;
            self.reset_election();
        }
        self.send_when_durable(from, MessageBody::VoteReply { granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: MemberKey, vote: bool) {
        let ReplicaRole::Candidate { granted, .. } = &mut self.role else {
            return;
        };
        if vote && granted.insert(from) {
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let ReplicaRole::Candidate { granted, .. } = &self.role else {
            return;
        };
        let members = self.log.members().1;
        let has_own = granted.contains(&self.own);
        if has_own && members.has_quorum(|member| granted.contains(&member)) {
            self.become_leader();
        }
    }

    /// Starts an election because the leader transfers its leadership to this member.
    pub(crate) fn on_timeout_now(&mut self) {
        if self.is_voter() && !self.is_leader() {
            self.start_election(true);
        }
    }

    pub(crate) fn log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn send_voters(&mut self, body: &MessageBody) {
        for member in self.log.members().1.all() {
            if member != self.own {
                self.send(member, body.clone());
            }
        }
    }
}
