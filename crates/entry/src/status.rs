//! The state of the fleet as known to this entry, for its status page.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use route::RouteTable;
use settings::FleetSettings;
use watch::InstanceRole;
use watch::status::{EndpointStatus, FleetStatus, InstanceStatus, ServiceStatus};
use wire::id::{ServiceId, name_id};

use crate::core::EntryCore;

/// Number of decisions that the status page shows.
const MAX_SHOWN_DECISIONS: usize = 30;

/// The state of the fleet as known to this entry.
pub fn fleet_status(core: &EntryCore) -> FleetStatus {
    let fleet = core.fleet.load();
    let instance = &core.settings.instance;
    let selector = core.selector.lock();
    let means = service_means(&selector.table);
    FleetStatus {
        instance: instance.name.clone(),
        role: InstanceRole::Entry,
        time: SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default(),
        leader: None,
        term: 0,
        settings: fleet.version,
        instances: vec![InstanceStatus {
            name: instance.name.clone(),
            role: InstanceRole::Entry,
            domain: instance.failure_domain.clone(),
            settings: fleet.version,
            silence: Duration::ZERO,
        }],
        services: service_rows(core, &fleet, &means),
        endpoints: endpoint_rows(&selector.table, &fleet, &means),
        decisions: core
            .decisions()
            .last_decisions(MAX_SHOWN_DECISIONS)
            .into_iter()
            .cloned()
            .collect(),
    }
}

/// Mean load of the known endpoints per unit of weight, by service.
fn service_means(table: &RouteTable) -> BTreeMap<ServiceId, f64> {
    let mut sums: BTreeMap<ServiceId, (f64, f64)> = BTreeMap::new();
    for record in table.records() {
        let load = f64::from(table.load(record.endpoint).unwrap_or_default());
        let sum = sums.entry(record.service).or_default();
        sum.0 += load;
        sum.1 += f64::from(record.weight);
    }
    let means = sums
        .into_iter()
        .map(|(service, (load, weight))| (service, load / weight.max(1.0)));
    means.collect()
}

fn service_rows(
    core: &EntryCore,
    fleet: &FleetSettings,
    means: &BTreeMap<ServiceId, f64>,
) -> Vec<ServiceStatus> {
    let rows = fleet.services.iter().map(|(name, service)| {
        let tokens = core.metrics.prefix_tokens(name);
        ServiceStatus {
            name: name.clone(),
            mean_load: means.get(&name_id(name)).copied().unwrap_or_default(),
            load_bound: service.policy.load_bound,
            prompt_tokens: tokens.prompt,
            cached_tokens: tokens.cached,
        }
    });
    rows.collect()
}

fn endpoint_rows(
    table: &RouteTable,
    fleet: &FleetSettings,
    means: &BTreeMap<ServiceId, f64>,
) -> Vec<EndpointStatus> {
    let rows = table.records().iter().map(|record| {
        let mean = means.get(&record.service).copied().unwrap_or_default();
        let load = table.reported_load(record.endpoint).unwrap_or_default();
        let expected = mean * f64::from(record.weight);
        let service = fleet
            .services
            .keys()
            .find(|name| name_id(name) == record.service);
        EndpointStatus {
            name: record.name.clone(),
            service: service.cloned().unwrap_or_default(),
            domain: record.domain_name.clone(),
            state: table.state(record.endpoint).unwrap_or_default(),
            load,
            load_over_mean: if expected > 0.0 {
                f64::from(load.total()) / expected
            } else {
                0.0
            },
        }
    });
    rows.collect()
}
