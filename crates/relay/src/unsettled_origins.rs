//! Streams that began at an endpoint whose software version was not certain, and whose origin is
//! settled once it is.
//!
//! Load pattern: endpoints crash one after the other, so that many streams begin shortly after a
//! sign of a restart. A caller that loses such a stream returns when the list has long stated which
//! process sent its events; without this table, the origin stays unknown once the stream has ended.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use wire::id::{EndpointId, FingerprintHash, ServiceId, StreamId, VersionId};
use wire::process::ProcessStart;

/// Largest number of streams. Further ones are not settled after their end.
const MAX_STREAMS: usize = 8 * 1024;

/// A stream whose origin is not settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnsettledStream {
    /// The request that the stream answers.
    pub request: FingerprintHash,
    /// The stream.
    pub stream: StreamId,
    /// Service of the endpoint that began it.
    pub service: ServiceId,
    /// The endpoint that began it.
    pub endpoint: EndpointId,
    /// Address of that endpoint.
    pub address: SocketAddrV4,
    /// When the process that began it started, if that process stated it.
    pub process_start: Option<ProcessStart>,
    /// Its software version in the list when the stream began.
    pub listed_version: VersionId,
    /// When the endpoint accepted the connection on which it began.
    pub accepted_at: Duration,
    /// Time for which its caller waits.
    pub caller_timeout: Option<Duration>,
    /// When its caller has stopped waiting.
    pub expires_at: Duration,
}

/// The process that began a stream whose origin is not settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnsettledProcess {
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// The service of that.
    pub service: ServiceId,
    /// When it started, if it stated that.
    pub start: Option<ProcessStart>,
}

impl UnsettledStream {
    /// The process that began the stream.
    pub fn process(&self) -> UnsettledProcess {
        UnsettledProcess {
            endpoint: self.endpoint,
            service: self.service,
            start: self.process_start,
        }
    }
}

/// What has become known of the process that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFinding {
    /// Its software version.
    Version(VersionId),
    /// Nothing yet.
    Open,
    /// Its version will not be known.
    Lost(LostCause),
}

/// Why the version of the process that began a stream will not be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LostCause {
    /// Its endpoint has left the list, or has another address there.
    NotListed,
    /// The list states another version for its endpoint than when the stream began.
    OtherVersion,
    /// Its endpoint states another start than the process that began the stream.
    OtherProcess,
    /// After a sign of a restart, its endpoint was reached only on connections that it accepted later
    /// than that of the stream.
    LaterConnection,
}

impl LostCause {
    /// Label for the log.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotListed => "not-listed",
            Self::OtherVersion => "other-version",
            Self::OtherProcess => "other-process",
            Self::LaterConnection => "later-connection",
        }
    }
}

/// What has become of streams whose origin was not settled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginSettlement {
    /// Those whose version has become known.
    pub settled: Vec<(UnsettledStream, VersionId)>,
    /// Those whose version will not be known.
    pub lost: Vec<(UnsettledStream, LostCause)>,
}

/// The streams whose origin is not settled.
#[derive(Clone, Debug, Default)]
pub struct UnsettledOrigins {
    streams: HashMap<(FingerprintHash, StreamId), UnsettledStream>,
}

impl UnsettledOrigins {
    /// Number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Adds a stream.
    pub fn add(&mut self, now: Duration, stream: UnsettledStream) {
        if self.streams.len() >= MAX_STREAMS {
            self.streams.retain(|_, stream| now < stream.expires_at);
        }
        if self.streams.len() < MAX_STREAMS {
            let key = (stream.request, stream.stream);
            self.streams.insert(key, stream);
        }
    }

    /// The processes that began the streams whose callers still wait.
    pub fn processes(&self, now: Duration) -> BTreeSet<UnsettledProcess> {
        let streams = self.streams.values();
        let waiting = streams.filter(|stream| now < stream.expires_at);
        waiting.map(UnsettledStream::process).collect()
    }

    /// Removes a stream that was settled while it ran.
    pub fn remove(&mut self, request: FingerprintHash, stream: StreamId) {
        self.streams.remove(&(request, stream));
    }

    /// Removes the streams whose version has become known, has expired, or will not be known.
    pub fn settle(
        &mut self,
        now: Duration,
        find: impl Fn(&UnsettledStream) -> ProcessFinding,
    ) -> OriginSettlement {
        let mut settlement = OriginSettlement::default();
        self.streams.retain(|_, stream| match find(stream) {
            ProcessFinding::Version(version) => {
                settlement.settled.push((*stream, version));
                false
            }
            ProcessFinding::Open => now < stream.expires_at,
            ProcessFinding::Lost(cause) => {
                settlement.lost.push((*stream, cause));
                false
            }
        });
        settlement
    }
}
