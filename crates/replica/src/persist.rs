//! Writes to the data folder, and the messages that must wait for them.

use std::collections::VecDeque;

use crate::action::ReplicaAction;
use crate::core::{ReplicaCore, ReplicaRole};
use crate::id::{LogIndex, MemberKey, PersistNumber};
use crate::log::{LogEntry, entry_bytes};
use crate::message::{MessageBody, ReplicaMessage};
use crate::record::{AppendRecord, HardState, PersistBatch, PersistOperation};

/// A write that is not yet known to be durable.
#[derive(Clone, Debug)]
struct PendingWrite {
    number: PersistNumber,
    hard: HardState,
    /// Last entry of the log after the write.
    last_index: LogIndex,
    /// Last entry that the write left unchanged.
    unchanged_index: LogIndex,
}

/// The writes in flight, and the state that is durable whether or not they complete.
#[derive(Clone, Debug)]
pub(crate) struct PersistQueue {
    /// Number of the last write issued.
    issued: PersistNumber,
    pending: VecDeque<PendingWrite>,
    /// Durable hard state.
    pub(crate) hard: HardState,
    /// The log is durable up to this entry, and no write in flight changes that part of it.
    pub(crate) index: LogIndex,
}

impl PersistQueue {
    pub(crate) fn recovered(hard: HardState, index: LogIndex) -> Self {
        Self {
            issued: 0,
            pending: VecDeque::new(),
            hard,
            index,
        }
    }

    fn issue(
        &mut self,
        hard: HardState,
        unchanged_index: LogIndex,
        last_index: LogIndex,
    ) -> PersistNumber {
        self.issued += 1;
        self.index = self.index.min(unchanged_index);
        self.pending.push_back(PendingWrite {
            number: self.issued,
            hard,
            last_index,
            unchanged_index,
        });
        self.issued
    }

    fn finish(&mut self, number: PersistNumber) {
        while let Some(write) = self.pending.front()
            && write.number <= number
        {
            self.hard = write.hard;
            let unchanged = self
                .pending
                .iter()
                .skip(1)
                .map(|later| later.unchanged_index);
            let limit = unchanged.min().unwrap_or(LogIndex::MAX);
            self.index = write.last_index.min(limit);
            self.pending.pop_front();
        }
    }
}

impl ReplicaCore {
    /// Reports that every write up to `number` is durable.
    pub fn persisted(&mut self, number: PersistNumber) {
        debug_assert!(
            number <= self.persist_queue.issued,
            "write was never issued"
        );
        self.persist_queue.finish(number);
        while let Some((after, _)) = self.deferred.front()
            && *after <= number
        {
            if let Some((_, message)) = self.deferred.pop_front() {
                self.release(message);
            }
        }
        self.count_own_vote();
        match self.role {
            ReplicaRole::Leader(_) => self.advance_commit(),
            _ => self.report_durable(),
        }
        self.apply_committed();
    }

    /// Issues a write of the hard state.
    pub(crate) fn persist_hard(&mut self) {
        self.persist_entries(None, Vec::new());
    }

    /// Issues a write of entries that the log already has. `truncate_from` is the first entry that
    /// the write removes.
    pub(crate) fn persist_entries(
        &mut self,
        truncate_from: Option<LogIndex>,
        entries: Vec<LogEntry>,
    ) {
        let unchanged_index = truncate_from.map_or(LogIndex::MAX, |first| first - 1);
        let record = AppendRecord {
            hard: self.hard,
            truncate_from,
            entries,
        };
        self.issue(unchanged_index, PersistOperation::Append(record));
    }

    /// Issues a write of the snapshot and the whole log. Entries up to `unchanged_index` are the
    /// same as before.
    pub(crate) fn persist_all(&mut self, unchanged_index: LogIndex) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let operation = PersistOperation::Replace {
            hard: self.hard,
            snapshot,
            entries: self.log.entries().to_vec(),
        };
        self.issue(unchanged_index, operation);
    }

    fn issue(&mut self, unchanged_index: LogIndex, operation: PersistOperation) {
        let last_index = self.log.last_index();
        let number = self
            .persist_queue
            .issue(self.hard, unchanged_index, last_index);
        let batch = PersistBatch { number, operation };
        self.actions.push(ReplicaAction::Persist(batch));
    }

    /// Sends a message once the current hard state is durable.
    pub(crate) fn send_when_durable(&mut self, to: MemberKey, body: MessageBody) {
        if self.persist_queue.hard != self.hard {
            self.persist_hard_once();
            let message = self.message(to.instance, to.identity, body);
            self.deferred
                .push_back((self.persist_queue.issued, message));
        } else {
            self.send(to, body);
        }
    }

    /// Issues a write of the hard state unless the latest write already contains it.
    pub(crate) fn persist_hard_once(&mut self) {
        let last = self.persist_queue.pending.back();
        if last.map_or(self.persist_queue.hard, |write| write.hard) != self.hard {
            self.persist_hard();
        }
    }

    /// Sends a deferred message unless a later term has begun.
    fn release(&mut self, message: ReplicaMessage) {
        if message.term == self.hard.term {
            self.check_durable(&message);
            self.actions.push(ReplicaAction::Send(message));
        }
    }

    /// Checks that a message promises only what is durable, so that a crash can't revoke it.
    ///
    /// # Panics
    /// When it promises more.
    pub(crate) fn check_durable(&self, message: &ReplicaMessage) {
        let durable = &self.persist_queue;
        let promised = match &message.body {
            MessageBody::AppendReply { index, .. } => *index <= durable.index,
            MessageBody::VoteReply { granted: true } => durable.hard.vote == Some(key_of(message)),
            MessageBody::Vote { .. } => durable.hard.vote == Some(self.own),
            _ => return,
        };
        let same_term = durable.hard.term == message.term;
        assert!(
            promised && same_term,
            "message sent before its write is durable: {message:?}"
        );
    }

    /// Applies the committed entries that are durable on this member.
    pub(crate) fn apply_committed(&mut self) {
        let end = self.commit.min(self.persist_queue.index);
        if self.applied < self.log.snapshot_index() && end >= self.log.snapshot_index() {
            self.restore_snapshot();
        }
        while self.applied < end {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                break;
            };
            let entry = entry.clone();
            self.applied += 1;
            self.applied_bytes += entry_bytes(&entry);
            self.actions.push(ReplicaAction::Apply(entry));
        }
        self.confirm_reads();
        self.request_snapshot_if_due();
    }

    fn restore_snapshot(&mut self) {
        if let Some(snapshot) = self.log.snapshot().cloned() {
            self.applied = snapshot.index;
            self.requested_snapshot = None;
            self.applied_bytes = 0;
            self.actions.push(ReplicaAction::Restore(snapshot));
        }
    }
}

fn key_of(message: &ReplicaMessage) -> MemberKey {
    MemberKey {
        instance: message.to,
        identity: message.identity,
    }
}
