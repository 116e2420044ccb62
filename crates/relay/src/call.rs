//! Calls and answers as the dialect of a platform reads them.

use std::net::SocketAddrV4;
use std::time::Duration;

use actix_http::header::HeaderMap;

/// One part of a prompt. Calls that share a part, and all parts before it, share its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a call tells of its prompt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptOutline {
    /// The parts in order. The last belongs to the call itself or to its chat.
    pub parts: Vec<PromptPart>,
    /// Tokens that it generates at most.
    pub output_tokens: u32,
}

impl PromptOutline {
    /// The part that decides where the prompt is warm: the last that other calls share.
    pub fn shared_part(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|part| part.id)
    }
}

/// What the head of a call tells, beside its method and path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// The caller's id of this attempt.
    pub attempt: Option<String>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<Vec<u8>>,
    /// The prompt, for calls of model engines.
    pub prompt: Option<PromptOutline>,
    /// The last event of the stream that the caller has.
    pub resume_after: Option<String>,
}

/// What an instance tells an endpoint beside the caller's own head.
#[derive(Clone, Copy, Debug)]
pub struct ForwardMetadata<'a> {
    /// Time that the endpoint has.
    pub time_left: Duration,
    /// The endpoint that is meant; another one at the same address refuses.
    pub endpoint: &'a str,
    /// The client account that holds the caller's key.
    pub account: Option<&'a str>,
    /// Rank among the requests that wait at the endpoint; 0 is the most urgent.
    pub rank: u8,
    /// The last event of the stream that was delivered.
    pub resume_after: Option<&'a str>,
    /// Another endpoint that probably holds the shared parts of the prompt.
    pub warm_source: Option<SocketAddrV4>,
}

/// Load that an endpoint tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// What the head of an answer tells, beside its status.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerMetadata {
    /// The endpoint states that it did not run the call.
    pub is_not_run: bool,
    /// The answer carries the endpoint's signature.
    pub is_signed: bool,
    /// The attempt that it answers.
    pub attempt: Option<String>,
    /// Load of the endpoint.
    pub load: Option<LoadReport>,
    /// For how long the endpoint keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// How a platform writes calls and answers.
pub trait CallDialect {
    /// Reads the head of a call.
    fn read_call(&self, headers: &HeaderMap) -> CallMetadata;

    /// The head of a call for an endpoint. Drops what concerns one connection only, what callers
    /// may not set, and their key.
    fn forward_call(&self, headers: &HeaderMap, metadata: &ForwardMetadata<'_>) -> HeaderMap;

    /// Reads the head of an answer.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerMetadata;

    /// The head of an answer for the caller. Drops what concerns one connection only.
    fn forward_answer(&self, headers: &HeaderMap) -> HeaderMap;
}
