//! One connection of a caller, or of another HTTP client of an instance.

use std::io;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Request, Response, ServiceConfig, StatusCode};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// Time after which the kernel gives up on bytes that the caller's host does not acknowledge.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);
/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// Bytes of later requests that are taken in while one is served.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Why a connection takes no more requests.
#[derive(Debug, Display, Error, From)]
pub enum SessionError {
    /// The socket failed, or the client closed it inside a request.
    #[display("socket failed: {_0}")]
    Socket(io::Error),
    /// The bytes are no request.
    #[display("bytes are no request: {_0}")]
    Parse(ParseError),
    /// The body is malformed.
    #[display("body is malformed: {_0}")]
    Payload(PayloadError),
    /// The head exceeds its limit.
    #[display("head is too large")]
    #[from(skip)]
    OversizedHead,
    /// The body exceeds its limit.
    #[display("body is too large")]
    #[from(skip)]
    OversizedBody,
    /// The request did not arrive in time.
    #[display("request came too slowly")]
    #[from(skip)]
    Slow,
}

/// Result of operations on a connection.
pub type Result<T> = std::result::Result<T, SessionError>;

/// What a client may send.
#[derive(Clone, Copy, Debug)]
pub struct SessionLimits {
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Time from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Longest pause inside a body.
    pub body_timeout: Duration,
}

/// A whole request.
pub struct IncomingCall {
    /// Its head.
    pub head: Request,
    /// Its body.
    pub body: Bytes,
}

/// The reading side.
pub struct SessionReader {
    half: OwnedReadHalf,
    read_buffer: BytesMut,
}

/// The writing side.
pub struct SessionWriter {
    half: OwnedWriteHalf,
    codec: Codec,
    write_buffer: BytesMut,
    /// Whether bytes of the current answer were handed to the kernel.
    pub has_started: bool,
}

/// Takes over a connection.
///
/// # Errors
/// The socket's error.
pub fn open(stream: TcpStream, config: &ServiceConfig) -> Result<(SessionReader, SessionWriter)> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let (read_half, write_half) = stream.into_split();
    let reader = SessionReader {
        half: read_half,
        read_buffer: BytesMut::new(),
    };
    let writer = SessionWriter {
        half: write_half,
        codec: Codec::new(config.clone()),
        write_buffer: BytesMut::new(),
        has_started: false,
    };
    Ok((reader, writer))
}

impl SessionReader {
    /// Waits until the client has sent something. `false` at the end of the connection.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn wait_for_bytes(&mut self) -> Result<bool> {
        if !self.read_buffer.is_empty() {
            return Ok(true);
        }
        self.read_buffer.reserve(READ_BYTES);
        Ok(self.half.read_buf(&mut self.read_buffer).await? > 0)
    }

    /// Reads a request of which the first bytes have arrived.
    ///
    /// # Errors
    /// Why there is no whole request.
    pub async fn read_call(
        &mut self,
        writer: &mut SessionWriter,
        limits: &SessionLimits,
    ) -> Result<IncomingCall> {
        let reading = self.read_head(&mut writer.codec, limits);
        let head = timeout(limits.header_timeout, reading);
        let head = head.await.map_err(|_| SessionError::Slow)??;
        if head.head().expect() {
            writer.send_continue().await?;
        }
        let body = match writer.codec.message_type() {
            MessageType::None => Bytes::new(),
            _ => self.read_body(&mut writer.codec, limits).await?,
        };
        writer.has_started = false;
        Ok(IncomingCall { head, body })
    }

    async fn read_head(&mut self, codec: &mut Codec, limits: &SessionLimits) -> Result<Request> {
        loop {
            let before = self.read_buffer.len();
            match codec.decode(&mut self.read_buffer)? {
                Some(Message::Item(head)) => {
                    if before - self.read_buffer.len() > limits.header_bytes {
                        return Err(SessionError::OversizedHead);
                    }
                    return Ok(head);
                }
                Some(Message::Chunk(_)) => {}
                None if before > limits.header_bytes => return Err(SessionError::OversizedHead),
                None => self.read_more().await?,
            }
        }
    }

    async fn read_body(&mut self, codec: &mut Codec, limits: &SessionLimits) -> Result<Bytes> {
        let mut body = BytesMut::new();
        loop {
            match codec.decode(&mut self.read_buffer)? {
                Some(Message::Chunk(Some(chunk))) => {
                    if body.len() + chunk.len() > limits.body_bytes {
                        return Err(SessionError::OversizedBody);
                    }
                    body.extend_from_slice(&chunk);
                }
                Some(Message::Chunk(None)) => return Ok(body.freeze()),
                Some(Message::Item(_)) => return Err(SessionError::Parse(ParseError::Incomplete)),
                None => {
                    let more = timeout(limits.body_timeout, self.read_more());
                    more.await.map_err(|_| SessionError::Slow)??;
                }
            }
        }
    }

    async fn read_more(&mut self) -> Result<()> {
        self.read_buffer.reserve(READ_BYTES);
        match self.half.read_buf(&mut self.read_buffer).await? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            _ => Ok(()),
        }
    }

    /// Waits until the client closes the connection. Requests that arrive meanwhile are kept.
    pub async fn closed(&mut self) {
        loop {
            if self.read_buffer.len() >= MAX_PIPELINED_BYTES {
                std::future::pending::<()>().await;
            }
            self.read_buffer.reserve(READ_BYTES);
            match self.half.read_buf(&mut self.read_buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

impl SessionWriter {
    /// Whether the connection takes another request after the answer.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn send_whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        close: bool,
    ) -> Result<()> {
        self.put_head(status, headers, BodySize::Sized(body.len() as u64), close)?;
        if !body.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(body)), &mut self.write_buffer)?;
        }
        self.codec
            .encode(Message::Chunk(None), &mut self.write_buffer)?;
        self.flush().await
    }

    /// Prepares the head of an answer whose end is not known yet; it leaves with the first bytes.
    ///
    /// # Errors
    /// A head that can't be encoded.
    pub fn put_stream_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        close: bool,
    ) -> Result<()> {
        self.put_head(status, headers, BodySize::Stream, close)
    }

    /// Sends bytes of the body.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn send_bytes(&mut self, bytes: Bytes) -> Result<()> {
        if !bytes.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(bytes)), &mut self.write_buffer)?;
        }
        self.flush().await
    }

    /// Ends an answer that was sent in parts.
    ///
    /// # Errors
    /// The socket's error.
    pub async fn finish(&mut self) -> Result<()> {
        self.codec
            .encode(Message::Chunk(None), &mut self.write_buffer)?;
        self.flush().await
    }

    fn put_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
        close: bool,
    ) -> Result<()> {
        let mut answer = Response::with_body(status, ());
        *answer.headers_mut() = headers;
        if close {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.codec
            .encode(Message::Item((answer, size)), &mut self.write_buffer)?;
        Ok(())
    }

    async fn send_continue(&mut self) -> Result<()> {
        self.half
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await?;
        Ok(())
    }

    async fn flush(&mut self) -> Result<()> {
        self.has_started |= !self.write_buffer.is_empty();
        while !self.write_buffer.is_empty() {
            if self.half.write_buf(&mut self.write_buffer).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero).into());
            }
        }
        Ok(())
    }
}
