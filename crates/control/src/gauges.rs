//! The metrics of a control instance, updated when they are scraped.

use fault::FaultKind;
use watch::control::ReplicaSample;
use watch::{FleetStatus, InstanceRole};

use crate::node::ControlNode;

/// [`crate::summary::QuorumSummary::role`] of the leader.
const LEADER_ROLE: &str = "leader";

impl ControlNode {
    /// All metrics as Prometheus text.
    ///
    /// # Errors
    /// [`FaultKind::Internal`] when a metric family can't be encoded.
    pub fn expose_metrics(&self) -> fault::Result<String> {
        let quorum = self.summarize_quorum();
        self.metrics.set_replica(ReplicaSample {
            term: quorum.term,
            is_leader: quorum.role == LEADER_ROLE,
            commit: quorum.committed,
            pending_entries: quorum.last_index.saturating_sub(quorum.committed),
        });
        self.set_fleet_gauges(&self.fleet_status());
        let text = self.metrics.process.expose();
        text.map_err(|error| FaultKind::Internal.because(error.to_string()))
    }

    fn set_fleet_gauges(&self, fleet: &FleetStatus) {
        let count = |role: InstanceRole| {
            let found = fleet.instances.iter();
            found.filter(|instance| instance.role == role).count()
        };
        self.metrics
            .set_members(count(InstanceRole::Entry), count(InstanceRole::Agent));
        for service in &fleet.services {
            let endpoints = fleet.endpoints.iter();
            let ratios = endpoints
                .filter(|endpoint| endpoint.service == service.name)
                .map(|endpoint| endpoint.load_over_mean);
            let busiest = ratios.fold(0.0, f64::max);
            self.metrics.set_load_over_mean(&service.name, busiest);
        }
    }
}
