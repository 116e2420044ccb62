//! The log of one member.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{LogIndex, TermNumber};
use crate::member::MemberSet;
use crate::record::{RecoveredState, SnapshotRecord};

/// Estimated size of an entry in a message without its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing; every leader starts its term with such an entry.
    Empty,
    /// A command of the state machine.
    Command(Vec<u8>),
    /// The voters from this entry on.
    Members(MemberSet),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that appended it.
    pub term: TermNumber,
    /// The content.
    pub payload: EntryPayload,
}

/// The entries that a member holds, and its latest snapshot, which covers the dropped ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplicaLog {
    /// Index and term of the entry before the first one in `entries`.
    start: (LogIndex, TermNumber),
    /// Contiguous from `start` on; terms never decrease.
    entries: Vec<LogEntry>,
    /// Every set of voters in the snapshot and the entries, oldest first, with its index.
    members: Vec<(LogIndex, MemberSet)>,
    /// The latest snapshot. Its index is at or after `start`.
    snapshot: Option<Arc<SnapshotRecord>>,
}

impl ReplicaLog {
    pub(crate) fn recover(recovered: RecoveredState) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = recovered.snapshot {
            log.reset(snapshot);
        }
        let mut entries = recovered.entries;
        if let Some(first) = entries.first()
            && first.index <= log.start.0
        {
            let covered = log.start.0 - first.index;
            let same = entries.get(covered as usize).map(|entry| entry.term);
            if same == Some(log.start.1) {
                entries.drain(..=covered as usize);
            } else {
                entries.clear();
            }
        }
        for entry in entries {
            log.append(entry);
        }
        log
    }

    pub(crate) fn start_index(&self) -> LogIndex {
        self.start.0
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        self.start.0 + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> TermNumber {
        self.entries.last().map_or(self.start.1, |entry| entry.term)
    }

    /// The term of the entry at `index`, if it is known.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.start.0 {
            return Some(self.start.1);
        }
        self.entry(index).map(|entry| entry.term)
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.start.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// The first index of the run of equal terms that contains `index`.
    pub(crate) fn term_start(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.start.0 + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Entries from `first` on, until they reach `limit` bytes; at least one if there is one.
    pub(crate) fn slice(&self, first: LogIndex, limit: usize) -> Vec<LogEntry> {
        let skipped = (first - self.start.0 - 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            let fits = bytes < limit;
            bytes += entry_bytes(entry);
            fits
        };
        let entries = self.entries.iter().skip(skipped);
        entries.take_while(fits).cloned().collect()
    }

    pub(crate) fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1, "log has a gap");
        debug_assert!(entry.term >= self.last_term(), "term decreases");
        if let EntryPayload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.entries.push(entry);
    }

    /// Removes the entries from `first` on.
    pub(crate) fn truncate(&mut self, first: LogIndex) {
        debug_assert!(first > self.start.0, "snapshot can't be truncated");
        self.entries.truncate((first - self.start.0 - 1) as usize);
        self.members.retain(|(index, _)| *index < first);
    }

    /// The voters as of the last entry, and the index of the entry that set them.
    pub(crate) fn members(&self) -> (LogIndex, &MemberSet) {
        static NO_MEMBERS: MemberSet = MemberSet {
            voters: Vec::new(),
            outgoing: Vec::new(),
        };
        let last = self.members.last();
        last.map_or((0, &NO_MEMBERS), |(index, set)| (*index, set))
    }

    /// The voters as of `index`.
    pub(crate) fn members_at(&self, index: LogIndex) -> MemberSet {
        let mut known = self.members.iter().rev();
        let latest = known.find(|(position, _)| *position <= index);
        latest.map(|(_, set)| set.clone()).unwrap_or_default()
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<SnapshotRecord>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn reset(&mut self, snapshot: Arc<SnapshotRecord>) {
        self.start = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.members = vec![(snapshot.index, snapshot.members.clone())];
        self.snapshot = Some(snapshot);
    }

    /// Stores a snapshot whose last entry is in the log. Of the entries that it covers, keeps only
    /// the last `kept`.
    pub(crate) fn compact(&mut self, snapshot: Arc<SnapshotRecord>, kept: u64) {
        let new_start = snapshot.index.saturating_sub(kept).max(self.start.0);
        let term = self.term_at(new_start).unwrap_or(self.start.1);
        self.entries.drain(..(new_start - self.start.0) as usize);
        self.start = (new_start, term);
        let current = self.members_at(new_start);
        self.members.retain(|(index, _)| *index > new_start);
        if !current.voters.is_empty() {
            self.members.insert(0, (new_start, current));
        }
        self.snapshot = Some(snapshot);
    }

    pub(crate) fn entries(&self) -> &[LogEntry] {
        &self.entries
    }
}

/// Estimated size of an entry in a message or on disk. Sets of voters are not counted.
pub(crate) fn entry_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(bytes) => bytes.len() + ENTRY_OVERHEAD_BYTES,
        EntryPayload::Empty | EntryPayload::Members(_) => ENTRY_OVERHEAD_BYTES,
    }
}
