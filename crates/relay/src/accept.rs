//! Accept loop of a listener.

use std::future::Future;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Pause after `accept` failed. The usual cause is a lack of file descriptors, so that an immediate
/// retry would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends and serves each in its own task. `part` is the prefix
/// of the listener's log lines.
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
                log::warn!(
                    "{part}: failed to accept a connection, retrying after a pause: {error}"
                );
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
