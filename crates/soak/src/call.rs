//! Requests of callers.

use std::time::Duration;

use catalog::CallKind;
use platform::headers::{API_KEY, ATTEMPT_ID, DEADLINE_MS, PREFIX_HASH};

use crate::endpoint::ACCOUNT_KEY;
use crate::history::path_segment;
use crate::operator::HOST;

/// Time within which a caller expects an answer. It is sent to the gateway as the deadline.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// A call, which is the same in all its attempts.
pub struct SoakCall {
    /// Body, which is also the id of the first attempt.
    pub body: String,
    /// Kind.
    pub kind: CallKind,
    /// Parts of the prompt.
    pub prompt: String,
}

impl SoakCall {
    /// Text of the request of one attempt. Each line of `fields` ends with CRLF.
    pub fn request(&self, attempt: &str, fields: &str) -> String {
        format!(
            "POST /{}/x HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {attempt}\r\n{DEADLINE_MS}: {}\r\n{API_KEY}: {ACCOUNT_KEY}\r\n{PREFIX_HASH}: {}\r\n{fields}Content-Length: {}\r\n\r\n{}",
            path_segment(self.kind),
            CALL_TIMEOUT.as_millis(),
            self.prompt,
            self.body.len(),
            self.body
        )
    }
}
