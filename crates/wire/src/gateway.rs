//! Gateways among each other: who is there, what they list and share.
//!
//! Small messages travel as datagrams, which a connection that fell silent can't hold up; bodies
//! of any size travel over links.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, EndpointId, FingerprintHash, IncarnationNumber, InstanceId, ServiceId};

/// Largest payload of one datagram in bytes, below the usual size of a packet.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Gateways that one heartbeat names at most. With the next two, the largest heartbeat fits into a
/// datagram.
pub const MAX_NAMED: usize = 40;
/// Endpoints that one heartbeat tells the load of at most.
pub const MAX_LOADS: usize = 40;
/// Crash reports in one heartbeat at most.
pub const MAX_CRASHES: usize = 12;

/// The id of a gateway: its link address, so that an id alone tells where to reach it.
pub fn instance_at(address: SocketAddrV4) -> InstanceId {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// The link address that an id stands for.
pub fn address_of(instance: InstanceId) -> SocketAddrV4 {
    let port = (instance & 0xffff) as u16;
    let ip = Ipv4Addr::from_bits((instance >> 16) as u32);
    SocketAddrV4::new(ip, port)
}

/// What one gateway tells all others several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayBeat {
    /// Which life of the sender.
    pub incarnation: IncarnationNumber,
    /// The sender's failure domain.
    pub domain: DomainId,
    /// What it stores for the fleet.
    pub storage: StorageState,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Version of the catalog that it obeys; 0 for none.
    pub catalog: u64,
    /// The leader of the quorum that it knows, with its term.
    pub leader: Option<(u64, InstanceId)>,
    /// Gateways that it heard lately; at most [`MAX_NAMED`].
    pub known: Vec<InstanceId>,
    /// Its own running requests, by endpoint; the most loaded [`MAX_LOADS`].
    pub loads: Vec<(EndpointId, u16)>,
    /// Requests that were running at an endpoint when it broke off; at most [`MAX_CRASHES`].
    pub crashes: Vec<CrashReport>,
}

/// What a gateway stores for the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StorageState {
    /// It has no data folder.
    #[default]
    None,
    /// It has one, which belongs to no log yet and may found one.
    Founding,
    /// It has one, which belongs to no log yet and waits for one.
    Joining,
    /// It has one that belongs to a log.
    Formed,
}

/// A request that was running at an endpoint when that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: FingerprintHash,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// One endpoint of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name of the endpoint, new with most of its starts.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address of its HTTP server.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u16,
    /// Whether it takes no new work.
    pub is_draining: bool,
}

impl ListedEndpoint {
    /// The endpoint's id.
    pub fn id(&self) -> EndpointId {
        crate::id::name_id(&self.name)
    }

    /// The id of its service.
    pub fn service_id(&self) -> ServiceId {
        crate::id::name_id(&self.service)
    }
}

/// Identifies one reading of the platform's list. Later readings of one reader are greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReadingKey {
    /// Life of the reader.
    pub incarnation: IncarnationNumber,
    /// Number of the reading in that life.
    pub number: u64,
}

/// What a reader tells of its latest reading: its digest, and the change that led there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNotice {
    /// The reading.
    pub reading: ReadingKey,
    /// Digest of the list.
    pub digest: u64,
    /// Digest of the list before its latest change; 0 when the change is not told.
    pub since: u64,
    /// Endpoints that came or changed.
    pub changed: Vec<ListedEndpoint>,
    /// Endpoints that left.
    pub left: Vec<EndpointId>,
}

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// A heartbeat.
    Beat(Box<GatewayBeat>),
    /// The latest reading of the list.
    List(ListNotice),
    /// An encoded message of the consensus.
    Replica(Vec<u8>),
}

/// A catalog as the operator sent it, compressed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogText {
    /// Its version; 0 for none.
    pub version: u64,
    /// The operator's bytes, compressed by deflate.
    pub packed: Vec<u8>,
}

/// What one gateway asks of another over a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayAsk {
    /// To the leader: make this catalog the newest.
    Replace(CatalogText),
    /// To the leader: the newest catalog, confirmed by a quorum.
    ReadLatest,
    /// A catalog above this version, if the receiver has one.
    FetchAbove(u64),
    /// The whole list that the receiver obeys.
    FetchList,
    /// A catalog that a quorum holds.
    Install(CatalogText),
    /// A message of the consensus that is too large for a datagram.
    Replica(Vec<u8>),
}

/// The answer to a [`GatewayAsk`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayReply {
    /// Done, or done before.
    Done,
    /// A catalog; version 0 when there is none.
    Catalog(CatalogText),
    /// A list of endpoints.
    List(Vec<ListedEndpoint>),
    /// The receiver does not lead; it may know who does.
    NotLeader(Option<InstanceId>),
    /// No quorum answered in time.
    NoQuorum,
}
