//! Entry: reassembles an answer from its frames.
//!
//! Only frames of the current attempt are accepted. Each byte is delivered once and in order, and
//! the answer is complete only if its length and checksum match those of the end frame.

use bytes::Bytes;
use crc32fast::Hasher;
use fault::RunOutcome;
use wire::answer::{AckNotice, AnswerChunk, AnswerEnd, AnswerHead, AttemptKey, ResumeRequest};

use crate::error::{Result, ensure};

/// Bytes consumed by the caller after which the entry sends an acknowledgement.
const ACK_INTERVAL_BYTES: u64 = 32 * 1024;

/// What to do with a frame.
#[derive(Clone, Debug, PartialEq)]
pub enum AssemblyVerdict {
    /// Forward the head to the caller.
    Head(Box<AnswerHead>),
    /// Forward the bytes to the caller.
    Deliver(Bytes),
    /// The answer is complete; its length and checksum match.
    Complete(RunOutcome),
    /// The endpoint failed midway: abort the caller's answer, so that the caller sees the failure.
    Failed(RunOutcome),
    /// The frame is late, a duplicate, or belongs to another attempt: drop it.
    Stale,
    /// Frames are missing: resume from the current offset. Returned once for each position; later
    /// frames beyond the same gap are `Stale`.
    Gap,
    /// The length or checksum does not match: abort the caller's answer.
    Corrupt,
}

/// Whether an answer still accepts frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AssemblyState {
    Open,
    Closed,
}

/// Reassembles the answer to one request from its frames.
#[derive(Debug)]
pub struct AnswerAssembly {
    /// The attempt whose frames are accepted.
    key: AttemptKey,
    has_head: bool,
    /// First byte that has not been received.
    offset: u64,
    /// First byte that the caller's connection has not consumed. At most `offset`.
    consumed: u64,
    /// Last acknowledged offset. At most `consumed`.
    acked: u64,
    /// Checksum of all bytes received.
    checksum: Hasher,
    /// Whether the head was received, and the offset, at the last reported gap.
    reported_gap: Option<(bool, u64)>,
    state: AssemblyState,
}

impl AnswerAssembly {
    /// An empty answer that accepts the frames of `key`.
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

    /// Switches to a later attempt. Returns false, and changes nothing, once a part of the answer
    /// has been delivered, so that parts of two executions are never mixed.
    #[must_use]
    pub fn restart(&mut self, key: AttemptKey) -> bool {
        let is_later = key.request == self.key.request && key.attempt > self.key.attempt;
        if self.has_head || self.state == AssemblyState::Closed || !is_later {
            return false;
        }
        *self = Self::new(key);
        true
    }

    /// The attempt whose frames are accepted.
    pub fn key(&self) -> AttemptKey {
        self.key
    }

    /// Whether a part of the answer has been delivered.
    pub fn has_started(&self) -> bool {
        self.has_head
    }

    /// Accepts a head frame.
    pub fn accept_head(&mut self, head: AnswerHead) -> AssemblyVerdict {
        if !self.is_awaited(head.key) || self.has_head {
            return AssemblyVerdict::Stale;
        }
        self.has_head = true;
        AssemblyVerdict::Head(Box::new(head))
    }

    /// Accepts a chunk. Bytes that were received before are cut off.
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

    /// Accepts an end frame.
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

    /// Records that the caller's connection consumed `bytes` more bytes, at most up to the offset.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed = self.offset.min(self.consumed.saturating_add(bytes as u64));
    }

    /// The acknowledgement to send now, if any: after every `ACK_INTERVAL_BYTES` consumed, and
    /// for the rest of a closed answer.
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

    /// The request to the agent to continue from the current offset, on a new connection or after
    /// a gap.
    pub fn resume_request(&self) -> ResumeRequest {
        ResumeRequest {
            key: self.key,
            has_head: self.has_head,
            offset: self.offset,
        }
    }

    /// Acknowledges again what the caller has consumed. Must follow every resume: the earlier
    /// acknowledgement may have been lost with its connection, and an agent whose window is full
    /// sends nothing that would trigger another one.
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
    /// The first broken invariant.
    pub fn verify(&self) -> Result<()> {
        ensure(self.offset == 0 || self.has_head, "the head comes first")?;
        ensure(
            self.consumed <= self.offset,
            "only what was received is consumed",
        )?;
        ensure(
            self.acked <= self.consumed,
            "only what was consumed is acknowledged",
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
