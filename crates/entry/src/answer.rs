//! The answer of an endpoint on its way to the caller.

use bytes::Bytes;
use crc32fast::Hasher;
use fault::{Fault, FaultKind};
use link::LinkSender;
use wire::LinkMessage;
use wire::answer::{AckNotice, AnswerHead, AttemptKey, CancelRequest};

use crate::pool::{LinkPool, StreamEvent, StreamReceiver};

/// The rest of an answer whose head has arrived.
pub struct AnswerStream {
    key: AttemptKey,
    pool: LinkPool,
    sender: LinkSender,
    events: StreamReceiver,
    /// Bytes handed to the caller so far.
    offset: u64,
    checksum: Hasher,
    is_complete: bool,
}

impl AnswerStream {
    /// The stream behind `head`.
    pub fn new(
        head: &AnswerHead,
        pool: LinkPool,
        sender: LinkSender,
        events: StreamReceiver,
    ) -> Self {
        let checksum = Hasher::new();
        Self {
            key: head.key,
            pool,
            sender,
            events,
            offset: 0,
            checksum,
            is_complete: false,
        }
    }

    /// The next bytes for the caller; `None` after the last.
    ///
    /// # Errors
    /// The answer can't be completed.
    pub async fn next_bytes(&mut self) -> Option<Result<Bytes, Fault>> {
        if self.is_complete {
            return None;
        }
        let step = self.next_step().await;
        if !matches!(step, Some(Ok(_))) {
            self.is_complete = true;
            self.pool.close_stream(self.key);
        }
        step
    }

    async fn next_step(&mut self) -> Option<Result<Bytes, Fault>> {
        loop {
            let message = match self.events.recv().await {
                Some(StreamEvent::Message(message)) => message,
                _ => return Some(Err(FaultKind::ConnectionLost.because("the agent is gone"))),
            };
            match *message {
                LinkMessage::Chunk(chunk) if chunk.offset == self.offset => {
                    self.offset += chunk.bytes.len() as u64;
                    self.checksum.update(&chunk.bytes);
                    let ack = AckNotice {
                        key: self.key,
                        offset: self.offset,
                    };
                    let _ = self.sender.try_send(LinkMessage::Ack(ack));
                    return Some(Ok(chunk.bytes));
                }
                LinkMessage::End(end) => {
                    let checksum = self.checksum.clone().finalize();
                    if (end.length, end.checksum) == (self.offset, checksum) {
                        return None;
                    }
                    return Some(Err(
                        FaultKind::ConnectionLost.because("the answer has a gap")
                    ));
                }
                LinkMessage::Refused(notice) => return Some(Err(notice.fault)),
                _ => {}
            }
        }
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if !self.is_complete {
            self.pool.close_stream(self.key);
            let cancel = CancelRequest { key: self.key };
            let _ = self.sender.try_send(LinkMessage::Cancel(cancel));
        }
    }
}
