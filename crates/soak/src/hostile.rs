//! Clients that hold memory and connections of a gateway, beside ordinary callers.
//!
//! A run starts one real gateway with a clean endpoint, sends ordinary calls and readiness checks all
//! the time, and lets clients of one or two kinds misbehave for a while. It reads the peak memory of
//! the gateway from the system.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use catalog::CallKind;
use kernel::limits::descriptor_limit;
use platform::headers::{ATTEMPT_ID, DEADLINE_MS, SERVER_STAMP};
use platform::paths::READINESS;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::gateway::ListedEndpoint;

use crate::call::SoakCall;
use crate::fleet::SoakFleet;
use crate::http::{HttpStream, sized_answer};
use crate::list::SoakList;
use crate::operator::{
    FAULTY_SERVICE, FAULTY_STREAM_PREFIX, FAULTY_UNSAFE_PREFIX, SERVICE, faulty_catalog_text,
    send_catalog,
};
use crate::run::next_network;

/// Largest body that the catalog allows, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Size of the answer to a call whose body asks for a large one, in bytes.
const LARGE_ANSWER_BYTES: usize = 3 * 1024 * 1024;
/// Body that asks for it.
const LARGE_ANSWER: &str = "large";
/// Part of the path of a call whose answer's head does not end.
const ENDLESS_HEAD: &str = "head";
/// Size of a head that stops short of its bound, in bytes.
const ENDLESS_HEAD_BYTES: usize = 60 * 1024;
/// Size of a body that does, in bytes.
const ENDLESS_BODY_BYTES: usize = 4000 * 1024;
/// Size of an event that does, in bytes.
const ENDLESS_EVENT_BYTES: usize = 1000 * 1024;
/// Timeout of ordinary calls and readiness checks.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two ordinary calls of a caller, and between two readiness checks.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of ordinary callers.
const CALLERS: u64 = 4;
/// Largest part of the machine's memory that the gateway may take.
const MAX_MEMORY_SHARE: f64 = 0.8;
/// Smallest share of ordinary calls that have to be served.
const MIN_SERVED_SHARE: f64 = 0.99;
/// Time for the gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// How clients misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostileKind {
    /// Bodies of the largest size that stop one byte short of their end.
    ShortBodies,
    /// The same in small chunks.
    ChunkedBodies,
    /// Bodies far over the limit.
    OversizedBodies,
    /// Heads of many short fields, with a body that does not end.
    ManyFields,
    /// Many requests on one connection whose answers are not read.
    Pipelined,
    /// Heads that arrive byte by byte.
    SlowHeads,
    /// Large answers that are not read.
    UnreadAnswers,
    /// Connections on which nothing is sent.
    IdleConnections,
    /// Calls whose endpoint sends a head, a body or an event that stops short of its bound.
    EndlessAnswers,
}

impl HostileKind {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::ShortBodies,
        Self::ChunkedBodies,
        Self::OversizedBodies,
        Self::ManyFields,
        Self::Pipelined,
        Self::SlowHeads,
        Self::UnreadAnswers,
        Self::IdleConnections,
        Self::EndlessAnswers,
    ];

    /// Number of connections that the clients of this kind hold.
    fn connections(self) -> usize {
        match self {
            Self::ShortBodies | Self::ChunkedBodies | Self::Pipelined | Self::EndlessAnswers => 100,
            Self::OversizedBodies => 20,
            Self::UnreadAnswers => 60,
            Self::ManyFields | Self::SlowHeads => 1000,
            Self::IdleConnections => 4000,
        }
    }
}

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct HostileSettings {
    /// Seed of the clients.
    pub seed: u64,
    /// Kinds of clients that misbehave together.
    pub kinds: Vec<HostileKind>,
    /// Time for which they do.
    pub length: Duration,
    /// Memory of the machine that the gateway is told, in MB; 0 leaves the table `limits` out.
    pub memory_mb: u64,
    /// Further lines of the table `limits`.
    pub limits: String,
}

