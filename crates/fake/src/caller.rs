//! Asynchronous HTTP client of an entry, for the quickstart's tour.

use std::net::SocketAddr;

use awc::Client;
use derive_more::{Display, Error};
use futures::StreamExt;
use serde_json::{Value, json};

/// A call that failed or got an incomplete answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{reason}")]
pub struct CallError {
    /// Description of the failure.
    pub reason: String,
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, CallError>;

/// Address and credentials of a caller.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// Address of an entry.
    pub entry: SocketAddr,
    /// Key of the client account.
    pub key: String,
}

/// A request for a chat completion.
#[derive(Clone, Debug, Default)]
pub struct ChatCall {
    /// Name of the model.
    pub model: String,
    /// Id of the chat.
    pub chat: String,
    /// Text of the chat so far.
    pub prompt: String,
    /// Number of tokens of the answer.
    pub tokens: u64,
    /// Warm hint from the last answer of this chat.
    pub hint: String,
}

/// An answer. A streamed one may be incomplete; see [`CallAnswer::stream_tokens`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header `x-outcome`.
    pub outcome: String,
    /// Header `x-request-id`.
    pub request: String,
    /// Header `x-warm-hint`.
    pub hint: String,
    /// Header `x-cached-tokens`.
    pub cached_tokens: u64,
    /// Header `retry-after` in seconds.
    pub retry_after: Option<u64>,
    /// Body.
    pub body: String,
}

impl CallAnswer {
    /// Returns the number of tokens of a complete streamed answer.
    ///
    /// # Errors
    /// The stream lacks its last event.
    pub fn stream_tokens(&self) -> Result<u64> {
        if !self.body.trim_end().ends_with("data: [DONE]") {
            return Err(CallError {
                reason: "the stream ended before its last event".to_owned(),
            });
        }
        Ok(self.body.matches("\"delta\"").count() as u64)
    }
}

/// HTTP client of one entry.
pub struct FleetCaller {
    settings: CallerSettings,
    client: Client,
}

impl FleetCaller {
    /// Creates a caller without open connections.
    pub fn new(settings: CallerSettings) -> Self {
        let client = Client::builder().disable_timeout().finish();
        Self { settings, client }
    }

    /// Requests a streamed chat completion and reads it to its end.
    ///
    /// # Errors
    /// The connection fails, or reading the body does.
    pub async fn chat(&self, call: &ChatCall) -> Result<CallAnswer> {
        let body = json!({
            "model": call.model,
            "messages": [{"role": "user", "content": call.prompt}],
            "stream": true,
            "max_tokens": call.tokens,
        });
        let uri = format!("http://{}/v1/chat/completions", self.settings.entry);
        let request = self.client.post(uri).bearer_auth(&self.settings.key);
        let request = request.insert_header(("x-chat-id", call.chat.as_str()));
        let request = request.insert_header(("x-warm-hint", call.hint.as_str()));
        read_answer(request.send_json(&body).await).await
    }

    /// Sends a POST request to a plain service.
    ///
    /// # Errors
    /// The connection fails, or reading the body does.
    pub async fn post(
        &self,
        path: &str,
        idempotency_key: &str,
        body: &Value,
    ) -> Result<CallAnswer> {
        let uri = format!("http://{}{path}", self.settings.entry);
        let request = self.client.post(uri).bearer_auth(&self.settings.key);
        let request = request.insert_header(("idempotency-key", idempotency_key));
        read_answer(request.send_json(body).await).await
    }

    /// Sends a GET request to the entry.
    ///
    /// # Errors
    /// The connection fails, or reading the body does.
    pub async fn get(&self, path: &str) -> Result<CallAnswer> {
        let uri = format!("http://{}{path}", self.settings.entry);
        let request = self.client.get(uri).bearer_auth(&self.settings.key);
        read_answer(request.send().await).await
    }
}

async fn read_answer(
    sent: std::result::Result<awc::ClientResponse, awc::error::SendRequestError>,
) -> Result<CallAnswer> {
    let mut response = sent.map_err(|error| CallError {
        reason: error.to_string(),
    })?;
    let header = |name: &str| {
        let value = response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let mut answer = CallAnswer {
        status: response.status().as_u16(),
        outcome: header("x-outcome"),
        request: header("x-request-id"),
        hint: header("x-warm-hint"),
        cached_tokens: header("x-cached-tokens").parse().unwrap_or_default(),
        retry_after: header("retry-after").parse().ok(),
        body: String::new(),
    };
    while let Some(part) = response.next().await {
        let part = part.map_err(|error| CallError {
            reason: error.to_string(),
        })?;
        answer.body.push_str(&String::from_utf8_lossy(&part));
    }
    Ok(answer)
}
