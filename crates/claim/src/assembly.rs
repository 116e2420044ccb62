//! Entry: puts an answer together from its frames.
//!
//! Only frames of the current attempt count, each byte is delivered once and in order, and the
//! end is believed only when length and checksum agree.

use bytes::Bytes;
use crc32fast::Hasher;
use fault::RunOutcome;
use wire::answer::{AckNotice, AnswerChunk, AnswerEnd, AnswerHead, AttemptKey, ResumeRequest};

use crate::error::{Result, ensure};

/// Bytes after which the entry acknowledges.
const ACK_INTERVAL_BYTES: u64 = 32 * 1024;

/// What to do after a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum AssemblyVerdict {
    /// Pass the head on to the caller.
    Head(Box<AnswerHead>),
    /// Pass the bytes on to the caller.
    Deliver(Bytes),
    /// The answer is whole.
    Complete(RunOutcome),
    /// The endpoint failed midway: cut the caller's answer off, so that it sees the failure.
    Failed(RunOutcome),
    /// The frame is late, a duplicate, or belongs to another attempt: drop it.
    Stale,
    /// Frames are missing: resume from the offset reached. Said once for each place.
    Gap,
    /// Length or checksum do not agree: cut the caller's answer off.
    Corrupt,
}

/// How far an answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AssemblyState {
    Open,
    Closed,
}

/// The answer to one request as the entry has it.
#[derive(Debug)]
pub struct AnswerAssembly {
    /// The attempt whose frames count.
    key: AttemptKey,
    has_head: bool,
    /// First byte that has not arrived.
    offset: u64,
    /// First byte that the caller's connection has not taken. At most `offset`.
    consumed: u64,
    /// Last acknowledged offset. At most `consumed`.
    acked: u64,
    /// Over all bytes that have arrived.
    checksum: Hasher,
    /// Where the last gap was found; it is reported once.
    reported_gap: Option<(bool, u64)>,
    state: AssemblyState,
}

impl AnswerAssembly {
    /// Awaits the answer of an attempt.
    pub fn new(key: AttemptKey) -> Self {
        Self {
            key,
            has_head: false,
            offset: 0,
            consumed: 0,
            acked: 0,
            checksum: Hasher::new(),
            reported_gap: None,
            state: AssemblyState::Open,
        }
    }

    /// Turns to a later attempt. Returns false, and changes nothing, once a part of the answer
    /// was delivered: parts of two runs never mix.
    #[must_use]
    pub fn restart(&mut self, key: AttemptKey) -> bool {
        let is_later = key.request == self.key.request && key.attempt > self.key.attempt;
        if self.has_head || self.state == AssemblyState::Closed || !is_later {
            return false;
        }
        *self = Self::new(key);
        true
    }

    /// The attempt whose frames count.
    pub fn key(&self) -> AttemptKey {
        self.key
    }

    /// Whether a part of the answer was delivered.
    pub fn has_started(&self) -> bool {
        self.has_head
    }

    /// Takes a head.
    pub fn accept_head(&mut self, head: AnswerHead) -> AssemblyVerdict {
        if !self.is_awaited(head.key) || self.has_head {
            return AssemblyVerdict::Stale;
        }
        self.has_head = true;
        AssemblyVerdict::Head(Box::new(head))
    }

    /// Takes a chunk.
    pub fn accept_chunk(&mut self, chunk: AnswerChunk) -> AssemblyVerdict {
        if !self.is_awaited(chunk.key) {
            return AssemblyVerdict::Stale;
        }
        if !self.has_head || chunk.offset > self.offset {
            return self.report_gap();
        }
        let overlap = self.offset - chunk.offset;
        if overlap >= chunk.bytes.len() as u64 {
            return AssemblyVerdict::Stale;
        }
        let bytes = chunk.bytes.slice(overlap as usize..);
        self.offset += bytes.len() as u64;
        self.checksum.update(&bytes);
        AssemblyVerdict::Deliver(bytes)
    }

    /// Takes an end.
    pub fn accept_end(&mut self, end: &AnswerEnd) -> AssemblyVerdict {
        if !self.is_awaited(end.key) {
            return AssemblyVerdict::Stale;
        }
        if end.outcome != RunOutcome::Ran {
            self.state = AssemblyState::Closed;
            return AssemblyVerdict::Failed(end.outcome);
        }
        if !self.has_head || end.length > self.offset {
            return self.report_gap();
        }
        self.state = AssemblyState::Closed;
        let is_whole = end.length == self.offset;
        if !is_whole || end.checksum != self.checksum.clone().finalize() {
            return AssemblyVerdict::Corrupt;
        }
        AssemblyVerdict::Complete(end.outcome)
    }

    /// The caller's connection took `bytes` more bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed = self.offset.min(self.consumed.saturating_add(bytes as u64));
    }

    /// The acknowledgement that is due, if one is.
    pub fn ack_due(&mut self) -> Option<AckNotice> {
        let is_last = self.state == AssemblyState::Closed && self.consumed > self.acked;
        if !is_last && self.consumed - self.acked < ACK_INTERVAL_BYTES {
            return None;
        }
        self.acked = self.consumed;
        Some(AckNotice {
            key: self.key,
            offset: self.acked,
        })
    }

    /// Asks the agent to go on from here on a new connection, or after a gap.
    pub fn resume_request(&self) -> ResumeRequest {
        ResumeRequest {
            key: self.key,
            has_head: self.has_head,
            offset: self.offset,
        }
    }

    /// Acknowledges again what the caller has taken. Belongs behind every resume: the earlier
    /// acknowledgement may be lost with its connection, and an agent whose window is full sends
    /// nothing that would bring about another.
    pub fn repeat_ack(&mut self) -> AckNotice {
        self.acked = self.consumed;
        AckNotice {
            key: self.key,
            offset: self.acked,
        }
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first one that is broken.
    pub fn verify(&self) -> Result<()> {
        ensure(self.offset == 0 || self.has_head, "the head comes first")?;
        ensure(
            self.consumed <= self.offset,
            "only what arrived is consumed",
        )?;
        ensure(
            self.acked <= self.consumed,
            "only what was taken is acknowledged",
        )
    }

    fn report_gap(&mut self) -> AssemblyVerdict {
        let position = Some((self.has_head, self.offset));
        if self.reported_gap == position {
            return AssemblyVerdict::Stale;
        }
        self.reported_gap = position;
        AssemblyVerdict::Gap
    }

    fn is_awaited(&self, key: AttemptKey) -> bool {
        self.state == AssemblyState::Open && key == self.key
    }
}
