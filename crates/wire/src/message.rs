//! The enum of all messages that a link carries.

use serde::{Deserialize, Serialize};

use crate::answer::{
    AckNotice, AdmitNotice, AnswerChunk, AnswerEnd, AnswerHead, CancelRequest, RefuseNotice,
    ResumeRequest, SubmitRequest,
};
use crate::command::{ControlCommand, ControlReply, SettingEdit};
use crate::gateway::{GatewayReply, GatewayRequest};
use crate::id::{FingerprintHash, RequestId, SettingsVersion};
use crate::member::{AgentHeartbeat, EntryHeartbeat, MemberDigest, WarmDigest};

/// Control to entries and agents: committed settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SettingsUpdate {
    /// The complete settings tree.
    Full {
        /// Its version.
        version: SettingsVersion,
        /// The tree as TOML.
        text: String,
    },
    /// The edits between two versions.
    Delta {
        /// Version that the edits apply to.
        from: SettingsVersion,
        /// Resulting version.
        version: SettingsVersion,
        /// The edits.
        edits: Vec<SettingEdit>,
    },
    /// A quorum confirms that the version is still in force, which renews the settings lease.
    Confirmed {
        /// The version.
        version: SettingsVersion,
    },
}

/// A command proposed to the quorum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlProposal {
    /// Chosen by the sender; matches the decision to the proposal.
    pub ticket: u64,
    /// The command.
    pub command: ControlCommand,
}

/// The quorum's decision on a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlDecision {
    /// Ticket of the proposal.
    pub ticket: u64,
    /// Reply of the state machine, or a refusal.
    pub reply: ControlReply,
}

/// An agent's decision records of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionReply {
    /// The request.
    pub request: RequestId,
    /// The records, encoded as a JSON array.
    pub records: String,
}

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Entry to agent.
    Submit(Box<SubmitRequest>),
    /// Entry to agent.
    Ack(AckNotice),
    /// Entry to agent.
    Cancel(CancelRequest),
    /// Entry to agent.
    Resume(ResumeRequest),
    /// Agent to entry.
    Admitted(AdmitNotice),
    /// Agent to entry.
    Refused(RefuseNotice),
    /// Agent to entry.
    Head(AnswerHead),
    /// Agent to entry.
    Chunk(AnswerChunk),
    /// Agent to entry.
    End(AnswerEnd),
    /// Agent to control.
    AgentHeartbeat(AgentHeartbeat),
    /// Entry to control.
    EntryHeartbeat(EntryHeartbeat),
    /// Control to entry and agent.
    Members(MemberDigest),
    /// Agent to control, control to entry.
    Warm(WarmDigest),
    /// Control to entry and agent.
    Settings(SettingsUpdate),
    /// Control to agent: the complete list of requests that must not run.
    Quarantine(Vec<FingerprintHash>),
    /// Entry and agent to control.
    Propose(ControlProposal),
    /// Control to entry and agent.
    Decided(ControlDecision),
    /// Control to control: an encoded message of the consensus protocol.
    Replica(Vec<u8>),
    /// Control to agent: the complete list of requests that may only run alone and with a permit.
    Suspects(Vec<FingerprintHash>),
    /// Entry to agent: query for the agent's decision records of a request.
    QueryDecisions(RequestId),
    /// Agent to entry.
    Decisions(DecisionReply),
    /// Gateway to gateway.
    GatewayRequest(GatewayRequest),
    /// Gateway to gateway: the reply to the preceding request on the connection.
    GatewayReply(GatewayReply),
}

impl LinkMessage {
    /// Name of the kind of message, for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit(_) => "submit",
            Self::Ack(_) => "ack",
            Self::Cancel(_) => "cancel",
            Self::Resume(_) => "resume",
            Self::Admitted(_) => "admitted",
            Self::Refused(_) => "refused",
            Self::Head(_) => "head",
            Self::Chunk(_) => "chunk",
            Self::End(_) => "end",
            Self::AgentHeartbeat(_) => "agent-heartbeat",
            Self::EntryHeartbeat(_) => "entry-heartbeat",
            Self::Members(_) => "members",
            Self::Warm(_) => "warm",
            Self::Settings(_) => "settings",
            Self::Quarantine(_) => "quarantine",
            Self::Propose(_) => "propose",
            Self::Decided(_) => "decided",
            Self::Replica(_) => "replica",
            Self::Suspects(_) => "suspects",
            Self::QueryDecisions(_) => "ask_decisions",
            Self::Decisions(_) => "decisions",
            Self::GatewayRequest(_) => "gateway_ask",
            Self::GatewayReply(_) => "gateway_reply",
        }
    }
}
