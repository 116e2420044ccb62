//! Replacement of a voter whose data folder was lost.
//!
//! The new member catches up without a vote. Only then does a joint change of the voters put it in
//! the place of the old one, so it counts towards no quorum before it holds what is committed.

use crate::core::{ReplicaCore, ReplicaRole};
use crate::id::MemberKey;
use crate::log::EntryPayload;
use crate::progress::PeerProgress;

impl ReplicaCore {
    /// Leader: starts to send the log to a member that has no vote.
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
        let fresh = || PeerProgress::new(next, now);
        state.progress.entry(member).or_insert_with(fresh);
    }

    /// Leader: puts a caught-up member in the place of a silent voter of the same instance.
    pub(crate) fn replace_lost_voter(&mut self) {
        let Some((old, new)) = self.due_replacement() else {
            return;
        };
        let members = self.log.members().1.replacing(old, new);
        self.append_own(EntryPayload::Members(members));
        self.send_appends();
    }

    fn due_replacement(&self) -> Option<(MemberKey, MemberKey)> {
        let ReplicaRole::Leader(state) = &self.role else {
            return None;
        };
        let (position, members) = self.log.members();
        let is_settled = !members.is_joint() && position <= self.commit;
        if !is_settled || self.commit < state.first_index {
            return None;
        }
        let silent = |peer: &PeerProgress| self.now > peer.heard_at + self.settings.replace_after;
        let caught_up = |peer: &PeerProgress| peer.matched >= self.commit && !silent(peer);
        state.progress.iter().find_map(|(new, peer)| {
            if members.contains(*new) || !caught_up(peer) {
                return None;
            }
            let old = members.voter_of(new.instance)?;
            let old_is_silent = state.progress.get(&old).is_some_and(silent);
            old_is_silent.then_some((old, *new))
        })
    }

    /// Leader: ends a change of the voters whose joint entry is committed.
    pub(crate) fn settle_members(&mut self) {
        let (position, members) = self.log.members();
        if position > self.commit {
            return;
        }
        if members.is_joint() {
            let settled = members.settled();
            self.append_own(EntryPayload::Members(settled));
            self.send_appends();
            return;
        }
        let members = members.clone();
        if let ReplicaRole::Leader(state) = &mut self.role {
            let is_replaced = |other: &MemberKey| {
                !members.contains(*other) && members.voter_of(other.instance).is_some()
            };
            let silent_limit = self.now.saturating_sub(self.settings.replace_after);
            let is_gone = |other: &MemberKey, peer: &PeerProgress| {
                is_replaced(other) && peer.heard_at < silent_limit
            };
            state.progress.retain(|other, peer| !is_gone(other, peer));
        }
    }
}
