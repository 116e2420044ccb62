//! Options of the programs' HTTP connections.

use std::any::Any;

use actix_web::dev::Extensions;
use actix_web::rt::net::TcpStream;

/// Lets every write of a server's connection leave at once, for `HttpServer::on_connect`.
///
/// Tokens are small writes; without this each would wait for the acknowledgement of the one
/// before it.
pub fn send_at_once(connection: &dyn Any, _: &mut Extensions) {
    if let Some(stream) = connection.downcast_ref::<TcpStream>()
        && let Err(error) = stream.set_nodelay(true)
    {
        log::debug!("kernel: a connection keeps its delay: {error}.");
    }
}
