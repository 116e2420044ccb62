//! The events of a stream (`text/event-stream`).
//!
//! Only whole events are passed on, so that an endpoint that breaks off inside one leaves nothing
//! that another endpoint's continuation would join.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes; a stream with a larger one is passed on as it arrives.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream after each whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Takes bytes that arrived and returns every event that is whole now.
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

    /// What is left at the end of a whole stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }

    /// Forgets an event that broke off.
    pub fn drop_partial(&mut self) {
        self.buffer.clear();
    }

    /// Id of the last whole event that has one.
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

/// Position after the last blank line.
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
