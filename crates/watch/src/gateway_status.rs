//! What a gateway knows, as operators see it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::millis;

/// One other gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Its link address.
    pub address: String,
    /// Version of the catalog that it obeys; 0 for none.
    pub catalog: u64,
    /// Whether it has a data folder.
    pub stores: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

/// One endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedEndpoint {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Requests that it holds, as far as this gateway knows.
    pub load: u32,
    /// `sound`, `silent`, `left-out` or `leaving`.
    pub standing: String,
}

/// What a gateway knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// Its name.
    pub name: String,
    /// Version of the catalog in force; 0 for none.
    pub catalog: u64,
    /// Whether it wants callers.
    pub is_ready: bool,
    /// Link address of the leader that it knows.
    pub leader: Option<String>,
    /// Whether it leads.
    pub is_leader: bool,
    /// Time since the latest reading of the list, or since the start without one.
    #[serde(rename = "list_age_ms", with = "millis")]
    pub list_age: Duration,
    /// Calls that are being served.
    pub calls: usize,
    /// The other live gateways.
    pub peers: Vec<PeerStatus>,
    /// The endpoints of the list.
    pub endpoints: Vec<PlacedEndpoint>,
}