/// Result of a run.
#[derive(Debug)]
pub struct HostileOutcome {
    /// Peak resident memory of the gateway in MB.
    pub peak_mb: f64,
    /// Whether the gateway ended by itself.
    pub has_ended: bool,
    /// Ordinary calls.
    pub calls: u64,
    /// Ordinary calls that were served.
    pub served: u64,
    /// Median time of the ordinary calls that were served, connecting included.
    pub median_call: Duration,
    /// Readiness checks.
    pub checks: u64,
    /// Readiness checks that failed or took longer than a second.
    pub late_checks: u64,
    /// Longest readiness check.
    pub longest_check: Duration,
    /// Connections that misbehaving clients opened.
    pub opened: u64,
}

impl HostileOutcome {
    /// Share of the ordinary calls that were served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / self.calls.max(1) as f64
    }

    /// What was not as it has to be on a machine with this memory in MB.
    pub fn violations(&self, memory_mb: u64) -> Vec<String> {
        let mut violations = Vec::new();
        let limit = memory_mb as f64 * MAX_MEMORY_SHARE;
        if self.has_ended {
            violations.push("the gateway ended".to_owned());
        }
        if !(1.0..limit).contains(&self.peak_mb) {
            violations.push(format!("peak memory {:.1} MB of {limit:.1}", self.peak_mb));
        }
        if self.served_share() < MIN_SERVED_SHARE {
            violations.push(format!("{} of {} calls served", self.served, self.calls));
        }
        if self.late_checks > 0 || self.checks == 0 {
            let (late, checks) = (self.late_checks, self.checks);
            violations.push(format!(
                "{late} of {checks} readiness checks failed or were late"
            ));
        }
        violations
    }
}

#[derive(Default)]
struct Counters {
    calls: AtomicU64,
    served: AtomicU64,
    call_times: Mutex<Vec<Duration>>,
    checks: AtomicU64,
    late_checks: AtomicU64,
    longest_check: Mutex<Duration>,
    opened: AtomicU64,
}

/// Locked by a run: two at once would measure each other's load.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs one gateway beside misbehaving clients. `folder` receives its settings, data and log.
///
/// # Errors
/// The error of a stand-in or of the file system.
pub fn run_hostile(settings: &HostileSettings, folder: &Path) -> io::Result<HostileOutcome> {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let endpoint = start_endpoint()?;
    let row = ListedEndpoint {
        name: "endpoint-0".to_owned(),
        service: SERVICE.to_owned(),
        address: endpoint.to_string().parse().expect("an IPv4 address"),
        domain: 0,
        slots: 200,
        is_draining: false,
        version: "v1".to_owned(),
    };
    let faulty = ListedEndpoint {
        name: "endpoint-1".to_owned(),
        service: FAULTY_SERVICE.to_owned(),
        address: start_faulty()?
            .to_string()
            .parse()
            .expect("an IPv4 address"),
        slots: 400,
        ..row.clone()
    };
    let list = SoakList::start(vec![row, faulty])?;
    let mut fleet = SoakFleet::start(folder, next_network(), 1, 0, list.address)?;
    let gateway = &mut fleet.gateways[0];
    gateway.kill();
    let limits = format!(
        "\n[limits]\nmemory_mb = {}\n{}",
        settings.memory_mb, settings.limits
    );
    if settings.memory_mb > 0 {
        gateway.append_settings(&limits)?;
    }
    gateway.start();
    let operators = gateway.operator_address();
    let started = Instant::now();
    while !send_catalog(operators, &faulty_catalog_text(1)).is_ok_and(|status| status == 200)
        && started.elapsed() < READY_TIMEOUT
    {
        thread::sleep(Duration::from_millis(100));
    }
    if !fleet.wait_ready(READY_TIMEOUT) {
        return Err(io::Error::other("the gateway did not become ready"));
    }
    let gateway = &mut fleet.gateways[0];
    let counters = Arc::new(Counters::default());
    let is_stopping = Arc::new(AtomicBool::new(false));
    let mut threads = start_ordinary(gateway.caller_address(), &counters, &is_stopping);
    threads.push(start_checks(
        gateway.readiness_address(),
        &counters,
        &is_stopping,
    ));
    let targets = [gateway.caller_address(), gateway.readiness_address()];
    for (index, kind) in settings.kinds.iter().enumerate() {
        let client = HostileClient {
            kind: *kind,
            targets,
            random: Pcg64::seed_from_u64(settings.seed * 100 + index as u64),
            counters: Arc::clone(&counters),
            is_stopping: Arc::clone(&is_stopping),
        };
        threads.push(thread::spawn(move || client.run()));
    }
    thread::sleep(settings.length);
    let peak_mb = gateway.process_id().map_or(0.0, peak_memory_mb);
    let has_ended = gateway.exit_status().is_some();
    is_stopping.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    gateway.kill();
    let read = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let longest = counters.longest_check.lock();
    let times = counters.call_times.lock();
    let mut times = times.unwrap_or_else(PoisonError::into_inner);
    times.sort_unstable();
    Ok(HostileOutcome {
        median_call: times.get(times.len() / 2).copied().unwrap_or_default(),
        peak_mb,
        has_ended,
        calls: read(&counters.calls),
        served: read(&counters.served),
        checks: read(&counters.checks),
        late_checks: read(&counters.late_checks),
        longest_check: *longest.unwrap_or_else(PoisonError::into_inner),
        opened: read(&counters.opened),
    })
}

