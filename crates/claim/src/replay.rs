//! Agent: the part of an answer that the entry has not acknowledged.
//!
//! The tail is bounded by a window. When it is full the agent stops reading from its endpoint, so
//! a caller that reads slowly slows its endpoint and fills no memory.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use crc32fast::Hasher;
use derive_more::{Display, Error};
use fault::RunOutcome;
use wire::LinkMessage;
use wire::answer::{AnswerChunk, AnswerEnd, AnswerHead, AttemptKey, EndpointLoad, ResumeRequest};

use crate::error::{self, ensure};

/// Largest chunk that is sent at once, in bytes.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// Why an answer can't continue at an offset.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ResumeFault {
    /// The bytes at the offset were acknowledged and dropped.
    #[display("the answer is kept from {base} on, not from {offset}")]
    Dropped {
        /// The offset asked for.
        offset: u64,
        /// First byte that is kept.
        base: u64,
    },
    /// The answer is not that long yet.
    #[display("offset {offset} is beyond the {length} bytes of the answer")]
    Beyond {
        /// The offset asked for.
        offset: u64,
        /// Bytes of the answer so far.
        length: u64,
    },
}

/// Result of continuing an answer.
pub type Result<T> = std::result::Result<T, ResumeFault>;

/// What the current connection has been given.
#[derive(Clone, Copy, Debug, Default)]
struct SendCursor {
    has_head: bool,
    /// First byte that has not been given.
    offset: u64,
    has_end: bool,
}

/// The unacknowledged part of one attempt's answer.
#[derive(Debug)]
pub struct ReplayBuffer {
    key: AttemptKey,
    /// Bytes that may be unacknowledged.
    window: usize,
    head: Option<AnswerHead>,
    /// The bytes from `base` to `length`.
    parts: VecDeque<Bytes>,
    /// Offset of the first byte kept.
    base: u64,
    /// Bytes of the answer so far.
    length: u64,
    /// Over all bytes of the answer so far.
    checksum: Hasher,
    end: Option<RunOutcome>,
    cursor: SendCursor,
    /// Whether nobody will ask for the answer any more, so that it is not kept.
    is_detached: bool,
}

impl ReplayBuffer {
    /// The empty tail of an attempt with a window in bytes.
    pub fn new(key: AttemptKey, window: usize) -> Self {
        Self {
            key,
            window,
            head: None,
            parts: VecDeque::new(),
            base: 0,
            length: 0,
            checksum: Hasher::new(),
            end: None,
            cursor: SendCursor::default(),
            is_detached: false,
        }
    }

    /// Takes the head of the endpoint's answer.
    pub fn set_head(&mut self, head: AnswerHead) {
        debug_assert_eq!(head.key, self.key, "the head belongs to the attempt");
        debug_assert!(self.head.is_none(), "an answer has one head");
        self.head = Some(head);
    }

    /// Bytes that may be pushed now. At 0 the endpoint is not read.
    pub fn room(&self) -> usize {
        if self.is_detached {
            return self.window;
        }
        self.window.saturating_sub(self.buffered())
    }

    /// Takes bytes of the endpoint's answer. They may exceed the room once, by one read.
    pub fn push(&mut self, bytes: Bytes) {
        debug_assert!(self.head.is_some(), "the head comes first");
        debug_assert!(self.end.is_none(), "nothing follows the end");
        if bytes.is_empty() {
            return;
        }
        self.checksum.update(&bytes);
        self.length += bytes.len() as u64;
        self.parts.push_back(bytes);
        if self.is_detached {
            self.ack(self.length);
        }
    }

    /// Nobody will ask for the answer any more: its connection ended and its caller left. What
    /// comes is dropped, so that an execution that has to end is not held up.
    pub fn detach(&mut self) {
        self.is_detached = true;
        self.ack(self.length);
    }

    /// Ends the answer.
    pub fn finish(&mut self, outcome: RunOutcome) {
        if self.end.is_none() {
            self.end = Some(outcome);
        }
    }

    /// The next message for the current connection, or `None` until more arrives.
    pub fn next_message(&mut self, load: EndpointLoad) -> Option<LinkMessage> {
        if !self.cursor.has_head
            && let Some(head) = &self.head
        {
            self.cursor.has_head = true;
            return Some(LinkMessage::Head(head.clone()));
        }
        if self.cursor.offset < self.length {
            return Some(LinkMessage::Chunk(self.next_chunk()));
        }
        let outcome = self.end.filter(|_| !self.cursor.has_end)?;
        self.cursor.has_end = true;
        Some(LinkMessage::End(self.end_message(outcome, load)))
    }

