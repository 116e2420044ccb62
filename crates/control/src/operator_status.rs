//! The answer to `GET /operator/status`.

use serde::Serialize;
use watch::FleetStatus;
use wire::id::SettingsVersion;

use crate::node::ControlNode;
use crate::summary::QuorumSummary;

/// Status of the fleet and the quorum from the view of one control instance.
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
    /// The status from the view of `node`.
    pub fn of(node: &ControlNode) -> Self {
        let fleet = node.fleet_status();
        Self {
            version: fleet.settings,
            fleet,
            quorum: node.summarize_quorum(),
        }
    }
}
