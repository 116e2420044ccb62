//! The sending half of a connection and its writer task.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::timeout;
use wire::LinkMessage;
use wire::codec;

use crate::counters::{FrameDirection, MessageKind};
use crate::error::{LinkError, Result};
use crate::frame::{FRAME_OVERHEAD_BYTES, FrameSealer, PayloadType};
use crate::state::LinkState;

/// Bytes that the writer collects, if they are queued, before it writes to the socket.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// An encoded payload queued for the writer task.
pub(crate) struct QueuedPayload {
    kind: MessageKind,
    bytes: Vec<u8>,
    /// Holds the payload's share of the queue's byte capacity while the payload is queued. Probes
    /// and their replies are exempt.
    _permit: Option<OwnedSemaphorePermit>,
}

impl QueuedPayload {
    pub(crate) fn probe() -> Self {
        Self::without_message(MessageKind::Probe, PayloadType::Probe)
    }

    pub(crate) fn probe_reply() -> Self {
        Self::without_message(MessageKind::ProbeReply, PayloadType::ProbeReply)
    }

    fn without_message(kind: MessageKind, payload_type: PayloadType) -> Self {
        Self {
            kind,
            bytes: vec![payload_type as u8],
            _permit: None,
        }
    }
}

/// Sends messages on a connection. The connection closes when all senders are dropped and the queue
/// is written, or when either side declares it dead.
#[derive(Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<QueuedPayload>,
    /// Free byte capacity of the queue.
    free_bytes: Arc<Semaphore>,
    /// Total byte capacity of the queue.
    queue_bytes: u32,
    state: Arc<LinkState>,
}

impl LinkSender {
    pub(crate) fn new(
        queue: mpsc::Sender<QueuedPayload>,
        queue_bytes: u32,
        state: Arc<LinkState>,
    ) -> Self {
        let free_bytes = Arc::new(Semaphore::new(queue_bytes as usize));
        Self {
            queue,
            free_bytes,
            queue_bytes,
            state,
        }
    }

    /// Queues a message, waiting while the queue is full.
    ///
    /// # Errors
    /// [`LinkError::Closed`] when the connection is closed, [`LinkError::Codec`] when the message
    /// is too large.
    pub async fn send(&self, message: LinkMessage) -> Result<()> {
        let bytes = encode(&message)?;
        let permit = Arc::clone(&self.free_bytes).acquire_many_owned(self.permits_for(&bytes));
        let permit = tokio::select! {
            permit = permit => permit.map_err(|_| LinkError::Closed)?,
            () = self.state.until_closed() => return Err(LinkError::Closed),
        };
        let slot = tokio::select! {
            slot = self.queue.reserve() => slot.map_err(|_| LinkError::Closed)?,
            () = self.state.until_closed() => return Err(LinkError::Closed),
        };
        self.record_sent(&message)?;
        slot.send(payload(&message, bytes, permit));
        Ok(())
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    /// [`LinkError::Closed`] when the queue is full or the connection is closed,
    /// [`LinkError::Codec`] when the message is too large.
    pub fn try_send(&self, message: LinkMessage) -> Result<()> {
        let bytes = encode(&message)?;
        let permit = Arc::clone(&self.free_bytes).try_acquire_many_owned(self.permits_for(&bytes));
        let permit = permit.map_err(|_| LinkError::Closed)?;
        let slot = self.queue.try_reserve().map_err(|_| LinkError::Closed)?;
        self.record_sent(&message)?;
        slot.send(payload(&message, bytes, permit));
        Ok(())
    }

    /// Waits until the connection is closed.
    pub async fn closed(&self) {
        self.state.until_closed().await;
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.state.is_closed() || self.queue.is_closed()
    }

    /// Number of permits that a message of these bytes takes. A message larger than the queue takes
    /// all of them, so that it waits for an empty queue instead of forever.
    fn permits_for(&self, bytes: &[u8]) -> u32 {
        u32::try_from(bytes.len()).map_or(self.queue_bytes, |size| size.min(self.queue_bytes))
    }

    fn record_sent(&self, message: &LinkMessage) -> Result<()> {
        if self.state.is_closed() {
            return Err(LinkError::Closed);
        }
        if self.state.monitor().record_sent(Instant::now(), message) {
            self.state.reply_pending.notify_one();
        }
        Ok(())
    }
}

fn encode(message: &LinkMessage) -> Result<Vec<u8>> {
    Ok(codec::encode(&(PayloadType::Message as u8, message))?)
}

fn payload(message: &LinkMessage, bytes: Vec<u8>, permit: OwnedSemaphorePermit) -> QueuedPayload {
    QueuedPayload {
        kind: MessageKind::of(message),
        bytes,
        _permit: Some(permit),
    }
}

/// Writes queued payloads until all senders are dropped, the connection is closed, the socket fails,
/// or the peer accepts no bytes for `write_limit`.
pub(crate) async fn write_frames(
    stream: OwnedWriteHalf,
    mut payloads: mpsc::Receiver<QueuedPayload>,
    sealer: FrameSealer,
    state: Arc<LinkState>,
    write_limit: Duration,
) {
    tokio::select! {
        () = write_all(stream, &mut payloads, sealer, &state, write_limit) => {}
        () = state.until_closed() => {}
    }
    state.close();
}

async fn write_all(
    mut stream: OwnedWriteHalf,
    payloads: &mut mpsc::Receiver<QueuedPayload>,
    mut sealer: FrameSealer,
    state: &LinkState,
    write_limit: Duration,
) {
    let mut out = BytesMut::new();
    while let Some(payload) = payloads.recv().await {
        seal_payload(&payload, &mut sealer, &mut out, state);
        while out.len() < WRITE_BATCH_BYTES {
            let Ok(payload) = payloads.try_recv() else {
                break;
            };
            seal_payload(&payload, &mut sealer, &mut out, state);
        }
        while !out.is_empty() {
            // The limit applies to each write, so a slow peer that makes progress is kept.
            let written = timeout(write_limit, stream.write_buf(&mut out)).await;
            if !matches!(written, Ok(Ok(count)) if count > 0) {
                return;
            }
        }
    }
}

fn seal_payload(
    payload: &QueuedPayload,
    sealer: &mut FrameSealer,
    out: &mut BytesMut,
    state: &LinkState,
) {
    sealer.seal(&payload.bytes, out);
    let bytes = payload.bytes.len() + FRAME_OVERHEAD_BYTES;
    state
        .counters
        .add(FrameDirection::Sent, payload.kind, bytes);
}
