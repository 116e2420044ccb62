//! Accept loop of a listener.

use std::future::Future;
use std::time::Duration;

use quota::gate::{ConnectionGate, ConnectionPass};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after `accept` failed. The usual cause is a lack of file descriptors, so that an immediate
/// retry would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Sizes of the socket buffers of a connection, by the number of connections that are open when it
/// is accepted. What has arrived and has not been read, or was sent and has not been taken, counts
/// towards the memory of the machine: at most some 32 MB in each direction with 4,000 connections.
const SOCKET_BUFFERS: [(usize, usize); 3] =
    [(64, 128 * 1024), (512, 24 * 1024), (usize::MAX, 4 * 1024)];

/// Accepts connections until the process ends and serves each in its own task, as far as `gate`
/// admits them. `part` is the prefix of the listener's log lines.
pub async fn accept_each<F>(
    listener: TcpListener,
    part: &str,
    gate: ConnectionGate,
    serve: impl Fn(TcpStream, ConnectionPass) -> F,
) where
    F: Future<Output = ()> + 'static,
{
    let mut refused = 0_u64;
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => match gate.admit(peer.ip()) {
                Some(pass) => {
                    bound_socket_buffers(&stream, gate.count());
                    actix_rt::spawn(serve(stream, pass));
                }
                None => {
                    refused += 1;
                    if refused.is_power_of_two() {
                        log::warn!(refused = refused; "{part}: connection closed: connection limit reached");
                    }
                }
            },
            Err(error) => {
                log::warn!(
                    "{part}: failed to accept a connection, retrying after a pause: {error}"
                );
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Bounds what the kernel holds for a connection. A failure leaves the kernel's own bounds.
fn bound_socket_buffers(stream: &TcpStream, open: usize) {
    let size = SOCKET_BUFFERS.iter().find(|(below, _)| open <= *below);
    if let Some((_, bytes)) = size {
        let socket = SockRef::from(stream);
        let _ = socket.set_recv_buffer_size(*bytes);
        let _ = socket.set_send_buffer_size(*bytes);
    }
}
