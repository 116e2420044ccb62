//! The answer to `GET /operator/status`.

use serde::Serialize;
use watch::FleetStatus;
use wire::id::SettingsVersion;

use crate::node::ControlNode;
use crate::summary::QuorumSummary;

/// What a control instance knows about the fleet and the quorum.
#[derive(Clone, Debug, Serialize)]
pub struct StatusReply {
    /// Version of the settings.
    pub version: SettingsVersion,
    /// Instances, services and endpoints.
    #[serde(flatten)]
    pub fleet: FleetStatus,
    /// The control quorum.
    pub quorum: QuorumSummary,
}

impl StatusReply {
    /// What this instance knows.
    pub fn of(node: &ControlNode) -> Self {
        let fleet = node.fleet_status();
        Self {
            version: fleet.settings,
            fleet,
            quorum: node.summarize_quorum(),
        }
    }
}
