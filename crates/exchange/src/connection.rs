//! Client side of one connection to an endpoint.
//!
//! The end of an answer is known only if the answer states it. A connection that ends is the end of
//! an answer without length and chunks, or the crash of its endpoint: [`AnswerFraming`] tells which
//! answers are in doubt.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Version,
};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error, From};
use quota::budget::{BudgetShare, HeldBytes};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// TCP user timeout: the connection fails when sent bytes stay unacknowledged for this time.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(2000);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Time between two TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered TCP keepalive probes after which the connection fails.
const KEEPALIVE_RETRIES: u32 = 2;
/// Space reserved in the read buffer for each read, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Reason why an exchange with an endpoint failed.
#[derive(Debug, Display, Error, From)]
pub enum EndpointError {
    /// The socket failed.
    #[display("socket failed: {_0}")]
    Socket(io::Error),
    /// The connection was not established within the limit.
    #[display("connecting timed out")]
    #[from(skip)]
    ConnectTimeout,
    /// The endpoint sent nothing for longer than the call waits.
    #[display("no bytes received in time")]
    #[from(skip)]
    Silent,
    /// The endpoint closed the connection before the end of the answer.
    #[display("closed before the end of the answer")]
    #[from(skip)]
    Closed,
    /// The received bytes are not an HTTP response.
    #[display("malformed answer: {_0}")]
    Parse(ParseError),
    /// The body of the answer is malformed.
    #[display("malformed answer body: {_0}")]
    Payload(PayloadError),
    /// The answer carries the attempt id of another call.
    #[display("answer belongs to another call")]
    #[from(skip)]
    Misdelivered,
    /// The answer states its end inside an event of a stream.
    #[display("answer ends inside an event")]
    #[from(skip)]
    PartialEvent,
    /// The answer does not go on with the stream that it was asked to resume.
    #[display("answer does not go on with the stream")]
    #[from(skip)]
    NotContinued,
    /// The process that accepted the connection is not the one that the call depends on.
    #[display("another process of the endpoint answers")]
    #[from(skip)]
    OtherProcess,
    /// The answer lacks the endpoint's signature.
    #[display("answer is not signed")]
    #[from(skip)]
    Unsigned,
    /// The head, the body or an event of the answer exceeds its size limit.
    #[display("answer exceeds a size limit")]
    #[from(skip)]
    Oversized,
    /// The answer has not ended within the time limit.
    #[display("answer exceeds the time limit")]
    #[from(skip)]
    Overlong,
    /// The byte budget of the process has no room for the head of the answer.
    #[display("byte budget exhausted")]
    #[from(skip)]
    Exhausted,
}

impl EndpointError {
    /// Whether the connection broke or fell silent, as when the endpoint crashes. The other errors
    /// follow bytes of the endpoint, or precede the connection.
    pub fn is_lost_connection(&self) -> bool {
        matches!(self, Self::Socket(_) | Self::Silent | Self::Closed)
    }
}

/// Result of operations on a connection.
pub type Result<T> = std::result::Result<T, EndpointError>;

/// How an answer states the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// There is no body.
    Bodiless,
    /// By the length of the body.
    Length,
    /// By the last chunk.
    Chunks,
    /// Not at all: the body ends with the connection, as it also does when the endpoint crashes.
    UntilClose,
}

impl AnswerFraming {
    /// Whether the end of the body is known once it is read.
    pub fn states_end(self) -> bool {
        self != Self::UntilClose
    }

    /// Label for the log and the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Bodiless => "bodiless",
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::UntilClose => "until-close",
        }
    }
}

/// State of reading a body.
enum BodyState {
    /// There is no body, or it has ended.
    Ended,
    /// The body is delimited by its length or by chunked encoding.
    Framed(ClientPayloadCodec),
    /// The body ends when the endpoint closes the connection.
    UntilClose,
}

/// Bounds on one answer. An endpoint in trouble may send bytes without end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Maximum number of bytes up to the end of the head, interim answers included, and of bytes
    /// between two parts of a body that belong to none, such as the extensions of chunks.
    pub head_bytes: usize,
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of the call to the end of the answer.
    pub time: Duration,
}

impl Default for AnswerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 * 1024,
            body_bytes: 32 * 1024 * 1024,
            time: Duration::from_secs(15 * 60),
        }
    }
}

/// Calls on one connection that an endpoint may refuse until the connection is not kept any more.
const MAX_REFUSED_CALLS: usize = 64;

