//! Metadata of calls and answers, and the trait by which a platform reads and writes it.

use std::net::SocketAddrV4;
use std::time::Duration;

use actix_http::header::HeaderMap;

use pace::statement::EndpointStatement;

use crate::load_report::LoadReport;

/// One part of a prompt. Prompts with the same parts up to and including this one can use the same
/// prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Outline of a call's prompt, as stated by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptOutline {
    /// Parts of the prompt in order. The last one is specific to the call or to its chat.
    pub parts: Vec<PromptPart>,
    /// Maximum number of generated tokens.
    pub output_tokens: u32,
}

impl PromptOutline {
    /// Ids of the parts that calls of other chats may share: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = u64> {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.id)
    }

    /// Id of the part by which endpoints are ranked for the prompt: the last part that calls of
    /// other chats share, or the only part.
    pub fn shared_part(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|part| part.id)
    }
}

/// Metadata in the head of a call, besides method and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// Attempt id that the caller chose.
    pub attempt_id: Option<String>,
    /// Time after which the caller stops waiting.
    pub caller_timeout: Option<Duration>,
    /// API key of the caller.
    pub key: Option<Vec<u8>>,
    /// Outline of the prompt, for calls to model engines.
    pub prompt: Option<PromptOutline>,
    /// Id of the last stream event that the caller received.
    pub resume_after: Option<String>,
    /// Id of the caller's attempt that brought the first event of the stream that it resumes.
    pub resumes: Option<String>,
}

/// Metadata that an instance adds to the head of a call for the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time until the deadline of the call.
    pub time_left: Duration,
    /// Name of the intended endpoint; another endpoint at the same address refuses the call.
    pub endpoint: &'a str,
    /// Name of the client account that holds the caller's key.
    pub account: Option<&'a str>,
    /// Rank in the endpoint's queue; 0 is the most urgent.
    pub rank: u8,
    /// Id of the last stream event that was delivered to the caller.
    pub resume_after: Option<&'a str>,
    /// Address of another endpoint that probably has the shared parts of the prompt in its cache.
    pub warm_source: Option<SocketAddrV4>,
}

/// Metadata in the head of an answer, besides the status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// Whether the endpoint states that it did not run the call.
    pub is_not_run: bool,
    /// Whether the answer carries the endpoint's signature.
    pub is_signed: bool,
    /// Id of the attempt that the answer belongs to.
    pub attempt_id: Option<String>,
    /// Load that the endpoint reports.
    pub load: Option<LoadReport>,
    /// Time for which the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// What the endpoint states about itself.
    pub statement: EndpointStatement,
}

/// Reads and writes the heads of calls and answers in the format of a platform.
pub trait CallDialect {
    /// Reads the metadata in the head of a call.
    fn read_call(&self, headers: &HeaderMap) -> CallMetadata;

    /// Builds the head of a call for an endpoint. Drops hop-by-hop headers, headers that callers
    /// may not set, and the caller's key.
    fn forward_call(&self, headers: &HeaderMap, metadata: &ForwardMetadata<'_>) -> HeaderMap;

    /// Reads the metadata in the head of an answer.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// Path of an endpoint's report about itself.
    fn report_path(&self) -> &'static str;

    /// Reads from a report when the endpoint's process started, in any unit that differs between
    /// processes; `None` if it does not say.
    fn read_process_start(&self, report: &[u8]) -> Option<u64>;

    /// Builds the head of an answer for the caller. Drops hop-by-hop headers.
    fn forward_answer(&self, headers: &HeaderMap) -> HeaderMap;
}
