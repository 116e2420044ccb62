//! Connections of HTTP servers: socket options and limits.

use std::any::Any;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Shutdown};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use actix_web::HttpRequest;
use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;
use quota::connections::{
    AdmitResult, ConnectionId, ConnectionLimits, ConnectionTable, ConnectionUse,
};
use settings::process::LimitSettings;
use socket2::{SockRef, Socket};

use crate::limits::descriptor_limit;

/// TCP user timeout: the connection fails when sent bytes stay unacknowledged, or the client takes
/// none, for this time.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);
/// Sizes of the socket buffers of a connection, by the number of connections that are open when it
/// is accepted. What has arrived and has not been read counts towards the memory of the machine.
const SOCKET_BUFFERS: [(usize, usize); 2] = [(64, 128 * 1024), (usize::MAX, 16 * 1024)];
/// Maximum number of connections on which no request is being served. The server buffers up to
/// 128 KB of a head that has not ended, which these could hold: 32 MB together.
const MAX_WAITING: usize = 256;
/// Maximum number of connections that gave way and have not been closed yet.
const MAX_CLOSING: usize = 32;
/// Share of the file descriptors, as a fraction, that connections may use at two each: one for the
/// server and one to close it.
const DESCRIPTOR_SHARE: (usize, usize) = (3, 8);

/// Sets `TCP_NODELAY` on a server connection; a callback for `HttpServer::on_connect`.
///
/// Streamed tokens are small writes. With Nagle's algorithm each would wait for the acknowledgement
/// of the previous one.
pub fn set_nodelay(connection: &dyn Any, _: &mut Extensions) {
    if let Some(stream) = connection.downcast_ref::<TcpStream>()
        && let Err(error) = stream.set_nodelay(true)
    {
        log::debug!("kernel: cannot set TCP_NODELAY on a connection: {error}.");
    }
}

/// Limits the connections of a server, on all its threads.
#[derive(Clone)]
pub struct ConnectionLimiter {
    shared: Arc<SharedTable>,
}

struct SharedTable {
    state: Mutex<TableState>,
    started: Instant,
}

struct TableState {
    table: ConnectionTable,
    sockets: HashMap<ConnectionId, Arc<Socket>>,
}

impl SharedTable {
    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_use(&self, id: ConnectionId, used_for: ConnectionUse) {
        let now = self.started.elapsed();
        self.lock().table.note_use(now, id, used_for);
    }
}

impl ConnectionLimiter {
    /// Creates the limiter of a server.
    pub fn new(limits: &LimitSettings) -> Self {
        let (part, whole) = DESCRIPTOR_SHARE;
        let descriptors = descriptor_limit().map_or(usize::MAX, |limit| limit / whole * part);
        let limits = ConnectionLimits {
            connections: limits.connections.min(descriptors),
            per_address: limits.connections_per_address,
            waiting: MAX_WAITING,
            closing: MAX_CLOSING,
        };
        Self {
            shared: Arc::new(SharedTable {
                state: Mutex::new(TableState {
                    table: ConnectionTable::new(limits),
                    sockets: HashMap::new(),
                }),
                started: Instant::now(),
            }),
        }
    }

    /// Admits a connection, in place of another one if need be; for `HttpServer::on_connect`. A
    /// connection that is not admitted is shut down.
    pub fn admit(&self, connection: &dyn Any, extensions: &mut Extensions) {
        set_nodelay(connection, extensions);
        let Some(stream) = connection.downcast_ref::<TcpStream>() else {
            return;
        };
        let socket = match SockRef::from(stream).try_clone() {
            Ok(socket) => Arc::new(socket),
            Err(error) => {
                log::warn!("kernel: cannot keep a handle of a connection: {error}.");
                return;
            }
        };
        let peer = stream.peer_addr().map(|peer| peer.ip());
        let peer = peer.unwrap_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED));
        let now = self.shared.started.elapsed();
        let mut state = self.shared.lock();
        let id = match state.table.admit(now, peer) {
            AdmitResult::Admitted(id) => id,
            AdmitResult::Replaces(id, victim) => {
                if let Some(other) = state.sockets.get(&victim) {
                    let _ = other.shutdown(Shutdown::Both);
                }
                id
            }
            AdmitResult::Refused => {
                let _ = socket.shutdown(Shutdown::Both);
                return;
            }
        };
        set_bounds(&socket, state.table.count());
        state.sockets.insert(id, Arc::clone(&socket));
        drop(state);
        extensions.insert(Arc::new(OpenConnection {
            shared: Arc::clone(&self.shared),
            socket,
            id,
        }));
    }
}

/// Bounds what the kernel holds for a connection, and for how long. A failure leaves the kernel's
/// own bounds.
fn set_bounds(socket: &Socket, open: usize) {
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
    let size = SOCKET_BUFFERS.iter().find(|(below, _)| open <= *below);
    if let Some((_, bytes)) = size {
        let _ = socket.set_recv_buffer_size(*bytes);
        let _ = socket.set_send_buffer_size(*bytes);
    }
}

/// An admitted connection of a server, until it is closed.
pub struct OpenConnection {
    shared: Arc<SharedTable>,
    /// Second handle of the socket.
    pub socket: Arc<Socket>,
    id: ConnectionId,
}

impl OpenConnection {
    /// The connection of a request; `None` if it could not be counted.
    pub fn of(request: &HttpRequest) -> Option<Arc<Self>> {
        request.conn_data::<Arc<Self>>().cloned()
    }

    /// Records that the client sends a request.
    pub fn note_progress(&self) {
        self.shared.note_use(self.id, ConnectionUse::Receiving);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.table.remove(self.id);
        state.sockets.remove(&self.id);
    }
}

/// Marks a connection as serving a request until it is dropped. It does not give way to others.
pub struct ServingMark(Arc<OpenConnection>);

impl ServingMark {
    /// Marks a connection.
    pub fn new(connection: Arc<OpenConnection>) -> Self {
        let (shared, id) = (&connection.shared, connection.id);
        shared.note_use(id, ConnectionUse::Serving);
        Self(connection)
    }
}

impl Drop for ServingMark {
    fn drop(&mut self) {
        self.0.shared.note_use(self.0.id, ConnectionUse::Idle);
    }
}
