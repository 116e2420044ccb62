//! A stand-in for a runner. A runner that crashes closes its listener and its connections, and
//! starts again at its address after a while.

use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};
use crate::record::Record;

/// What a runner does with a request that it may run.
pub enum Work {
    /// Sends events, one after each pause; goes on after `Last-Event-Id`.
    Stream { events: u32, pause: Duration },
    /// Works, then answers.
    Whole { work: Duration },
    /// Begins to run the request and crashes.
    Crash,
    /// Does not run the request, as it has no room.
    Shed,
}

pub type Behaviour = dyn Fn(&Runner, &Head) -> Work + Send + Sync;

/// One arrival of a request at a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub runner: String,
    pub attempt: String,
    pub prefix: String,
    pub has_run: bool,
}

pub struct Runner {
    pub name: String,
    pub address: SocketAddrV4,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub record: Arc<Record>,
    version: Mutex<String>,
    /// Its state on the list: `ready`, `draining`, or empty if it is not listed.
    state: Mutex<&'static str>,
    /// Number of the current boot; even while the runner is down.
    boot: Mutex<u64>,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU32,
    behaviour: Box<Behaviour>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub crashes: Mutex<Vec<f64>>,
    /// Streams that were broken off by crashes.
    pub broken: AtomicU32,
}

impl Runner {
    pub fn new(
        record: &Arc<Record>,
        name: &str,
        address: SocketAddrV4,
        service: &str,
        zone: &str,
        version: &str,
        slots: u32,
        behaviour: Box<Behaviour>,
    ) -> Arc<Self> {
        Arc::new(Self {
            name: name.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            record: Arc::clone(record),
            version: Mutex::new(version.to_owned()),
            state: Mutex::new("ready"),
            boot: Mutex::new(0),
            connections: Mutex::default(),
            running: AtomicU32::new(0),
            behaviour,
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            broken: AtomicU32::new(0),
        })
    }

    pub fn version(&self) -> String {
        self.version.lock().unwrap().clone()
    }

    pub fn set_version(&self, version: &str) {
        *self.version.lock().unwrap() = version.to_owned();
    }

