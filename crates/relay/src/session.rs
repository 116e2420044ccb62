//! Server side of one HTTP connection, of a caller or of another client of an instance.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap};
use actix_http::{ConnectionType, Request, Response, ServiceConfig, StatusCode, Version};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error, From};
use fault::FaultKind;
use quota::budget::{BudgetExhausted, BudgetShare, ByteBudget, HeldBytes};
use quota::progress::ProgressLimits;
use quota::segments::BodySegments;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::{Instant, timeout};

/// TCP user timeout: the connection fails when sent bytes stay unacknowledged for this time.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(8);
/// Space reserved in the read buffer for the first read of a request, in bytes. Clients that stop
/// inside a head hold no more.
const FIRST_READ_BYTES: usize = 4 * 1024;
/// Space reserved in the read buffer for each further read, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Maximum size of pipelined requests that are buffered while one is served, in bytes.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;
/// Part of a body that is read before other connections take their turn, in bytes. Without it, a
/// readiness check waited for 2 MB in small chunks of each of 100 bodies, which took over a second.
const TURN_BYTES: usize = 64 * 1024;
/// Memory that a parsed header field takes in addition to its text, in bytes.
const FIELD_BYTES: usize = 256;
/// Maximum time for which the rest of a refused request is read and dropped. Closing earlier would
/// reset the connection, and the client might lose the answer.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Maximum size of that rest, in bytes.
const MAX_DISCARDED_BYTES: usize = 1024 * 1024;

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
    /// The client did not take the answer in time.
    #[display("answer not taken in time")]
    #[from(skip)]
    SlowReader,
    /// The process exits before the request has arrived.
    #[display("process exits before the request has arrived")]
    #[from(skip)]
    Stopping,
    /// The byte budget of the process is exhausted.
    #[display("{_0}")]
    Exhausted(BudgetExhausted),
}

impl SessionError {
    /// The fault that a request which can't be read is answered with; `None` if the connection
    /// takes no answer.
    pub fn fault_kind(&self) -> Option<FaultKind> {
        match self {
            Self::Socket(_) | Self::SlowReader => None,
            Self::Parse(_) | Self::Payload(_) => Some(FaultKind::MalformedRequest),
            Self::OversizedHead => Some(FaultKind::OversizedHead),
            Self::OversizedBody => Some(FaultKind::OversizedBody),
            Self::Slow => Some(FaultKind::SlowCaller),
            Self::Stopping => Some(FaultKind::Draining),
            Self::Exhausted(_) => Some(FaultKind::Overloaded),
        }
    }
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
    /// Minimum rate of progress of a body.
    pub body_progress: ProgressLimits,
}

/// A request that was received whole.
pub struct IncomingCall {
    /// Head of the request.
    pub head: Request,
    /// Body of the request.
    pub body: Bytes,
    /// Charge for both.
    pub held: HeldBytes,
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
    /// Charge for the read buffer.
    buffered: HeldBytes,
    /// What the client holds of the byte budget.
    pub share: Arc<BudgetShare>,
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
    /// Whether the connection is closed after the next answer.
    pub closes: bool,
    /// Minimum rate at which the client has to take an answer.
    progress: ProgressLimits,
    /// Number of bytes of the current answer that the socket took.
    sent: usize,
    /// Time for which the socket took none.
    blocked: Duration,
    /// Charge for bytes that the socket has not taken.
    unsent: HeldBytes,
    /// What the client holds of the byte budget.
    pub share: Arc<BudgetShare>,
}

/// Sets the socket options of an accepted connection and splits it into its halves. What its client
/// makes the process hold counts towards `budget`; `progress` bounds the time for an answer.
///
/// # Errors
/// The error of the socket.
pub fn open(
    stream: TcpStream,
    config: &ServiceConfig,
    budget: &ByteBudget,
    progress: ProgressLimits,
) -> Result<(SessionReader, SessionWriter)> {
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let (read_half, write_half) = stream.into_split();
    let share = Arc::new(budget.holder());
    let reader = SessionReader {
        half: read_half,
        read_buffer: BytesMut::new(),
        buffered: HeldBytes::new(&share),
        share: Arc::clone(&share),
    };
    let writer = SessionWriter {
        half: Some(write_half),
        codec: Codec::new(config.clone()),
        write_buffer: BytesMut::new(),
        knows_chunks: true,
        framing: None,
        is_finished: false,
        has_started: false,
        closes: false,
        progress,
        sent: 0,
        blocked: Duration::ZERO,
        unsent: HeldBytes::new(&share),
        share,
    };
    Ok((reader, writer))
}

impl SessionReader {
    /// Waits until the client has sent bytes. Returns `false` if it closed the connection instead.
    /// No buffer is held meanwhile.
    ///
    /// # Errors
    /// The error of the socket, or an exhausted byte budget.
    pub async fn wait_for_bytes(&mut self) -> Result<bool> {
        if self.has_bytes() {
            return Ok(true);
        }
        self.read_buffer = BytesMut::new();
        self.buffered.shrink_to(0);
        self.half.readable().await?;
        Ok(self.read_some().await? > 0)
    }

