//! Requests and answer streams between entry and agent.

use std::time::Duration;

use bytes::Bytes;
use fault::{Fault, RunOutcome};
use serde::{Deserialize, Serialize};

use crate::id::{
    AccountId, AttemptNumber, FingerprintHash, IncarnationNumber, ModelId, PrefixHash, RequestId,
    ServiceId,
};

/// Identifies one attempt of one request. Every message of an answer stream carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The attempt, from 1. A later attempt supersedes every earlier one.
    pub attempt: AttemptNumber,
}

/// An HTTP header that is passed through.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value; only visible ASCII is passed through.
    pub value: String,
}

/// Priority class of a request, highest first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// The safety of people depends on the answer.
    Urgent,
    /// A person waits for the answer.
    #[default]
    Interactive,
    /// Background work; nobody waits for the answer.
    Batch,
}

/// Entry to agent: run this request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmitRequest {
    /// The attempt to run.
    pub key: AttemptKey,
    /// Client account of the caller.
    pub account: AccountId,
    /// Service that the endpoint must belong to.
    pub service: ServiceId,
    /// Model, when the service is a model service.
    pub model: Option<ModelId>,
    /// Priority class.
    pub class: PriorityClass,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The caller's idempotency key, for a non-idempotent request that was claimed.
    pub claim: Option<String>,
    /// Hash of the request, equal for equal requests.
    pub fingerprint: FingerprintHash,
    /// Chained hashes of the prompt's prefix blocks, shortest prefix first.
    pub prefixes: Vec<PrefixHash>,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Number of agents that have refused this request.
    pub hops: u8,
    /// HTTP method.
    pub method: String,
    /// Path and query for the endpoint.
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
    /// Requests that are queued at the agent.
    pub queued: u32,
}

impl EndpointLoad {
    /// Running plus queued requests.
    pub fn total(self) -> u32 {
        self.running + self.queued
    }
}

/// Agent to entry: the attempt is admitted and will run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmitNotice {
    /// The attempt.
    pub key: AttemptKey,
    /// Load of the endpoint after the admission.
    pub load: EndpointLoad,
    /// Incarnation of the agent that admitted it.
    pub incarnation: IncarnationNumber,
}

/// Agent to entry: the attempt is refused, and has not run and never will, or it failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefuseNotice {
    /// The attempt.
    pub key: AttemptKey,
    /// The reason. Its kind determines the outcome, such as whether the attempt may have run.
    pub fault: Fault,
    /// Load of the endpoint at the refusal.
    pub load: EndpointLoad,
}

impl HeaderField {
    /// The field by which the head of an answer tells that the answer does not state its end, as in
    /// HTTP: it ends with its connection. Older entries ignore the field.
    pub fn until_close() -> Self {
        Self {
            name: "connection".to_owned(),
            value: "close".to_owned(),
        }
    }

    /// Whether this is the field of [`Self::until_close`].
    pub fn is_until_close(&self) -> bool {
        self.name == "connection" && self.value == "close"
    }
}

/// Whether an answer with these headers states its end. One that does not may have been broken off.
pub fn states_end(headers: &[HeaderField]) -> bool {
    !headers.iter().any(HeaderField::is_until_close)
}

/// Agent to entry: head of the endpoint's answer; precedes all chunks.
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
    /// `Ran`, unless the endpoint failed during the answer.
    pub outcome: RunOutcome,
    /// Load of the endpoint after the end.
    pub load: EndpointLoad,
}

/// Entry to agent: acknowledges all bytes before `offset`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AckNotice {
    /// The attempt.
    pub key: AttemptKey,
    /// Position of the first byte that has not arrived.
    pub offset: u64,
}

/// Entry to agent: cancel the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt.
    pub key: AttemptKey,
}

/// Entry to agent: continue the answer stream on this connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// Whether the head has arrived.
    pub has_head: bool,
    /// Position of the first byte that has not arrived.
    pub offset: u64,
}
