//! A connection as a pair of sender and receiver.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::LinkMessage;
use wire::codec;

use crate::error::{LinkError, Result};
use crate::frame::{FrameOpener, FrameSealer};
use crate::handshake::{HandshakeSide, LinkIdentity, LinkSecret, shake_hands};

/// Bytes that the writer collects before it writes.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// How a process makes its connections.
#[derive(Clone)]
pub struct LinkSettings {
    /// Who this process is.
    pub identity: LinkIdentity,
    /// The shared secret.
    pub secret: LinkSecret,
    /// Longest duration of connecting and of the handshake.
    pub connect_limit: Duration,
    /// Time without arrivals after which a probe is sent.
    pub probe_after: Duration,
    /// Time without arrivals after which the connection counts as dead.
    pub silence_limit: Duration,
    /// Messages that wait for the socket before senders wait.
    pub queue_messages: usize,
}

impl LinkSettings {
    /// Settings of a process with the default times.
    pub fn new(identity: LinkIdentity, secret: LinkSecret) -> Self {
        Self {
            identity,
            secret,
            connect_limit: Duration::from_secs(2),
            probe_after: Duration::from_millis(750),
            silence_limit: Duration::from_millis(2500),
            queue_messages: 1024,
        }
    }
}

/// What the writer puts into a frame.
enum FrameContent {
    Message(Box<LinkMessage>),
    Probe,
    ProbeReply,
}

/// First byte of a payload.
const MESSAGE_MARK: u8 = 0;
const PROBE_MARK: u8 = 1;
const PROBE_REPLY_MARK: u8 = 2;

/// An open connection.
pub struct Link {
    /// Who is at the other end.
    pub peer: LinkIdentity,
    /// Sends messages; may be cloned.
    pub sender: LinkSender,
    /// Receives messages.
    pub receiver: LinkReceiver,
}

/// Sends messages on a connection. The connection closes when all senders and the receiver are
/// gone.
#[derive(Clone)]
pub struct LinkSender {
    queue: mpsc::Sender<FrameContent>,
}

impl LinkSender {
    /// Sends a message, waiting while the queue is full.
    ///
    /// # Errors
    /// [`LinkError::Closed`] when the connection has ended.
    pub async fn send(&self, message: LinkMessage) -> Result<()> {
        let content = FrameContent::Message(Box::new(message));
        self.queue
            .send(content)
            .await
            .map_err(|_| LinkError::Closed)
    }

    /// Sends a message if the queue has room.
    ///
    /// # Errors
    /// [`LinkError::Closed`] when the queue is full or the connection has ended.
    pub fn try_send(&self, message: LinkMessage) -> Result<()> {
        let content = FrameContent::Message(Box::new(message));
        self.queue.try_send(content).map_err(|_| LinkError::Closed)
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Receives the messages of a connection.
pub struct LinkReceiver {
    stream: OwnedReadHalf,
    buffer: BytesMut,
    opener: FrameOpener,
    replies: mpsc::WeakSender<FrameContent>,
    probe_after: Duration,
    silence_limit: Duration,
}

impl LinkReceiver {
    /// The next message. Probes on the way are answered here.
    ///
    /// # Errors
    /// Why the connection ended; it is unusable then.
    pub async fn next(&mut self) -> Result<LinkMessage> {
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
        match payload.first() {
            Some(&MESSAGE_MARK) => Ok(Some(codec::decode(&payload.slice(1..))?)),
            Some(&PROBE_MARK) => {
                self.enqueue(FrameContent::ProbeReply);
                Ok(None)
            }
            Some(&PROBE_REPLY_MARK) => Ok(None),
            _ => Err(LinkError::NotAuthentic),
        }
    }

    async fn fill(&mut self) -> Result<()> {
        if let Ok(read) = timeout(self.probe_after, self.read_some()).await {
            return read;
        }
        self.enqueue(FrameContent::Probe);
        let rest = self.silence_limit.saturating_sub(self.probe_after);
        timeout(rest, self.read_some())
            .await
            .map_err(|_| LinkError::Silent)?
    }

    async fn read_some(&mut self) -> Result<()> {
        if self.stream.read_buf(&mut self.buffer).await? == 0 {
            return Err(LinkError::Closed);
        }
        Ok(())
    }

    fn enqueue(&self, content: FrameContent) {
        if let Some(queue) = self.replies.upgrade() {
            // A full queue is traffic enough; the peer needs no probe then.
            let _ = queue.try_send(content);
        }
    }
}

/// Opens a connection to `address`.
///
/// # Errors
/// The socket's error, or a peer that is not authentic.
pub async fn connect(address: SocketAddr, settings: &LinkSettings) -> Result<Link> {
    let opened = timeout(settings.connect_limit, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| LinkError::Silent)??;
    establish(stream, HandshakeSide::Connecting, settings).await
}

/// Takes over a connection that a peer opened.
///
/// # Errors
/// The socket's error, or a peer that is not authentic.
pub async fn accept(stream: TcpStream, settings: &LinkSettings) -> Result<Link> {
    establish(stream, HandshakeSide::Accepting, settings).await
}

async fn establish(
    mut stream: TcpStream,
    side: HandshakeSide,
    settings: &LinkSettings,
) -> Result<Link> {
    stream.set_nodelay(true)?;
    let handshake = shake_hands(&mut stream, side, &settings.identity, &settings.secret);
    let shaken = timeout(settings.connect_limit, handshake).await;
    let shaken = shaken.map_err(|_| LinkError::Silent)??;
    let (read_half, write_half) = stream.into_split();
    let (queue, contents) = mpsc::channel(settings.queue_messages);
    let receiver = LinkReceiver {
        stream: read_half,
        buffer: BytesMut::new(),
        opener: FrameOpener::new(shaken.receive_key),
        replies: queue.downgrade(),
        probe_after: settings.probe_after,
        silence_limit: settings.silence_limit,
    };
    actix_rt::spawn(write_frames(
        write_half,
        contents,
        FrameSealer::new(shaken.send_key),
    ));
    Ok(Link {
        peer: shaken.peer,
        sender: LinkSender { queue },
        receiver,
    })
}

/// Writes queued contents until every sender is gone or the socket fails.
async fn write_frames(
    mut stream: OwnedWriteHalf,
    mut contents: mpsc::Receiver<FrameContent>,
    mut sealer: FrameSealer,
) {
    let mut out = BytesMut::new();
    while let Some(content) = contents.recv().await {
        seal_content(&content, &mut sealer, &mut out);
        while out.len() < WRITE_BATCH_BYTES {
            let Ok(content) = contents.try_recv() else {
                break;
            };
            seal_content(&content, &mut sealer, &mut out);
        }
        if stream.write_all_buf(&mut out).await.is_err() {
            return;
        }
    }
}

fn seal_content(content: &FrameContent, sealer: &mut FrameSealer, out: &mut BytesMut) {
    match content {
        FrameContent::Message(message) => {
            let marked = codec::encode(&(MESSAGE_MARK, message));
            debug_assert!(marked.is_ok(), "message exceeds the limit");
            if let Ok(payload) = marked {
                sealer.seal(&payload, out);
            }
        }
        FrameContent::Probe => sealer.seal(&[PROBE_MARK], out),
        FrameContent::ProbeReply => sealer.seal(&[PROBE_REPLY_MARK], out),
    }
}