/// Peak resident memory of a process in MB, as the system states it.
fn peak_memory_mb(process_id: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    kilobytes.unwrap_or_default() / 1024.0
}

/// Starts an endpoint that serves each call at once.
fn start_endpoint() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // A connection ends with the gateway's own.
            thread::spawn(move || serve_calls(&mut HttpStream::new(stream)));
        }
    });
    Ok(address)
}

fn serve_calls(stream: &mut HttpStream) -> io::Result<()> {
    loop {
        let call = stream.read()?;
        // An answer to a call that names no attempt must not name one either.
        let attempt = call.header(&ATTEMPT_ID.to_ascii_lowercase());
        let attempt = attempt.map_or_else(String::new, |id| format!("{ATTEMPT_ID}: {id}\r\n"));
        let headers = format!("{attempt}{SERVER_STAMP}: s\r\n");
        let body = match call.body.starts_with(LARGE_ANSWER.as_bytes()) {
            true => "y".repeat(LARGE_ANSWER_BYTES),
            false => "done".to_owned(),
        };
        stream.send(sized_answer(200, &headers, &body).as_bytes())?;
    }
}

/// Starts an endpoint whose answers stop short of a bound of the gateway.
fn start_faulty() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve_without_end(&mut HttpStream::new(stream)));
        }
    });
    Ok(address)
}

fn serve_without_end(stream: &mut HttpStream) -> io::Result<()> {
    let call = stream.read()?;
    let attempt = call.header(&ATTEMPT_ID.to_ascii_lowercase());
    let attempt = attempt.unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {attempt}\r\n{SERVER_STAMP}: s\r\n");
    let (fields, size) = if call.start_line.contains(ENDLESS_HEAD) {
        ("x-long: ", ENDLESS_HEAD_BYTES)
    } else if call.start_line.contains(FAULTY_STREAM_PREFIX) {
        (
            "Content-Type: text/event-stream\r\n\r\n",
            ENDLESS_EVENT_BYTES,
        )
    } else {
        ("\r\n", ENDLESS_BODY_BYTES)
    };
    stream.send(format!("{head}{fields}{}", "y".repeat(size)).as_bytes())?;
    // Until the gateway closes the connection.
    stream.read().map(|_| ())
}

