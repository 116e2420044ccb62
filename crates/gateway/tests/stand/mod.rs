//! A stand-in endpoint with scripted answers, and a caller, on loopback.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Bounds a failing run; no verdict depends on it.
pub(crate) const GENEROUS: Duration = Duration::from_secs(60);

/// What an endpoint does with one request.
#[derive(Clone, Debug)]
pub(crate) enum ScriptedReply {
    /// Sends these bytes and keeps the connection.
    Keep(String),
    /// Sends these bytes and closes.
    Close(String),
    /// Sends these bytes and resets the connection.
    Reset(String),
    /// Sends these bytes before it reads the body, then reads on.
    Early(String),
    /// Sends nothing and waits until the caller closes.
    Hold,
}

/// A stand-in endpoint.
pub(crate) struct StandEndpoint {
    pub(crate) name: String,
    pub(crate) address: SocketAddrV4,
    /// Heads and bodies that came, as text.
    pub(crate) received: RefCell<Vec<String>>,
    pub(crate) connections: RefCell<usize>,
    replies: RefCell<VecDeque<ScriptedReply>>,
    /// Told when a held connection was closed by the caller.
    pub(crate) left: Notify,
}

impl StandEndpoint {
    pub(crate) async fn start(name: &str, replies: Vec<ScriptedReply>) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("loopback works");
        let address = listener.local_addr().expect("loopback works");
        let endpoint = Rc::new(Self {
            name: name.to_owned(),
            address: address.to_string().parse().expect("an IPv4 address"),
            received: RefCell::default(),
            connections: RefCell::default(),
            replies: RefCell::new(replies.into()),
            left: Notify::new(),
        });
        let accepting = Rc::clone(&endpoint);
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                *accepting.connections.borrow_mut() += 1;
                actix_rt::spawn(Rc::clone(&accepting).serve(stream));
            }
        });
        endpoint
    }

    pub(crate) fn runs(&self) -> usize {
        self.received.borrow().len()
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream).await {
            let reply = self.replies.borrow_mut().pop_front();
            let reply = reply.unwrap_or_else(|| ScriptedReply::Keep(good_answer("again")));
            if let ScriptedReply::Early(bytes) = &reply {
                let _ = stream.write_all(bytes.as_bytes()).await;
            }
            let body = read_exactly(&mut stream, length_of(&head)).await;
            self.received.borrow_mut().push(head + &body);
            match reply {
                ScriptedReply::Keep(bytes) => {
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
                ScriptedReply::Early(_) => {}
                ScriptedReply::Close(bytes) => {
                    let _ = stream.write_all(bytes.as_bytes()).await;
                    return;
                }
                ScriptedReply::Reset(bytes) => {
                    let _ = stream.write_all(bytes.as_bytes()).await;
                    tokio::time::sleep(Duration::from_millis(30)).await;
                    let _ = stream.set_zero_linger();
                    return;
                }
                ScriptedReply::Hold => {
                    let mut byte = [0];
                    let _ = stream.read(&mut byte).await;
                    self.left.notify_one();
                    return;
                }
            }
        }
    }
}

/// A signed answer with a length.
pub(crate) fn good_answer(body: &str) -> String {
    signed_answer(200, body)
}

pub(crate) fn signed_answer(status: u16, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s1\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// A refusal that states that the call did not run.
pub(crate) fn not_run_answer() -> String {
    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
}

/// The head of a signed stream of events.
pub(crate) fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Stamp: s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()
}

pub(crate) fn chunk(bytes: &str) -> String {
    format!("{:x}\r\n{bytes}\r\n", bytes.len())
}

pub(crate) fn event(id: u32) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

pub(crate) const LAST_CHUNK: &str = "0\r\n\r\n";

/// What a caller saw.
#[derive(Debug)]
pub(crate) struct SeenAnswer {
    pub(crate) text: String,
    /// Whether the answer ended where its framing says.
    pub(crate) is_whole: bool,
}

impl SeenAnswer {
    pub(crate) fn status(&self) -> u16 {
        let word = self.text.split(' ').nth(1).unwrap_or_default();
        word.parse().unwrap_or_default()
    }

    /// The data of the events that arrived, in order.
    pub(crate) fn events(&self) -> Vec<String> {
        let lines = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        lines.map(str::to_owned).collect()
    }
}

/// A request of a caller.
pub(crate) fn request(path: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 5000\r\nApi-Key: k1\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Sends a request on a new connection and reads its answer.
pub(crate) async fn call(address: SocketAddrV4, request: &str) -> SeenAnswer {
    let mut stream = TcpStream::connect(address).await.expect("loopback works");
    call_on(&mut stream, request).await
}

/// Sends a request on a connection and reads its answer.
pub(crate) async fn call_on(stream: &mut TcpStream, request: &str) -> SeenAnswer {
    stream
        .write_all(request.as_bytes())
        .await
        .expect("loopback works");
    let read = async {
        let Some(head) = read_head(stream).await else {
            return SeenAnswer {
                text: String::new(),
                is_whole: false,
            };
        };
        if head
            .to_ascii_lowercase()
            .contains("transfer-encoding: chunked")
        {
            read_chunks(stream, head).await
        } else {
            let length = length_of(&head);
            let body = read_exactly(stream, length).await;
            SeenAnswer {
                is_whole: body.len() == length,
                text: head + &body,
            }
        }
    };
    timeout(GENEROUS, read).await.expect("an answer or an end")
}

async fn read_chunks(stream: &mut TcpStream, head: String) -> SeenAnswer {
    let mut text = head;
    loop {
        let mut size = String::new();
        while !size.ends_with("\r\n") {
            let byte = read_exactly(stream, 1).await;
            if byte.is_empty() {
                return SeenAnswer {
                    text,
                    is_whole: false,
                };
            }
            size.push_str(&byte);
        }
        let length = usize::from_str_radix(size.trim(), 16).expect("a chunk size");
        let bytes = read_exactly(stream, length + 2).await;
        if length == 0 {
            return SeenAnswer {
                text,
                is_whole: true,
            };
        }
        text.push_str(&bytes);
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let byte = read_exactly(stream, 1).await;
        if byte.is_empty() {
            return None;
        }
        head.push_str(&byte);
    }
    Some(head)
}

async fn read_exactly(stream: &mut TcpStream, length: usize) -> String {
    let mut bytes = vec![0; length];
    let mut filled = 0;
    while filled < length {
        match stream.read(&mut bytes[filled..]).await {
            Ok(0) | Err(_) => break,
            Ok(count) => filled += count,
        }
    }
    bytes.truncate(filled);
    String::from_utf8_lossy(&bytes).into_owned()
}

fn length_of(head: &str) -> usize {
    let lower = head.to_ascii_lowercase();
    let line = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    line.and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}
