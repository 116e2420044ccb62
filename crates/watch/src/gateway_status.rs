//! Status of a gateway, as shown to operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::millis;

/// Another gateway, as known to this one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its link address.
    pub address: String,
    /// Version of the catalog in force there; 0 for none.
    pub catalog: u64,
    /// Whether it has a data folder.
    pub stores: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Revision of the evacuations that it obeys, as it last announced; 0 for none. A gateway
    /// announces it to each other in turn, so it may be some seconds old in a large fleet.
    #[serde(default)]
    pub evacuation_revision: u64,
}

/// A failure domain to which no calls are sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedDomainStatus {
    /// Its name.
    pub domain: String,
    /// When the evacuation was ordered, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// An endpoint of the endpoint list, as known to this gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEndpoint {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Requests in progress there, as far as this gateway knows.
    pub load: u32,
    /// Health of the endpoint: `sound`, `silent`, `left-out`, `leaving` or `evacuated`.
    pub standing: String,
}

/// Status of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Version of the catalog in force; 0 for none.
    pub catalog: u64,
    /// Revision of the evacuations that it obeys; 0 for none.
    #[serde(default)]
    pub evacuation_revision: u64,
    /// The evacuated failure domains.
    #[serde(default)]
    pub evacuated: Vec<EvacuatedDomainStatus>,
    /// Whether its readiness check succeeds.
    pub is_ready: bool,
    /// Link address of the leader, if known.
    pub leader: Option<String>,
    /// Whether it is the leader.
    pub is_leader: bool,
    /// Time since the endpoint list was last read, or since the start if it was never read.
    #[serde(rename = "list_age_ms", with = "millis")]
    pub list_age: Duration,
    /// Calls that are being served.
    pub calls: usize,
    /// The other live gateways.
    pub peers: Vec<PeerStatus>,
    /// The endpoints of the list.
    pub endpoints: Vec<GatewayEndpoint>,
}
