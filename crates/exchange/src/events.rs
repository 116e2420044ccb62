//! Splitting of an event stream (`text/event-stream`) into whole events.
//!
//! Only whole events are forwarded. If an endpoint fails in the middle of an event, another
//! endpoint can resume the stream at an event boundary.

use actix_http::header::{CONTENT_TYPE, HeaderMap};
use bytes::{Bytes, BytesMut};

use crate::connection::{EndpointError, Result};

/// Maximum size of an event in bytes. More bytes without the end of an event are no event stream.
const MAX_EVENT_BYTES: usize = 1024 * 1024;
/// Maximum size of the id of an event in bytes. The id of the last event is kept as long as the stream.
const MAX_ID_BYTES: usize = 1024;

/// Splits an event stream after each whole event and remembers the id of the last one. An id longer than
/// [`MAX_ID_BYTES`] is not kept, and the stream can't be resumed after its event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// At most [`MAX_ID_BYTES`] as it was received.
    last_id: Option<String>,
    /// Whether the last whole event carries an id. Comments are no events.
    ends_at_id: bool,
    /// Id after which the next event has to go on; `None` if any event may follow.
    goes_on_after: Option<String>,
}

impl EventSplitter {
    /// Begins the answer of another endpoint: its first event has to go on after the last one.
    pub fn begin_rest(&mut self) {
        self.goes_on_after.clone_from(&self.last_id);
    }

    /// Whether the first event of a rest has not arrived.
    pub fn awaits_rest(&self) -> bool {
        self.goes_on_after.is_some()
    }

    /// Adds received bytes to the buffer. Returns all events that are now whole. What precedes the
    /// first event of a rest is returned with that event.
    ///
    /// # Errors
    /// [`EndpointError::Oversized`] if an event is larger than [`MAX_EVENT_BYTES`], and
    /// [`EndpointError::NotContinued`] if the first event of a rest does not go on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>> {
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let end = match last_event_end(&self.buffer[searched..]) {
            Some(end) => searched + end,
            None if self.buffer.len() > MAX_EVENT_BYTES => return Err(EndpointError::Oversized),
            None => return Ok(None),
        };
        if let Some(last) = &self.goes_on_after {
            match first_event(&self.buffer[..end]) {
                FirstEvent::Missing if self.buffer.len() > MAX_EVENT_BYTES => {
                    return Err(EndpointError::Oversized);
                }
                FirstEvent::Missing => return Ok(None),
                FirstEvent::Named(id) if goes_on(id, last) => self.goes_on_after = None,
                FirstEvent::Named(_) | FirstEvent::Unnamed => {
                    return Err(EndpointError::NotContinued);
                }
            }
        }
        let whole = self.buffer.split_to(end).freeze();
        self.note_ids(&whole);
        Ok(Some(whole))
    }

    /// Returns the bytes that follow the last whole event. Call at the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Number of bytes that follow the last whole event.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Discards the incomplete event at the end of the buffer.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Id of the last whole event that carries one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whether the stream can be resumed exactly after what was returned: its last event carries
    /// an id.
    pub fn ends_at_id(&self) -> bool {
        self.ends_at_id
    }

    fn note_ids(&mut self, whole: &[u8]) {
        let mut is_new_event = true;
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                self.note_id(id.trim_ascii());
                is_new_event = false;
            } else if line.is_empty() {
                is_new_event = true;
            } else if is_new_event && !line.starts_with(b":") {
                self.ends_at_id = false;
                is_new_event = false;
            }
        }
    }

    fn note_id(&mut self, id: &[u8]) {
        self.ends_at_id = id.len() <= MAX_ID_BYTES;
        if self.ends_at_id {
            self.last_id = Some(String::from_utf8_lossy(id).into_owned());
        }
    }
}

/// The first event of whole events.
enum FirstEvent<'a> {
    /// There are only comments and retry times.
    Missing,
    /// It carries no id.
    Unnamed,
    /// It carries this id.
    Named(&'a [u8]),
}

fn first_event(whole: &[u8]) -> FirstEvent<'_> {
    let lines = whole.split(|byte| *byte == b'\n');
    let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let is_no_event =
        |line: &&[u8]| line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:");
    let mut event = lines
        .skip_while(is_no_event)
        .take_while(|line| !line.is_empty())
        .peekable();
    if event.peek().is_none() {
        return FirstEvent::Missing;
    }
    match event.filter_map(|line| line.strip_prefix(b"id:")).last() {
        Some(id) => FirstEvent::Named(id.trim_ascii()),
        None => FirstEvent::Unnamed,
    }
}

/// Whether an event with this id may follow the one with the id `last`. Ids increase; of those that
/// are no numbers only a repeated one is known.
fn goes_on(id: &[u8], last: &str) -> bool {
    let id = String::from_utf8_lossy(id);
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        (Err(_), Err(_)) => !id.is_empty() && !last.is_empty() && id != last,
        _ => false,
    }
}

/// Media type of event streams.
const EVENT_STREAM_TYPE: &str = "text/event-stream";

/// Type of an answer's content, as far as the end of a stream depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContentKind {
    /// An event stream.
    Events,
    /// Content of another type.
    Other,
    /// Content whose type is not stated.
    Unknown,
}

impl ContentKind {
    /// The type that the head of an answer states.
    pub fn of(headers: &HeaderMap) -> Self {
        let Some(value) = headers.get(CONTENT_TYPE) else {
            return Self::Unknown;
        };
        let text = value.to_str().unwrap_or_default().trim();
        let media_type = text.split(';').next().unwrap_or_default().trim();
        match media_type.eq_ignore_ascii_case(EVENT_STREAM_TYPE) {
            true => Self::Events,
            false => Self::Other,
        }
    }
}

/// Number of bytes by which the end of an event is recognized.
const EDGE_BYTES: usize = 3;

/// Tells whether the bytes of an event stream so far end between two events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EventEdge {
    /// The last bytes, at most [`EDGE_BYTES`].
    tail: Vec<u8>,
}

impl EventEdge {
    /// Records the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let last = &bytes[bytes.len().saturating_sub(EDGE_BYTES)..];
        self.tail.extend_from_slice(last);
        let surplus = self.tail.len().saturating_sub(EDGE_BYTES);
        self.tail.drain(..surplus);
    }

    /// Whether the stream is at its beginning or an event has just ended.
    pub fn is_between_events(&self) -> bool {
        self.tail.is_empty() || last_event_end(&self.tail) == Some(self.tail.len())
    }
}

/// Position after the last blank line, which ends an event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let mut end = None;
    let mut at = 0;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let after = at + found + 1;
        let rest = &bytes[after..];
        if rest.starts_with(b"\n") {
            end = Some(after + 1);
        } else if rest.starts_with(b"\r\n") {
            end = Some(after + 2);
        }
        at = after;
    }
    end
}