    /// Drops what the entry has. Acknowledgements of bytes never sent change nothing.
    pub fn ack(&mut self, offset: u64) {
        if offset > self.length {
            return;
        }
        while let Some(part) = self.parts.front_mut()
            && self.base < offset
        {
            let count = (offset - self.base).min(part.len() as u64);
            self.base += count;
            if count == part.len() as u64 {
                self.parts.pop_front();
            } else {
                // A part holds less than the window, so the count fits.
                let _ = part.split_to(count as usize);
            }
        }
        self.cursor.offset = self.cursor.offset.max(self.base);
    }

    /// Continues on a new connection from where the entry is.
    ///
    /// # Errors
    /// [`ResumeFault`] when the bytes from there on are not kept.
    pub fn resume(&mut self, request: &ResumeRequest) -> Result<()> {
        let (offset, base, length) = (request.offset, self.base, self.length);
        if offset < base {
            return Err(ResumeFault::Dropped { offset, base });
        }
        if offset > length {
            return Err(ResumeFault::Beyond { offset, length });
        }
        self.cursor = SendCursor {
            has_head: request.has_head,
            offset,
            has_end: false,
        };
        Ok(())
    }

    /// Whether the answer has ended and every byte is acknowledged. The tail is still needed
    /// until the entry can't ask for its end any more.
    pub fn is_acknowledged(&self) -> bool {
        self.end.is_some() && self.base == self.length
    }

    /// How the answer ended.
    pub fn outcome(&self) -> Option<RunOutcome> {
        self.end
    }

    /// Bytes kept.
    pub fn buffered(&self) -> usize {
        (self.length - self.base) as usize
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first one that is broken.
    pub fn verify(&self) -> error::Result<()> {
        let total: usize = self.parts.iter().map(Bytes::len).sum();
        ensure(total == self.buffered(), "bytes are kept from the base on")?;
        ensure(
            self.cursor.offset >= self.base,
            "nothing acknowledged is sent",
        )?;
        ensure(
            self.cursor.offset <= self.length,
            "nothing is sent before it came",
        )?;
        ensure(
            self.length == 0 || self.head.is_some(),
            "the head comes first",
        )
    }

    /// The bytes that were not given yet, in one chunk as far as they fit. A reader that keeps up
    /// gets each part by itself; one that lags gets fewer, larger frames.
    fn next_chunk(&mut self) -> AnswerChunk {
        let (index, skip) = self.part_at(self.cursor.offset);
        let first = self.parts[index].slice(skip..);
        let bytes = match self.parts.len() - index {
            1 => first.slice(..first.len().min(CHUNK_BYTES)),
            _ => self.coalesce(first, index + 1),
        };
        let chunk = AnswerChunk {
            key: self.key,
            offset: self.cursor.offset,
            bytes,
        };
        self.cursor.offset += chunk.bytes.len() as u64;
        chunk
    }

    /// `first` and the parts from `next` on, at most [`CHUNK_BYTES`].
    fn coalesce(&self, first: Bytes, next: usize) -> Bytes {
        let mut joined = BytesMut::from(&first[..first.len().min(CHUNK_BYTES)]);
        for part in self.parts.range(next..) {
            let room = CHUNK_BYTES - joined.len();
            joined.extend_from_slice(&part[..part.len().min(room)]);
            if part.len() >= room {
                break;
            }
        }
        joined.freeze()
    }

    /// Index of the part that holds the byte at `offset`, and its place there. Searches from the
    /// back, where the unsent bytes are.
    fn part_at(&self, offset: u64) -> (usize, usize) {
        let mut start = self.length;
        for (index, part) in self.parts.iter().enumerate().rev() {
            start -= part.len() as u64;
            if start <= offset {
                return (index, (offset - start) as usize);
            }
        }
        unreachable!("the cursor is never before the base");
    }

    fn end_message(&self, outcome: RunOutcome, load: EndpointLoad) -> AnswerEnd {
        AnswerEnd {
            key: self.key,
            length: self.length,
            checksum: self.checksum.clone().finalize(),
            outcome,
            load,
        }
    }
}