    /// Its state on the list.
    pub fn state(&self) -> &'static str {
        *self.state.lock().unwrap()
    }

    /// Begins to leave: the list shows it as draining, and its answers say that it leaves.
    pub fn drain(&self) {
        *self.state.lock().unwrap() = "draining";
        self.record.line(&self.name, "is draining");
    }

    /// Ends a runner that was draining, and takes it off the list.
    pub fn leave(&self) {
        *self.state.lock().unwrap() = "";
        self.crash();
    }

    pub fn is_up(&self) -> bool {
        *self.boot.lock().unwrap() % 2 == 1
    }

    fn boot(&self) -> u64 {
        *self.boot.lock().unwrap()
    }

    /// Starts the runner, or starts it again after a crash.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let boot = {
            let mut boot = self.boot.lock().unwrap();
            *boot += 1;
            *boot
        };
        self.record.line(&self.name, &format!("starts, version {}", self.version()));
        let runner = Arc::clone(self);
        thread::spawn(move || {
            while runner.boot() == boot {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            runner.connections.lock().unwrap().push(copy);
                        }
                        let runner = Arc::clone(&runner);
                        thread::spawn(move || runner.serve(Conn::new(stream), boot));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
        Ok(())
    }

    /// Crashes: the listener and all connections are closed.
    pub fn crash(&self) {
        {
            let mut boot = self.boot.lock().unwrap();
            if *boot % 2 == 0 {
                return;
            }
            *boot += 1;
        }
        let running = self.running.swap(0, Ordering::SeqCst);
        self.record.line(&self.name, &format!("ends; runs {running} requests"));
        self.crashes.lock().unwrap().push(self.record.now());
        // The accept loop closes the listener within a few milliseconds.
        thread::sleep(Duration::from_millis(6));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Crashes and starts again after `down`, with `version` if one is given.
    pub fn crash_and_return(self: &Arc<Self>, down: Duration, version: Option<&str>) {
        self.crash();
        let runner = Arc::clone(self);
        let version = version.map(str::to_owned);
        thread::spawn(move || {
            thread::sleep(down);
            if let Some(version) = version {
                runner.set_version(&version);
            }
            while runner.start().is_err() {
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    fn serve(self: Arc<Self>, mut conn: Conn, boot: u64) {
        loop {
            let until = Instant::now() + Duration::from_secs(15);
            let Ok(head) = conn.head(until) else { return };
            let framing = Conn::framing(&head, true);
            if conn.body(framing, until).is_err() || self.boot() != boot {
                return;
            }
            if self.answer(&mut conn, &head, boot).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let leaving = if self.state() == "ready" { "" } else { "Server-Leaving: 1\r\nConnection: close\r\n" };
        format!("X-Instance-Load: {running},0,{}\r\n{leaving}", self.slots)
    }

    fn refuse(&self, conn: &mut Conn, status: &str, attempt: &str) -> std::io::Result<()> {
        let load = self.load();
        let echo = match attempt {
            "" => String::new(),
            id => format!("X-Attempt-Id: {id}\r\n"),
        };
        conn.send(
            format!("HTTP/1.1 {status}\r\nX-Not-Executed: 1\r\n{echo}{load}Content-Length: 0\r\n\r\n")
                .as_bytes(),
        )
    }

    fn answer(self: &Arc<Self>, conn: &mut Conn, head: &Head, boot: u64) -> std::io::Result<()> {
        let load = self.load();
        if head.method() == "GET" && head.path() == "/healthz" {
            let name = &self.name;
            let status = if self.state() == "ready" { "200 OK" } else { "503 Service Unavailable" };
            return conn.send(
                format!("HTTP/1.1 {status}\r\nX-Instance-Id: {name}\r\n{load}Content-Length: 0\r\n\r\n")
                    .as_bytes(),
            );
        }
        let attempt = head.get("x-attempt-id").unwrap_or("").to_owned();
        if head.get("x-expect-instance").is_some_and(|name| name != self.name) {
            return self.refuse(conn, "421 Misdirected Request", &attempt);
        }
        if attempt.is_empty() {
            return self.refuse(conn, "400 Bad Request", "");
        }
        let work = (self.behaviour)(self, head);
        let is_full = self.running.load(Ordering::SeqCst) >= self.slots;
        let has_run = !is_full && !matches!(work, Work::Shed);
        let prefix = head.get("x-prefix-hash").unwrap_or("").to_owned();
        let after = head.get("last-event-id").unwrap_or("-");
        let text = format!(
            "request {attempt} reaches it, prompt {prefix}, Last-Event-Id {after}{}",
            if has_run { ", runs" } else { ", is turned away" }
        );
        self.record.line(&self.name, &text);
        self.arrivals.lock().unwrap().push(Arrival {
            at: self.record.now(),
            runner: self.name.clone(),
            attempt: attempt.clone(),
            prefix,
            has_run,
        });
        if !has_run {
            return self.refuse(conn, "503 Service Unavailable", &attempt);
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let done = self.run(conn, head, &attempt, work, boot);
        if self.boot() == boot {
            self.running.fetch_sub(1, Ordering::SeqCst);
        }
        done
    }

    fn run(
        self: &Arc<Self>,
        conn: &mut Conn,
        head: &Head,
        attempt: &str,
        work: Work,
        boot: u64,
    ) -> std::io::Result<()> {
        let broken = || std::io::Error::from(std::io::ErrorKind::BrokenPipe);
        let signed = format!(
            "X-Attempt-Id: {attempt}\r\nX-Server-Stamp: {}.{boot}.{attempt}\r\nX-Weight-Versions: 1\r\n{}",
            self.name,
            self.load()
        );
        match work {
            Work::Shed => Ok(()),
            Work::Crash => {
                thread::sleep(Duration::from_millis(40));
                self.crash_and_return(Duration::from_millis(2500), None);
                Err(broken())
            }
            Work::Whole { work } => {
                let until = Instant::now() + work;
                while Instant::now() < until {
                    thread::sleep(Duration::from_millis(5));
                    if self.boot() != boot || conn.is_closed() {
                        return Err(broken());
                    }
                }
                let body = "x".repeat(800);
                conn.send(
                    format!("HTTP/1.1 200 OK\r\n{signed}Content-Length: 800\r\n\r\n{body}").as_bytes(),
                )
            }
            Work::Stream { events, pause } => {
                let after = head.get("last-event-id").and_then(|id| id.parse().ok());
                let first = after.unwrap_or(0) + 1;
                let version = self.version();
                conn.send(
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{signed}Transfer-Encoding: chunked\r\n\r\n"
                    )
                    .as_bytes(),
                )?;
                for number in first..=events {
                    let until = Instant::now() + pause;
                    while Instant::now() < until {
                        thread::sleep(Duration::from_millis(4));
                        if self.boot() != boot {
                            self.broken.fetch_add(1, Ordering::SeqCst);
                            return Err(broken());
                        }
                        if conn.is_closed() {
                            return Err(broken());
                        }
                    }
                    let event = format!("id: {number}\ndata: {version} {} {number}\n\n", self.name);
                    conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                conn.send(b"0\r\n\r\n")
            }
        }
    }
}
