//! Ids of members, log positions and terms.

use serde::{Deserialize, Serialize};
use wire::id::InstanceId;

/// Position of an entry in the log, from 1. 0 is the position before the first entry.
pub type LogIndex = u64;
/// Number of a term. Each term has at most one leader.
pub type TermNumber = u64;
/// Random number that identifies a data folder. 0 identifies none.
pub type MemberIdentity = u64;
/// Lowest bit of the identity of a data folder that was created at the first start of all
/// instances. It is kept in the identity, as the folder that a restarted instance finds must tell
/// whether an earlier folder of that instance may have taken part in the bootstrap.
const FOUNDING_BIT: MemberIdentity = 1;

/// The identity of a new data folder. `random` is a random number. Only a folder that is created at
/// the first start of all instances may take part in the bootstrap of a cluster: the folder before a
/// later one may have been lost after it took part.
pub fn new_identity(random: u64, is_first_start: bool) -> MemberIdentity {
    match is_first_start {
        true => random | FOUNDING_BIT,
        false => (random & !FOUNDING_BIT).max(2),
    }
}

/// Whether a data folder was created at the first start of all instances.
pub fn is_founding(identity: MemberIdentity) -> bool {
    identity & FOUNDING_BIT != 0
}

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
