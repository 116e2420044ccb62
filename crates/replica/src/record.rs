//! What a member keeps on disk.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{ClusterId, LogIndex, MemberKey, PersistNumber, TermNumber};
use crate::log::LogEntry;
use crate::member::MemberSet;

/// What a member must never forget besides its entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The log that this member belongs to.
    pub cluster: ClusterId,
    /// Latest term that it has seen. Never falls.
    pub term: TermNumber,
    /// Whom it voted for in that term. Set at most once a term.
    pub vote: Option<MemberKey>,
}

/// The state machine after an entry, in place of all entries up to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The last entry that it contains.
    pub index: LogIndex,
    /// Term of that entry.
    pub term: TermNumber,
    /// The voters as of that entry.
    pub members: MemberSet,
    /// The state machine, encoded by its owner.
    pub state: Vec<u8>,
}

/// What is added to the log in one write, whole or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRecord {
    /// The hard state from here on.
    pub hard: HardState,
    /// Entries from this index on are removed first.
    pub truncate_from: Option<LogIndex>,
    /// Entries to add, contiguous with what is kept.
    pub entries: Vec<LogEntry>,
}

/// One durable change of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PersistOperation {
    /// Adds to the log.
    Append(AppendRecord),
    /// Replaces snapshot and log.
    Replace {
        /// The hard state from here on.
        hard: HardState,
        /// The new snapshot.
        snapshot: Arc<SnapshotRecord>,
        /// All entries that stay. They may begin before the end of the snapshot.
        entries: Vec<LogEntry>,
    },
}

/// An order to the store with its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PersistBatch {
    /// Reported back when the order is durable. Orders are carried out in order of number.
    pub number: PersistNumber,
    /// What to write.
    pub operation: PersistOperation,
}

/// What a member finds on its disk when it starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The last durable hard state.
    pub hard: HardState,
    /// The last durable snapshot.
    pub snapshot: Option<Arc<SnapshotRecord>>,
    /// The durable entries, contiguous; they may begin before the end of the snapshot.
    pub entries: Vec<LogEntry>,
}
