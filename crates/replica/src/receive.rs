//! Filtering and dispatch of received messages.

use std::time::Duration;

use crate::core::ReplicaCore;
use crate::message::{MessageBody, ReplicaMessage};

impl ReplicaCore {
    /// Handles a message from another member.
    pub fn receive(&mut self, now: Duration, message: ReplicaMessage) {
        self.advance(now);
        if message.to != self.own.instance || message.from.instance == self.own.instance {
            return;
        }
        match message.body {
            MessageBody::Probe { probe } => self.on_probe(&message, probe),
            MessageBody::ProbeReply { probe, has_cluster } => {
                self.on_probe_reply(&message, probe, has_cluster);
            }
            MessageBody::Found { members } if message.identity == self.own.identity => {
                self.on_found(message.cluster, members);
            }
            _ if message.identity == self.own.identity => self.receive_addressed(message),
            _ => {}
        }
    }

    /// Handles a message addressed to this member's data folder.
    fn receive_addressed(&mut self, message: ReplicaMessage) {
        let is_pre_vote = matches!(message.body, MessageBody::PreVote { .. });
        // A pre-vote alone does not make a member join: if its sender were lost, the member would
        // belong to a cluster whose voters it does not know.
        if self.hard.cluster == 0 && !is_pre_vote {
            self.hard.cluster = message.cluster;
        }
        if message.cluster == 0 || message.cluster != self.hard.cluster {
            return;
        }
        if self.must_ignore(&message) {
            return;
        }
        if message.term > self.hard.term && !is_pre_vote {
            self.enter_term(message.term);
        }
        if message.term < self.hard.term && !self.accepts_stale(&message.body) {
            self.reject_stale(&message);
            return;
        }
        self.dispatch(message);
    }

    /// Whether a message is a vote request that comes while the leader is alive. Requests that are
    /// part of a leadership transfer are exempt.
    fn must_ignore(&self, message: &ReplicaMessage) -> bool {
        match message.body {
            MessageBody::Vote { is_transfer, .. } => !is_transfer && self.has_live_leader(),
            _ => false,
        }
    }

    /// Whether a message of an earlier term is still valid.
    fn accepts_stale(&self, body: &MessageBody) -> bool {
        matches!(body, MessageBody::PreVoteReply { .. })
    }

    /// Rejects a message of an earlier term, so that its sender learns the current one.
    fn reject_stale(&mut self, message: &ReplicaMessage) {
        let body = match &message.body {
            MessageBody::PreVote { election, .. } => MessageBody::PreVoteReply {
                election: *election,
                granted: false,
            },
            MessageBody::Vote { .. }
            | MessageBody::Append { .. }
            | MessageBody::SnapshotChunk { .. } => MessageBody::VoteReply { granted: false },
            _ => return,
        };
        self.send_when_durable(message.from, body);
    }

    fn dispatch(&mut self, message: ReplicaMessage) {
        let from = message.from;
        match message.body {
            MessageBody::Probe { .. }
            | MessageBody::ProbeReply { .. }
            | MessageBody::Found { .. } => {}
            MessageBody::PreVote {
                election,
                last_index,
                last_term,
            } => self.on_pre_vote(from, election, (last_term, last_index)),
            MessageBody::PreVoteReply { election, granted } => {
                self.on_pre_vote_reply(from, election, granted);
            }
            MessageBody::Vote {
                last_index,
                last_term,
                ..
            } => self.on_vote(from, (last_term, last_index)),
            MessageBody::VoteReply { granted } => self.on_vote_reply(from, granted),
            MessageBody::Append { .. } => self.on_append(from, message.body),
            MessageBody::AppendReply {
                index,
                round,
                stamp,
            } => self.on_append_reply(from, index, round, stamp),
            MessageBody::AppendReject {
                prev_index,
                hint,
                round,
            } => self.on_append_reject(from, prev_index, hint, round),
            MessageBody::SnapshotChunk { .. } => self.on_snapshot_chunk(from, message.body),
            MessageBody::SnapshotReply {
                index,
                offset,
                round,
            } => self.on_snapshot_reply(from, index, offset, round),
            MessageBody::TimeoutNow => self.on_timeout_now(),
        }
    }
}
