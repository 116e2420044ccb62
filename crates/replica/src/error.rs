//! Why a call is refused.

use derive_more::{Display, Error};

use crate::id::MemberKey;

/// Why a call is refused. A refused call has changed nothing.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another member leads, or none.
    #[display("this member does not lead")]
    NotLeader {
        /// Who leads, if that is known.
        leader: Option<MemberKey>,
    },
    /// The leader is handing over.
    #[display("the leader is handing over")]
    TransferringLeadership,
    /// Too many entries wait for the quorum.
    #[display("too many entries wait for the quorum")]
    Congested,
    /// The data folder takes no more data.
    #[display("the data folder is full")]
    StoreFull,
}

/// Result of calls on a replica.
pub type Result<T> = std::result::Result<T, ReplicaError>;
