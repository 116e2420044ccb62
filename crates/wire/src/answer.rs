//! Entry and agent: a request and its answer stream.

use std::time::Duration;

use bytes::Bytes;
use fault::{Fault, RunOutcome};
use serde::{Deserialize, Serialize};

use crate::id::{
    AccountId, AttemptNumber, FingerprintHash, IncarnationNumber, ModelId, PrefixHash, RequestId,
    ServiceId,
};

/// Names one attempt of one request. Every frame of an answer stream carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1. A later attempt supersedes every earlier one.
    pub attempt: AttemptNumber,
}

/// One HTTP header, passed through.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Lower-case name.
    pub name: String,
    /// Value; only visible ASCII is passed through.
    pub value: String,
}

/// Priority class of a request, highest first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ClassKind {
    /// Somebody's safety depends on the answer.
    Urgent,
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// Nobody waits.
    Batch,
}

/// Entry to agent: run this request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// The attempt to run.
    pub key: AttemptKey,
    /// Who pays.
    pub account: AccountId,
    /// Service that the endpoint must belong to.
    pub service: ServiceId,
    /// Model, when the service is a model service.
    pub model: Option<ModelId>,
    /// Priority class.
    pub class: ClassKind,
    /// Whether a second execution is harmless.
    pub idempotent: bool,
    /// Idempotency key of the caller, for a non-idempotent request that was claimed.
    pub claim: Option<String>,
    /// Equal for equal work.
    pub fingerprint: FingerprintHash,
    /// Chained hashes of the prompt's blocks, shortest prefix first.
    pub prefixes: Vec<PrefixHash>,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Agents that have refused this request before.
    pub hops: u8,
    /// HTTP method.
    pub method: String,
    /// Path and query at the endpoint.
    pub path: String,
    /// Headers for the endpoint.
    pub headers: Vec<HeaderField>,
    /// Body for the endpoint.
    pub body: Bytes,
}

/// Load of one endpoint, in requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests that the endpoint is running.
    pub running: u32,
    /// Requests that wait at the agent.
    pub queued: u32,
}

impl EndpointLoad {
    /// Requests running and waiting.
    pub fn total(self) -> u32 {
        self.running + self.queued
    }
}

/// Agent to entry: the attempt was admitted and will run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmitNotice {
    /// The attempt.
    pub key: AttemptKey,
    /// Load of the endpoint after the admission.
    pub load: EndpointLoad,
    /// Life of the agent that admitted it.
    pub incarnation: IncarnationNumber,
}

/// Agent to entry: the attempt has not run and never will, or failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefuseNotice {
    /// The attempt.
    pub key: AttemptKey,
    /// Why, with the outcome in its kind.
    pub fault: Fault,
    /// Load of the endpoint at the refusal.
    pub load: EndpointLoad,
}

/// Agent to entry: head of the endpoint's answer. Sent before any chunk.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The attempt.
    pub key: AttemptKey,
    /// HTTP status of the endpoint.
    pub status: u16,
    /// Headers of the endpoint.
    pub headers: Vec<HeaderField>,
    /// Prompt tokens found in the endpoint's prefix cache.
    pub cached_tokens: u32,
    /// Time that the request waited at the agent.
    pub queue_wait: Duration,
}

/// Agent to entry: bytes of the answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerChunk {
    /// The attempt.
    pub key: AttemptKey,
    /// Position of the first byte in the answer.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// Agent to entry: the answer is complete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// The attempt.
    pub key: AttemptKey,
    /// Total bytes of the answer.
    pub length: u64,
    /// CRC-32 of all bytes of the answer.
    pub checksum: u32,
    /// Outcome. `Ran` unless the endpoint failed midway.
    pub outcome: RunOutcome,
    /// Load of the endpoint after the end.
    pub load: EndpointLoad,
}

/// Entry to agent: all bytes before `offset` have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AckNotice {
    /// The attempt.
    pub key: AttemptKey,
    /// Position of the first byte that has not arrived.
    pub offset: u64,
}

/// Entry to agent: stop the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    pub key: AttemptKey,
}

/// Entry to agent: continue the answer on this connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// Whether the head has arrived.
    pub has_head: bool,
    /// Position of the first byte that has not arrived.
    pub offset: u64,
}
