//! A TCP forwarder that stalls, delays or closes its connections, or is down.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::fleet::process::free_address;

/// Bytes read at once.
const BUFFER_BYTES: usize = 16 * 1024;
/// Interval at which the threads of a connection check its state.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of one connection.
#[derive(Default)]
struct ConnectionState {
    /// No bytes are forwarded any more, while both ends stay connected.
    is_stalled: AtomicBool,
    /// Bytes from the target are discarded; bytes to the target are forwarded.
    is_mute: AtomicBool,
    /// The connection is to be closed, or was closed.
    is_closed: AtomicBool,
    /// Whether one end has reset the connection, so that the other end is reset too.
    is_reset: AtomicBool,
}

/// Number of attempts to bind the address again after [`TcpForwarder::go_down`].
const BIND_ATTEMPTS: u32 = 50;
/// Pause between two of them.
const BIND_PAUSE: Duration = Duration::from_millis(20);

struct ForwardState {
    target: SocketAddr,
    connections: Mutex<Vec<Arc<ConnectionState>>>,
    refuses: AtomicBool,
    /// Whether the listener is closed, or is to be closed at the next connection.
    is_down: AtomicBool,
    /// Held while the listener is closed or opened again.
    lifecycle: Mutex<()>,
    /// Delay of each forwarded block in milliseconds.
    delay_ms: AtomicU64,
    accepted: AtomicU64,
}

/// Forwards TCP connections from its own address to a target. The threads of a connection end with
/// the connection.
pub struct TcpForwarder {
    /// Address on which it listens.
    pub address: SocketAddr,
    state: Arc<ForwardState>,
}

impl TcpForwarder {
    /// Starts a forwarder on a free address.
    pub fn start(target: SocketAddr) -> Self {
        Self::listen(free_address(), target)
    }

    /// Starts a forwarder on `address`.
    pub fn listen(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let state = Arc::new(ForwardState {
            target,
            connections: Mutex::default(),
            refuses: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            lifecycle: Mutex::default(),
            delay_ms: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || accept_all(&listener, &shared));
        Self { address, state }
    }

    /// Stops forwarding on all open connections. New connections work.
    pub fn stall_connections(&self) {
        for connection in self.open_connections() {
            connection.is_stalled.store(true, Ordering::SeqCst);
        }
    }

    /// Discards what the target sends on all open connections from now on.
    pub fn mute_connections(&self) {
        for connection in self.open_connections() {
            connection.is_mute.store(true, Ordering::SeqCst);
        }
    }

    /// Delays each forwarded block in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.state.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Closes all open connections shortly after the call.
    pub fn close_connections(&self) {
        for connection in self.open_connections() {
            connection.is_closed.store(true, Ordering::SeqCst);
        }
    }

    /// Sets whether new connections are closed immediately.
    pub fn refuse_new_connections(&self, refuses: bool) {
        self.state.refuses.store(refuses, Ordering::SeqCst);
    }

    /// Closes all connections and the listener, like a process that crashes.
    pub fn go_down(&self) {
        let _guard = self.state.lifecycle.lock();
        if !self.state.is_down.swap(true, Ordering::SeqCst) {
            // Ends the accepting thread, which closes the listener.
            let _ = TcpStream::connect(self.address);
            self.close_connections();
        }
    }

    /// Accepts connections again after [`Self::go_down`].
    pub fn come_up(&self) {
        let _guard = self.state.lifecycle.lock();
        if self.state.is_down.load(Ordering::SeqCst) {
            let listener = self.bind_again();
            self.state.is_down.store(false, Ordering::SeqCst);
            let shared = Arc::clone(&self.state);
            thread::spawn(move || accept_all(&listener, &shared));
        }
    }

    /// Binds the address, which the accepting thread may not have given up yet.
    fn bind_again(&self) -> TcpListener {
        for _ in 0..BIND_ATTEMPTS {
            if let Ok(listener) = TcpListener::bind(self.address) {
                return listener;
            }
            thread::sleep(BIND_PAUSE);
        }
        TcpListener::bind(self.address).expect("the address is still free")
    }

    /// Returns the number of connections that were forwarded to the target so far.
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::SeqCst)
    }

    fn open_connections(&self) -> Vec<Arc<ConnectionState>> {
        let connections = self.state.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn accept_all(listener: &TcpListener, state: &Arc<ForwardState>) {
    for accepted in listener.incoming() {
        let Ok(client) = accepted else { continue };
        if state.is_down.load(Ordering::SeqCst) {
            return;
        }
        if state.refuses.load(Ordering::SeqCst) {
            continue;
        }
        if let Ok(server) = TcpStream::connect(state.target) {
            state.accepted.fetch_add(1, Ordering::SeqCst);
            let _ = open_connection(state, &client, &server);
        }
    }
}

fn open_connection(
    state: &Arc<ForwardState>,
    client: &TcpStream,
    server: &TcpStream,
) -> std::io::Result<()> {
    let connection = Arc::new(ConnectionState::default());
    let mut connections = state
        .connections
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    connections.retain(|connection| !connection.is_closed.load(Ordering::SeqCst));
    connections.push(Arc::clone(&connection));
    for (from, to, is_from_target) in [(client, server, false), (server, client, true)] {
        let (from, to) = (from.try_clone()?, to.try_clone()?);
        from.set_read_timeout(Some(CHECK_INTERVAL))?;
        let _ = to.set_nodelay(true);
        let (connection, state) = (Arc::clone(&connection), Arc::clone(state));
        thread::spawn(move || copy_bytes(from, to, &connection, &state, is_from_target));
    }
    Ok(())
}

fn copy_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    connection: &ConnectionState,
    state: &ForwardState,
    is_from_target: bool,
) {
    let mut buffer = [0; BUFFER_BYTES];
    while !connection.is_closed.load(Ordering::SeqCst) {
        if connection.is_stalled.load(Ordering::SeqCst) {
            thread::sleep(CHECK_INTERVAL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(_) if is_from_target && connection.is_mute.load(Ordering::SeqCst) => {}
            Ok(_) if connection.is_stalled.load(Ordering::SeqCst) => {}
            Ok(count) if forward(&mut to, &buffer[..count], state) => {}
            Err(error) if is_timeout(&error) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {
                connection.is_reset.store(true, Ordering::SeqCst);
                let _ = SockRef::from(&to).set_linger(Some(Duration::ZERO));
                break;
            }
            _ => break,
        }
    }
    connection.is_closed.store(true, Ordering::SeqCst);
    if connection.is_reset.load(Ordering::SeqCst) {
        // The sockets are reset when the last of their handles is dropped.
        return;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

fn forward(to: &mut TcpStream, bytes: &[u8], state: &ForwardState) -> bool {
    let delay = state.delay_ms.load(Ordering::SeqCst);
    if delay > 0 {
        thread::sleep(Duration::from_millis(delay));
    }
    to.write_all(bytes).is_ok()
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
