//! Messages between gateways: membership, endpoint lists and catalogs.
//!
//! Small messages are sent as datagrams, which a stalled connection can't delay; larger ones are
//! sent over links.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use crate::id::{DomainId, EndpointId, FingerprintHash, IncarnationNumber, InstanceId, ServiceId};
use crate::process::ProcessMessage;
use crate::statement::LimitMessage;
use crate::stream::{RestartNotice, StreamMessage};
use crate::version_record::VersionRecord;

/// Largest payload of a datagram in bytes; below the usual MTU, so that datagrams are not
/// fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

/// Largest number of known gateways in a heartbeat. The three limits on a heartbeat's lists keep it
/// within [`MAX_DATAGRAM_BYTES`].
pub const MAX_KNOWN_GATEWAYS: usize = 40;
/// Largest number of endpoint loads in a heartbeat.
pub const MAX_LOADS: usize = 40;
/// Largest number of crash reports in a heartbeat.
pub const MAX_CRASHES: usize = 12;
/// Largest number of crashes in a crash notice. This and the following limit keep it within
/// [`MAX_DATAGRAM_BYTES`].
pub const MAX_NOTICE_CRASHES: usize = 16;
/// Largest number of requests in a crash notice, over all its crashes.
pub const MAX_NOTICE_REQUESTS: usize = 50;
/// Largest number of served requests in a crash notice.
pub const MAX_NOTICE_SERVED: usize = 8;
/// Largest number of client accounts in an account notice, which then takes at most 410 bytes. The
/// largest accounts are those that may have to be limited.
pub const MAX_NOTICE_ACCOUNTS: usize = 24;

/// Returns the id of a gateway, which encodes its link address, so that a gateway can be reached by
/// its id alone.
pub fn instance_at(address: SocketAddrV4) -> InstanceId {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// Returns the link address that the id of a gateway encodes.
pub fn address_of(instance: InstanceId) -> SocketAddrV4 {
    let port = (instance & 0xffff) as u16;
    let ip = Ipv4Addr::from_bits((instance >> 16) as u32);
    SocketAddrV4::new(ip, port)
}

/// Heartbeat that a gateway sends to all others several times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayHeartbeat {
    /// Incarnation of the sender.
    pub incarnation: IncarnationNumber,
    /// The sender's failure domain.
    pub domain: DomainId,
    /// State of its durable storage.
    pub storage: StorageState,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Version of the catalog in force there; 0 for none.
    pub catalog: u64,
    /// Term and id of the quorum's leader, if known.
    pub leader: Option<(u64, InstanceId)>,
    /// Gateways from which it has recently received a heartbeat; at most [`MAX_KNOWN_GATEWAYS`].
    pub known: Vec<InstanceId>,
    /// Number of its own running requests by endpoint, for the [`MAX_LOADS`] most loaded.
    pub loads: Vec<(EndpointId, u16)>,
    /// Empty. Earlier builds announced crashes here; now a [`CrashNotice`] does.
    pub crashes: Vec<CrashReport>,
}

/// State of a gateway's durable storage, which holds its replica of the quorum's log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StorageState {
    /// It has no data folder.
    #[default]
    None,
    /// Its data folder belongs to no log yet, and it may bootstrap a new one.
    Bootstrapping,
    /// Its data folder belongs to no log yet, and it waits to join an existing one.
    Joining,
    /// Its data folder belongs to a log.
    Formed,
}

/// Identifies a crash of an endpoint. Random, chosen by the gateway that found the endpoint down.
pub type CrashId = u64;

/// A crash of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// Id of the crash.
    pub id: CrashId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time since the endpoint was found down, in milliseconds.
    pub age_ms: u32,
    /// Requests that were sent to the endpoint before that and lost; in a notice of parts, the
    /// parts of their prompts.
    pub requests: Vec<FingerprintHash>,
}

/// A request, or a part of prompts in a notice of parts, that an endpoint answered whole, and which
/// therefore does not crash each endpoint that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedRequest {
    /// The request.
    pub fingerprint: FingerprintHash,
    /// Time since the end of the answer, in milliseconds.
    pub age_ms: u32,
}

