//! Socket options of HTTP connections.

use std::any::Any;

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;

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
