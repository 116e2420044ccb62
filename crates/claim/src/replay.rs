//! Agent: the part of an answer that the entry has not acknowledged.
//!
//! The buffer is bounded by a window. When it is full, the agent stops reading from its endpoint,
//! so a slow caller applies backpressure to the endpoint instead of filling memory.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use crc32fast::Hasher;
use derive_more::{Display, Error};
use fault::RunOutcome;
use wire::LinkMessage;
use wire::answer::{AnswerChunk, AnswerEnd, AnswerHead, AttemptKey, EndpointLoad, ResumeRequest};

use crate::error::{self, ensure};

/// Maximum size of a chunk in bytes.
pub const CHUNK_BYTES: usize = 32 * 1024;
/// Number of parts from which on the buffer joins them. A part takes memory besides its bytes, which an
/// answer in chunks of a byte would multiply.
const MAX_PARTS: usize = 1024;

/// Why an answer can't be resumed at an offset.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ResumeFault {
    /// The bytes at the offset were acknowledged and removed.
    #[display("the answer is kept from {base} on, not from {offset}")]
    Dropped {
        /// The requested offset.
        offset: u64,
        /// Offset of the first buffered byte.
        base: u64,
    },
    /// The offset is beyond the bytes of the answer so far.
    #[display("offset {offset} is beyond the {length} bytes of the answer")]
    Beyond {
        /// The requested offset.
        offset: u64,
        /// Bytes of the answer so far.
        length: u64,
    },
}

/// Result of resuming an answer.
pub type Result<T> = std::result::Result<T, ResumeFault>;

/// What has been sent on the current connection.
#[derive(Clone, Copy, Debug, Default)]
struct SendCursor {
    has_head: bool,
    /// First byte that has not been sent.
    offset: u64,
    has_end: bool,
}

/// The unacknowledged part of one attempt's answer.
#[derive(Debug)]
pub struct ReplayBuffer {
    key: AttemptKey,
    /// Maximum number of unacknowledged bytes.
    window: usize,
    head: Option<AnswerHead>,
    /// The bytes from `base` to `length`.
    parts: VecDeque<Bytes>,
    /// Offset of the first buffered byte.
    base: u64,
    /// Bytes of the answer so far.
    length: u64,
    /// Checksum of all bytes of the answer so far.
    checksum: Hasher,
    end: Option<RunOutcome>,
    cursor: SendCursor,
    /// Whether the answer will not be resumed any more, so that its bytes are discarded.
    is_detached: bool,
}

impl ReplayBuffer {
    /// An empty buffer for the answer of an attempt, with a window in bytes.
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

    /// Stores the head of the endpoint's answer.
    pub fn set_head(&mut self, head: AnswerHead) {
        debug_assert_eq!(head.key, self.key, "the head belongs to the attempt");
        debug_assert!(self.head.is_none(), "an answer has one head");
        self.head = Some(head);
    }

    /// Free bytes of the window. At 0 the endpoint must not be read.
    pub fn room(&self) -> usize {
        if self.is_detached {
            return self.window;
        }
        self.window.saturating_sub(self.buffered())
    }

    /// Appends bytes of the endpoint's answer. The last read before the window is full may exceed
    /// [`Self::room`].
    pub fn push(&mut self, bytes: Bytes) {
        debug_assert!(self.head.is_some(), "the head comes first");
        debug_assert!(self.end.is_none(), "nothing follows the end");
        if bytes.is_empty() {
            return;
        }
        self.checksum.update(&bytes);
        self.length += bytes.len() as u64;
        self.parts.push_back(bytes);
        if self.parts.len() > MAX_PARTS {
            self.join_parts();
        }
        if self.is_detached {
            self.ack(self.length);
        }
    }

    /// Discards all bytes, present and future: the connection ended, the caller left, and the
    /// answer will not be resumed. An execution that must run to its end is thus not blocked by a
    /// full window.
    pub fn detach(&mut self) {
        self.is_detached = true;
        self.ack(self.length);
    }

    /// Ends the answer. Only the first outcome is kept.
    pub fn finish(&mut self, outcome: RunOutcome) {
        if self.end.is_none() {
            self.end = Some(outcome);
        }
    }

    /// The next message to send on the current connection, or `None` until there is more.
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

    /// Removes the bytes before `offset`, which the entry has acknowledged. An offset beyond the
    /// answer is ignored.
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
                // At most the length of the part, so the count fits into a `usize`.
                let _ = part.split_to(count as usize);
            }
        }
        self.cursor.offset = self.cursor.offset.max(self.base);
    }

    /// Continues the answer on a new connection, from the offset that the entry requests.
    ///
    /// # Errors
    /// [`ResumeFault`] if that offset is not in the buffer.
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

    /// Whether the answer has ended and every byte is acknowledged. The buffer is still needed as
    /// long as the entry may request the end again.
    pub fn is_acknowledged(&self) -> bool {
        self.end.is_some() && self.base == self.length
    }

    /// How the answer ended, once it has.
    pub fn outcome(&self) -> Option<RunOutcome> {
        self.end
    }

    /// Number of buffered bytes.
    pub fn buffered(&self) -> usize {
        (self.length - self.base) as usize
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first broken invariant.
    pub fn verify(&self) -> error::Result<()> {
        let total: usize = self.parts.iter().map(Bytes::len).sum();
        ensure(
            total == self.buffered(),
            "the parts hold all bytes from the base on",
        )?;
        ensure(self.parts.len() <= MAX_PARTS, "small parts are joined")?;
        ensure(
            self.cursor.offset >= self.base,
            "acknowledged bytes are not sent again",
        )?;
        ensure(
            self.cursor.offset <= self.length,
            "only received bytes are sent",
        )?;
        ensure(
            self.length == 0 || self.head.is_some(),
            "the head comes first",
        )
    }

    /// The unsent bytes, up to [`CHUNK_BYTES`], in one chunk. A reader that keeps up gets each part
    /// as a frame of its own; one that lags gets fewer, larger frames.
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

    /// Joins all parts to parts of [`CHUNK_BYTES`].
    fn join_parts(&mut self) {
        let mut joined = VecDeque::new();
        let mut open = BytesMut::with_capacity(CHUNK_BYTES);
        for mut part in std::mem::take(&mut self.parts) {
            while !part.is_empty() {
                let room = CHUNK_BYTES - open.len();
                open.extend_from_slice(&part.split_to(part.len().min(room)));
                if open.len() == CHUNK_BYTES {
                    let whole = std::mem::replace(&mut open, BytesMut::with_capacity(CHUNK_BYTES));
                    joined.push_back(whole.freeze());
                }
            }
        }
        if !open.is_empty() {
            joined.push_back(open.freeze());
        }
        self.parts = joined;
    }

    /// `first` and the parts from index `next` on in one buffer, at most [`CHUNK_BYTES`].
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

    /// Index of the part that holds the byte at `offset`, and the position of the byte in it.
    /// Searches from the back, where the unsent bytes are.
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
