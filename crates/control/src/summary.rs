//! The control quorum as operators see it.

use serde::Serialize;
use wire::id::{InstanceId, name_id};

use crate::node::ControlNode;

/// The control quorum as one instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct QuorumSummary {
    /// This instance.
    pub instance: String,
    /// Its role: joining, follower, candidate or leader.
    pub role: String,
    /// Its term.
    pub term: u64,
    /// The leader that it knows.
    pub leader: Option<String>,
    /// The voters, each with the number of its data folder.
    pub voters: Vec<VoterSummary>,
    /// Whether a replacement of a voter is under way.
    pub replacing: bool,
    /// Last entry that it holds.
    pub last_index: u64,
    /// Last entry that it knows to be committed.
    pub committed: u64,
    /// Last entry that it applied.
    pub applied: u64,
    /// Whether a quorum confirmed recently that this is the latest state.
    pub confirmed: bool,
}

/// One voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct VoterSummary {
    /// The instance.
    pub instance: String,
    /// Number of its data folder, in hexadecimal. Another number is another member.
    pub folder: String,
}

impl ControlNode {
    /// The control quorum as this instance sees it.
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
