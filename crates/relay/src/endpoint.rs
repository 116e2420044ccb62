//! One connection to an endpoint.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which the kernel gives up on bytes that the endpoint's host does not acknowledge.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2000);
/// Silence after which the kernel asks the endpoint's host for a sign.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer that end a connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;

/// Why an exchange ended.
#[derive(Debug, Display, Error, From)]
pub enum EndpointError {
    /// The socket failed.
    #[display("socket failed: {_0}")]
    Socket(io::Error),
    /// No connection within the limit.
    #[display("no connection in time")]
    #[from(skip)]
    ConnectTimeout,
    /// Nothing came for longer than the call waits.
    #[display("nothing came in time")]
    #[from(skip)]
    Silent,
    /// The endpoint closed the connection before the end of the answer.
    #[display("closed before the end of the answer")]
    #[from(skip)]
    Closed,
    /// The bytes are no answer.
    #[display("bytes are no answer: {_0}")]
    Parse(ParseError),
    /// The body is malformed.
    #[display("body is malformed: {_0}")]
    Payload(PayloadError),
    /// The answer belongs to another call.
    #[display("answer belongs to another call")]
    #[from(skip)]
    Misdelivered,
    /// The answer lacks the endpoint's signature.
    #[display("answer is not signed")]
    #[from(skip)]
    Unsigned,
    /// The body exceeds the limit.
    #[display("body is too large")]
    #[from(skip)]
    Oversized,
}

/// Result of operations on a connection.
pub type Result<T> = std::result::Result<T, EndpointError>;

/// How the end of a body is known.
enum BodyFraming {
    /// There is no body, or it has ended.
    Ended,
    /// By its length or its chunks.
    Framed(ClientPayloadCodec),
    /// By the end of the connection.
    UntilClose,
}

/// An open connection.
pub struct EndpointConnection {
    stream: TcpStream,
    read_buffer: BytesMut,
    body: BodyFraming,
    /// Whether bytes of the current call were handed to the kernel.
    pub has_sent: bool,
    /// Whether all bytes of the current call were.
    is_sent_whole: bool,
    /// Whether the endpoint keeps the connection after the answer.
    keeps_alive: bool,
}

impl EndpointConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// The socket's error, or [`EndpointError::ConnectTimeout`].
    pub async fn open(address: SocketAddrV4, limit: Duration) -> Result<Self> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| EndpointError::ConnectTimeout)??;
        set_options(&stream)?;
        Ok(Self::new(stream))
    }

    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read_buffer: BytesMut::new(),
            body: BodyFraming::Ended,
            has_sent: false,
            is_sent_whole: false,
            keeps_alive: false,
        }
    }

    /// Whether the endpoint has neither closed an idle connection nor sent anything on it.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let looked = self.stream.try_read(&mut byte);
        matches!(looked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a call and reads the head of its answer. The endpoint may answer before it has read
    /// the whole call.
    ///
    /// # Errors
    /// Why there is no head. `has_sent` tells whether the endpoint may have run the call.
    pub async fn exchange(
        &mut self,
        config: &ServiceConfig,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<ResponseHead> {
        let mut codec = ClientCodec::new(config.clone());
        let mut write_buffer = BytesMut::new();
        let size = match body.len() {
            0 => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        codec.encode(
            Message::Item((RequestHeadType::from(head), size)),
            &mut write_buffer,
        )?;
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(body.clone())), &mut write_buffer)?;
        }
        self.has_sent = false;
        self.is_sent_whole = false;
        let head = self.send_and_read(&mut codec, &write_buffer).await?;
        self.keeps_alive = codec.keep_alive();
        self.body = framing_of(codec, &head);
        Ok(head)
    }

    async fn send_and_read(
        &mut self,
        codec: &mut ClientCodec,
        write_buffer: &[u8],
    ) -> Result<ResponseHead> {
        let (mut reader, mut writer) = self.stream.split();
        let mut rest = write_buffer;
        loop {
            if let Some(head) = codec.decode(&mut self.read_buffer)? {
                if head.status == StatusCode::CONTINUE {
                    continue;
                }
                self.is_sent_whole = rest.is_empty();
                return Ok(head);
            }
            self.read_buffer.reserve(READ_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut self.read_buffer) => {
                    if read? == 0 {
                        return Err(EndpointError::Closed);
                    }
                }
                written = writer.write(rest), if !rest.is_empty() => {
                    rest = &rest[written?..];
                    self.has_sent = true;
                }
            }
        }
    }

    /// The next bytes of the body, or `None` at its end.
    ///
    /// # Errors
    /// When the body breaks off before its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        loop {
            match &mut self.body {
                BodyFraming::Ended => return Ok(None),
                BodyFraming::UntilClose if !self.read_buffer.is_empty() => {
                    return Ok(Some(self.read_buffer.split().freeze()));
                }
                BodyFraming::UntilClose => {}
                BodyFraming::Framed(codec) => match codec.decode(&mut self.read_buffer)? {
                    Some(Some(chunk)) => return Ok(Some(chunk)),
                    Some(None) => {
                        self.body = BodyFraming::Ended;
                        return Ok(None);
                    }
                    None => {}
                },
            }
            self.read_buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.read_buffer).await? == 0 {
                return self.end_of_stream();
            }
        }
    }

    fn end_of_stream(&mut self) -> Result<Option<Bytes>> {
        self.keeps_alive = false;
        match self.body {
            BodyFraming::UntilClose => {
                self.body = BodyFraming::Ended;
                Ok(None)
            }
            _ => Err(EndpointError::Closed),
        }
    }

    /// Whether another call may use the connection: the answer ended where its framing says, and
    /// nothing followed.
    pub fn is_reusable(&self) -> bool {
        let has_ended = matches!(self.body, BodyFraming::Ended);
        has_ended && self.keeps_alive && self.is_sent_whole && self.read_buffer.is_empty()
    }
}

fn framing_of(codec: ClientCodec, head: &ResponseHead) -> BodyFraming {
    if !matches!(codec.message_type(), MessageType::None) {
        return BodyFraming::Framed(codec.into_payload_codec());
    }
    let headers = head.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let has_none = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if is_framed || has_none {
        BodyFraming::Ended
    } else {
        BodyFraming::UntilClose
    }
}

/// The head of a request with a path and query as they came in.
pub fn request_head(
    method: actix_http::Method,
    uri: actix_http::Uri,
    headers: actix_http::header::HeaderMap,
) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = uri;
    head.version = Version::HTTP_11;
    head.headers = headers;
    head.set_connection_type(actix_http::ConnectionType::KeepAlive);
    head
}

fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}
