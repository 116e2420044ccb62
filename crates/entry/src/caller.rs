//! Connection of a caller, as far as the framing of answers depends on it.

use std::any::Any;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::Extensions;
use actix_web::http::Version;
use actix_web::rt::net::TcpStream;
use actix_web::{HttpRequest, HttpResponse};
use kernel::http::set_nodelay;
use socket2::{SockRef, Socket};

/// Second handle of a caller's socket.
struct CallerSocket(Socket);

/// Connection on which a call arrived.
#[derive(Clone)]
pub struct CallerConnection {
    /// Whether the caller knows chunked encoding.
    pub knows_chunks: bool,
    /// `None` if the system gave no second handle.
    socket: Option<Arc<CallerSocket>>,
}

/// Prepares an accepted connection; a callback for `HttpServer::on_connect`.
pub fn prepare_connection(connection: &dyn Any, extensions: &mut Extensions) {
    set_nodelay(connection, extensions);
    let Some(stream) = connection.downcast_ref::<TcpStream>() else {
        return;
    };
    match SockRef::from(stream).try_clone() {
        Ok(socket) => {
            extensions.insert(Arc::new(CallerSocket(socket)));
        }
        Err(error) => log::warn!("entry: cannot keep a handle of a connection: {error}."),
    }
}

impl CallerConnection {
    /// The connection of a request.
    pub fn of(request: &HttpRequest) -> Self {
        Self {
            knows_chunks: request.version() >= Version::HTTP_11,
            socket: request.conn_data::<Arc<CallerSocket>>().cloned(),
        }
    }

    /// Lets a response end with the connection. Until [`Self::end_until_close`], whatever closes
    /// the connection, even the end of this process, resets it.
    pub fn begin_until_close(&self, response: &mut HttpResponse) {
        response.head_mut().no_chunking(true);
        self.set_linger(Some(Duration::ZERO));
    }

    /// Lets the connection close as usual, as the whole response was handed over.
    pub fn end_until_close(&self) {
        self.set_linger(None);
    }

    fn set_linger(&self, linger: Option<Duration>) {
        let Some(socket) = &self.socket else {
            return;
        };
        if let Err(error) = socket.0.set_linger(linger) {
            log::warn!("entry: cannot choose how a connection ends: {error}.");
        }
    }
}
