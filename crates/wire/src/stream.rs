//! Messages between gateways about the origins of streams, so that a stream goes on only at the
//! software version that began it, whichever gateway its caller returns to.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::codec;
use crate::id::{EndpointId, FingerprintHash, ServiceId, StreamId, VersionId};
use crate::process::ProcessStart;

/// Largest number of streams in one message, which keeps it within
/// [`crate::gateway::MAX_DATAGRAM_BYTES`].
pub const MAX_MESSAGE_STREAMS: usize = 24;

/// The service and the software version whose endpoint sent the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: ServiceId,
    /// The software version.
    pub version: VersionId,
}

/// Number of gateways that the sender has lately heard from, itself included.
pub type FleetSize = u32;

/// What a gateway knows of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginClaim {
    /// One service and version began the stream.
    Known(StreamOrigin),
    /// Streams of several origins have the same id, as when a caller uses an attempt id twice.
    Disputed,
    /// The stream has begun at an endpoint whose version is not certain yet. Older gateways drop
    /// messages with it.
    Unsettled,
    /// The stream has begun at an endpoint that was gone before its version was certain, so that it
    /// will not be known. Older gateways drop messages with it.
    Lost,
    /// The stream has begun at this process, whose version is not certain yet. Older gateways drop
    /// messages with it.
    Process(ProcessOrigin),
}

/// The process of an endpoint that sent the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessOrigin {
    /// The service.
    pub service: ServiceId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the process started, as it states it.
    pub start: ProcessStart,
}

/// Asks for the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The request that the stream answers.
    pub request: FingerprintHash,
    /// The stream; `None` for all streams of the request, if the caller does not name one.
    pub stream: Option<StreamId>,
}

/// Tells another gateway of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The request that the stream answers.
    pub request: FingerprintHash,
    /// The stream.
    pub stream: StreamId,
    /// Its origin.
    pub claim: OriginClaim,
    /// Time until the caller stops waiting and can't return, in milliseconds.
    pub lifetime_ms: u32,
}

/// Stands for a notice in its confirmation: a hash of its stream and claim.
pub type NoticeDigest = u32;

impl OriginNotice {
    /// The digest of the notice, the same whenever it is told again.
    pub fn digest(&self) -> NoticeDigest {
        let told = codec::encode_state(&(self.request, self.stream, self.claim));
        xxh3_64(&told.unwrap_or_default()) as NoticeDigest
    }
}

/// Largest number of signs in a notice of restarts, which keeps it within
/// [`crate::gateway::MAX_DATAGRAM_BYTES`].
pub const MAX_RESTART_SIGNS: usize = 60;

/// A sign that an endpoint may have restarted: a refused, broken or silent connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartSign {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Time since the sign was seen, in milliseconds.
    pub age_ms: u32,
}

/// Tells another gateway of signs of restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestartNotice {
    /// Time for which the signs are all that the sender has seen, in milliseconds; 0 for single
    /// signs.
    pub watched_ms: u32,
    /// The signs; at most [`MAX_RESTART_SIGNS`].
    pub signs: Vec<RestartSign>,
}

/// A message about origins of streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamMessage {
    /// Origins of streams; at most [`MAX_MESSAGE_STREAMS`]. Also the answer to [`Self::Query`].
    Origins(Vec<OriginNotice>),
    /// Asks for the origin of a stream.
    Query(OriginQuery),
    /// The sender was asked this and knows no such stream.
    Unknown(OriginQuery),
    /// The sender was asked this and knows exactly these streams, at most [`MAX_MESSAGE_STREAMS`].
    /// Its records are complete.
    AllOrigins(OriginQuery, Vec<OriginNotice>),
    /// The sender, whose records are complete, has told the receiver all streams that the receiver
    /// is a keeper of.
    Told(FleetSize),
    /// Like [`Self::Origins`], and the receiver confirms it. Sent to gateways that have confirmed one
    /// before, or did not confirm what they were told by [`Self::Origins`]. Older gateways drop it.
    Tracked(Vec<OriginNotice>),
    /// The sender has received these notices by [`Self::Tracked`].
    Held(Vec<NoticeDigest>),
}
