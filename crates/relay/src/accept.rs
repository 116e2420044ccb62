//! Accepting connections.

use std::future::Future;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after a failure to accept, which mostly means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves each connection in a task of its own until the process ends. `part` names the listener in
/// the log.
pub async fn accept_each<F>(listener: TcpListener, part: &str, serve: impl Fn(TcpStream) -> F)
where
    F: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(stream));
            }
            Err(error) => {
                log::warn!("{part}: accepting a connection failed: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