    /// Whether bytes of the next request have arrived.
    pub fn has_bytes(&self) -> bool {
        !self.read_buffer.is_empty()
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
        let head = self.read_head(writer, limits).await?;
        self.read_body(head, writer, limits).await
    }

    /// Reads the head of a request whose first bytes have arrived.
    ///
    /// # Errors
    /// The reason why no whole head was received.
    pub async fn read_head(
        &mut self,
        writer: &mut SessionWriter,
        limits: &SessionLimits,
    ) -> Result<Request> {
        let share = Arc::clone(&self.share);
        let reading = timeout(
            limits.header_timeout,
            self.decode_head(&mut writer.codec, limits),
        );
        let head = tokio::select! {
            biased;
            head = reading => head.map_err(|_| SessionError::Slow)??,
            () = share.evicted() => return Err(BudgetExhausted.into()),
        };
        writer.knows_chunks = head.head().version >= Version::HTTP_11;
        writer.framing = None;
        writer.is_finished = false;
        writer.has_started = false;
        writer.sent = 0;
        writer.blocked = Duration::ZERO;
        Ok(head)
    }

    /// Reads the body that follows a head.
    ///
    /// # Errors
    /// The reason why no whole body was received.
    pub async fn read_body(
        &mut self,
        head: Request,
        writer: &mut SessionWriter,
        limits: &SessionLimits,
    ) -> Result<IncomingCall> {
        let share = Arc::clone(&self.share);
        let mut held = HeldBytes::new(&share);
        let fields = head.head().headers().len();
        let receiving = async {
            held.grow_to(fields * FIELD_BYTES).await?;
            if matches!(writer.codec.message_type(), MessageType::None) {
                return Ok(Bytes::new());
            }
            if stated_length(&head).is_some_and(|length| length > limits.body_bytes as u64) {
                return Err(SessionError::OversizedBody);
            }
            if head.head().expect() {
                writer.send_continue().await?;
            }
            let charged = held.charged();
            self.collect_body(&mut writer.codec, limits, &mut held, charged)
                .await
        };
        let body = tokio::select! {
            biased;
            body = receiving => body?,
            () = share.evicted() => return Err(BudgetExhausted.into()),
        };
        Ok(IncomingCall { head, body, held })
    }

    async fn decode_head(&mut self, codec: &mut Codec, limits: &SessionLimits) -> Result<Request> {
        let mut decoded = 0;
        let mut searched = 0;
        loop {
            let before = self.read_buffer.len();
            // A head that arrives byte by byte is not parsed again for each.
            if has_head_end(&self.read_buffer, searched) || before >= 2 * decoded {
                match codec.decode(&mut self.read_buffer)? {
                    Some(Message::Item(head)) => {
                        if before - self.read_buffer.len() > limits.header_bytes {
                            return Err(SessionError::OversizedHead);
                        }
                        return Ok(head);
                    }
                    Some(Message::Chunk(_)) => continue,
                    None => decoded = before,
                }
            }
            if before > limits.header_bytes {
                return Err(SessionError::OversizedHead);
            }
            searched = before;
            self.read_more().await?;
        }
    }

    /// Collects a body. `held` is charged for it beyond the bytes that it holds `already`.
    async fn collect_body(
        &mut self,
        codec: &mut Codec,
        limits: &SessionLimits,
        held: &mut HeldBytes,
        already: usize,
    ) -> Result<Bytes> {
        let started = Instant::now();
        let mut collected = BodySegments::default();
        let mut yields_at = TURN_BYTES;
        loop {
            match codec.decode(&mut self.read_buffer)? {
                Some(Message::Chunk(Some(chunk))) => {
                    let length = collected.length() + chunk.len();
                    if length > limits.body_bytes {
                        return Err(SessionError::OversizedBody);
                    }
                    held.grow_to(already + length).await?;
                    collected.push(&chunk);
                }
                Some(Message::Chunk(None)) => return Ok(collected.join()),
                Some(Message::Item(_)) => return Err(SessionError::Parse(ParseError::Incomplete)),
                None => {
                    let left = limits.body_progress.time_for(collected.length());
                    let left = left.saturating_sub(started.elapsed());
                    let more = timeout(limits.body_timeout.min(left), self.read_more());
                    more.await.map_err(|_| SessionError::Slow)??;
                    if collected.length() >= yields_at {
                        yields_at = collected.length() + TURN_BYTES;
                        tokio::task::yield_now().await;
                    }
                }
            }
        }
    }

