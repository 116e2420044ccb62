//! Status report of this gateway, for operators.

use relay::row::EndpointStanding;
use watch::gateway_status::{EvacuatedDomainStatus, GatewayEndpoint, GatewayStatus, PeerStatus};
use wire::gateway::{GatewayHeartbeat, StorageState, address_of};
use wire::id::InstanceId;

use crate::node::GatewayNode;

impl GatewayNode {
    /// The current status report.
    pub fn status(&self) -> GatewayStatus {
        let now = self.now();
        let quorum = self.quorum();
        let known = quorum.as_ref().and_then(|quorum| quorum.leader());
        let known = known.map(|(_, leader)| leader);
        let leader = known.or_else(|| self.directory.borrow().leader(now));
        let directory = self.directory.borrow();
        let peers = directory.live(now).map(|(id, heartbeat)| PeerStatus {
            evacuation_revision: directory.evacuation_revision(id),
            ..peer_status(id, heartbeat)
        });
        let spread = self.evacuations.borrow();
        let evacuations = spread.state();
        let evacuated = evacuations.domains.iter();
        let evacuated = evacuated.map(|domain| EvacuatedDomainStatus {
            domain: domain.name.clone(),
            since_unix_ms: domain.since_ms,
        });
        let table = self.relay_state.table.borrow();
        let mut endpoints: Vec<GatewayEndpoint> = table
            .rows()
            .map(|row| GatewayEndpoint {
                name: row.name.clone(),
                address: row.address.to_string(),
                load: row.load(now),
                standing: match row.is_evacuated {
                    true => "evacuated".to_owned(),
                    false => standing_label(row.standing(now)).to_owned(),
                },
            })
            .collect();
        endpoints.sort_by(|one, other| one.name.cmp(&other.name));
        GatewayStatus {
            name: self.settings.borrow().name.clone(),
            catalog: self.catalog_version(),
            evacuation_revision: evacuations.revision,
            evacuated: evacuated.collect(),
            is_ready: self.is_ready(),
            leader: leader.map(|leader| address_of(leader).to_string()),
            is_leader: quorum.is_some_and(|quorum| quorum.is_leader()),
            list_age: self.relay_state.list_age().unwrap_or(now),
            calls: self.relay_state.active_calls.get(),
            peers: peers.collect(),
            endpoints,
        }
    }
}

fn peer_status(id: InstanceId, heartbeat: &GatewayHeartbeat) -> PeerStatus {
    PeerStatus {
        address: address_of(id).to_string(),
        catalog: heartbeat.catalog,
        stores: heartbeat.storage != StorageState::None,
        is_leaving: heartbeat.is_leaving,
        evacuation_revision: 0,
    }
}

/// Label of an endpoint's standing in the status report.
fn standing_label(standing: Option<EndpointStanding>) -> &'static str {
    match standing {
        Some(EndpointStanding::Sound) => "sound",
        Some(EndpointStanding::Silent) => "silent",
        Some(EndpointStanding::LeftOut) => "left-out",
        None => "leaving",
    }
}
