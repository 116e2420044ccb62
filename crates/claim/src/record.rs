//! One claimed request and the bounds of the table that keeps it.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, RecordedAnswer};
use wire::id::{EndpointId, FingerprintHash};

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Bytes that a record takes in a snapshot beside its key, which may stand there twice.
const RECORD_OVERHEAD_BYTES: usize = 160;
/// Bytes that a spent key takes in a snapshot.
pub(crate) const EXPIRED_KEY_BYTES: usize = 40;

/// Bounds of the table, such that it fits into a snapshot together with the settings. Equal at every replica: they travel with the snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Bytes of all keys kept, spent ones included. New keys are refused beyond.
    pub key_bytes: usize,
    /// Bytes of recorded answers together. The oldest bodies are dropped beyond.
    pub answer_bytes: usize,
    /// Bytes of one recorded answer. A larger one is recorded without its body.
    pub max_answer_bytes: usize,
    /// Shortest retention; outlives every deadline and every frame on its way.
    pub min_retention: Duration,
    /// Longest retention.
    pub max_retention: Duration,
    /// Time for which a key is refused as expired after its retention.
    pub expired_retention: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            key_bytes: 6 * 1024 * 1024,
            answer_bytes: 4 * 1024 * 1024,
            max_answer_bytes: 1024 * 1024 + 64 * 1024,
            min_retention: Duration::from_secs(10 * 60),
            max_retention: Duration::from_secs(366 * 24 * 60 * 60),
            expired_retention: Duration::from_secs(24 * 60 * 60),
        }
    }
}

/// How far a claimed request has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The attempt may run.
    Held,
    /// The attempt ran.
    Ran(Option<RecordedAnswer>),
    /// The attempt may have run. It is never repeated.
    Unknown,
    /// The attempt did not run and never will; another one may.
    Released,
}

/// One claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The work; another one under the same key is a conflict.
    pub fingerprint: FingerprintHash,
    /// The one attempt that may run.
    pub attempt: AttemptKey,
    /// The one endpoint that may run it.
    pub endpoint: EndpointId,
    /// How far it has come.
    pub state: ClaimState,
    /// How long the record is kept after its last change of state.
    pub(crate) retention: Duration,
    /// When the record leaves its state by itself.
    pub(crate) due: Duration,
}

impl ClaimRecord {
    /// Bytes of the recorded answer.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            ClaimState::Ran(Some(answer)) => answer_bytes(answer),
            _ => 0,
        }
    }
}

/// Bytes of an answer's headers and body.
pub(crate) fn answer_bytes(answer: &RecordedAnswer) -> usize {
    let headers = answer.headers.iter();
    let header_bytes: usize = headers.map(|h| h.name.len() + h.value.len()).sum();
    header_bytes + answer.body.as_ref().map_or(0, Bytes::len)
}

/// Bytes that the record of a key takes in a snapshot.
pub(crate) fn record_bytes(claim: &ClaimKey) -> usize {
    RECORD_OVERHEAD_BYTES + 2 * claim.key.len()
}
