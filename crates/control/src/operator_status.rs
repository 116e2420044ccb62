//! What this instance knows about the fleet, for operators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use settings::FleetSettings;
use watch::status::{EndpointStatus, InstanceStatus, ServiceStatus};
use watch::{FleetStatus, InstanceRole};
use wire::id::{ServiceId, SettingsVersion, name_id};
use wire::member::{AgentHeartbeat, ServiceMean};

use crate::node::ControlNode;
use crate::summary::QuorumSummary;

/// The answer to `GET /operator/status`.
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
    /// What this instance knows under these settings.
    pub fn new(node: &ControlNode, fleet: &FleetSettings) -> Self {
        Self {
            version: fleet.version,
            fleet: fleet_status(node, fleet),
            quorum: node.summarize_quorum(),
        }
    }
}

/// The fleet as this instance sees it.
pub fn fleet_status(node: &ControlNode, fleet: &FleetSettings) -> FleetStatus {
    let quorum = node.summarize_quorum();
    let means = node.digest().means;
    let means: BTreeMap<ServiceId, ServiceMean> =
        means.into_iter().map(|mean| (mean.service, mean)).collect();
    FleetStatus {
        instance: quorum.instance,
        role: InstanceRole::Control,
        time: wall_clock(),
        leader: quorum.leader,
        term: quorum.term,
        settings: fleet.version,
        instances: instances(node, fleet),
        services: services(fleet, &means),
        endpoints: endpoints(node, fleet, &means),
        decisions: Vec::new(),
    }
}

/// This instance, then the entries and agents.
fn instances(node: &ControlNode, fleet: &FleetSettings) -> Vec<InstanceStatus> {
    let own = InstanceStatus {
        name: node.settings.instance.name.clone(),
        role: InstanceRole::Control,
        domain: node.settings.instance.failure_domain.clone(),
        settings: fleet.version,
        silence: Duration::ZERO,
    };
    let others = node.presence.borrow_mut().instances(Instant::now());
    [own].into_iter().chain(others).collect()
}

fn services(fleet: &FleetSettings, means: &BTreeMap<ServiceId, ServiceMean>) -> Vec<ServiceStatus> {
    let services = fleet.services.iter();
    services
        .map(|(name, service)| ServiceStatus {
            name: name.clone(),
            mean_load: means.get(&name_id(name)).map_or(0.0, mean_load),
            load_bound: service.policy.load_bound,
            ..ServiceStatus::default()
        })
        .collect()
}

fn endpoints(
    node: &ControlNode,
    fleet: &FleetSettings,
    means: &BTreeMap<ServiceId, ServiceMean>,
) -> Vec<EndpointStatus> {
    let beats = node.endpoints.borrow();
    let mut found: Vec<EndpointStatus> = beats
        .values()
        .filter_map(|beat| endpoint(beat, fleet, means))
        .collect();
    found.sort_by(|left, right| (&left.service, &left.name).cmp(&(&right.service, &right.name)));
    found
}

fn endpoint(
    beat: &AgentHeartbeat,
    fleet: &FleetSettings,
    means: &BTreeMap<ServiceId, ServiceMean>,
) -> Option<EndpointStatus> {
    let record = beat.record.as_ref()?;
    let mut services = fleet.services.keys();
    let service = services.find(|name| name_id(name) == record.service);
    let share = means.get(&record.service).map_or(0.0, mean_load) * f64::from(record.weight);
    let load = f64::from(beat.load.total());
    Some(EndpointStatus {
        name: record.name.clone(),
        service: service.cloned().unwrap_or_default(),
        domain: String::new(),
        state: beat.state,
        load: beat.load,
        load_over_mean: if share > 0.0 { load / share } else { 0.0 },
    })
}

/// Mean load of the serving endpoints for a weight of 1.
fn mean_load(mean: &ServiceMean) -> f64 {
    if mean.weight == 0 {
        return 0.0;
    }
    mean.load as f64 / mean.weight as f64
}

fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