fn ordinary_call(body: &str, attempt: &str) -> String {
    let call = SoakCall {
        body: body.to_owned(),
        kind: CallKind::Safe,
        prompt: String::new(),
    };
    call.request(attempt, "")
}

fn start_ordinary(
    address: SocketAddr,
    counters: &Arc<Counters>,
    is_stopping: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let start = |caller: u64| {
        let (counters, is_stopping) = (Arc::clone(counters), Arc::clone(is_stopping));
        thread::spawn(move || {
            let mut number = 0;
            while !is_stopping.load(Ordering::SeqCst) {
                number += 1;
                let request = ordinary_call("ordinary", &format!("c{caller}-{number}"));
                let call = || -> io::Result<u16> {
                    let mut stream = HttpStream::connect(address, CALL_TIMEOUT)?;
                    stream.send(request.as_bytes())?;
                    Ok(stream.read()?.status())
                };
                counters.calls.fetch_add(1, Ordering::SeqCst);
                let started = Instant::now();
                if call().is_ok_and(|status| status == 200) {
                    counters.served.fetch_add(1, Ordering::SeqCst);
                    let times = counters.call_times.lock();
                    let mut times = times.unwrap_or_else(PoisonError::into_inner);
                    times.push(started.elapsed());
                }
                thread::sleep(CALL_INTERVAL);
            }
        })
    };
    (0..CALLERS).map(start).collect()
}