    async fn read_more(&mut self) -> Result<()> {
        match self.read_some().await? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
            _ => Ok(()),
        }
    }

    /// Reads what has arrived, at most a block. The block is charged before it is read.
    async fn read_some(&mut self) -> Result<usize> {
        let block = match self.buffered.charged() {
            0 => FIRST_READ_BYTES,
            _ => READ_BYTES,
        };
        self.buffered
            .grow_to(self.read_buffer.len() + block)
            .await?;
        self.read_block(block).await
    }

    async fn read_block(&mut self, block: usize) -> Result<usize> {
        self.read_buffer.reserve(block);
        let mut space = (&mut self.read_buffer).limit(block);
        let count = self.half.read_buf(&mut space).await?;
        self.share.note_progress();
        Ok(count)
    }

    /// Waits until the client closes the connection, and buffers pipelined requests in the
    /// meantime. Once the buffer is full, or the byte budget is exhausted, nothing more is read and
    /// a close is no longer noticed.
    pub async fn closed(&mut self) {
        loop {
            // The block is charged once bytes have arrived.
            if self.half.readable().await.is_err() {
                return;
            }
            let length = self.read_buffer.len() + READ_BYTES;
            if length > MAX_PIPELINED_BYTES || !self.buffered.try_grow_to(length) {
                std::future::pending::<()>().await;
            }
            match self.read_block(READ_BYTES).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Reads and drops what the client still sends, for a limited time.
    pub async fn discard(&mut self) {
        self.read_buffer = BytesMut::new();
        self.buffered.shrink_to(0);
        let discarding = async {
            let mut space = BytesMut::with_capacity(FIRST_READ_BYTES);
            let mut discarded = 0;
            while discarded < MAX_DISCARDED_BYTES {
                space.clear();
                match self.half.read_buf(&mut space).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => discarded += count,
                }
            }
        };
        let _ = timeout(DISCARD_TIME, discarding).await;
    }
}

/// Whether a head ends in `bytes`, of which the first `searched` hold no end.
fn has_head_end(bytes: &[u8], searched: usize) -> bool {
    let from = searched.saturating_sub(3);
    let new = &bytes[from..];
    let is_end = |window: &[u8]| window == b"\n\r\n" || window.starts_with(b"\n\n");
    new.windows(3).any(is_end) || new.ends_with(b"\n\n")
}

/// The length that a head states for its body.
fn stated_length(head: &Request) -> Option<u64> {
    let value = head.head().headers().get(CONTENT_LENGTH)?;
    value.to_str().ok()?.trim().parse().ok()
}

impl SessionWriter {
    /// Whether the connection is kept open for another request after the answer.
    pub fn keeps_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    /// Whether no body follows the head that was read last.
    pub fn is_bodiless(&self) -> bool {
        matches!(self.codec.message_type(), MessageType::None)
    }

    /// Whether the current answer states its end, once it has begun.
    pub fn states_end(&self) -> bool {
        self.framing != Some(CallerFraming::UntilClose)
    }

    /// Takes over the charge for the next bytes, which are copied when they are written.
    pub fn hold(&mut self, held: HeldBytes) {
        self.unsent = held;
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
        if close || self.closes || is_until_close {
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

    /// Writes the buffered bytes. What the socket does not take at once is charged to the client.
    async fn flush(&mut self) -> Result<()> {
        self.has_started |= !self.write_buffer.is_empty();
        let mut bytes = std::mem::take(&mut self.write_buffer);
        while !bytes.is_empty() {
            let half = self.open_half()?;
            match half.try_write(&bytes) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::WriteZero).into()),
                Ok(count) => {
                    bytes.advance(count);
                    self.sent += count;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.wait_until_taken(bytes.len()).await?;
                }
                Err(error) => return Err(error.into()),
            }
        }
        self.unsent.shrink_to(0);
        bytes.clear();
        if bytes.capacity() <= READ_BYTES {
            self.write_buffer = bytes;
        }
        Ok(())
    }

    /// Waits until the socket takes more of `unsent` bytes. The client is not pinned meanwhile:
    /// that it does not read is its own doing.
    async fn wait_until_taken(&mut self, unsent: usize) -> Result<()> {
        let left = self
            .progress
            .time_for(self.sent)
            .saturating_sub(self.blocked);
        let from = Instant::now();
        self.share.set_pinned(false);
        let share = Arc::clone(&self.share);
        let charged = self.unsent.grow_to(unsent).await;
        let waiting = async {
            charged?;
            Ok(self.open_half()?.writable().await?)
        };
        let waited = tokio::select! {
            biased;
            waited = timeout(left, waiting) => waited.unwrap_or(Err(SessionError::SlowReader)),
            () = share.evicted() => Err(BudgetExhausted.into()),
        };
        self.share.set_pinned(true);
        self.blocked += from.elapsed();
        if waited.is_err() {
            // Bytes in the socket that the client does not take would be held on after a close.
            self.set_linger(Some(Duration::ZERO))?;
        }
        waited
    }

    /// Ends the connection after an answer that the client has to be able to read, while it may
    /// still be sending.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn shut_down(&mut self) -> Result<()> {
        Ok(self.open_half()?.shutdown().await?)
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
