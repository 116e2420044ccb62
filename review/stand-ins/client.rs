//! A stand-in for clients.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::http::Conn;
use crate::record::Record;

/// One attempt of a client.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub attempt: String,
    pub path: String,
    pub prefix: String,
    pub limit: Duration,
    /// Id of the last event that the client has, and the attempt that brought the first one.
    pub resumes: Option<(u32, String)>,
    pub body: String,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The answer arrived whole.
    Whole(u16),
    /// The channel broke, or ended before the answer did.
    Broken,
    /// The client left.
    Left,
}

/// An event: its id, the version of the software that made it, and the runner.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub id: u32,
    pub version: String,
    pub runner: String,
}

#[derive(Clone, Debug)]
pub struct Reply {
    pub end: End,
    pub events: Vec<Event>,
    pub retry_after: Option<Duration>,
    pub body: String,
}

pub struct Client {
    pub fleet: Arc<Fleet>,
    pub record: Arc<Record>,
    pub host: String,
    pub key: String,
}

impl Client {
    /// Sends an attempt to a gateway and reads the answer. The client leaves at `leaves_at`, if that
    /// is before its time limit.
    pub fn call(&self, gateway: usize, request: &Request, leaves_at: Option<Instant>) -> Reply {
        let name = &self.fleet.gateways[gateway].name;
        let resumes = match &request.resumes {
            Some((event, attempt)) => format!(", takes up {attempt} after event {event}"),
            None => String::new(),
        };
        self.record.line("client", &format!("{} sent to {name}, {}{resumes}", request.attempt, request.prefix));
        let mut reply = Reply { end: End::Broken, events: Vec::new(), retry_after: None, body: String::new() };
        let until = Instant::now() + request.limit;
        let until = leaves_at.map_or(until, |at| at.min(until));
        if let Err(error) = self.exchange(gateway, request, until, &mut reply) {
            reply.end = match error.kind() {
                std::io::ErrorKind::TimedOut => End::Left,
                _ => End::Broken,
            };
        }
        let last = reply.events.last().map(|event| event.id);
        let text = format!("{} ends: {:?}, {} events, the last {last:?} {}", request.attempt, reply.end, reply.events.len(), reply.body);
        self.record.line("client", &text);
        reply
    }

    fn exchange(&self, gateway: usize, request: &Request, until: Instant, reply: &mut Reply) -> std::io::Result<()> {
        let mut conn = Conn::open(self.fleet.gateways[gateway].front, Duration::from_secs(1))?;
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nApi-Key: {}\r\nContent-Length: {}\r\n",
            request.path, self.host, request.attempt, request.limit.as_millis(), self.key, request.body.len()
        );
        if !request.prefix.is_empty() {
            head += &format!("X-Model: m\r\nX-Token-Usage: 900,276\r\nX-Prefix-Hash: {}\r\n", request.prefix);
        }
        if let Some((event, attempt)) = &request.resumes {
            head += &format!("Last-Event-Id: {event}\r\nResumes: {attempt}\r\n");
        }
        conn.send(format!("{head}\r\n{}", request.body).as_bytes())?;
        let answer = conn.head(until)?;
        let status = answer.status();
        let retry_after = answer.get("retry-after").and_then(|value| value.parse().ok());
        reply.retry_after = retry_after.map(Duration::from_secs_f64);
        let is_stream = answer.get("content-type") == Some("text/event-stream");
        let mut framing = Conn::framing(&answer, false);
        let mut text = String::new();
        while let Some(part) = conn.part(&mut framing, until)? {
            text += &String::from_utf8_lossy(&part);
            while let Some(at) = text.find("\n\n").filter(|_| is_stream) {
                let event: String = text.drain(..at + 2).collect();
                reply.events.extend(read_event(&event));
            }
        }
        if status != 200 {
            reply.body = text;
        }
        reply.end = End::Whole(status);
        Ok(())
    }
}

fn read_event(text: &str) -> Option<Event> {
    let id = text.lines().find_map(|line| line.strip_prefix("id: "))?.parse().ok()?;
    let mut data = text.lines().find_map(|line| line.strip_prefix("data: "))?.split(' ');
    Some(Event { id, version: data.next()?.to_owned(), runner: data.next()?.to_owned() })
}
