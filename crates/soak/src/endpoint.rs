//! Stand-in endpoints that execute calls, with random failures.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use platform::headers::{
    API_KEY, ATTEMPT_ID, EXPECT_INSTANCE, LAST_EVENT_ID, NOT_EXECUTED, PREFIX_HASH, SERVER_STAMP,
    TENANT,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::id::name_id;

use crate::history::SoakHistory;
use crate::http::{HttpMessage, HttpStream, sized_answer};
use crate::poison::scope_of;
use crate::statements::{EndpointStatements, StatedAnswer};

/// Number of events in a complete stream.
pub const STREAM_EVENTS: u32 = 12;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Execution time of a call that is not a stream.
const CALL_DURATION: Duration = Duration::from_millis(10);
/// Client account that all callers belong to.
pub const ACCOUNT: &str = "parish";
/// API key of that account.
pub const ACCOUNT_KEY: &str = "key-of-the-parish";

/// Path of health checks, which the catalog names.
const HEALTH_PATH: &str = "/healthz";

/// Path of an endpoint's report, which tells its processes apart.
const REPORT_PATH: &str = "/v1/report";

/// Calls per thousand that are refused with status 503 before they are executed.
const REFUSED_PER_THOUSAND: u32 = 30;
/// Calls per thousand that are executed and answered with status 500.
const FAILED_PER_THOUSAND: u32 = 20;
/// Calls per thousand that are executed and whose connection is closed before the complete answer
/// is sent.
const CUT_PER_THOUSAND: u32 = 20;

/// Calls per thousand whose answer has neither a length nor chunks and ends with its connection.
const UNFRAMED_PER_THOUSAND: u32 = 200;

/// How a call is answered.
struct AnswerPlan<'a> {
    attempt: &'a str,
    /// Body of the call.
    call: &'a str,
    /// Software version of the endpoint.
    version: &'a str,
    headers: &'a str,
    /// Whether the answer breaks off.
    is_cut: bool,
    /// Whether the answer states its end.
    is_framed: bool,
}

/// What a process of an endpoint is called in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointIdentity {
    /// Name.
    pub name: String,
    /// Software version.
    pub version: String,
}

/// One stand-in endpoint. It serves until the process exits.
pub struct SoakEndpoint {
    identity: Mutex<EndpointIdentity>,
    /// Address on which it listens. The gateways reach it through a forwarder.
    pub address: SocketAddr,
    /// Whether it refuses all calls with status 503.
    pub is_draining: AtomicBool,
    /// What it states about itself.
    pub statements: EndpointStatements,
    history: Arc<SoakHistory>,
    /// Receives the address when the endpoint runs a request that crashes it.
    crashes: Sender<SocketAddr>,
}

impl SoakEndpoint {
    /// Starts an endpoint whose random failures are derived from `seed`. Its crashes are sent to
    /// `crashes`.
    ///
    /// # Errors
    /// The error of binding the socket.
    pub fn start(
        identity: EndpointIdentity,
        history: &Arc<SoakHistory>,
        seed: u64,
        crashes: Sender<SocketAddr>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = Arc::new(Self {
            identity: Mutex::new(identity),
            address: listener.local_addr()?,
            is_draining: AtomicBool::new(false),
            statements: EndpointStatements::default(),
            history: Arc::clone(history),
            crashes,
        });
        let accepting = Arc::clone(&endpoint);
        thread::spawn(move || {
            let mut random = Pcg64::seed_from_u64(seed);
            for stream in listener.incoming().flatten() {
                let (endpoint, seed) = (Arc::clone(&accepting), random.random());
                // Connection errors are expected here: the soak closes connections on purpose.
                thread::spawn(move || endpoint.serve(stream, Pcg64::seed_from_u64(seed)));
            }
        });
        Ok(endpoint)
    }

    /// The identity of the process that runs at present.
    pub fn identity(&self) -> EndpointIdentity {
        self.identity
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes the identity, as after a restart.
    pub fn set_identity(&self, identity: EndpointIdentity) {
        *self.identity.lock().unwrap_or_else(PoisonError::into_inner) = identity;
    }

    fn serve(&self, stream: TcpStream, mut random: Pcg64) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = HttpStream::new(stream);
        loop {
            let call = stream.read()?;
            if !call.is_whole {
                return Ok(());
            }
            self.answer(&mut stream, &call, &mut random)?;
        }
    }

