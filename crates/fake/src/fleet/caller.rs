//! Blocking HTTP client for callers and operators.
//!
//! Parses HTTP itself, since `awc` takes a connection that closes in the middle of a body for the
//! end of the body. Tests have to detect such truncated answers.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use serde_json::Value;
use wire::id::name_id;

/// Longest time without data from the server.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause before a refused request is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Most retries of a refused request.
const MAX_RETRIES: u32 = 200;
/// Last event of a complete streamed completion.
const LAST_EVENT: &str = "data: [DONE]\n\n";

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct HttpCall {
    method: &'static str,
    http: SocketAddr,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    /// Whether the connection may serve further requests, if the server allows it.
    keeps_alive: bool,
}

/// An HTTP answer, complete or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status, or 0 if there was no answer.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Received bytes of the body.
    pub body: Vec<u8>,
    /// Error that ended the call early, if there was one.
    pub error: Option<String>,
}

/// A call in progress on its own thread.
pub struct PendingCall {
    thread: JoinHandle<CallerAnswer>,
    first: Receiver<()>,
}

impl HttpCall {
    /// Creates a GET request.
    pub fn get(http: SocketAddr, path: &str) -> Self {
        Self {
            method: "GET",
            http,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            keeps_alive: false,
        }
    }

    /// Creates a HEAD request.
    pub fn head(http: SocketAddr, path: &str) -> Self {
        Self {
            method: "HEAD",
            ..Self::get(http, path)
        }
    }

    /// Creates a POST request with a JSON body.
    pub fn post(http: SocketAddr, path: &str, body: &Value) -> Self {
        Self {
            method: "POST",
            body: body.to_string().into_bytes(),
            ..Self::get(http, path)
        }
        .header("content-type", "application/json")
    }

    /// Replaces the body.
    #[must_use]
    pub fn body(mut self, bytes: impl Into<Vec<u8>>) -> Self {
        self.body = bytes.into();
        self
    }

    /// Does not ask the server to close the connection.
    #[must_use]
    pub fn keep_alive(mut self) -> Self {
        self.keeps_alive = true;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a key as a bearer token.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends the request and reads the answer to its end.
    pub fn send(&self) -> CallerAnswer {
        let (first, _ignored) = channel();
        self.run(&first)
    }

    /// Sends the request on its own thread. Retries it while it is refused with status 503 and
    /// outcome `not-run`.
    pub fn spawn(self) -> PendingCall {
        let (sender, first) = channel();
        let thread = thread::spawn(move || self.run_with_retries(&sender));
        PendingCall { thread, first }
    }

    fn run_with_retries(&self, first: &Sender<()>) -> CallerAnswer {
        let mut answer = self.run(first);
        for _ in 0..MAX_RETRIES {
            if answer.status != 503 || answer.outcome() != "not-run" {
                break;
            }
            thread::sleep(RETRY_PAUSE);
            answer = self.run(first);
        }
        answer
    }

    fn run(&self, first: &Sender<()>) -> CallerAnswer {
        let mut answer = CallerAnswer::default();
        if let Err(error) = self.exchange(&mut answer, first) {
            answer.error = Some(error.to_string());
        }
        answer
    }

    fn exchange(&self, answer: &mut CallerAnswer, first: &Sender<()>) -> Result<()> {
        let mut stream = TcpStream::connect(self.http)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(&self.encode())?;
        let mut reader = BufReader::new(stream);
        read_head(&mut reader, answer)?;
        if self.method == "HEAD" || matches!(answer.status, 204 | 304) {
            return Ok(());
        }
        if answer.header("transfer-encoding") == "chunked" {
            return read_chunks(&mut reader, answer, first);
        }
        if !answer.states_end() {
            return reader.read_to_end(&mut answer.body).map(|_| ());
        }
        let length = answer.header("content-length").parse().unwrap_or(0);
        answer.body.resize(length, 0);
        reader.read_exact(&mut answer.body)
    }

    fn encode(&self) -> Vec<u8> {
        let connection = match self.keeps_alive {
            true => "keep-alive",
            false => "close",
        };
        let mut head = format!(
            "{} {} HTTP/1.1\r\nhost: {}\r\nconnection: {connection}\r\ncontent-length: {}\r\n",
            self.method,
            self.path,
            self.http,
            self.body.len(),
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// Reads the status line and the headers.
fn read_head(reader: &mut impl BufRead, answer: &mut CallerAnswer) -> Result<()> {
    let status = read_line(reader)?;
    let code = status.split(' ').nth(1).and_then(|text| text.parse().ok());
    answer.status = code.ok_or_else(|| invalid_data("the status line has no valid status code"))?;
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(": ") else {
            return Ok(());
        };
        let header = (name.to_ascii_lowercase(), value.to_owned());
        answer.headers.push(header);
    }
}

/// Reads a chunked body up to its last chunk.
fn read_chunks(
    reader: &mut impl BufRead,
    answer: &mut CallerAnswer,
    first: &Sender<()>,
) -> Result<()> {
    loop {
        let line = read_line(reader)?;
        let length = usize::from_str_radix(&line, 16)
            .map_err(|_| invalid_data("the length of a chunk is not valid"))?;
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk)?;
        read_line(reader)?;
        if length == 0 {
            return Ok(());
        }
        answer.body.extend_from_slice(&chunk);
        let _ = first.send(());
    }
}

/// Reads one line. A connection that ends before the end of the line is an error.
fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    match line.strip_suffix("\r\n") {
        Some(content) => Ok(content.to_owned()),
        None => Err(ErrorKind::UnexpectedEof.into()),
    }
}

fn invalid_data(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}

impl PendingCall {
    /// Waits until the first chunk of a chunked body has arrived or the call has ended. Returns
    /// whether a chunk has arrived.
    pub fn wait_first_chunk(&self) -> bool {
        self.first.recv().is_ok()
    }

    /// Waits until the call has ended.
    pub fn finish(self) -> CallerAnswer {
        self.thread
            .join()
            .expect("the caller's thread doesn't panic")
    }
}

impl CallerAnswer {
    /// Returns the value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(found, _)| found == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Whether the answer states the end of its body. One that does not ends with its connection.
    pub fn states_end(&self) -> bool {
        let has_no_body = matches!(self.status, 204 | 304);
        has_no_body
            || !self.header("content-length").is_empty()
            || !self.header("transfer-encoding").is_empty()
    }

    /// Returns the execution outcome from header `x-outcome`.
    pub fn outcome(&self) -> &str {
        self.header("x-outcome")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if it isn't valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Whether a streamed completion arrived up to its last event.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.error.is_none() && self.text().ends_with(LAST_EVENT)
    }

    /// Whether a streamed completion consists of the expected tokens of the answer to `prompt` in
    /// order; of the first of them if it is incomplete.
    pub fn is_answer_to(&self, prompt: &str, tokens: u64) -> bool {
        let prompt_hash = format!("{:016x}", name_id(prompt));
        let text = self.text();
        let events: Vec<Value> = text
            .split("\n\n")
            .filter_map(|event| serde_json::from_str(event.strip_prefix("data: ")?).ok())
            .collect();
        let has_expected_length = events.len() as u64 == tokens || !self.is_whole();
        let mut numbered = events.iter().enumerate();
        has_expected_length
            && numbered.all(|(index, event)| {
                let content = &event["choices"][0]["delta"]["content"];
                content == &format!("w{} ", index + 1) && event["prompt"] == prompt_hash
            })
    }
}
