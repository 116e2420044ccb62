//! Splitting of an event stream (`text/event-stream`) into whole events.
//!
//! Only whole events are forwarded. If an endpoint fails in the middle of an event, another
//! endpoint can resume the stream at an event boundary.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event that is buffered, in bytes. A larger event is forwarded in parts.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits an event stream after each whole event and remembers the id of the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Adds received bytes to the buffer. Returns all events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let end = match last_event_end(&self.buffer[searched..]) {
            Some(end) => searched + end,
            None if self.buffer.len() > MAX_EVENT_BYTES => self.buffer.len(),
            None => return None,
        };
        let whole = self.buffer.split_to(end).freeze();
        self.note_ids(&whole);
        Some(whole)
    }

    /// Returns the bytes that follow the last whole event. Call at the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Discards the incomplete event at the end of the buffer.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Id of the last whole event that carries one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn note_ids(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id.trim_ascii()).into_owned();
                self.last_id = Some(id);
            }
        }
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
