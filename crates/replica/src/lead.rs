//! The leader's side of replication.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::action::ReplicaAction;
use crate::core::{ReplicaCore, ReplicaRole};
use crate::error::{ReplicaError, Result};
use crate::id::{LogIndex, MemberKey, ReadTicket, RoundNumber};
use crate::log::{EntryPayload, LogEntry};
use crate::message::{ClockStamp, MessageBody};
use crate::progress::{LeaderState, LeadershipTransfer, PeerProgress, PendingRead};

/// Interval at which a leader probes all instances for members of other clusters.
const LEADER_PROBE_INTERVAL: Duration = Duration::from_secs(2);

impl ReplicaCore {
    /// Stops accepting proposals and asks a voter that holds the whole log to take over. This
    /// member keeps the leadership when none does within the longest election timeout.
    ///
    /// # Errors
    /// When this member does not lead.
    pub fn transfer_leadership(&mut self, now: Duration) -> Result<()> {
        self.tick(now);
        if !self.is_leader() {
            let leader = self.leader;
            return Err(ReplicaError::NotLeader { leader });
        }
        self.start_transfer();
        Ok(())
    }

    fn start_transfer(&mut self) {
        let deadline = self.now + self.settings.election_max;
        if let ReplicaRole::Leader(state) = &mut self.role {
            state.transfer.get_or_insert(LeadershipTransfer {
                deadline,
                target: None,
            });
            self.continue_transfer();
        }
    }

    pub(crate) fn become_leader(&mut self) {
        let next = self.log.last_index() + 1;
        let now = self.now;
        let others = self.log.members().1.all().into_iter();
        let progress: BTreeMap<_, _> = others
            .filter(|member| *member != self.own)
            .map(|member| (member, PeerProgress::new(next, now)))
            .collect();
        self.role = ReplicaRole::Leader(Box::new(LeaderState {
            progress,
            first_index: next,
            round: 0,
            rounds: VecDeque::new(),
            confirmed: (0, now),
            heartbeat_at: now,
            reads: VecDeque::new(),
            transfer: None,
        }));
        self.leader = Some(self.own);
        self.actions.push(ReplicaAction::RoleChanged);
        self.append_own(EntryPayload::Empty);
        self.start_round();
    }

    pub(crate) fn tick_leader(&mut self) {
        let now = self.now;
        let quorum_timeout = self.settings.election_max;
        let ReplicaRole::Leader(state) = &self.role else {
            return;
        };
        if now > state.confirmed.1 + quorum_timeout {
            self.become_follower();
            return;
        }
        // A cluster that was bootstrapped separately hears nothing of this one otherwise.
        if now >= self.probe_at {
            self.probe_at = now + LEADER_PROBE_INTERVAL;
            self.probe_all();
        }
        let ReplicaRole::Leader(state) = &self.role else {
            return;
        };
        if now >= state.heartbeat_at {
            self.start_round();
            self.change_voters();
            self.remove_unresponsive_learners();
            if self.store_full {
                self.start_transfer();
            }
            self.continue_transfer();
        }
    }

