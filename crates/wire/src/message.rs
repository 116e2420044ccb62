//! The one envelope that a link carries.

use serde::{Deserialize, Serialize};

use crate::answer::{
    AckNotice, AdmitNotice, AnswerChunk, AnswerEnd, AnswerHead, CancelRequest, RefuseNotice,
    ResumeRequest, SubmitRequest,
};
use crate::command::{ControlCommand, ControlReply, SettingEdit};
use crate::gateway::{GatewayAsk, GatewayReply};
use crate::id::{FingerprintHash, RequestId, SettingsVersion};
use crate::member::{AgentHeartbeat, EntryHeartbeat, MemberDigest, WarmDigest};

/// Control to entries and agents: settings that are committed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SettingsUpdate {
    /// The whole tree as TOML text.
    Full {
        /// Its version.
        version: SettingsVersion,
        /// The tree.
        text: String,
    },
    /// The edits that lead from one version to the next.
    Delta {
        /// Version that the edits apply to.
        from: SettingsVersion,
        /// Version that they lead to.
        version: SettingsVersion,
        /// The edits.
        edits: Vec<SettingEdit>,
    },
    /// Still the same version, confirmed by a quorum; renews the settings lease.
    Confirmed {
        /// The version.
        version: SettingsVersion,
    },
}

/// A command on its way to the quorum.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlProposal {
    /// Chosen by the sender; its reply carries it back.
    pub ticket: u64,
    /// The command.
    pub command: ControlCommand,
}

/// The answer to a proposal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlDecision {
    /// Ticket of the proposal.
    pub ticket: u64,
    /// The answer.
    pub reply: ControlReply,
}

/// What an agent recorded of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionReply {
    /// The request.
    pub request: RequestId,
    /// Its records, encoded as a JSON array.
    pub records: String,
}

/// Every message that a link carries.
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
    /// Control to agent: requests that must not run, the whole list.
    Quarantine(Vec<FingerprintHash>),
    /// Entry and agent to control.
    Propose(ControlProposal),
    /// Control to entry and agent.
    Decided(ControlDecision),
    /// Control to control: an encoded message of the consensus.
    Replica(Vec<u8>),
    /// Control to agent: requests that may only run alone and with a permit, the whole list.
    Suspects(Vec<FingerprintHash>),
    /// Entry to agent: asks for the agent's decision records of a request.
    AskDecisions(RequestId),
    /// Agent to entry.
    Decisions(DecisionReply),
    /// Gateway to gateway.
    GatewayAsk(GatewayAsk),
    /// Gateway to gateway: the answer to the question before it on the connection.
    GatewayReply(GatewayReply),
}

impl LinkMessage {
    /// Name of the kind of message, as a label of metrics.
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
            Self::AskDecisions(_) => "ask_decisions",
            Self::Decisions(_) => "decisions",
            Self::GatewayAsk(_) => "gateway_ask",
            Self::GatewayReply(_) => "gateway_reply",
        }
    }
}
