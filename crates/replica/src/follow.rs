//! The follower's side of replication.

use std::time::Duration;

use crate::action::ReplicaAction;
use crate::core::{ReplicaCore, ReplicaRole};
use crate::id::{LogIndex, MemberKey, RoundNumber};
use crate::log::LogEntry;
use crate::message::{ClockStamp, MessageBody};

impl ReplicaCore {
    /// Accepts `leader` as the leader of the current term.
    pub(crate) fn follow(&mut self, leader: MemberKey, round: RoundNumber) {
        assert!(!self.is_leader(), "two leaders in term {}", self.hard.term);
        if !matches!(self.role, ReplicaRole::Follower) {
            self.become_follower();
        }
        if self.leader != Some(leader) {
            self.leader = Some(leader);
            self.actions.push(ReplicaAction::RoleChanged);
        }
        self.leader_contact_at = Some(self.now);
        self.round = self.round.max(round);
        self.reset_election();
    }

    pub(crate) fn on_append(&mut self, from: MemberKey, body: MessageBody) {
        let MessageBody::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
            confirmed_age,
            echo,
        } = body
        else {
            return;
        };
        self.follow(from, round);
        if let Some(hint) = self.conflict_hint(prev_index, prev_term) {
            let body = MessageBody::AppendReject {
                prev_index,
                hint,
                round,
            };
            self.send_when_durable(from, body);
            return;
        }
        let end = prev_index + entries.len() as u64;
        self.merge_entries(entries);
        self.matched = self.matched.max(end);
        self.commit = self.commit.max(commit.min(self.matched));
        if self.commit >= commit {
            self.record_confirmation(confirmed_age, echo);
        }
        self.report_durable();
        self.apply_committed();
    }

    /// Reports to the leader up to which entry the log matches the leader's and is durable.
    pub(crate) fn report_durable(&mut self) {
        let Some(leader) = self.leader else {
            return;
        };
        if self.persist_queue.hard != self.hard {
            self.persist_hard_once();
            return;
        }
        if self.matched == 0 {
            return;
        }
        let stamp = ClockStamp {
            process_nonce: self.process_nonce,
            at: self.now,
        };
        let body = MessageBody::AppendReply {
            index: self.matched.min(self.persist_queue.index),
            round: self.round,
            stamp,
        };
        self.send(leader, body);
    }

    /// Latest index at which the log may match the leader's, if it does not match at `index`.
    fn conflict_hint(&self, index: LogIndex, term: u64) -> Option<LogIndex> {
        if index <= self.commit {
            return None;
        }
        match self.log.term_at(index) {
            None => Some(self.log.last_index()),
            Some(own) if own == term => None,
            Some(_) => Some(self.commit.max(self.log.term_start(index) - 1)),
        }
    }

    /// Appends the missing entries, after removing those that conflict with them.
    fn merge_entries(&mut self, entries: Vec<LogEntry>) {
        let log = &self.log;
        let is_present = |entry: &LogEntry| {
            entry.index <= self.commit || log.term_at(entry.index) == Some(entry.term)
        };
        let present = entries.iter().take_while(|entry| is_present(entry)).count();
        let new: Vec<LogEntry> = entries.into_iter().skip(present).collect();
        let Some(first) = new.first().map(|entry| entry.index) else {
            return;
        };
        let conflicts = first <= self.log.last_index();
        if conflicts {
            assert!(
                first > self.commit,
                "committed entry {first} conflicts with the leader"
            );
            self.log.truncate(first);
        }
        for entry in &new {
            self.log.append(entry.clone());
        }
        self.persist_entries(conflicts.then_some(first), new);
    }

    /// Records when the last heartbeat round that a quorum answered began. The recorded time is
    /// never later than the actual one, because the echoed clock was read before the leader
    /// computed `age`.
    fn record_confirmation(&mut self, age: Option<Duration>, echo: Option<ClockStamp>) {
        let (Some(age), Some(echo)) = (age, echo) else {
            return;
        };
        if echo.process_nonce == self.process_nonce {
            let at = echo.at.saturating_sub(age);
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }
}
