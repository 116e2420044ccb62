//! What the caller must do.

use std::sync::Arc;

use crate::id::{LogIndex, ReadTicket};
use crate::log::LogEntry;
use crate::message::ReplicaMessage;
use crate::record::{PersistBatch, SnapshotRecord};

/// What the caller must do, in the order in which the actions are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message; it may be lost.
    Send(ReplicaMessage),
    /// Write durably, then report the number with `persisted`.
    Persist(PersistBatch),
    /// Replace the state machine by a snapshot.
    Restore(Arc<SnapshotRecord>),
    /// Apply a committed entry to the state machine.
    Apply(LogEntry),
    /// Encode the state machine, which has applied this entry, and call `snapshot_taken`.
    TakeSnapshot(LogIndex),
    /// A quorum confirmed the leader after the read began, and all earlier entries are applied.
    ReadConfirmed(ReadTicket),
    /// The leader lost its place before the read was confirmed.
    ReadFailed(ReadTicket),
    /// The role or the known leader changed.
    RoleChanged,
}
