//! Changes of the voters: replacement after the loss of a data folder, and instances that join or
//! leave.
//!
//! A new member first catches up as a learner, without a vote. Only then does a joint change make
//! it a voter, so that it counts towards no quorum before it holds the committed entries.

use crate::core::{ReplicaCore, ReplicaRole};
use crate::id::MemberKey;
use crate::log::EntryPayload;
use crate::member::VoterChange;
use crate::progress::PeerProgress;

impl ReplicaCore {
    /// Leader: starts to replicate the log to a member that is no voter, as a learner.
    pub(crate) fn admit_learner(&mut self, member: MemberKey) {
        let is_peer = self.peers.contains(&member.instance);
        if !is_peer || self.log.members().1.contains(member) {
            return;
        }
        let next = self.log.last_index() + 1;
        let now = self.now;
        let members = self.log.members().1.clone();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        let is_stale = |other: &MemberKey| {
            other.instance == member.instance && *other != member && !members.contains(*other)
        };
        state.progress.retain(|other, _| !is_stale(other));
        let new_progress = || PeerProgress::new(next, now);
        state.progress.entry(member).or_insert_with(new_progress);
    }

    /// Leader: begins the change of the voters that is due, if any.
    pub(crate) fn change_voters(&mut self) {
        let Some(change) = self.due_change() else {
            return;
        };
        let members = self.log.members().1.enter_joint(change);
        self.append_own(EntryPayload::Members(members));
        self.send_appends();
    }

    fn due_change(&self) -> Option<VoterChange> {
        let ReplicaRole::Leader(state) = &self.role else {
            return None;
        };
        let (members_index, members) = self.log.members();
        let is_change_allowed = !members.is_joint() && members_index <= self.commit;
        if !is_change_allowed || self.commit < state.first_index {
            return None;
        }
        let reply_age = |peer: &PeerProgress| self.now.saturating_sub(peer.last_reply_at);
        let replace_after = self.settings.replace_after;
        let learners = state.progress.iter().filter(|(member, peer)| {
            let is_caught_up = peer.matched >= self.commit && peer.round > 0;
            let is_staying = !self.leaving.contains(&member.instance);
            !members.contains(**member)
                && is_caught_up
                && is_staying
                && reply_age(peer) <= replace_after
        });
        let unresponsive_voter = |after| {
            let mut voters = members.voters.iter().copied();
            voters.find(|voter| {
                state
                    .progress
                    .get(voter)
                    .is_some_and(|peer| reply_age(peer) > after)
            })
        };
        for (new, _) in learners {
            let change = match members.voter_of(new.instance) {
                Some(old) => {
                    let is_unresponsive = |peer| reply_age(peer) > replace_after;
                    let is_old_unresponsive = state.progress.get(&old).is_some_and(is_unresponsive);
                    is_old_unresponsive.then_some(VoterChange::Replace { old, new: *new })
                }
                None => self.admission(
                    *new,
                    unresponsive_voter(self.settings.replace_by_other_after),
                ),
            };
            if change.is_some() {
                return change;
            }
        }
        let is_leaving =
            |voter: &MemberKey| *voter != self.own && self.leaving.contains(&voter.instance);
        let leaving = members.voters.iter().copied().find(is_leaving);
        self.removal(leaving.or(unresponsive_voter(self.settings.remove_voter_after)))
    }

    /// The change that gives a vote to a caught-up learner whose instance has no voter: the learner
    /// replaces an unresponsive voter, or is added while there are fewer than `max_voters`. `None`
    /// when neither applies or `max_voters` is 0.
    fn admission(&self, new: MemberKey, unresponsive: Option<MemberKey>) -> Option<VoterChange> {
        let voters = self.log.members().1.voters.len();
        match unresponsive {
            _ if self.settings.max_voters == 0 => None,
            Some(old) => Some(VoterChange::Replace { old, new }),
            None if voters < self.settings.max_voters => Some(VoterChange::Add(new)),
            None => None,
        }
    }

    /// The change that removes a voter that is leaving or unresponsive, so that it no longer counts
    /// towards the size of a quorum; `None` when fewer than `min_voters` would remain or
    /// `max_voters` is 0.
    fn removal(&self, old: Option<MemberKey>) -> Option<VoterChange> {
        let voters = self.log.members().1.voters.len();
        let may_shrink = self.settings.max_voters > 0 && voters > self.settings.min_voters;
        old.filter(|_| may_shrink).map(VoterChange::Remove)
    }

    /// Leader: stops replicating to learners that have not replied for `forget_learner_after`.
    pub(crate) fn remove_unresponsive_learners(&mut self) {
        let members = self.log.members().1.clone();
        let limit = self.now.saturating_sub(self.settings.forget_learner_after);
        if let ReplicaRole::Leader(state) = &mut self.role {
            let is_kept = |member: &MemberKey, peer: &PeerProgress| {
                members.contains(*member) || peer.last_reply_at >= limit
            };
            state.progress.retain(|member, peer| is_kept(member, peer));
        }
    }

    /// Leader: ends a change of the voters whose joint entry is committed. Once the final entry is
    /// committed, stops replicating to replaced members that are unresponsive.
    pub(crate) fn complete_voter_change(&mut self) {
        let (members_index, members) = self.log.members();
        if members_index > self.commit {
            return;
        }
        if members.is_joint() {
            let final_members = members.leave_joint();
            self.append_own(EntryPayload::Members(final_members));
            self.send_appends();
            return;
        }
        let members = members.clone();
        if let ReplicaRole::Leader(state) = &mut self.role {
            let is_replaced = |other: &MemberKey| {
                !members.contains(*other) && members.voter_of(other.instance).is_some()
            };
            let unresponsive_limit = self.now.saturating_sub(self.settings.replace_after);
            let is_gone = |other: &MemberKey, peer: &PeerProgress| {
                is_replaced(other) && peer.last_reply_at < unresponsive_limit
            };
            state.progress.retain(|other, peer| !is_gone(other, peer));
        }
    }
}
