//! Ids of members, log positions and terms.

use serde::{Deserialize, Serialize};
use wire::id::InstanceId;

/// Position of an entry in the log, from 1. 0 is the position before the first entry.
pub type LogIndex = u64;
/// Number of a term. Each term has at most one leader.
pub type TermNumber = u64;
/// Random number that identifies a data folder. 0 identifies none.
pub type MemberIdentity = u64;
/// Identity of the member that bootstrapped the cluster. 0 for a member that belongs to none.
pub type ClusterId = u64;
/// Number of a write, in order of issue.
pub type PersistNumber = u64;
/// Number of a leader's heartbeat round.
pub type RoundNumber = u64;
/// Random number of a round of probes.
pub type ProbeNumber = u64;
/// Id of a read, chosen by the caller.
pub type ReadTicket = u64;

/// A member: one data folder on one instance. An instance whose data folder was emptied is a new
/// member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberKey {
    /// The instance.
    pub instance: InstanceId,
    /// The data folder.
    pub identity: MemberIdentity,
}