/// Tells other gateways of crashes of endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The crashes; at most [`MAX_NOTICE_CRASHES`].
    pub crashes: Vec<EndpointCrash>,
    /// Requests that were counted in crashes and have been served; at most [`MAX_NOTICE_SERVED`].
    pub served: Vec<ServedRequest>,
}

/// Calls of a client account at one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountCount {
    /// Hash of the account's name.
    pub account: u64,
    /// Its calls that are running or queued at endpoints.
    pub running: u16,
    /// Its calls that were refused for lack of a slot in about the last second.
    pub refused: u16,
}

/// Tells other gateways of the calls by client account at the sender, while a service is short of
/// slots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountNotice {
    /// The service.
    pub service: ServiceId,
    /// Whether calls lately found no free slot at the sender, not only at others.
    pub is_short: bool,
    /// The accounts with the most calls; at most [`MAX_NOTICE_ACCOUNTS`].
    pub accounts: Vec<AccountCount>,
}

/// A request that was running at an endpoint when the endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: FingerprintHash,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// An endpoint in the platform's endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name of the endpoint; usually changes when the endpoint restarts.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address of its HTTP server.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: DomainId,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it accepts no new requests.
    pub is_draining: bool,
    /// Version of its software, not of the weights of its models.
    pub version: String,
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

/// Identifies one read of the platform's endpoint list. Later reads by the same gateway compare
/// greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReadingKey {
    /// Incarnation of the gateway that read the list.
    pub incarnation: IncarnationNumber,
    /// Sequence number of the read within that incarnation.
    pub number: u64,
}

/// Announces the sender's latest read of the endpoint list: the list's digest and its latest
/// change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListNotice {
    /// The read.
    pub reading: ReadingKey,
    /// Digest of the list.
    pub digest: u64,
    /// Digest of the list before its latest change; 0 when the change is not included.
    pub base_digest: u64,
    /// Endpoints that were added or changed.
    pub changed: Vec<ListedEndpoint>,
    /// Endpoints that were removed.
    pub removed: Vec<EndpointId>,
}

/// Age of a reading of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAge {
    /// Digest of the list.
    pub digest: u64,
    /// Time since the reading began, in milliseconds.
    pub age_ms: u32,
}

/// An endpoint in the lists of earlier gateways, which do not know software versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionlessEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address of its HTTP server.
    pub address: SocketAddrV4,
    /// Failure domain.
    pub domain: DomainId,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Whether it accepts no new requests.
    pub is_draining: bool,
}

/// The [`ListNotice`] of earlier gateways.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionlessNotice {
    /// The read.
    pub reading: ReadingKey,
    /// Digest of the list.
    pub digest: u64,
    /// Digest of the list before its latest change.
    pub base_digest: u64,
    /// Endpoints that were added or changed.
    pub changed: Vec<VersionlessEndpoint>,
    /// Endpoints that were removed.
    pub removed: Vec<EndpointId>,
}

/// A failure domain that is evacuated: no calls are sent to its endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedDomain {
    /// Name of the failure domain.
    pub name: String,
    /// When the evacuation was ordered, in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// Number of changes so far, counted in the order of the quorum's log.
    pub revision: u64,
    /// The evacuated domains, sorted by name.
    pub domains: Vec<EvacuatedDomain>,
}

/// What an operator orders for a failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationAction {
    /// Evacuate the domain.
    Begin,
    /// Revoke the evacuation.
    Finish,
}

/// An operator's order to evacuate a failure domain, or to revoke the evacuation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// Name of the failure domain.
    pub domain: String,
    /// What is ordered.
    pub action: EvacuationAction,
    /// When a gateway received the order, in milliseconds since the Unix epoch. For display only.
    pub at_ms: u64,
}

/// Announces the evacuations that the sender obeys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNotice {
    /// Revision of the sender's [`EvacuationState`].
    pub revision: u64,
    /// Its domains; `None` if they do not fit into a datagram.
    pub domains: Option<Vec<EvacuatedDomain>>,
}

