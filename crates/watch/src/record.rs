//! Decision records: how a request was routed and admitted.
//!
//! The entry records its choice of an endpoint, the agent its admission. Both records carry the
//! request id, by which they are joined.

use std::time::Duration;

use derive_more::Display;
use fault::{FaultKind, RunOutcome};
use serde::{Deserialize, Serialize};
use wire::answer::{EndpointLoad, PriorityClass};
use wire::id::{AttemptNumber, RequestId};

use crate::millis;

/// Largest number of candidates in a record; the others are only counted.
pub const MAX_CANDIDATES: usize = 8;
/// Largest number of attempts in a record.
pub const MAX_ATTEMPTS: usize = 8;

/// Why a candidate was not chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExclusionKind {
    /// Another candidate ranks higher.
    #[display("ranked lower")]
    RankedLower,
    /// Its load, as known to the entry, is above the target load.
    #[display("above the load aim")]
    AboveAim,
    /// It is draining, or announced that it is leaving.
    #[display("leaving")]
    Leaving,
    /// It has just joined and accepts no requests yet.
    #[display("joining")]
    Joining,
    /// It is down or its lease has expired.
    #[display("down")]
    Down,
    /// It does not serve the model.
    #[display("model not placed there")]
    NotPlaced,
    /// Its agent refused an earlier attempt of this request.
    #[display("refused this request")]
    Refused,
    /// An earlier attempt of this request failed there.
    #[display("failed this request")]
    Failed,
}

/// An endpoint that the entry considered, with its state as known to the entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Running and queued requests, as known to the entry.
    pub load: u32,
    /// Prompt tokens expected in its prefix cache.
    pub warm_tokens: u32,
    /// Why it was not chosen; `None` for the chosen endpoint.
    pub excluded: Option<ExclusionKind>,
}

/// Result of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The agent admitted the attempt and the answer arrived completely.
    Answered,
    /// The agent refused the attempt.
    Refused(FaultKind),
    /// The attempt failed after it was sent.
    Failed(FaultKind),
    /// The caller or the entry cancelled the attempt.
    Cancelled,
}

/// One attempt to run the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Number of the attempt, from 1.
    pub attempt: AttemptNumber,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Result of the attempt.
    pub result: AttemptResult,
}

/// The entry's choice of an endpoint for a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryDecision {
    /// Mean load of the service as known to the entry, in requests at an endpoint of weight 1.
    pub mean_load: f64,
    /// At most [`MAX_CANDIDATES`], including the chosen endpoint.
    pub candidates: Vec<CandidateRecord>,
    /// Number of candidates left out of `candidates`.
    pub omitted: u32,
    /// Name of the chosen endpoint; `None` when no endpoint could be chosen.
    pub choice: Option<String>,
    /// Number of agents that refused the request.
    pub hops: u8,
    /// At most [`MAX_ATTEMPTS`], in order.
    pub attempts: Vec<AttemptRecord>,
    /// Time from arrival to the first byte of the answer's body.
    #[serde(rename = "first_token_ms", with = "millis")]
    pub first_token: Duration,
}

/// The agent's admission of an attempt.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgentDecision {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Load of the endpoint when the attempt arrived.
    pub load: EndpointLoad,
    /// Largest load that the load bound allowed at that time.
    pub load_limit: u32,
    /// Time that the attempt waited in the queue.
    #[serde(rename = "queue_wait_ms", with = "millis")]
    pub queue_wait: Duration,
    /// Prompt tokens found in the endpoint's prefix cache.
    pub cached_tokens: u32,
}

/// The decision in a record, by the process that made it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionPart {
    /// Choice of endpoint.
    Entry(EntryDecision),
    /// Admission at the endpoint.
    Agent(AgentDecision),
}

/// Record of one request by one process, the entry or an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    #[serde(with = "request_text")]
    pub request: RequestId,
    /// Wall clock time at the end of the request, since the Unix epoch.
    #[serde(rename = "time_ms", with = "millis")]
    pub time: Duration,
    /// Name of the instance that recorded it.
    pub instance: String,
    /// Name of the client account; empty when it is not known.
    pub account: String,
    /// Name of the service; empty when it is not known.
    pub service: String,
    /// Name of the model, when the service is a model service.
    pub model: Option<String>,
    /// Priority class.
    pub class: PriorityClass,
    /// The decision.
    pub part: DecisionPart,
    /// Whether the request was executed, as far as the recording process knows.
    pub outcome: RunOutcome,
    /// The error, when the answer is missing or incomplete.
    pub fault: Option<FaultKind>,
    /// Time from arrival to the end.
    #[serde(rename = "total_ms", with = "millis")]
    pub total: Duration,
}

impl DecisionRecord {
    /// Whether the request was refused, failed, or took more than one attempt. Such records are
    /// never sampled out.
    pub fn is_notable(&self) -> bool {
        let retried = match &self.part {
            DecisionPart::Entry(decision) => decision.attempts.len() > 1,
            DecisionPart::Agent(_) => false,
        };
        retried || self.fault.is_some() || self.outcome != RunOutcome::Ran
    }

    /// Name of the endpoint that the entry chose, or whose agent wrote the record.
    pub fn endpoint(&self) -> Option<&str> {
        match &self.part {
            DecisionPart::Entry(decision) => decision.choice.as_deref(),
            DecisionPart::Agent(decision) => Some(&decision.endpoint),
        }
    }
}

/// Subject area of a notice.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeKind {
    /// A control instance gained or lost leadership.
    #[display("election")]
    Election,
    /// An endpoint or an instance started or finished draining.
    #[display("drain")]
    Drain,
    /// A request was quarantined or released.
    #[display("quarantine")]
    Quarantine,
    /// A settings version took effect.
    #[display("settings")]
    Settings,
    /// An instance joined, left or was suspected of having failed.
    #[display("member")]
    Member,
}

/// An event other than a request that is of interest to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeRecord {
    /// Subject area.
    pub kind: NoticeKind,
    /// Wall clock time since the Unix epoch.
    #[serde(rename = "time_ms", with = "millis")]
    pub time: Duration,
    /// Name of the instance that recorded it.
    pub instance: String,
    /// Name of the endpoint or instance concerned.
    pub subject: String,
    /// One sentence for the reader.
    pub text: String,
}

/// Formats a request id as 32 hexadecimal digits.
pub fn request_to_text(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Parses a request id from hexadecimal digits; leading zeros may be absent.
pub fn request_from_text(text: &str) -> Option<RequestId> {
    RequestId::from_str_radix(text, HEX_RADIX).ok()
}

const HEX_RADIX: u32 = 16;

mod request_text {
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};
    use wire::id::RequestId;

    pub(super) fn serialize<S: Serializer>(
        request: &RequestId,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&super::request_to_text(*request))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<RequestId, D::Error> {
        let text = String::deserialize(deserializer)?;
        super::request_from_text(&text).ok_or_else(|| D::Error::custom("no request id"))
    }
}
