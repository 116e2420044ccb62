//! Actions that the caller must carry out.

use std::sync::Arc;

use crate::id::{LogIndex, ReadTicket};
use crate::log::LogEntry;
use crate::message::ReplicaMessage;
use crate::record::{PersistBatch, SnapshotRecord};

/// An action that the caller must carry out. Actions are carried out in the order in which they are
/// returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaAction {
    /// Send a message; it may be lost.
    Send(ReplicaMessage),
    /// Write durably, then report the number with [`persisted`](crate::ReplicaCore::persisted).
    Persist(PersistBatch),
    /// Replace the state machine by a snapshot.
    Restore(Arc<SnapshotRecord>),
    /// Apply a committed entry to the state machine.
    Apply(LogEntry),
    /// Encode the state machine as of this entry, the last applied one, and call
    /// [`snapshot_taken`](crate::ReplicaCore::snapshot_taken).
    TakeSnapshot(LogIndex),
    /// A quorum confirmed the leader after the read began, and all entries committed before the
    /// read are applied.
    ReadConfirmed(ReadTicket),
    /// This member lost the leadership before the read was confirmed.
    ReadFailed(ReadTicket),
    /// The role or the known leader changed.
    RoleChanged,
    /// The cluster of this member can never have a leader, as too many of its first voters belong
    /// to other clusters. The data folder holds nothing that was committed; the caller may empty it
    /// and start again as a new member.
    Abandon,
}
