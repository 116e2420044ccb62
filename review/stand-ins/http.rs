//! HTTP/1.1 over blocking sockets: as much of it as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// First line and headers of a message. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// How a body states its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunks,
    UntilClose,
}

/// One connection with its read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn closed() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    /// Connects within `limit`.
    pub fn open(address: std::net::SocketAddrV4, limit: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address.into(), limit)?))
    }

    fn fill(&mut self, until: Instant) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(closed()),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::ErrorKind::TimedOut.into())
            }
            Err(error) => Err(error),
        }
    }

    fn line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(text.trim_end_matches(['\r', '\n']).to_owned());
            }
            self.fill(until)?;
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self, until: Instant) -> io::Result<Head> {
        let mut head = Head { first: self.line(until)?, ..Head::default() };
        loop {
            let line = self.line(until)?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                head.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// The framing of the body that follows a head.
    pub fn framing(head: &Head, is_request: bool) -> Framing {
        let is_chunked = head.get("transfer-encoding").is_some_and(|value| value == "chunked");
        let length = head.get("content-length").and_then(|value| value.parse().ok());
        match (is_chunked, length) {
            (true, _) => Framing::Chunks,
            (false, Some(length)) => Framing::Length(length),
            (false, None) if is_request => Framing::Length(0),
            (false, None) => Framing::UntilClose,
        }
    }

    /// Reads the next part of a body; `None` at its stated end.
    pub fn part(&mut self, framing: &mut Framing, until: Instant) -> io::Result<Option<Vec<u8>>> {
        match framing {
            Framing::Length(0) => Ok(None),
            Framing::Length(left) => {
                if self.buffer.is_empty() {
                    self.fill(until)?;
                }
                let count = self.buffer.len().min(*left);
                *left -= count;
                Ok(Some(self.buffer.drain(..count).collect()))
            }
            Framing::Chunks => {
                let size = self.line(until)?;
                let size = size.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                while self.buffer.len() < size + 2 {
                    self.fill(until)?;
                }
                let chunk: Vec<u8> = self.buffer.drain(..size).collect();
                self.buffer.drain(..2);
                if size == 0 {
                    *framing = Framing::Length(0);
                    return Ok(None);
                }
                Ok(Some(chunk))
            }
            Framing::UntilClose => {
                if self.buffer.is_empty() {
                    match self.fill(until) {
                        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                            *framing = Framing::Length(0);
                            return Ok(None);
                        }
                        other => other?,
                    }
                }
                Ok(Some(std::mem::take(&mut self.buffer)))
            }
        }
    }

    /// Reads a whole body.
    pub fn body(&mut self, mut framing: Framing, until: Instant) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(part) = self.part(&mut framing, until)? {
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&mut self) -> bool {
        if self.stream.set_read_timeout(Some(Duration::from_millis(1))).is_err() {
            return true;
        }
        match self.stream.peek(&mut [0]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
            ),
        }
    }
}
