//! Server side of one HTTP connection, of a caller or of another client of an instance.

use std::io;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::HeaderMap;
use actix_http::{ConnectionType, Request, Response, ServiceConfig, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::timeout;

/// TCP user timeout: the connection fails when sent bytes stay unacknowledged for this time.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);
/// Space reserved in the read buffer for each read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Maximum size of pipelined requests that are buffered while one is served, in bytes.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Reason why a connection accepts no more requests.
#[derive(Debug, Display, Error, From)]
pub enum SessionError {
    /// The socket failed, or the client closed the connection in the middle of a request.
    #[display("socket failed: {_0}")]
    Socket(io::Error),
    /// The received bytes are not an HTTP request.
    #[display("malformed request: {_0}")]
    Parse(ParseError),
    /// The body of the request is malformed.
    #[display("malformed request body: {_0}")]
    Payload(PayloadError),
    /// The head exceeds the size limit.
    #[display("request head exceeds the size limit")]
    #[from(skip)]
    OversizedHead,
    /// The body exceeds the size limit.
    #[display("request body exceeds the size limit")]
    #[from(skip)]
    OversizedBody,
    /// The request did not arrive in time.
    #[display("request did not arrive in time")]
    #[from(skip)]
    Slow,
}

/// Result of operations on a connection.
pub type Result<T> = std::result::Result<T, SessionError>;

/// Limits on the requests of a client.
#[derive(Clone, Copy, Debug)]
pub struct SessionLimits {
    /// Maximum size of a head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub header_timeout: Duration,
    /// Maximum time between two reads of a body.
    pub body_timeout: Duration,
}

/// A request that was received whole.
pub struct IncomingCall {
    /// Head of the request.
    pub head: Request,
    /// Body of the request.
    pub body: Bytes,
}

/// How an answer to a caller states its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerFraming {
    /// There is no body.
    Bodiless,
    /// By the length of the body in bytes.
    Length(u64),
    /// By the last chunk. Callers that do not know chunks get [`Self::UntilClose`].
    Chunks,
    /// Not at all: the body ends when the connection is closed. An answer that breaks off is reset.
    UntilClose,
}

/// Reading half of a connection.
pub struct SessionReader {
    half: OwnedReadHalf,
    read_buffer: BytesMut,
}

/// Writing half of a connection.
pub struct SessionWriter {
    /// `None` only while the writer is dropped.
    half: Option<OwnedWriteHalf>,
    codec: Codec,
    write_buffer: BytesMut,
    /// Whether the caller knows chunked encoding.
    knows_chunks: bool,
    /// How the current answer states its end; `None` before its head.
    framing: Option<CallerFraming>,
    /// Whether the whole current answer was written.
    is_finished: bool,
    /// Whether bytes of the current answer may have been written to the socket.
    pub has_started: bool,
}

/// Sets the socket options of an accepted connection and splits it into its halves.
///
/// # Errors
/// The error of the socket.
pub fn open(stream: TcpStream, config: &ServiceConfig) -> Result<(SessionReader, SessionWriter)> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let (read_half, write_half) = stream.into_split();
    let reader = SessionReader {
        half: read_half,
        read_buffer: BytesMut::new(),
    };
    let writer = SessionWriter {
        half: Some(write_half),
        codec: Codec::new(config.clone()),
        write_buffer: BytesMut::new(),
        knows_chunks: true,
        framing: None,
        is_finished: false,
        has_started: false,
    };
    Ok((reader, writer))
}

