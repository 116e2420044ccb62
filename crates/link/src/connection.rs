//! Opening and accepting connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::counters::{FrameDirection, LinkCounters, MessageKind};
use crate::error::{LinkError, Result};
use crate::frame::{FrameOpener, FrameSealer};
use crate::handshake::{HandshakeSide, LinkIdentity, LinkSecret, perform_handshake};
use crate::liveness::LivenessMonitor;
use crate::receiver::LinkReceiver;
use crate::sender::{LinkSender, write_frames};
use crate::state::LinkState;

/// Time after which the operating system drops a connection with unacknowledged data.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which the operating system sends the first TCP keepalive.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10 * 60);

/// Connection settings of a process.
#[derive(Clone)]
pub struct LinkSettings {
    /// Identity that this process claims in its hello.
    pub identity: LinkIdentity,
    /// Secret shared by all processes of the system.
    pub secret: LinkSecret,
    /// Timeout of connecting, and again of the handshake.
    pub connect_limit: Duration,
    /// Time without received bytes, while a reply is pending, after which a probe is sent.
    pub probe_after: Duration,
    /// Time without received bytes, while a reply is pending, after which the connection is
    /// declared dead. Also the timeout of a write of which the peer accepts no bytes.
    pub silence_limit: Duration,
    /// Capacity of the send queue in messages; senders wait while it is full.
    pub queue_messages: usize,
    /// Capacity of the send queue in bytes; senders wait while it is full. A larger message takes
    /// the whole capacity.
    pub queue_bytes: u32,
    /// Traffic counters that the connections update.
    pub counters: Arc<LinkCounters>,
}

impl LinkSettings {
    /// Creates settings with default timeouts and queue sizes.
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
    /// Identity of the authenticated peer.
    pub peer: LinkIdentity,
    /// Sends messages.
    pub sender: LinkSender,
    /// Receives messages.
    pub receiver: LinkReceiver,
}

/// Connects to `address` and runs the handshake.
///
/// # Errors
/// The socket failed, a timeout expired, or the peer failed authentication.
pub async fn connect(address: SocketAddr, settings: &LinkSettings) -> Result<Link> {
    let opened = timeout(settings.connect_limit, TcpStream::connect(address)).await;
    let stream = opened.map_err(|_| LinkError::TimedOut)??;
    establish(stream, HandshakeSide::Connecting, settings).await
}

/// Runs the handshake on an accepted connection.
///
/// # Errors
/// The socket failed, the handshake timed out, or the peer failed authentication.
pub async fn accept(stream: TcpStream, settings: &LinkSettings) -> Result<Link> {
    establish(stream, HandshakeSide::Accepting, settings).await
}

async fn establish(
    mut stream: TcpStream,
    side: HandshakeSide,
    settings: &LinkSettings,
) -> Result<Link> {
    set_options(&stream)?;
    let handshake = perform_handshake(&mut stream, side, &settings.identity, &settings.secret);
    let result = timeout(settings.connect_limit, handshake).await;
    let result = result.map_err(|_| LinkError::TimedOut)??;
    settings.counters.add(
        FrameDirection::Received,
        MessageKind::Handshake,
        result.received_bytes,
    );
    settings.counters.add(
        FrameDirection::Sent,
        MessageKind::Handshake,
        result.sent_bytes,
    );
    let (read_half, write_half) = stream.into_split();
    let (queue, payloads) = mpsc::channel(settings.queue_messages);
    let monitor =
        LivenessMonitor::new(Instant::now(), settings.probe_after, settings.silence_limit);
    let state = Arc::new(LinkState::new(monitor, Arc::clone(&settings.counters)));
    let receiver = LinkReceiver::new(
        read_half,
        FrameOpener::new(result.receive_key),
        queue.downgrade(),
        Arc::clone(&state),
    );
    actix_rt::spawn(write_frames(
        write_half,
        payloads,
        FrameSealer::new(result.send_key),
        Arc::clone(&state),
        settings.silence_limit,
    ));
    Ok(Link {
        peer: result.peer,
        sender: LinkSender::new(queue, settings.queue_bytes, state),
        receiver,
    })
}

/// Disables Nagle's algorithm and lets the operating system detect a dead peer host, also while no
/// reply is pending and the connection is not probed.
fn set_options(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_IDLE))?;
    Ok(())
}
