//! One claimed request and the bounds of the table that keeps it.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, RecordedAnswer};
use wire::id::{EndpointId, FingerprintHash};

/// Longest idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;
/// Bytes of a record in a snapshot, without its key. The key may be stored twice: with the record
/// and in the list of keys with recorded answers.
const RECORD_OVERHEAD_BYTES: usize = 160;
/// Bytes of an expired key in a snapshot.
pub(crate) const EXPIRED_KEY_BYTES: usize = 40;

/// Bounds of the table. A full table fits into a snapshot together with the settings. The bounds
/// are part of the snapshot, so they are equal on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Total bytes of all records and expired keys, without the answers. New keys are refused
    /// beyond.
    pub key_bytes: usize,
    /// Total bytes of the recorded answers. Beyond, the oldest answers lose their headers and
    /// bodies.
    pub answer_bytes: usize,
    /// Bytes of one recorded answer. A larger one is recorded without its body, and without its
    /// headers if these alone are larger.
    pub max_answer_bytes: usize,
    /// Shortest retention. Longer than any deadline and than any frame can be in flight.
    pub min_retention: Duration,
    /// Longest retention.
    pub max_retention: Duration,
    /// Time after its retention for which a key is still refused as expired.
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

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The attempt holds the claim and may run.
    Held,
    /// The attempt ran.
    Ran(Option<RecordedAnswer>),
    /// The attempt may have run. The request is never run again.
    Unknown,
    /// The attempt did not run and never will. Another attempt may take the claim.
    Released,
}

/// One claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Fingerprint of the request. Another fingerprint under the same key is a conflict.
    pub fingerprint: FingerprintHash,
    /// The one attempt that may run.
    pub attempt: AttemptKey,
    /// The one endpoint that may run it.
    pub endpoint: EndpointId,
    /// State of the request.
    pub state: ClaimState,
    /// How long the record stays in its state. Restarts with every change of state.
    pub(crate) retention: Duration,
    /// When the record leaves its state without a command.
    pub(crate) due: Duration,
}

impl ClaimRecord {
    /// Bytes of the recorded answer; 0 without one.
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

/// Bytes of the record of a key in a snapshot.
pub(crate) fn record_bytes(claim: &ClaimKey) -> usize {
    RECORD_OVERHEAD_BYTES + 2 * claim.key.len()
}