/// An open connection to an endpoint.
pub struct EndpointConnection {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Bounds on each answer.
    pub limits: AnswerLimits,
    /// Time at which the endpoint accepted the connection.
    accepted_at: Instant,
    /// Time at which the current answer must have ended.
    ends_at: Instant,
    /// Size of the current body so far, in bytes.
    body_length: usize,
    stream: TcpStream,
    read_buffer: BytesMut,
    /// Charge for the head of the current answer, beyond its first read; `None` if heads are not
    /// charged.
    held: Option<HeldBytes>,
    /// How the current answer states the end of its body.
    pub framing: AnswerFraming,
    body: BodyState,
    /// Whether bytes of the current call were written to the socket.
    pub has_sent: bool,
    /// Whether all bytes of the current call were written to the socket.
    is_sent_whole: bool,
    /// Whether the endpoint keeps the connection open after the answer.
    keeps_alive: bool,
    /// When the process that accepted the connection started, as it stated on it; `None` until then.
    pub process_start: Option<u64>,
    /// Ids of the calls that the endpoint refused on this connection. A faulty endpoint may send such
    /// a refusal once more.
    refused: Vec<String>,
}

impl EndpointConnection {
    /// Connects to an endpoint.
    ///
    /// # Errors
    /// The error of the socket, or [`EndpointError::ConnectTimeout`] after `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| EndpointError::ConnectTimeout)??;
        set_options(&stream)?;
        Ok(Self::new(address, stream))
    }

    fn new(address: SocketAddr, stream: TcpStream) -> Self {
        Self {
            address,
            limits: AnswerLimits::default(),
            accepted_at: Instant::now(),
            ends_at: Instant::now(),
            body_length: 0,
            stream,
            read_buffer: BytesMut::new(),
            held: None,
            framing: AnswerFraming::Bodiless,
            body: BodyState::Ended,
            has_sent: false,
            is_sent_whole: false,
            keeps_alive: false,
            process_start: None,
            refused: Vec::new(),
        }
    }

    /// Charges the heads of answers to a client, from now until [`Self::release_head`].
    pub fn charge_heads_to(&mut self, share: &Arc<BudgetShare>) {
        self.held = Some(HeldBytes::new(share));
    }

    /// Releases what the head of the last answer was charged.
    pub fn release_head(&mut self) {
        self.held = None;
    }

    /// Records that the endpoint refused a call with this id on the connection.
    pub fn note_refused(&mut self, id: &str) {
        self.refused.push(id.to_owned());
    }

    /// Whether the answer to a call with this id can be told from all that may still arrive for earlier
    /// calls on the connection. Nothing tells the answer to a call without an id.
    pub fn tells_answer_to(&self, id: Option<&str>) -> bool {
        id.is_some_and(|id| !self.refused.iter().any(|refused| refused == id))
    }

    /// Time since the endpoint accepted the connection. One process has served it all this time.
    pub fn age(&self) -> Duration {
        self.accepted_at.elapsed()
    }

    /// Whether the connection is still open and the endpoint has sent nothing on it since the last
    /// answer. May only be called between calls.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let looked = self.stream.try_read(&mut byte);
        matches!(looked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a call and reads the head of its answer, which may arrive before the whole call was
    /// sent.
    ///
    /// # Errors
    /// The reason why no head arrived. If `has_sent` is set, the endpoint may have run the call.
    pub async fn exchange(
        &mut self,
        config: &ServiceConfig,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<ResponseHead> {
        let mut codec = ClientCodec::new(config.clone());
        let is_head = head.method == Method::HEAD;
        let mut write_buffer = BytesMut::new();
        let size = match body.len() {
            // Endpoints may insist on a length where the method has a body.
            0 if !matches!(head.method, Method::POST | Method::PUT | Method::PATCH) => {
                BodySize::None
            }
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
        self.ends_at = Instant::now() + self.limits.time;
        self.body_length = 0;
        let exchanged = timeout_at(self.ends_at, self.send_and_read(&mut codec, &write_buffer));
        let head = exchanged.await.map_err(|_| EndpointError::Overlong)??;
        self.keeps_alive = codec.keep_alive();
        self.framing = framing_of(&head, is_head);
        let has_payload = !matches!(codec.message_type(), MessageType::None);
        self.body = match self.framing {
            AnswerFraming::Length | AnswerFraming::Chunks if has_payload => {
                BodyState::Framed(codec.into_payload_codec())
            }
            AnswerFraming::UntilClose => BodyState::UntilClose,
            _ => BodyState::Ended,
        };
        Ok(head)
    }

    async fn send_and_read(
        &mut self,
        codec: &mut ClientCodec,
        write_buffer: &[u8],
    ) -> Result<ResponseHead> {
        let (mut reader, mut writer) = self.stream.split();
        let mut rest = write_buffer;
        let mut received = self.read_buffer.len();
        loop {
            if let Some(head) = codec.decode(&mut self.read_buffer)? {
                if head.status.is_informational() {
                    check_interim(codec, &head)?;
                    continue;
                }
                self.is_sent_whole = rest.is_empty();
                return Ok(head);
            }
            if received > self.limits.head_bytes {
                return Err(EndpointError::Oversized);
            }
            if let Some(held) = &mut self.held
                && !self.read_buffer.is_empty()
            {
                let charged = held.grow_to(self.read_buffer.len() + READ_BYTES).await;
                charged.map_err(|_| EndpointError::Exhausted)?;
            }
            self.read_buffer.reserve(READ_BYTES);
            tokio::select! {
                read = reader.read_buf(&mut self.read_buffer) => {
                    match read? {
                        0 => return Err(EndpointError::Closed),
                        count => received += count,
                    }
                }
                written = writer.write(rest), if !rest.is_empty() => {
                    rest = &rest[written?..];
                    self.has_sent = true;
                }
            }
        }
    }

    /// Reads the next bytes of the body. Returns `None` at its end.
    ///
    /// # Errors
    /// The reason why the body can't be read to its end.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        let reading = timeout_at(self.ends_at, self.read_chunk());
        let chunk = reading.await.map_err(|_| EndpointError::Overlong)??;
        self.body_length += chunk.as_ref().map_or(0, Bytes::len);
        match self.body_length > self.limits.body_bytes {
            true => Err(EndpointError::Oversized),
            false => Ok(chunk),
        }
    }

    async fn read_chunk(&mut self) -> Result<Option<Bytes>> {
        let mut received = 0;
        loop {
            match &mut self.body {
                BodyState::Ended => return Ok(None),
                BodyState::UntilClose if !self.read_buffer.is_empty() => {
                    return Ok(Some(self.read_buffer.split().freeze()));
                }
                BodyState::UntilClose => {}
                BodyState::Framed(codec) => match codec.decode(&mut self.read_buffer)? {
                    Some(Some(chunk)) => return Ok(Some(chunk)),
                    Some(None) => {
                        self.body = BodyState::Ended;
                        return Ok(None);
                    }
                    None => {}
                },
            }
            if received > self.limits.head_bytes {
                return Err(EndpointError::Oversized);
            }
            self.read_buffer.reserve(READ_BYTES);
            match self.stream.read_buf(&mut self.read_buffer).await? {
                0 => return self.end_of_stream(),
                count => received += count,
            }
        }
    }

    fn end_of_stream(&mut self) -> Result<Option<Bytes>> {
        self.keeps_alive = false;
        match self.body {
            BodyState::UntilClose => Ok(None),
            _ => Err(EndpointError::Closed),
        }
    }

    /// Whether the answer has arrived up to the end that the endpoint stated for it. `false` for an
    /// answer that ended with its connection, as it also does when the endpoint crashes.
    pub fn is_whole(&self) -> bool {
        matches!(self.body, BodyState::Ended)
    }

    /// Whether another call may use the connection: the endpoint keeps it open, the call was sent
    /// whole, no bytes followed the end of the answer, and the refused calls are known.
    pub fn is_reusable(&self) -> bool {
        let has_ended = matches!(self.body, BodyState::Ended);
        let knows_refused = self.refused.len() < MAX_REFUSED_CALLS;
        let is_clean = self.is_sent_whole && self.read_buffer.is_empty();
        has_ended && self.keeps_alive && is_clean && knows_refused
    }
}

/// Whether answers with a status never have a body.
pub fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// How the answer with this head states its end. `is_head` tells whether it answers a request of
/// method HEAD.
fn framing_of(head: &ResponseHead, is_head: bool) -> AnswerFraming {
    let headers = head.headers();
    let encoding = headers.get(TRANSFER_ENCODING);
    let is_chunked = encoding.is_some_and(|value| {
        head.version == Version::HTTP_11
            && value
                .as_bytes()
                .trim_ascii()
                .eq_ignore_ascii_case(b"chunked")
    });
    if is_head || is_bodiless(head.status) {
        AnswerFraming::Bodiless
    } else if is_chunked {
        AnswerFraming::Chunks
    } else if headers.contains_key(CONTENT_LENGTH) {
        AnswerFraming::Length
    } else {
        AnswerFraming::UntilClose
    }
}

/// Checks an answer of status 1xx that precedes the final one. It has no body, and no other
/// protocol was asked for.
fn check_interim(codec: &ClientCodec, head: &ResponseHead) -> Result<()> {
    let has_body = !matches!(codec.message_type(), MessageType::None);
    if has_body || head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(EndpointError::Parse(ParseError::Status));
    }
    Ok(())
}

/// Builds the head of an HTTP/1.1 request that keeps the connection alive. `uri` is sent unchanged.
pub fn request_head(
    method: Method,
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
