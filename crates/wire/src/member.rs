//! Agents, entries and control: who is there and how loaded.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::answer::EndpointLoad;
use crate::id::{
    DomainId, EndpointId, IncarnationNumber, InstanceId, PrefixHash, ServiceId, SettingsVersion,
};

/// What an endpoint does with new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EndpointState {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes its work and takes none.
    Draining,
    /// Its agent finds it unusable.
    Down,
}

/// What is fixed for one life of an endpoint's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name in the settings.
    pub name: String,
    /// Life of its agent.
    pub incarnation: IncarnationNumber,
    /// Life of the endpoint's cache; changes when the endpoint restarts cold.
    pub cache_epoch: u64,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Name of the failure domain, for readers.
    pub domain_name: String,
    /// Where entries reach its agent.
    pub address: SocketAddr,
    /// Relative capacity.
    pub weight: u32,
}

/// Agent to control, about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentHeartbeat {
    /// Present on the first heartbeat of a connection and whenever it changes.
    pub record: Option<EndpointRecord>,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Life of the agent.
    pub incarnation: IncarnationNumber,
    /// Grows with every heartbeat of one incarnation.
    pub sequence: u64,
    /// What the endpoint does with new work.
    pub state: EndpointState,
    /// Load now.
    pub load: EndpointLoad,
    /// Settings in force at the agent.
    pub settings: SettingsVersion,
}

/// Entry to control, about once a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryHeartbeat {
    /// The entry instance.
    pub instance: InstanceId,
    /// Its name.
    pub name: String,
    /// Name of the failure domain that it runs in.
    pub domain_name: String,
    /// Life of the entry.
    pub incarnation: IncarnationNumber,
    /// Settings in force at the entry.
    pub settings: SettingsVersion,
}

/// State and load of one endpoint in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Life of its agent.
    pub incarnation: IncarnationNumber,
    /// What it does with new work.
    pub state: EndpointState,
    /// Load as last reported.
    pub load: EndpointLoad,
}

/// Mean load of one service in a digest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceMean {
    /// The service.
    pub service: ServiceId,
    /// Load of all serving endpoints together.
    pub load: u64,
    /// Serving endpoints, by weight.
    pub weight: u64,
    /// Endpoints that do not serve and may join again, by weight.
    pub absent: u64,
}

/// Control to entries and agents: who is there and how loaded, as a change since the last digest
/// on the same connection.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Records that are new or changed.
    pub records: Vec<EndpointRecord>,
    /// Endpoints that are gone.
    pub gone: Vec<EndpointId>,
    /// Loads that changed.
    pub loads: Vec<LoadSample>,
    /// Means of the services that changed.
    pub means: Vec<ServiceMean>,
}

/// Agent to entries, by way of control: prefixes that are warm at an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmDigest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Life of the endpoint's cache.
    pub cache_epoch: u64,
    /// Long prefixes shared by many chats, most used first.
    pub prefixes: Vec<PrefixHash>,
}
