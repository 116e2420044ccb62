//! Status of the control quorum for operators.

use serde::Serialize;
use wire::id::{InstanceId, name_id};

use crate::node::ControlNode;

/// Status of the control quorum from the view of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QuorumSummary {
    /// Name of this instance.
    pub instance: String,
    /// Its role: joining, follower, candidate or leader.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// Name of the leader that it knows.
    pub leader: Option<String>,
    /// The voters.
    pub voters: Vec<VoterSummary>,
    /// Whether a voter is being replaced.
    pub replacing: bool,
    /// Index of the last log entry that it holds.
    pub last_index: u64,
    /// Index of the last log entry that it knows to be committed.
    pub committed: u64,
    /// Index of the last log entry that it applied.
    pub applied: u64,
    /// Whether a quorum has confirmed recently that the applied state is the latest.
    pub confirmed: bool,
}

/// One voter of the control quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VoterSummary {
    /// Name of the instance.
    pub instance: String,
    /// Random number of its data folder, in hexadecimal. An instance with a new data folder is a
    /// new member.
    pub folder: String,
}

impl ControlNode {
    /// Status of the control quorum from the view of this instance.
    pub fn summarize_quorum(&self) -> QuorumSummary {
        let status = self.quorum.status();
        let voters = status.members.voters.iter();
        QuorumSummary {
            instance: self.settings.instance.name.clone(),
            role: format!("{:?}", status.role).to_lowercase(),
            term: status.term,
            leader: status
                .leader
                .map(|leader| self.instance_name(leader.instance)),
            voters: voters
                .map(|voter| VoterSummary {
                    instance: self.instance_name(voter.instance),
                    folder: format!("{:016x}", voter.identity),
                })
                .collect(),
            replacing: status.members.is_joint(),
            last_index: status.last_index,
            committed: status.commit,
            applied: status.applied,
            confirmed: self.quorum.is_confirmed(),
        }
    }

    fn instance_name(&self, instance: InstanceId) -> String {
        let own = &self.settings.instance.name;
        let peers = self.settings.peers.iter().map(|peer| &peer.name);
        let mut names = peers.chain([own]);
        let found = names.find(|name| name_id(name) == instance);
        found.map_or_else(|| format!("{instance:016x}"), Clone::clone)
    }
}
