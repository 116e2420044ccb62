//! Names, places and failure domains of the simulated engines and gateways.

use std::net::{Ipv4Addr, SocketAddrV4};

use wire::gateway::ListedEndpoint;
use wire::id::{DomainId, EndpointId, ServiceId, name_id};

use super::engine::SLOTS;
use super::size::FleetSize;

/// Number of other gateways that one round of heartbeats reaches. In larger fleets the gateways take
/// turns, and changes are not announced between rounds.
pub const ROUND_GATEWAYS: usize = 32;
/// Number of failure domains of fleets that are larger than a round.
const DOMAINS: usize = 5;
/// Name of the service of all calls.
const SERVICE: &str = "engines";

/// Id of the service of all calls.
pub fn service() -> ServiceId {
    name_id(SERVICE)
}

/// Entry of the endpoint list for an engine.
pub fn listed(engine: usize, size: FleetSize) -> ListedEndpoint {
    ListedEndpoint {
        name: format!("engine-{engine}"),
        service: SERVICE.to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::from_bits(0x0a00_0001 + engine as u32), 80),
        domain: domain_of(engine, size),
        slots: SLOTS as u16,
        is_draining: false,
        version: "v1".to_owned(),
    }
}

/// Index of the engine with this id.
pub fn engine_index(endpoints: &[EndpointId], endpoint: EndpointId) -> usize {
    let found = endpoints.iter().position(|id| *id == endpoint);
    found.expect("only these engines are listed")
}

/// Failure domain of a gateway or an engine.
pub fn domain_of(number: usize, size: FleetSize) -> DomainId {
    let has_domains = size.gateways > ROUND_GATEWAYS + 1;
    match has_domains {
        true => (number % DOMAINS) as DomainId,
        false => 0,
    }
}
