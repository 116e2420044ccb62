//! Consensus on the control log, with the Raft algorithm.
//!
//! [`ReplicaCore`] is a state machine that owns no clock, socket, thread or file. The caller feeds
//! it time, messages and finished writes, and carries out the [`ReplicaAction`]s that it returns.
//!
//! * [`core`]: the state of one member and its entry points.
//! * [`id`]: ids of members, log positions and terms.
//! * [`member`]: the voters and their quorums.
//! * [`log`]: the log of one member.
//! * [`record`]: records that a member stores on disk.
//! * [`message`]: messages between members.
//! * [`status`]: the status of a member for operators.
//! * [`action`]: actions that the caller must carry out.
//! * [`settings`]: timeouts and limits.
//! * [`error`]: why a call is refused.
//!
//! The other modules implement the parts of [`ReplicaCore`]: receiving, the bootstrap of a cluster,
//! elections, the leader's and the follower's side of replication, changes of the voters,
//! snapshots, writes and invariants.

pub mod action;
pub mod core;
pub mod error;
pub mod id;
pub mod log;
pub mod member;
pub mod message;
pub mod record;
pub mod settings;
pub mod status;

mod bootstrap;
mod election;
mod follow;
mod lead;
mod persist;
mod progress;
mod receive;
mod reconfigure;
mod snapshot;
mod verify;

pub use action::ReplicaAction;
pub use core::ReplicaCore;
pub use error::{ReplicaError, Result};
pub use id::MemberKey;
pub use log::{EntryPayload, LogEntry};
pub use member::{MemberSet, VoterChange};
pub use message::{MessageBody, ReplicaMessage};
pub use record::{
    AppendRecord, HardState, PersistBatch, PersistOperation, RecoveredState, SnapshotRecord,
};
pub use settings::ReplicaSettings;
pub use status::{ReplicaStatus, RoleKind};
