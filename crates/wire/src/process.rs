//! Messages between gateways about processes of endpoints whose software version is known, so that a
//! stream may go on there also after all gateways have restarted.

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, ServiceId, VersionId};

/// Largest number of processes in one message, which keeps it within
/// [`crate::gateway::MAX_DATAGRAM_BYTES`].
pub const MAX_MESSAGE_PROCESSES: usize = 20;

/// When a process of an endpoint started, as it states it. Two processes of one endpoint state
/// different ones.
pub type ProcessStart = u64;

/// A process of an endpoint, and its software version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the process started.
    pub start: ProcessStart,
    /// Its service.
    pub service: ServiceId,
    /// Its software version.
    pub version: VersionId,
    /// Time for which the process is known to have served, in milliseconds.
    pub served_ms: u32,
}

/// Asks for processes of a software version, or of any version if it names neither a version nor an
/// endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProcessQuery {
    /// The service.
    pub service: ServiceId,
    /// The software version; `None` if it is not known.
    pub version: Option<VersionId>,
    /// An endpoint whose process is asked for in the first place.
    pub endpoint: Option<EndpointId>,
}

/// A message about processes of endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessMessage {
    /// Processes whose version is known; at most [`MAX_MESSAGE_PROCESSES`].
    Known(Vec<ProcessRecord>),
    /// Asks for such processes.
    Query(ProcessQuery),
}