fn start_checks(
    address: SocketAddr,
    counters: &Arc<Counters>,
    is_stopping: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (counters, is_stopping) = (Arc::clone(counters), Arc::clone(is_stopping));
    thread::spawn(move || {
        while !is_stopping.load(Ordering::SeqCst) {
            let started = Instant::now();
            let check = || -> io::Result<u16> {
                let mut stream = HttpStream::connect(address, CALL_TIMEOUT)?;
                stream.send(format!("GET {READINESS} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes())?;
                Ok(stream.read()?.status())
            };
            let is_ready = check().is_ok_and(|status| status == 200);
            let elapsed = started.elapsed();
            counters.checks.fetch_add(1, Ordering::SeqCst);
            if !is_ready || elapsed > Duration::from_secs(1) {
                counters.late_checks.fetch_add(1, Ordering::SeqCst);
            }
            let longest = counters.longest_check.lock();
            let mut longest = longest.unwrap_or_else(PoisonError::into_inner);
            *longest = longest.max(elapsed);
            drop(longest);
            thread::sleep(CALL_INTERVAL);
        }
    })
}

/// Clients of one kind, on one thread.
struct HostileClient {
    kind: HostileKind,
    targets: [SocketAddr; 2],
    random: Pcg64,
    counters: Arc<Counters>,
    is_stopping: Arc<AtomicBool>,
}

/// A connection of a misbehaving client.
struct HostileConnection {
    stream: TcpStream,
    bytes: Arc<Vec<u8>>,
    sent: usize,
}

impl HostileClient {
    /// Opens connections, sends on them as far as the gateway reads, and opens others in place of
    /// those that it closes.
    fn run(mut self) {
        let requests = self.requests();
        // This process needs descriptors for ordinary callers and checks, too.
        let descriptors = descriptor_limit().unwrap_or(usize::MAX);
        let connections = self.kind.connections().min(descriptors / 4);
        let mut open: Vec<HostileConnection> = Vec::new();
        while !self.is_stopping.load(Ordering::SeqCst) {
            let missing = connections - open.len();
            for _ in 0..missing.min(200) {
                let bytes = &requests[self.random.random_range(0..requests.len())];
                // Most connect to callers' listener, some to the readiness listener.
                let target = self.targets[usize::from(self.random.random_range(0..10) == 0)];
                let Ok(stream) = TcpStream::connect_timeout(&target, CALL_TIMEOUT) else {
                    break;
                };
                self.counters.opened.fetch_add(1, Ordering::SeqCst);
                let _ = stream.set_nonblocking(true);
                let bytes = Arc::clone(bytes);
                open.push(HostileConnection {
                    stream,
                    bytes,
                    sent: 0,
                });
            }
            let (kind, pieces) = (self.kind, self.piece());
            open.retain_mut(|connection| connection.advance(kind, pieces));
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Number of bytes that are sent at once.
    fn piece(&self) -> usize {
        match self.kind {
            HostileKind::SlowHeads => 1,
            _ => 512 * 1024,
        }
    }

    /// The bytes that a connection sends, for paths with and without a route.
    fn requests(&self) -> Vec<Arc<Vec<u8>>> {
        let host = "Host: soak.example\r\nApi-Key: key-of-the-parish\r\n";
        let of_path = |path: &str| -> Vec<u8> {
            let head = format!("POST {path} HTTP/1.1\r\n{host}");
            match self.kind {
                HostileKind::ShortBodies => {
                    let mut text = format!("{head}Content-Length: {MAX_BODY_BYTES}\r\n\r\n");
                    text += &"x".repeat(MAX_BODY_BYTES - 1);
                    text.into_bytes()
                }
                HostileKind::ChunkedBodies => {
                    let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
                    let chunk = format!("200\r\n{}\r\n", "x".repeat(512));
                    text += &chunk.repeat(MAX_BODY_BYTES / 512 - 1);
                    text.into_bytes()
                }
                HostileKind::OversizedBodies => {
                    let mut text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
                    let chunk = format!("10000\r\n{}\r\n", "x".repeat(65_536));
                    text += &chunk.repeat(512);
                    text.into_bytes()
                }
                HostileKind::ManyFields => {
                    let mut text = head;
                    for number in 0..90 {
                        text += &format!("f{number}: v\r\n");
                    }
                    text += "Content-Length: 2\r\n\r\nx";
                    text.into_bytes()
                }
                HostileKind::Pipelined => {
                    let one = format!("GET {path} HTTP/1.1\r\n{host}\r\n");
                    one.repeat(2000).into_bytes()
                }
                HostileKind::SlowHeads => format!("{head}{}", "a".repeat(8000)).into_bytes(),
                HostileKind::UnreadAnswers => {
                    ordinary_call(LARGE_ANSWER, "unread").repeat(4).into_bytes()
                }
                HostileKind::IdleConnections => Vec::new(),
                HostileKind::EndlessAnswers => {
                    let fields = format!("{ATTEMPT_ID}: e1\r\n{DEADLINE_MS}: 4000\r\n");
                    format!("{head}{fields}Content-Length: 0\r\n\r\n").into_bytes()
                }
            }
        };
        if self.kind == HostileKind::EndlessAnswers {
            let paths = [
                format!("{FAULTY_UNSAFE_PREFIX}{ENDLESS_HEAD}"),
                format!("{FAULTY_UNSAFE_PREFIX}body"),
                format!("{FAULTY_STREAM_PREFIX}event"),
            ];
            return paths.map(|path| Arc::new(of_path(&path))).to_vec();
        }
        let paths = ["/safe/x", "/nowhere", READINESS];
        paths.map(|path| Arc::new(of_path(path))).to_vec()
    }
}

impl HostileConnection {
    /// Sends some bytes. Returns whether the connection is still open.
    fn advance(&mut self, kind: HostileKind, piece: usize) -> bool {
        let end = self.bytes.len().min(self.sent + piece);
        match self.stream.write(&self.bytes[self.sent..end]) {
            Ok(count) => self.sent += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if matches!(kind, HostileKind::Pipelined | HostileKind::UnreadAnswers) {
            // Reads nothing, so a close is seen by a failed write only.
            return true;
        }
        let mut space = [0; 1024];
        match self.stream.read(&mut space) {
            Ok(0) => false,
            Ok(_) => true,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }
}
