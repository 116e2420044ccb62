//! Callers that resume a stream at another gateway.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use platform::headers::{LAST_EVENT_ID, RESUMES};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::call::{CALL_TIMEOUT, SoakCall};
use crate::endpoint::{STREAM_EVENTS, event_text};
use crate::history::{CallerOutcome, SoakHistory};
use crate::http::{HttpMessage, HttpStream};

/// Attempts to resume one stream at most.
const MAX_RETURNS: u32 = 4;
/// Exclusive upper bound of the pause before an attempt, in milliseconds, if the caller was not
/// told when to come back.
const MAX_RETURN_PAUSE_MS: u64 = 60;
/// Resumable streams per thousand whose caller loses its connection after some events.
const LOST_PER_THOUSAND: u32 = 250;
/// Attempts per thousand that do not name the stream.
const UNNAMED_PER_THOUSAND: u32 = 250;

/// The events of a stream that arrived so far.
#[derive(Clone, Debug, Default)]
pub struct ReceivedEvents {
    /// Software version that sent the first event; empty before.
    version: String,
    /// Id of the last event; 0 for none.
    last: u32,
}

impl ReceivedEvents {
    /// The whole events in the text of a first answer. Returns `None` if they do not begin one
    /// stream of one software version.
    pub fn new(call: &SoakCall, text: &str) -> Option<Self> {
        let mut received = Self::default();
        received.add(call, text).then_some(received)
    }

    /// Adds the whole events of an answer. Returns whether they continue the stream.
    fn add(&mut self, call: &SoakCall, text: &str) -> bool {
        let end = text.rfind("\n\n").map_or(0, |end| end + 2);
        let events = &text[..end];
        if self.version.is_empty() {
            self.version = version_of(events).unwrap_or_default().to_owned();
        }
        let mut expected = String::new();
        while expected.len() < events.len() {
            self.last += 1;
            expected += &event_text(&call.body, &self.version, self.last);
        }
        expected == events
    }

    fn is_all(&self) -> bool {
        self.last >= STREAM_EVENTS
    }
}

/// Software version in the first event of a text.
fn version_of(text: &str) -> Option<&str> {
    let line = text.lines().find_map(|line| line.strip_prefix("data: "))?;
    line.split(' ').nth(1)
}

/// The events of the whole stream whose first event is of the software version in `text`.
pub fn expected_events(call: &SoakCall, text: &str) -> String {
    let version = version_of(text).unwrap_or_default();
    let events = (1..=STREAM_EVENTS).map(|id| event_text(&call.body, version, id));
    events.collect()
}

/// When the caller of a refused call may come back.
fn retry_time(answer: &HttpMessage) -> Option<Duration> {
    let seconds = answer.header("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Where and how a caller returns.
pub struct ReturnPlan {
    random: Pcg64,
    gateways: Vec<SocketAddr>,
}

impl ReturnPlan {
    /// Returns to random gateways.
    pub fn new(seed: u64, gateways: Vec<SocketAddr>) -> Self {
        Self {
            random: Pcg64::seed_from_u64(seed.wrapping_add(1 << 40)),
            gateways,
        }
    }

    /// Number of events after which the caller loses its connection; `None` if it keeps it.
    pub fn draw_loss(&mut self) -> Option<u32> {
        let is_lost = self.random.random_range(0..1000) < LOST_PER_THOUSAND;
        is_lost.then(|| self.random.random_range(1..STREAM_EVENTS))
    }

    /// Resumes a stream that broke off, until it is whole or the caller gives up. An event that
    /// does not continue the stream, or is of another software version, is a violation.
    pub fn resume(&mut self, history: &SoakHistory, call: &SoakCall, mut received: ReceivedEvents) {
        let mut retry_after = None;
        for number in 1..=MAX_RETURNS {
            if received.last == 0 || received.is_all() {
                return;
            }
            let pause = self.random.random_range(0..MAX_RETURN_PAUSE_MS);
            thread::sleep(retry_after.unwrap_or(Duration::from_millis(pause)));
            let attempt = format!("{}.{number}", call.body);
            history.record_call(&attempt, call.kind);
            let gateway = self.gateways[self.random.random_range(0..self.gateways.len())];
            history.record_gateway(&attempt, gateway);
            let Ok(answer) = self.send(call, &attempt, &received, gateway) else {
                continue;
            };
            retry_after = retry_time(&answer);
            let is_resumed = answer.status() == 200;
            history.record_return(is_resumed);
            let outcome = match answer.status() {
                503 => CallerOutcome::NotRun,
                _ => CallerOutcome::Unknown,
            };
            history.record_outcome(&attempt, outcome);
            let before = received.clone();
            let text = answer.text();
            let text = text.trim_end_matches('\0');
            if is_resumed && !received.add(call, text) {
                history.record_violation(format!(
                    "stream {attempt} goes on after {before:?} with {text:?}"
                ));
                return;
            }
        }
    }

    fn send(
        &mut self,
        call: &SoakCall,
        attempt: &str,
        received: &ReceivedEvents,
        gateway: SocketAddr,
    ) -> io::Result<HttpMessage> {
        let mut fields = format!("{LAST_EVENT_ID}: {}\r\n", received.last);
        if self.random.random_range(0..1000) >= UNNAMED_PER_THOUSAND {
            fields += &format!("{RESUMES}: {}\r\n", call.body);
        }
        let mut stream = HttpStream::connect(gateway, CALL_TIMEOUT + Duration::from_secs(1))?;
        stream.send(call.request(attempt, &fields).as_bytes())?;
        stream.read()
    }
}
