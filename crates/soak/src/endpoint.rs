//! Stand-in endpoints.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use platform::headers::{
    API_KEY, ATTEMPT_ID, EXPECT_INSTANCE, LAST_EVENT_ID, NOT_EXECUTED, SERVER_STAMP, TENANT,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::http::{HttpMessage, HttpStream, whole_answer};
use crate::ledger::SoakLedger;

/// Events of a stream.
pub const STREAM_EVENTS: u32 = 12;
/// Time between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(15);
/// Time that a plain call takes.
const WORK_TIME: Duration = Duration::from_millis(10);
/// The account that holds the callers' key.
pub const ACCOUNT: &str = "parish";
/// The callers' key.
pub const ACCOUNT_KEY: &str = "key-of-the-parish";

/// Chances of what an endpoint does wrong, in a thousand.
const REFUSES: u32 = 30;
const FAILS: u32 = 20;
const BREAKS_OFF: u32 = 20;

/// One stand-in endpoint. It listens for as long as the process runs.
pub struct SoakEndpoint {
    /// Its name in the list.
    pub name: String,
    /// Its own address, behind the forwarder.
    pub address: SocketAddr,
    /// Whether it refuses new calls.
    pub is_draining: AtomicBool,
    ledger: Arc<SoakLedger>,
}

impl SoakEndpoint {
    /// Starts an endpoint.
    ///
    /// # Errors
    /// The socket's error.
    pub fn start(name: &str, ledger: &Arc<SoakLedger>, seed: u64) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let endpoint = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            is_draining: AtomicBool::new(false),
            ledger: Arc::clone(ledger),
        });
        let accepting = Arc::clone(&endpoint);
        thread::spawn(move || {
            let mut random = Pcg64::seed_from_u64(seed);
            for stream in listener.incoming().flatten() {
                let (endpoint, seed) = (Arc::clone(&accepting), random.random());
                // A connection that ends in the middle is what the soak is about.
                thread::spawn(move || endpoint.serve(stream, Pcg64::seed_from_u64(seed)));
            }
        });
        Ok(endpoint)
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
        let not_run = format!("{NOT_EXECUTED}: 1\r\n");
        if call.head(EXPECT_INSTANCE) != Some(&self.name) {
            return stream.send(whole_answer(421, &not_run, "").as_bytes());
        }
        let refuses =
            self.is_draining.load(Ordering::SeqCst) || random.random_range(0..1000) < REFUSES;
        if refuses {
            return stream.send(whole_answer(503, &not_run, "").as_bytes());
        }
        self.check(call);
        let attempt = call.head(ATTEMPT_ID).unwrap_or_default().to_owned();
        self.ledger.run(&attempt);
        let heads = format!(
            "{ATTEMPT_ID}: {attempt}\r\n{SERVER_STAMP}: {}\r\n",
            self.name
        );
        if random.random_range(0..1000) < FAILS {
            return stream.send(whole_answer(500, &heads, "failed").as_bytes());
        }
        let breaks_off = random.random_range(0..1000) < BREAKS_OFF;
        match call.start.contains("/stream/") || call.start.contains("/resumable/") {
            true => send_stream(stream, call, &attempt, &heads, breaks_off, random),
            false => {
                thread::sleep(WORK_TIME);
                if breaks_off {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                stream.send(whole_answer(200, &heads, &attempt).as_bytes())
            }
        }
    }

    fn check(&self, call: &HttpMessage) {
        if call.head(TENANT) != Some(ACCOUNT) {
            let account = call.head(TENANT).unwrap_or("none").to_owned();
            self.ledger
                .break_promise(format!("call came for account {account}"));
        }
        if call.head(API_KEY).is_some() {
            self.ledger.break_promise("a key was passed on".to_owned());
        }
        if call.text() != call.head(ATTEMPT_ID).unwrap_or_default() {
            self.ledger
                .break_promise("the body of a call was changed".to_owned());
        }
    }
}

/// The text of one event.
pub fn event_text(attempt: &str, id: u32) -> String {
    format!("id: {id}\ndata: {attempt} {id}\n\n")
}

fn send_stream(
    stream: &mut HttpStream,
    call: &HttpMessage,
    attempt: &str,
    heads: &str,
    breaks_off: bool,
    random: &mut Pcg64,
) -> io::Result<()> {
    let after = call.head(LAST_EVENT_ID).and_then(|id| id.parse().ok());
    let first = after.map_or(1, |id: u32| id + 1);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{heads}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.send(head.as_bytes())?;
    let break_at = random.random_range(first..=STREAM_EVENTS.max(first));
    for id in first..=STREAM_EVENTS {
        let text = event_text(attempt, id);
        if breaks_off && id == break_at {
            let half = &text[..text.len() / 2];
            stream.send(format!("{:x}\r\n{half}\r\n", half.len()).as_bytes())?;
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        stream.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(EVENT_PAUSE);
    }
    stream.send(b"0\r\n\r\n")
}
