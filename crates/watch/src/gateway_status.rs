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
    /// Health of the endpoint: `sound`, `silent`, `left-out` or `leaving`.
    pub standing: String,
}

/// Status of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Version of the catalog in force; 0 for none.
    pub catalog: u64,
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
