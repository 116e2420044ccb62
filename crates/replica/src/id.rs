//! Ids of members, log positions and terms.

use serde::{Deserialize, Serialize};
use wire::id::InstanceId;

/// Position of an entry in the log, from 1. 0 is the position before the first entry.
pub type LogIndex = u64;
/// Number of a term. Each term has at most one leader.
pub type TermNumber = u64;
/// Random number stored with the data of a member. 0 is nobody's.
pub type MemberIdentity = u64;
/// Identity of the member that founded the log. 0 until a member belongs to a log.
pub type ClusterId = u64;
/// Number of a write, in order of issue.
pub type PersistNumber = u64;
/// Number of a leader's heartbeat round.
pub type RoundNumber = u64;
/// Random number of a round of probes.
pub type ProbeNumber = u64;
/// Chosen by the caller of a read.
pub type ReadTicket = u64;

/// One data folder of one instance. An instance whose folder was emptied is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberKey {
    /// The instance.
    pub instance: InstanceId,
    /// The data folder.
    pub identity: MemberIdentity,
}
