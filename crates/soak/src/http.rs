//! Minimal HTTP/1.1 client and server for the stand-ins.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Time from the last bytes of a connection to its reset.
const RESET_DELAY: Duration = Duration::from_millis(10);

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start_line: String,
    /// Header values by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body, padded with zero bytes where a part with a known length is incomplete.
    pub body: Vec<u8>,
    /// Whether the whole body arrived, according to its content length or last chunk, or up to the
    /// close of the connection if neither is stated. A reset is no end.
    pub is_whole: bool,
    /// Whether the message states the end of its body. An answer that does not may be incomplete.
    pub states_end: bool,
}

impl HttpMessage {
    /// Value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Status of an answer; 0 if the status line has no valid one.
    pub fn status(&self) -> u16 {
        let code = self.start_line.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The body as text, with bytes that are not UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection that sends bytes and reads HTTP messages.
pub struct HttpStream {
    reader: BufReader<TcpStream>,
}

impl HttpStream {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Opens a connection. `timeout` applies to connecting and to each read.
    ///
    /// # Errors
    /// The socket's error.
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The socket's error.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a message. If its body is incomplete, the message is returned with `is_whole` false.
    ///
    /// # Errors
    /// The socket's error, or the end of the connection, before the end of the headers.
    pub fn read(&mut self) -> io::Result<HttpMessage> {
        let mut message = HttpMessage {
            start_line: self.read_line()?,
            ..HttpMessage::default()
        };
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let name = name.to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
        let is_chunked = message.header("transfer-encoding") == Some("chunked");
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let is_answer = message.start_line.starts_with("HTTP/");
        message.states_end = is_chunked || length.is_some() || !is_answer;
        let read = match (is_chunked, message.states_end) {
            (true, _) => self.read_chunks(&mut message.body),
            (false, true) => self.read_bytes(&mut message.body, length.unwrap_or(0)),
            (false, false) => self.reader.read_to_end(&mut message.body).map(|_| ()),
        };
        message.is_whole = read.is_ok();
        Ok(message)
    }

    /// Reads the first `count` events of a good answer, whatever its framing. Returns their text.
    ///
    /// # Errors
    /// The socket's error, or the end of the connection, before these events; another status.
    pub fn read_events(&mut self, count: u32) -> io::Result<String> {
        let mut events = String::new();
        let mut read = 0;
        while read < count {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if line.starts_with("HTTP/") && !line.contains(" 200 ") {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if line.starts_with("id: ") {
                events += &line;
            } else if line.starts_with("data: ") {
                events += &line;
                events += "\n";
                read += 1;
            }
        }
        Ok(events)
    }

    /// Closes the connection with a reset.
    ///
    /// # Errors
    /// The socket's error.
    pub fn reset(&mut self) -> io::Result<()> {
        // Lets the peer read first what was sent.
        thread::sleep(RESET_DELAY);
        SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO))
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        match line.strip_suffix("\r\n") {
            Some(whole) => Ok(whole.to_owned()),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn read_bytes(&mut self, body: &mut Vec<u8>, length: usize) -> io::Result<()> {
        let start = body.len();
        body.resize(start + length, 0);
        self.reader.read_exact(&mut body[start..])
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        loop {
            let size = self.read_line()?;
            let size = usize::from_str_radix(&size, 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            self.read_bytes(body, size)?;
            self.read_line()?;
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// Text of an answer with a content length. Each line of `headers` ends with CRLF.
pub fn sized_answer(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