    /// Appends an entry of the current term and issues its write.
    pub(crate) fn append_own(&mut self, payload: EntryPayload) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = LogEntry {
            index,
            term: self.hard.term,
            payload,
        };
        self.log.append(entry.clone());
        self.persist_entries(None, vec![entry]);
        index
    }

    /// Starts a heartbeat round.
    pub(crate) fn start_round(&mut self) {
        let now = self.now;
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        state.round += 1;
        state.rounds.push_back((state.round, now));
        state.heartbeat_at = now + self.settings.heartbeat;
        let members: Vec<MemberKey> = state.progress.keys().copied().collect();
        for member in members {
            self.send_append(member, true);
        }
        self.count_rounds();
    }

    /// Sends new entries to every member whose window of unacknowledged entries is not full.
    pub(crate) fn send_appends(&mut self) {
        let ReplicaRole::Leader(state) = &self.role else {
            return;
        };
        let members: Vec<MemberKey> = state.progress.keys().copied().collect();
        for member in members {
            self.send_append(member, false);
        }
    }

    /// Sends the next entries, or the next chunk of a snapshot, to one member.
    pub(crate) fn send_append(&mut self, member: MemberKey, heartbeat: bool) {
        let ReplicaRole::Leader(state) = &self.role else {
            return;
        };
        let Some(peer) = state.progress.get(&member) else {
            return;
        };
        let prev_index = peer.next - 1;
        let Some(prev_term) = self.log.term_at(prev_index) else {
            if heartbeat || peer.snapshot.is_none() {
                self.send_snapshot(member);
            }
            return;
        };
        let has_window = peer.next <= peer.matched + self.settings.max_inflight_entries;
        let entries = if has_window {
            self.log.slice(peer.next, self.settings.max_append_bytes)
        } else {
            Vec::new()
        };
        if entries.is_empty() && !heartbeat {
            return;
        }
        let sent = entries.len() as u64;
        let body = MessageBody::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round: state.round,
            confirmed_age: self.commit_age(self.now),
            echo: peer.stamp,
        };
        if let Some(peer) = self.peer(member) {
            peer.next += sent;
            peer.snapshot = None;
        }
        self.send(member, body);
    }

    pub(crate) fn peer(&mut self, member: MemberKey) -> Option<&mut PeerProgress> {
        match &mut self.role {
            ReplicaRole::Leader(state) => state.progress.get_mut(&member),
            _ => None,
        }
    }

    /// Records that a member answered heartbeat round `round`.
    pub(crate) fn record_reply(&mut self, member: MemberKey, round: RoundNumber) {
        let now = self.now;
        if let Some(peer) = self.peer(member) {
            peer.last_reply_at = now;
            peer.round = peer.round.max(round);
            self.count_rounds();
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: MemberKey,
        index: LogIndex,
        round: RoundNumber,
        stamp: ClockStamp,
    ) {
        let last = self.log.last_index();
        let Some(peer) = self.peer(from) else {
            return;
        };
        debug_assert!(index <= last, "member is ahead of its leader");
        peer.matched = peer.matched.max(index);
        peer.next = peer.next.max(peer.matched + 1);
        peer.stamp = Some(stamp);
        self.record_reply(from, round);
        self.advance_commit();
        self.apply_committed();
        self.send_append(from, false);
    }

    pub(crate) fn on_append_reject(
        &mut self,
        from: MemberKey,
        prev_index: LogIndex,
        hint: LogIndex,
        round: RoundNumber,
    ) {
        let Some(peer) = self.peer(from) else {
            return;
        };
        if prev_index < peer.next && prev_index > peer.matched {
            peer.next = peer.next.min(hint.max(peer.matched) + 1);
        }
        self.record_reply(from, round);
        self.send_append(from, false);
    }

    /// Commits the entries that are durable on a quorum, once the last of them is of the current
    /// term.
    pub(crate) fn advance_commit(&mut self) {
        let ReplicaRole::Leader(state) = &self.role else {
            return;
        };
        let durable = |member| match state.progress.get(&member) {
            Some(peer) => peer.matched,
            None if member == self.own => self.persist_queue.index,
            None => 0,
        };
        let reached = self.log.members().1.quorum_value(durable);
        if reached <= self.commit || self.log.term_at(reached) != Some(self.hard.term) {
            return;
        }
        self.commit = reached;
        self.complete_voter_change();
    }

    pub(crate) fn start_read(&mut self, ticket: ReadTicket) {
        let commit = self.commit;
        if let ReplicaRole::Leader(state) = &mut self.role {
            state.reads.push_back(PendingRead {
                ticket,
                round: state.round + 1,
                index: commit.max(state.first_index),
            });
        }
        self.start_round();
    }

    pub(crate) fn confirm_reads(&mut self) {
        let applied = self.applied;
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        while let Some(read) = state.reads.front()
            && read.round <= state.confirmed.0
            && read.index <= applied
        {
            self.actions.push(ReplicaAction::ReadConfirmed(read.ticket));
            state.reads.pop_front();
        }
    }

    /// Updates the latest heartbeat round that a quorum answered, and confirms the reads that
    /// waited for it.
    fn count_rounds(&mut self) {
        let own = self.own;
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        let answered = |member| match state.progress.get(&member) {
            Some(peer) => peer.round,
            None if member == own => state.round,
            None => 0,
        };
        let confirmed = self.log.members().1.quorum_value(answered);
        while let Some(round) = state.rounds.front()
            && round.0 <= confirmed
        {
            state.confirmed = *round;
            state.rounds.pop_front();
        }
        self.confirm_reads();
    }

    /// Asks a voter that holds the whole log to start an election; cancels the transfer after its
    /// deadline.
    fn continue_transfer(&mut self) {
        let now = self.now;
        let last = self.log.last_index();
        let voters = &self.log.members().1.voters;
        let ReplicaRole::Leader(state) = &mut self.role else {
            return;
        };
        let Some(transfer) = &mut state.transfer else {
            return;
        };
        if now > transfer.deadline {
            state.transfer = None;
            return;
        }
        let is_ready = |(member, peer): &(&MemberKey, &PeerProgress)| {
            voters.contains(member) && peer.matched == last
        };
        let ready = state.progress.iter().filter(is_ready);
        let latest = ready.max_by_key(|(_, peer)| peer.last_reply_at);
        let successor = transfer.target.or(latest.map(|(member, _)| *member));
        transfer.target = successor;
        if let Some(member) = successor {
            self.send(member, MessageBody::TimeoutNow);
        }
    }
}