    fn answer(
        &self,
        stream: &mut HttpStream,
        call: &HttpMessage,
        random: &mut Pcg64,
    ) -> io::Result<()> {
        let attempt = call.header(ATTEMPT_ID).unwrap_or_default().to_owned();
        let not_run = format!("{NOT_EXECUTED}: 1\r\n{ATTEMPT_ID}: {attempt}\r\n");
        let EndpointIdentity { name, version } = self.identity();
        if call.header(EXPECT_INSTANCE) != Some(&name) {
            return stream.send(sized_answer(421, &not_run, "").as_bytes());
        }
        if call.start_line.contains(HEALTH_PATH) {
            return self.answer_health(stream, &name);
        }
        if call.start_line.contains(REPORT_PATH) {
            let report = format!("{{\"born\":{}}}", name_id(&name));
            return stream.send(sized_answer(200, "", &report).as_bytes());
        }
        let parts = call.header(PREFIX_HASH).unwrap_or_default();
        if let Some(scope) = scope_of(&call.text(), parts) {
            self.history.record_poison_run(scope);
            // The receiver is gone at the end of a run only.
            let _ = self.crashes.send(self.address);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let stated = match self.history.gateway_of(&attempt) {
            Some(gateway) => self.statements.take(gateway),
            None => StatedAnswer::default(),
        };
        if let Some(breach) = stated.breach {
            self.history.record_breach(breach);
        }
        let not_run = not_run + &stated.headers;
        let is_refused = stated.is_turned_away
            || self.is_draining.load(Ordering::SeqCst)
            || random.random_range(0..1000) < REFUSED_PER_THOUSAND;
        if is_refused {
            return stream.send(sized_answer(503, &not_run, "").as_bytes());
        }
        self.check_call(call);
        self.history.record_execution(&attempt);
        let headers = format!(
            "{ATTEMPT_ID}: {attempt}\r\n{SERVER_STAMP}: {name}\r\n{}",
            stated.headers
        );
        if random.random_range(0..1000) < FAILED_PER_THOUSAND {
            return stream.send(sized_answer(500, &headers, "failed").as_bytes());
        }
        let body = call.text();
        let plan = AnswerPlan {
            attempt: &attempt,
            call: &body,
            version: &version,
            headers: &headers,
            is_cut: random.random_range(0..1000) < CUT_PER_THOUSAND,
            is_framed: random.random_range(0..1000) >= UNFRAMED_PER_THOUSAND,
        };
        match call.start_line.contains("/stream/") || call.start_line.contains("/resumable/") {
            true => send_stream(stream, call, &plan, random),
            false => send_whole(stream, &plan),
        }
    }

    /// Answers the health check of a gateway that was told that the endpoint leaves.
    fn answer_health(&self, stream: &mut HttpStream, name: &str) -> io::Result<()> {
        let status = match self.statements.is_leaving() {
            true => 503,
            false => 200,
        };
        let headers = format!("X-Instance-Id: {name}\r\n");
        stream.send(sized_answer(status, &headers, "").as_bytes())
    }

    fn check_call(&self, call: &HttpMessage) {
        if call.header(TENANT) != Some(ACCOUNT) {
            let account = call.header(TENANT).unwrap_or("none").to_owned();
            self.history
                .record_violation(format!("endpoint received a call for account {account}"));
        }
        if call.header(API_KEY).is_some() {
            self.history
                .record_violation("API key was forwarded to an endpoint".to_owned());
        }
        if call.text() != call_of(call.header(ATTEMPT_ID).unwrap_or_default()) {
            self.history
                .record_violation("endpoint received a call with a changed body".to_owned());
        }
    }
}

/// Body of the call to which an attempt belongs. Attempts that resume a stream append their number.
pub fn call_of(attempt: &str) -> &str {
    attempt.split('.').next().unwrap_or_default()
}

/// Text of one event of the stream that answers a call, from an endpoint of a software version.
pub fn event_text(call: &str, version: &str, id: u32) -> String {
    format!("id: {id}\ndata: {call} {version} {id}\n\n")
}

fn send_whole(stream: &mut HttpStream, plan: &AnswerPlan<'_>) -> io::Result<()> {
    thread::sleep(CALL_DURATION);
    if plan.is_framed && !plan.is_cut {
        return stream.send(sized_answer(200, plan.headers, plan.attempt).as_bytes());
    }
    if !plan.is_framed {
        let body = match plan.is_cut {
            true => &plan.attempt[..plan.attempt.len() / 2],
            false => plan.attempt,
        };
        stream.send(format!("HTTP/1.1 200 OK\r\n{}\r\n{body}", plan.headers).as_bytes())?;
    }
    if plan.is_cut && !plan.is_framed {
        // Without a length, only a reset shows that the answer broke off.
        stream.reset()?;
    }
    Err(io::ErrorKind::ConnectionAborted.into())
}

fn send_stream(
    stream: &mut HttpStream,
    call: &HttpMessage,
    plan: &AnswerPlan<'_>,
    random: &mut Pcg64,
) -> io::Result<()> {
    let last_event = call.header(LAST_EVENT_ID).and_then(|id| id.parse().ok());
    let first = last_event.map_or(1, |id: u32| id + 1);
    let framing = match plan.is_framed {
        true => "Transfer-Encoding: chunked\r\n",
        false => "",
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n{framing}\r\n",
        plan.headers
    );
    stream.send(head.as_bytes())?;
    let cut_at = random.random_range(first..=STREAM_EVENTS.max(first));
    for id in first..=STREAM_EVENTS {
        let text = event_text(plan.call, plan.version, id);
        if plan.is_cut && id == cut_at {
            send_part(stream, &text[..text.len() / 2], plan.is_framed)?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        send_part(stream, &text, plan.is_framed)?;
        thread::sleep(EVENT_INTERVAL);
    }
    match plan.is_framed {
        true => stream.send(b"0\r\n\r\n"),
        false => Err(io::ErrorKind::ConnectionAborted.into()),
    }
}

fn send_part(stream: &mut HttpStream, part: &str, is_framed: bool) -> io::Result<()> {
    match is_framed {
        true => stream.send(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes()),
        false => stream.send(part.as_bytes()),
    }
}