/// Largest number of endpoints in a [`ColdListNotice`], which keeps it within
/// [`MAX_DATAGRAM_BYTES`].
pub const MAX_COLD_ENDPOINTS: usize = 64;

/// How much longer endpoints are cold after a start, by a read of the endpoint list. Endpoints that are
/// not cold are included only if the reader took them for cold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdListNotice {
    /// Time since the list was read, in milliseconds.
    pub age_ms: u32,
    /// The endpoints with the remaining time in milliseconds when the list was read; at most
    /// [`MAX_COLD_ENDPOINTS`].
    pub endpoints: Vec<(EndpointId, u32)>,
}

/// Payload of a datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// A heartbeat.
    Heartbeat(Box<GatewayHeartbeat>),
    /// From earlier gateways only, and ignored: a list without software versions can't be used.
    VersionlessList(VersionlessNotice),
    /// An encoded message of the consensus protocol.
    Replica(Vec<u8>),
    /// Crashes of endpoints, with the requests that were lost in them.
    Crashes(CrashNotice),
    /// Crashes of endpoints, with the parts of the prompts that were lost in them: the hashes stand
    /// for parts. Older gateways ignore it.
    PartCrashes(CrashNotice),
    /// Announcement of the sender's latest read of the endpoint list. Older gateways ignore it and
    /// read the list themselves.
    List(ListNotice),
    /// A message about origins of streams. Older gateways ignore it.
    Stream(StreamMessage),
    /// A message about limits that endpoints name. Older gateways ignore it.
    Limit(LimitMessage),
    /// The evacuations that the sender obeys. Older gateways ignore it.
    Evacuations(EvacuationNotice),
    /// The cold endpoints of the sender's latest read of the endpoint list. Older gateways ignore
    /// it.
    ColdList(ColdListNotice),
    /// Signs that endpoints may have restarted. Older gateways ignore it.
    Restarts(RestartNotice),
    /// When the reading of the preceding [`Self::List`] began. Older gateways ignore it.
    ListAge(ListAge),
    /// A part of the quorum's record of software versions. Older gateways ignore it.
    Versions(VersionRecord),
    /// Calls by client account, while a service is short of slots. Older gateways ignore it.
    Accounts(AccountNotice),
    /// Asks for what a gateway is told that has become live, as the sender may have missed messages.
    /// Older gateways ignore it.
    CatchUp,
    /// A message about processes of endpoints whose version is known. Older gateways ignore it.
    Processes(ProcessMessage),
}

/// A catalog in the operator's text form, compressed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogText {
    /// Its version; 0 for none.
    pub version: u64,
    /// The text as received from the operator, compressed with deflate.
    pub compressed: Vec<u8>,
}

/// Request from one gateway to another over a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayRequest {
    /// To the leader: replace the catalog by this one.
    Replace(CatalogText),
    /// To the leader: return the latest catalog, confirmed by a quorum.
    ReadLatest,
    /// Return the catalog, if the receiver has a later version than this.
    FetchAbove(u64),
    /// Return the whole endpoint list in force at the receiver, which has announced it by a
    /// [`GatewayDatagram::List`].
    FetchList,
    /// Take over this catalog, which is committed by a quorum.
    Install(CatalogText),
    /// A message of the consensus protocol that is too large for a datagram.
    Replica(Vec<u8>),
    /// To the leader: carry out this order.
    Evacuate(EvacuationOrder),
    /// Return the evacuations, if the receiver has a later revision than this.
    FetchEvacuations(u64),
    /// To the leader: return the record of software versions, confirmed by a quorum.
    ReadVersions,
}

/// The answer to a [`GatewayRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatewayReply {
    /// The request is done, now or by an earlier resend.
    Done,
    /// A catalog; version 0 when there is none.
    Catalog(CatalogText),
    /// An endpoint list.
    List(Vec<ListedEndpoint>),
    /// The receiver is not the leader; carries the leader's id, if known.
    NotLeader(Option<InstanceId>),
    /// No quorum answered in time.
    NoQuorum,
    /// The evacuations; revision 0 when there is none, or none later than asked for.
    Evacuations(EvacuationState),
    /// The record of software versions.
    Versions(VersionRecord),
}
