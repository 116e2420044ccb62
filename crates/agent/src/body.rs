//! Detection of truncated answer bodies.
//!
//! The HTTP client reports a connection that closes in the middle of a body as the end of the body.
//! Completeness is therefore checked against what the answer states itself: its `content-length`,
//! or the last event of a streamed completion. A chunked body of another type states neither and
//! counts as complete.

use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::http::{Method, StatusCode};
use fault::FaultKind;
use wire::answer::SubmitRequest;

use crate::endpoint::is_event_stream;

/// Last event of a streamed completion.
const LAST_EVENT: &[u8] = b"data: [DONE]";
/// Number of trailing bytes kept, which must hold the last event and the whitespace after it.
const TAIL_BYTES: usize = LAST_EVENT.len() + 8;

/// Checks that one body is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BodyCheck {
    /// Length stated by the answer's `content-length`, if the answer has a body.
    content_length: Option<u64>,
    /// Whether the body has to end with [`LAST_EVENT`].
    needs_last_event: bool,
    /// Bytes received so far.
    received_length: u64,
    /// Last bytes received, at most [`TAIL_BYTES`]; empty unless `needs_last_event`.
    tail: Vec<u8>,
}

impl BodyCheck {
    /// Creates the check of an answer to `submit`.
    pub fn new(submit: &SubmitRequest, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = submit.method == Method::HEAD.as_str()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        let header = headers.get(CONTENT_LENGTH);
        let content_length = header.and_then(|value| value.to_str().ok()?.parse().ok());
        Self {
            content_length: content_length.filter(|_| !has_no_body),
            needs_last_event: submit.model.is_some() && is_event_stream(headers),
            ..Self::default()
        }
    }

    /// Records the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received_length += bytes.len() as u64;
        if self.needs_last_event {
            self.tail.extend_from_slice(bytes);
            let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
            self.tail.drain(..surplus);
        }
    }

    /// Checks that the body is complete, after its last bytes.
    ///
    /// # Errors
    /// `EndpointFailed` if the length is not as stated or the last event is missing.
    pub fn finish(&self) -> fault::Result<()> {
        let length_matches = self
            .content_length
            .is_none_or(|length| length == self.received_length);
        let has_last_event = self.tail.trim_ascii_end().ends_with(LAST_EVENT);
        if length_matches && (has_last_event || !self.needs_last_event) {
            return Ok(());
        }
        Err(FaultKind::EndpointFailed.because("the endpoint's answer breaks off"))
    }
}
