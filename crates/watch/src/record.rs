//! Why one request went where it went.
//!
//! The entry records its choice, the agent its admission. Both parts carry the request id, by
//! which a reader joins them.

use std::time::Duration;

use derive_more::Display;
use fault::{FaultKind, RunOutcome};
use serde::{Deserialize, Serialize};
use wire::answer::{ClassKind, EndpointLoad};
use wire::id::{AttemptNumber, RequestId};

use crate::millis;

/// Candidates that one record keeps; the rest are only counted.
pub const MAX_CANDIDATES: usize = 8;
/// Attempts that one record keeps.
pub const MAX_ATTEMPTS: usize = 8;

/// Why a candidate was not chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExclusionKind {
    /// Another candidate ranks higher.
    #[display("ranked lower")]
    RankedLower,
    /// Its load, as seen, is above the aim.
    #[display("above the load aim")]
    AboveAim,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
    /// It joined a moment ago and takes no work yet.
    #[display("joining")]
    Joining,
    /// It is down or its lease lapsed.
    #[display("down")]
    Down,
    /// It does not carry the model.
    #[display("model not placed there")]
    NotPlaced,
    /// It refused this request before.
    #[display("refused this request")]
    Refused,
    /// An attempt there failed before.
    #[display("failed this request")]
    Failed,
}

/// An endpoint that was weighed, with what the entry believed about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Failure domain of the endpoint.
    pub domain: String,
    /// Load as seen, in requests running and waiting.
    pub load: u32,
    /// Prompt tokens believed warm there.
    pub warm_tokens: u32,
    /// What excluded it; `None` for the choice.
    pub excluded: Option<ExclusionKind>,
}

/// How one attempt went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The agent admitted it and the answer arrived whole.
    Answered,
    /// The agent refused it.
    Refused(FaultKind),
    /// It failed after it was sent.
    Failed(FaultKind),
    /// The caller or the entry cancelled it.
    Cancelled,
}

/// One attempt to run the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Number of the attempt, from 1.
    pub attempt: AttemptNumber,
    /// Name of the endpoint.
    pub endpoint: String,
    /// How it went.
    pub result: AttemptResult,
}

/// The entry's part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryDecision {
    /// Mean load of the service as seen, in requests at an endpoint of weight 1.
    pub mean_load: f64,
    /// At most [`MAX_CANDIDATES`], the choice among them.
    pub candidates: Vec<CandidateRecord>,
    /// Candidates beyond those kept.
    pub omitted: u32,
    /// Name of the chosen endpoint; `None` when there was none.
    pub choice: Option<String>,
    /// Agents that refused the request.
    pub hops: u8,
    /// At most [`MAX_ATTEMPTS`], in order.
    pub attempts: Vec<AttemptRecord>,
    /// Wait until the first byte of the answer's body.
    #[serde(rename = "first_token_ms", with = "millis")]
    pub first_token: Duration,
}

/// The agent's part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AgentDecision {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Load when the attempt arrived.
    pub load: EndpointLoad,
    /// Largest load that the bound allowed then.
    pub load_limit: u32,
    /// Time that the attempt waited in the queue.
    #[serde(rename = "queue_wait_ms", with = "millis")]
    pub queue_wait: Duration,
    /// Prompt tokens found in the endpoint's prefix cache.
    pub cached_tokens: u32,
}

/// What one side of the path decided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DecisionPart {
    /// Choice of endpoint.
    Entry(EntryDecision),
    /// Admission at the endpoint.
    Agent(AgentDecision),
}

/// One side's record of one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    #[serde(with = "request_text")]
    pub request: RequestId,
    /// Wall clock at the end of the request since the Unix epoch.
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
    pub class: ClassKind,
    /// What was decided.
    pub part: DecisionPart,
    /// What is known about execution.
    pub outcome: RunOutcome,
    /// The error, when the request had no whole answer.
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

    /// Name of the endpoint that the record is about.
    pub fn endpoint(&self) -> Option<&str> {
        match &self.part {
            DecisionPart::Entry(decision) => decision.choice.as_deref(),
            DecisionPart::Agent(decision) => Some(&decision.endpoint),
        }
    }
}

/// What a notice is about.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NoticeKind {
    /// A control instance gained or lost the lead.
    #[display("election")]
    Election,
    /// An endpoint or an instance began or ended its drain.
    #[display("drain")]
    Drain,
    /// A request was quarantined or released.
    #[display("quarantine")]
    Quarantine,
    /// A settings version came into force.
    #[display("settings")]
    Settings,
    /// An instance joined, left or was suspected.
    #[display("member")]
    Member,
}

/// Something other than a request that an operator follows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoticeRecord {
    /// What it is about.
    pub kind: NoticeKind,
    /// Wall clock since the Unix epoch.
    #[serde(rename = "time_ms", with = "millis")]
    pub time: Duration,
    /// Name of the instance that recorded it.
    pub instance: String,
    /// Name of the endpoint or instance concerned.
    pub subject: String,
    /// One sentence for the reader.
    pub text: String,
}

/// The text form of a request id: 32 hexadecimal digits.
pub fn request_to_text(request: RequestId) -> String {
    format!("{request:032x}")
}

/// Reads the text form of a request id; shorter forms are padded on the left.
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
