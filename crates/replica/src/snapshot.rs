//! Snapshots: taking, sending and receiving them.

use std::sync::Arc;

use crate::action::ReplicaAction;
use crate::core::ReplicaCore;
use crate::id::{LogIndex, MemberKey, RoundNumber, TermNumber};
use crate::message::MessageBody;
use crate::record::SnapshotRecord;

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    index: LogIndex,
    term: TermNumber,
    /// The bytes received so far, without a gap.
    bytes: Vec<u8>,
}

impl ReplicaCore {
    /// Handles the encoded state machine as of entry `index`, which
    /// [`ReplicaAction::TakeSnapshot`] requested.
    pub fn snapshot_taken(&mut self, index: LogIndex, state: Vec<u8>) {
        if self.requested_snapshot != Some(index) {
            return;
        }
        self.requested_snapshot = None;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = SnapshotRecord {
            index,
            term,
            members: self.log.members_at(index),
            state,
        };
        self.applied_bytes = 0;
        self.log
            .compact(Arc::new(snapshot), self.settings.kept_entries);
        self.persist_all(LogIndex::MAX);
    }

    /// Requests a snapshot from the caller when at least `snapshot_entries` entries were applied
    /// since the last one and they are at least as large as it, so that a large state is not
    /// written again after a few small changes.
    pub(crate) fn request_snapshot_if_due(&mut self) {
        let since = self.applied.saturating_sub(self.log.snapshot_index());
        let last_bytes = self.log.snapshot().map_or(0, |last| last.state.len());
        let is_due = since >= self.settings.snapshot_entries && self.applied_bytes >= last_bytes;
        if !is_due || self.requested_snapshot.is_some() {
            return;
        }
        if !self.store_full {
            self.requested_snapshot = Some(self.applied);
            self.actions.push(ReplicaAction::TakeSnapshot(self.applied));
        }
    }

    /// Leader: sends the next chunk of the snapshot to a member that lags behind the start of the
    /// log.
    pub(crate) fn send_snapshot(&mut self, member: MemberKey) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let chunk_bytes = self.settings.snapshot_chunk_bytes;
        let size = snapshot.state.len() as u64;
        let Some(peer) = self.peer(member) else {
            return;
        };
        let offset = match peer.snapshot {
            Some((index, offset)) if index == snapshot.index => offset.min(size),
            _ => 0,
        };
        peer.snapshot = Some((snapshot.index, offset));
        let start = offset as usize;
        let end = snapshot.state.len().min(start + chunk_bytes);
        let body = MessageBody::SnapshotChunk {
            index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members.clone(),
            offset,
            bytes: snapshot.state[start..end].to_vec(),
            done: end == snapshot.state.len(),
            round: self.current_round(),
        };
        self.send(member, body);
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: MemberKey, body: MessageBody) {
        let MessageBody::SnapshotChunk {
            index,
            last_term,
            members,
            offset,
            bytes,
            done,
            round,
        } = body
        else {
            return;
        };
        self.follow(from, round);
        if index <= self.commit {
            self.matched = self.matched.max(index);
            self.report_durable();
            return;
        }
        let complete = self.collect_chunk(index, last_term, offset, &bytes) && done;
        if complete && let Some(incoming) = self.incoming.take() {
            self.install(SnapshotRecord {
                index,
                term: last_term,
                members,
                state: incoming.bytes,
            });
        } else {
            let arrived = self.incoming.as_ref().map_or(0, |part| part.bytes.len());
            let body = MessageBody::SnapshotReply {
                index,
                offset: arrived as u64,
                round,
            };
            self.send_when_durable(from, body);
        }
    }

    /// Adds a chunk to the incoming snapshot; false when it does not follow the bytes received so
    /// far.
    fn collect_chunk(
        &mut self,
        index: LogIndex,
        term: TermNumber,
        offset: u64,
        bytes: &[u8],
    ) -> bool {
        let is_same = |part: &IncomingSnapshot| (part.index, part.term) == (index, term);
        if !self.incoming.as_ref().is_some_and(is_same) {
            self.incoming = None;
        }
        let incoming = self.incoming.get_or_insert_with(|| IncomingSnapshot {
            index,
            term,
            bytes: Vec::new(),
        });
        if incoming.bytes.len() as u64 != offset {
            return false;
        }
        incoming.bytes.extend_from_slice(bytes);
        true
    }

    /// Installs a snapshot of the leader. If the log holds the last entry of the snapshot, it keeps
    /// the `kept_entries` entries up to that one and all later ones; otherwise the snapshot
    /// replaces the whole log. The snapshot is applied once it is durable.
    fn install(&mut self, snapshot: SnapshotRecord) {
        self.persist_hard_once();
        let index = snapshot.index;
        let snapshot = Arc::new(snapshot);
        if self.log.term_at(index) == Some(snapshot.term) {
            self.log.compact(snapshot, self.settings.kept_entries);
            self.persist_all(LogIndex::MAX);
        } else {
            self.log.reset(snapshot);
            self.persist_all(0);
        }
        self.commit = index;
        self.matched = self.matched.max(index);
        self.requested_snapshot = None;
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: MemberKey,
        index: LogIndex,
        offset: u64,
        round: RoundNumber,
    ) {
        self.record_reply(from, round);
        let Some(peer) = self.peer(from) else {
            return;
        };
        let Some((sent, sent_offset)) = peer.snapshot else {
            return;
        };
        if sent != index {
            return;
        }
        peer.snapshot = Some((index, offset));
        if offset > sent_offset {
            self.send_snapshot(from);
        }
    }

    fn current_round(&self) -> RoundNumber {
        match &self.role {
            crate::core::ReplicaRole::Leader(state) => state.round,
            _ => 0,
        }
    }
}
