//! How connections are made.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::counters::{FrameDirection, LinkCounters, MessageKind};
use crate::due::DueWatch;
use crate::error::{LinkError, Result};
use crate::frame::{FrameOpener, FrameSealer};
use crate::handshake::{HandshakeSide, LinkIdentity, LinkSecret, shake_hands};
use crate::receiver::LinkReceiver;
use crate::sender::{LinkSender, write_frames};
use crate::state::LinkState;

/// Time after which the kernel gives up on data that the peer's host does not acknowledge.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(10);
/// Time without traffic after which the kernel asks the peer's host for a sign.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10 * 60);

/// How a process makes its connections.
#[derive(Clone)]
pub struct LinkSettings {
    /// Who this process is.
    pub identity: LinkIdentity,
    /// The shared secret.
    pub secret: LinkSecret,
    /// Longest duration of connecting and of the handshake.
    pub connect_limit: Duration,
    /// Time without arrivals, while something is awaited, after which a probe is sent.
    pub probe_after: Duration,
    /// Time without arrivals, while something is awaited, after which the connection counts as
    /// dead; also the longest time for which the peer may take no bytes.
    pub silence_limit: Duration,
    /// Messages that wait for the socket before senders wait.
    pub queue_messages: usize,
    /// Bytes that wait for the socket before senders wait. A larger message waits alone.
    pub queue_bytes: u32,
    /// Counts of all connections of the process.
    pub counters: Arc<LinkCounters>,
}

impl LinkSettings {
    /// Settings of a process with the default times.
    pub fn new(identity: LinkIdentity, secret: LinkSecret) -> Self {
        Self {
            identity,
            secret,
            connect_limit: Duration::from_secs(2),
            probe_after: Duration::from_millis(1200),
            silence_limit: Duration::from_millis(2700),
            queue_messages: 1024,
            queue_bytes: 4 * 1024 * 1024,
            counters: Arc::default(),
        }
    }
}

/// An open connection.
pub struct Link {
    /// Who is at the other end.
    pub peer: LinkIdentity,
    /// Sends messages; may be cloned.
    pub sender: LinkSender,
    /// Receives messages.
    pub receiver: LinkReceiver,
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
    set_options(&stream)?;
    let handshake = shake_hands(&mut stream, side, &settings.identity, &settings.secret);
    let shaken = timeout(settings.connect_limit, handshake).await;
    let shaken = shaken.map_err(|_| LinkError::Silent)??;
    settings.counters.add(
        FrameDirection::Received,
        MessageKind::Handshake,
        shaken.received_bytes,
    );
    settings.counters.add(
        FrameDirection::Sent,
        MessageKind::Handshake,
        shaken.sent_bytes,
    );
    let (read_half, write_half) = stream.into_split();
    let (queue, payloads) = mpsc::channel(settings.queue_messages);
    let watch = DueWatch::new(Instant::now(), settings.probe_after, settings.silence_limit);
    let state = Arc::new(LinkState::new(watch, Arc::clone(&settings.counters)));
    let receiver = LinkReceiver::new(
        read_half,
        FrameOpener::new(shaken.receive_key),
        queue.downgrade(),
        Arc::clone(&state),
    );
    actix_rt::spawn(write_frames(
        write_half,
        payloads,
        FrameSealer::new(shaken.send_key),
        Arc::clone(&state),
        settings.silence_limit,
    ));
    Ok(Link {
        peer: shaken.peer,
        sender: LinkSender::new(queue, settings.queue_bytes, state),
        receiver,
    })
}

/// Lets the kernel end a connection whose data the peer's host does not acknowledge, also when
/// nothing is awaited on it.
fn set_options(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_TIME))?;
    Ok(())
}
