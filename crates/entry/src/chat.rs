//! The parts of a chat completion request that routing needs.

use fault::{Fault, FaultKind};
use serde::Deserialize;
use serde_json::Value;
use wire::id::PrefixHash;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of prompt text in one prefix block.
pub const BLOCK_BYTES: usize = 256;
/// Largest number of prefix blocks that are hashed and sent to the agent.
pub const MAX_BLOCKS: usize = 64;
/// Estimated bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Result of parsing a request.
pub type Result<T> = std::result::Result<T, Fault>;

/// The parts of a chat completion request that routing needs.
#[derive(Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// The messages of the chat so far.
    pub messages: Vec<ChatMessage>,
    /// Whether the caller wants server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text, or structured parts, which are hashed and counted in their JSON form.
    #[serde(default)]
    pub content: Value,
}

impl ChatRequest {
    /// Parses a request body.
    ///
    /// # Errors
    /// [`FaultKind::MalformedRequest`] with the parser's message, or if there are no messages.
    pub fn read(body: &[u8]) -> Result<Self> {
        let request: Self = serde_json::from_slice(body).map_err(|error| {
            FaultKind::MalformedRequest.because(format!("the body is no chat request: {error}"))
        })?;
        if request.messages.is_empty() {
            return Err(FaultKind::MalformedRequest.because("messages is empty"));
        }
        Ok(request)
    }

    /// Chained hashes of the prompt's blocks, shortest prefix first.
    pub fn prefixes(&self) -> Vec<PrefixHash> {
        let text = self.prompt_text();
        let mut chain = Xxh3::new();
        let blocks = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        let hashes = blocks.map(|block| {
            chain.update(block);
            chain.digest()
        });
        hashes.collect()
    }

    /// Estimated number of prompt tokens.
    pub fn prompt_tokens(&self) -> u32 {
        let length: usize = self
            .messages
            .iter()
            .map(|message| content_text(message).len())
            .sum();
        u32::try_from(length / BYTES_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// The text that identifies this chat when the caller sends no chat id: its first messages, up
    /// to and including the first one of the user.
    pub fn opening(&self) -> String {
        let first = self
            .messages
            .iter()
            .position(|message| message.role == "user");
        let count = first.map_or(self.messages.len(), |index| index + 1);
        self.messages
            .iter()
            .take(count)
            .map(content_text)
            .collect::<Vec<_>>()
            .join("\n")
    }

    fn prompt_text(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push('\n');
            text.push_str(&content_text(message));
            text.push('\n');
        }
        text
    }
}

fn content_text(message: &ChatMessage) -> String {
    match &message.content {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
