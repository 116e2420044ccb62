//! The receiving half of a connection.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::sleep_until;
use wire::LinkMessage;
use wire::codec;

use crate::counters::{FrameDirection, MessageKind};
use crate::error::{LinkError, Result};
use crate::frame::{FRAME_OVERHEAD_BYTES, FrameOpener, PayloadType};
use crate::liveness::LivenessAction;
use crate::sender::QueuedPayload;
use crate::state::LinkState;

/// Smallest free space in the read buffer before a read; bounds the memory of an idle connection.
const IDLE_READ_BYTES: usize = 4 * 1024;
/// Largest free space reserved at once while a large frame arrives. The buffer thus never exceeds
/// twice the received bytes plus this, whatever length a frame claims.
const MAX_READ_BYTES: usize = 256 * 1024;

/// Receives the messages of a connection. Probes are answered inside [`LinkReceiver::next`]: a
/// process that does not call it for the silence limit is declared dead by a peer that waits
/// for a reply.
pub struct LinkReceiver {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    opener: FrameOpener,
    write_queue: mpsc::WeakSender<QueuedPayload>,
    state: Arc<LinkState>,
}

impl LinkReceiver {
    pub(crate) fn new(
        stream: OwnedReadHalf,
        opener: FrameOpener,
        write_queue: mpsc::WeakSender<QueuedPayload>,
        state: Arc<LinkState>,
    ) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
            opener,
            write_queue,
            state,
        }
    }

    /// Returns the next message, and answers probes meanwhile.
    ///
    /// # Errors
    /// The error that ended the connection, which closes its senders as well.
    pub async fn next(&mut self) -> Result<LinkMessage> {
        let message = self.next_message().await;
        if message.is_err() {
            self.state.close();
        }
        message
    }

    async fn next_message(&mut self) -> Result<LinkMessage> {
        loop {
            while let Some(payload) = self.opener.open(&mut self.buffer)? {
                if let Some(message) = self.read_payload(&payload)? {
                    return Ok(message);
                }
            }
            self.fill().await?;
        }
    }

    fn read_payload(&mut self, payload: &Bytes) -> Result<Option<LinkMessage>> {
        let payload_type = payload
            .first()
            .and_then(|byte| PayloadType::from_byte(*byte));
        let (kind, message) = match payload_type {
            Some(PayloadType::Message) => {
                let message = codec::decode(&payload.slice(1..))?;
                self.state.monitor().record_received(&message);
                (MessageKind::of(&message), Some(message))
            }
            Some(PayloadType::Probe) => {
                self.enqueue(QueuedPayload::probe_reply());
                (MessageKind::Probe, None)
            }
            Some(PayloadType::ProbeReply) => (MessageKind::ProbeReply, None),
            None => return Err(LinkError::NotAuthentic),
        };
        let bytes = payload.len() + FRAME_OVERHEAD_BYTES;
        self.state
            .counters
            .add(FrameDirection::Received, kind, bytes);
        Ok(message)
    }

    /// Reads at least one byte into the buffer. Meanwhile sends a probe, or fails, when the liveness
    /// timeouts expire.
    async fn fill(&mut self) -> Result<()> {
        let state = Arc::clone(&self.state);
        loop {
            let action = state.monitor().next_action(Instant::now());
            let deadline = match action {
                LivenessAction::Idle => None,
                LivenessAction::WaitUntil(deadline) => Some(deadline),
                LivenessAction::TimedOut => return Err(LinkError::TimedOut),
                LivenessAction::Probe => {
                    self.enqueue(QueuedPayload::probe());
                    continue;
                }
            };
            // Polls the socket before the timer: after a pause of this process, the reply that
            // arrived meanwhile must win over the expired deadline.
            tokio::select! {
                biased;
                read = self.read_some() => {
                    read?;
                    state.monitor().record_bytes_received(Instant::now());
                    return Ok(());
                }
                () = sleep_until_some(deadline) => {}
                () = state.reply_pending.notified() => {}
                () = state.until_closed() => return Err(LinkError::Closed),
            }
        }
    }

    async fn read_some(&mut self) -> Result<()> {
        let missing = self.opener.missing(&self.buffer);
        let space = missing.clamp(IDLE_READ_BYTES, MAX_READ_BYTES);
        self.buffer.reserve(space);
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(LinkError::Closed);
        }
        Ok(())
    }

    fn enqueue(&self, payload: QueuedPayload) {
        if let Some(queue) = self.write_queue.upgrade() {
            // Dropping the frame is safe when the queue is full: the queued messages already show
            // the peer that this side is alive.
            let _ = queue.try_send(payload);
        }
    }
}

/// Sleeps until the deadline, or forever without one.
async fn sleep_until_some(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}
