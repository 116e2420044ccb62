//! Bounds on the size and the time of one answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{Method, ServiceConfig, Uri};
use bytes::Bytes;
use exchange::connection::{AnswerLimits, EndpointConnection, EndpointError, request_head};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const SECOND: Duration = Duration::from_secs(1);
/// Pause between two bytes of a slow endpoint.
const PAUSE: Duration = Duration::from_millis(5);

/// Starts an endpoint that sends `first` to each call, then one byte after the other.
async fn slow_endpoint(first: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut call = [0; 1024];
            let _ = stream.read(&mut call).await;
            let mut sent = stream.write_all(first.as_bytes()).await;
            while sent.is_ok() {
                sleep(PAUSE).await;
                sent = stream.write_all(b"b").await;
            }
        }
    });
    address
}

/// Reads an answer to its end.
async fn read_answer(address: SocketAddr, limits: AnswerLimits) -> EndpointError {
    let opened = EndpointConnection::open(address, SECOND).await;
    let mut connection = opened.expect("loopback works");
    connection.limits = limits;
    let head = request_head(Method::GET, Uri::from_static("/"), HeaderMap::new());
    let (config, body) = (ServiceConfig::default(), Bytes::new());
    if let Err(error) = connection.exchange(&config, head, &body).await {
        return error;
    }
    loop {
        match connection.next_chunk().await {
            Ok(Some(_)) => {}
            Ok(None) => panic!("the endpoint never ends its answer"),
            Err(error) => return error,
        }
    }
}

// Issue 23: bytes that are no answer may come without end, also slowly.
#[test]
fn slow_endless_head_and_body_end_at_the_time_limit() {
    actix_rt::System::new().block_on(async {
        for first in ["HTTP/1.1 200 OK\r\nx-slow: ", "HTTP/1.1 200 OK\r\n\r\n"] {
            let address = slow_endpoint(first).await;
            let limits = AnswerLimits {
                time: 20 * PAUSE,
                ..AnswerLimits::default()
            };

            let error = read_answer(address, limits).await;

            assert!(matches!(error, EndpointError::Overlong), "{first}: {error}");
        }
    });
}

#[test]
fn slow_endless_head_and_body_end_at_the_size_limit() {
    actix_rt::System::new().block_on(async {
        for first in ["HTTP/1.1 200 OK\r\nx-slow: ", "HTTP/1.1 200 OK\r\n\r\n"] {
            let address = slow_endpoint(first).await;
            let limits = AnswerLimits {
                head_bytes: 40,
                body_bytes: 20,
                ..AnswerLimits::default()
            };

            let error = read_answer(address, limits).await;

            assert!(
                matches!(error, EndpointError::Oversized),
                "{first}: {error}"
            );
        }
    });
}
