//! Detection of truncated answer bodies.
//!
//! The connection to the endpoint tells whether a body reached the end that it states. Beside that,
//! a body must have its stated length, an event stream must not end inside an event, and a streamed
//! completion must end with its last event.

use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{Method, StatusCode};
use exchange::events::EventEdge;
use fault::FaultKind;
use wire::answer::SubmitRequest;

use crate::client::is_event_stream;

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
    /// End of the body so far, if it is an event stream.
    edge: Option<EventEdge>,
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
            edge: (!has_no_body && is_event_stream(headers)).then(EventEdge::default),
            ..Self::default()
        }
    }

    /// Whether a body that passes [`Self::finish`] is whole, however it is framed.
    pub fn shows_end(&self) -> bool {
        self.needs_last_event
    }

    /// Records the next bytes of the body.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received_length += bytes.len() as u64;
        if let Some(edge) = &mut self.edge {
            edge.push(bytes);
        }
        if self.needs_last_event {
            self.tail.extend_from_slice(bytes);
            let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
            self.tail.drain(..surplus);
        }
    }

    /// Checks that the body is complete, after its last bytes.
    ///
    /// # Errors
    /// `EndpointFailed` if the length is not as stated, or the last event is missing or incomplete.
    pub fn finish(&self) -> fault::Result<()> {
        let length_matches = self
            .content_length
            .is_none_or(|length| length == self.received_length);
        let has_last_event = self.tail.trim_ascii_end().ends_with(LAST_EVENT);
        let is_between_events = match self.needs_last_event {
            // Nothing is missing after the last event, also if its blank line is.
            true => has_last_event,
            false => self.edge.as_ref().is_none_or(EventEdge::is_between_events),
        };
        if length_matches && is_between_events {
            return Ok(());
        }
        Err(FaultKind::EndpointFailed.because("the endpoint's answer breaks off"))
    }
}
