//! Membership and load messages between agents, entries and control.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::answer::EndpointLoad;
use crate::id::{
    DomainId, EndpointId, IncarnationNumber, InstanceId, PrefixHash, ServiceId, SettingsVersion,
};

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Finishes its running requests and accepts no new ones.
    Draining,
    /// Unusable, according to its agent.
    Down,
}

/// Description of an endpoint and of the present incarnation of its agent. Changes rarely.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name in the settings.
    pub name: String,
    /// Incarnation of its agent.
    pub incarnation: IncarnationNumber,
    /// Epoch of the endpoint's prefix cache; changes when the endpoint restarts with an empty cache.
    pub cache_epoch: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Name of the failure domain, for display.
    pub domain_name: String,
    /// Address at which entries connect to its agent.
    pub address: SocketAddr,
    /// Relative capacity.
    pub weight: u32,
}

/// Heartbeat of an agent to control, about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Present on the first heartbeat of a connection and whenever it changes.
    pub record: Option<EndpointRecord>,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of the agent.
    pub incarnation: IncarnationNumber,
    /// Sequence number, increasing with every heartbeat of an incarnation.
    pub sequence: u64,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Present load.
    pub load: EndpointLoad,
    /// Settings version in force at the agent.
    pub settings: SettingsVersion,
}

/// Heartbeat of an entry to control, about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// The entry instance.
    pub instance: InstanceId,
    /// Its name.
    pub name: String,
    /// Name of the failure domain that it runs in.
    pub domain_name: String,
    /// Incarnation of the entry.
    pub incarnation: IncarnationNumber,
    /// Settings version in force at the entry.
    pub settings: SettingsVersion,
}

/// State and load of one endpoint in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Incarnation of its agent.
    pub incarnation: IncarnationNumber,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Last reported load.
    pub load: EndpointLoad,
}

/// Mean load of one service in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceMean {
    /// The service.
    pub service: ServiceId,
    /// Total load of the serving endpoints.
    pub load: u64,
    /// Total weight of the serving endpoints.
    pub weight: u64,
    /// Total weight of the endpoints that are not serving and may return.
    pub absent: u64,
}

/// Control to entries and agents: changes of membership and load since the previous digest on the
/// same connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// New or changed endpoint records.
    pub records: Vec<EndpointRecord>,
    /// Removed endpoints.
    pub gone: Vec<EndpointId>,
    /// Changed loads.
    pub loads: Vec<LoadSample>,
    /// Changed means of services.
    pub means: Vec<ServiceMean>,
}

/// Agent to entries, forwarded by control: prefixes in the prefix cache of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmDigest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Epoch of the endpoint's prefix cache.
    pub cache_epoch: u64,
    /// Long prefixes that many chats share, most used first.
    pub prefixes: Vec<PrefixHash>,
}
