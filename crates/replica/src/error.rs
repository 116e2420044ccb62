//! Why a call is refused.

use derive_more::{Display, Error};

use crate::id::MemberKey;

/// Why a call is refused. A refused call has changed nothing.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another member leads, or none.
    #[display("this member does not lead")]
    NotLeader {
        /// The leader, if known.
        leader: Option<MemberKey>,
    },
    /// The leader is transferring its leadership.
    #[display("the leader is handing over")]
    TransferringLeadership,
    /// The log has too many uncommitted entries.
    #[display("too many entries wait for the quorum")]
    Congested,
    /// The data folder is full.
    #[display("the data folder is full")]
    StoreFull,
}

/// Result of calls on a replica.
pub type Result<T> = std::result::Result<T, ReplicaError>;