impl SessionReader {
    /// Waits until the client has sent bytes. Returns `false` if it closed the connection instead.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn wait_for_bytes(&mut self) -> Result<bool> {
        if !self.read_buffer.is_empty() {
            return Ok(true);
        }
        self.read_buffer.reserve(READ_BYTES);
        Ok(self.half.read_buf(&mut self.read_buffer).await? > 0)
    }

    /// Reads a request whose first bytes have arrived. Answers an `Expect` header before reading
    /// the body.
    ///
    /// # Errors
    /// The reason why no whole request was received.
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
        writer.knows_chunks = head.head().version >= Version::HTTP_11;
        writer.framing = None;
        writer.is_finished = false;
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

    /// Waits until the client closes the connection, and buffers pipelined requests in the
    /// meantime. Once the buffer is full, nothing more is read and a close is no longer noticed.
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
    /// Whether the connection is kept open for another request after the answer.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Whether the current answer states its end, once it has begun.
    pub fn states_end(&self) -> bool {
        self.framing != Some(CallerFraming::UntilClose)
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn send_whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
        framing: CallerFraming,
        close: bool,
    ) -> Result<()> {
        self.put_head(status, headers, framing, close)?;
        self.put_bytes(body)?;
        self.finish().await
    }

    /// Buffers the head of an answer. It is sent with the first bytes of the body.
    ///
    /// # Errors
    /// The error of the codec if the head can't be encoded, or that of the socket.
    pub fn put_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        framing: CallerFraming,
        close: bool,
    ) -> Result<()> {
        let framing = match framing {
            CallerFraming::Chunks if !self.knows_chunks => CallerFraming::UntilClose,
            framing => framing,
        };
        let size = match framing {
            CallerFraming::Bodiless => BodySize::None,
            CallerFraming::Length(length) => BodySize::Sized(length),
            CallerFraming::Chunks | CallerFraming::UntilClose => BodySize::Stream,
        };
        let mut answer = Response::with_body(status, ());
        *answer.headers_mut() = headers;
        let is_until_close = framing == CallerFraming::UntilClose;
        answer.head_mut().no_chunking(is_until_close);
        if close || is_until_close {
            answer.head_mut().set_connection_type(ConnectionType::Close);
        }
        if is_until_close {
            // Whatever closes the socket before the end of the answer, even the end of this
            // process, resets the connection.
            self.set_linger(Some(Duration::ZERO))?;
        }
        self.codec
            .encode(Message::Item((answer, size)), &mut self.write_buffer)?;
        self.framing = Some(framing);
        Ok(())
    }

    /// Sends a part of the body.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn send_bytes(&mut self, bytes: Bytes) -> Result<()> {
        self.put_bytes(bytes)?;
        self.flush().await
    }

    /// Ends the answer.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn finish(&mut self) -> Result<()> {
        self.codec
            .encode(Message::Chunk(None), &mut self.write_buffer)?;
        self.flush().await?;
        if !self.states_end() {
            self.set_linger(None)?;
        }
        self.is_finished = true;
        Ok(())
    }

    fn put_bytes(&mut self, bytes: Bytes) -> Result<()> {
        if !bytes.is_empty() {
            self.codec
                .encode(Message::Chunk(Some(bytes)), &mut self.write_buffer)?;
        }
        Ok(())
    }

    fn set_linger(&self, linger: Option<Duration>) -> Result<()> {
        if let Some(half) = &self.half {
            SockRef::from(half.as_ref()).set_linger(linger)?;
        }
        Ok(())
    }

    async fn send_continue(&mut self) -> Result<()> {
        self.open_half()?
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await?;
        Ok(())
    }

    async fn flush(&mut self) -> Result<()> {
        self.has_started |= !self.write_buffer.is_empty();
        let mut bytes = std::mem::take(&mut self.write_buffer);
        let half = self.open_half()?;
        while !bytes.is_empty() {
            if half.write_buf(&mut bytes).await? == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero).into());
            }
        }
        self.write_buffer = bytes;
        Ok(())
    }

    fn open_half(&mut self) -> Result<&mut OwnedWriteHalf> {
        let half = self.half.as_mut();
        Ok(half
            .ok_or(io::ErrorKind::NotConnected)
            .map_err(io::Error::from)?)
    }
}

/// An unfinished answer that does not state its end must not be closed like a finished one: without
/// a shutdown of its half, the socket is reset when the other half is dropped.
impl Drop for SessionWriter {
    fn drop(&mut self) {
        let is_in_doubt = !self.states_end() && !self.is_finished;
        if let Some(half) = self.half.take_if(|_| is_in_doubt) {
            half.forget();
        }
    }
}
