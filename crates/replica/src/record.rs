//! Records that a member stores on disk.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{ClusterId, LogIndex, MemberKey, PersistNumber, TermNumber};
use crate::log::LogEntry;
use crate::member::MemberSet;

/// State besides the log that a member must not lose in a crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The cluster that this member belongs to.
    pub cluster: ClusterId,
    /// Latest term that it has seen. Never decreases.
    pub term: TermNumber,
    /// The member that it voted for in that term. Set at most once per term.
    pub vote: Option<MemberKey>,
}

/// The state machine as of an entry. Replaces all entries up to that one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: TermNumber,
    /// The voters as of that entry.
    pub members: MemberSet,
    /// The state machine, encoded by its owner.
    pub state: Vec<u8>,
}

/// One atomic change of the hard state and the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRecord {
    /// The hard state after the change.
    pub hard: HardState,
    /// Entries from this index on are removed first.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append, contiguous with the remaining ones.
    pub entries: Vec<LogEntry>,
}

/// One durable change of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PersistOperation {
    /// Appends to the log.
    Append(AppendRecord),
    /// Replaces the snapshot and the log.
    Replace {
        /// The hard state after the replacement.
        hard: HardState,
        /// The new snapshot.
        snapshot: Arc<SnapshotRecord>,
        /// All entries of the new log. They may begin before the end of the snapshot.
        entries: Vec<LogEntry>,
    },
}

/// An operation for the store, with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistBatch {
    /// Reported back when the operation is durable. Operations are carried out in ascending order
    /// of their numbers.
    pub number: PersistNumber,
    /// What to write.
    pub operation: PersistOperation,
}

/// State that a member recovers from its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The last durable hard state.
    pub hard: HardState,
    /// The last durable snapshot.
    pub snapshot: Option<Arc<SnapshotRecord>>,
    /// The durable entries, contiguous; they may begin before the end of the snapshot.
    pub entries: Vec<LogEntry>,
}
