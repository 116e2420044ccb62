//! Callers, who keep their connections until the gateway is gone.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use catalog::CallKind;
use platform::headers::{API_KEY, ATTEMPT_ID, DEADLINE_MS};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::endpoint::{ACCOUNT_KEY, STREAM_EVENTS, event_text};
use crate::http::{HttpMessage, HttpStream};
use crate::ledger::{KINDS, SeenEnd, SoakLedger, word_of};
use crate::operator::HOST;

/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(4);
/// Longest pause between two calls of a caller.
const MOST_PAUSE_MS: u64 = 40;
/// Calls in a thousand that their caller leaves at once.
const LEAVES: u32 = 20;
/// Calls on one connection at most.
const MOST_CALLS: u32 = 40;

/// Starts a caller that calls gateways in turn until told to stop.
pub fn start_caller(
    number: u64,
    seed: u64,
    gateways: Vec<SocketAddr>,
    ledger: Arc<SoakLedger>,
    stops: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut caller = SoakCaller {
            number,
            calls: 0,
            random: Pcg64::seed_from_u64(seed),
            ledger,
        };
        while !stops.load(Ordering::SeqCst) {
            let gateway = gateways[caller.random.random_range(0..gateways.len())];
            // A gateway that is away is the next call's matter.
            let _ = caller.use_gateway(gateway, &stops);
            thread::sleep(Duration::from_millis(5));
        }
    })
}

struct SoakCaller {
    number: u64,
    calls: u64,
    random: Pcg64,
    ledger: Arc<SoakLedger>,
}

impl SoakCaller {
    fn use_gateway(&mut self, gateway: SocketAddr, stops: &AtomicBool) -> io::Result<()> {
        let mut stream = HttpStream::connect(gateway, PATIENCE + Duration::from_secs(1))?;
        for _ in 0..self.random.random_range(1..MOST_CALLS) {
            let answer = self.call(&mut stream)?;
            let closes = answer.head("connection") == Some("close");
            if closes || !answer.is_whole || stops.load(Ordering::SeqCst) {
                break;
            }
            thread::sleep(Duration::from_millis(
                self.random.random_range(0..MOST_PAUSE_MS),
            ));
        }
        Ok(())
    }

    fn call(&mut self, stream: &mut HttpStream) -> io::Result<HttpMessage> {
        let kind = KINDS[self.random.random_range(0..KINDS.len())];
        self.calls += 1;
        let attempt = format!("{:x}-{:x}", self.number, self.calls);
        self.ledger.send(&attempt, kind);
        let head = format!(
            "POST /{}/x HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {attempt}\r\n{DEADLINE_MS}: {}\r\n{API_KEY}: {ACCOUNT_KEY}\r\nContent-Length: {}\r\n\r\n{attempt}",
            word_of(kind),
            PATIENCE.as_millis(),
            attempt.len()
        );
        stream.send(head.as_bytes())?;
        if self.random.random_range(0..1000) < LEAVES {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let answer = stream.read()?;
        self.ledger
            .end(&attempt, self.judge(kind, &attempt, &answer));
        Ok(answer)
    }

    fn judge(&self, kind: CallKind, attempt: &str, answer: &HttpMessage) -> SeenEnd {
        match answer.status() {
            200 => {
                self.check_body(kind, attempt, answer);
                match answer.is_whole {
                    true => SeenEnd::Served,
                    false => SeenEnd::Open,
                }
            }
            408 | 421 | 429 | 503 => SeenEnd::Promised,
            400..=499 => {
                let status = answer.status();
                let broken = format!("proper call {attempt} was answered {status}");
                self.ledger.break_promise(broken);
                SeenEnd::Open
            }
            _ => SeenEnd::Open,
        }
    }

    fn check_body(&self, kind: CallKind, attempt: &str, answer: &HttpMessage) {
        let whole: String = match kind {
            CallKind::Safe | CallKind::Unsafe => attempt.to_owned(),
            CallKind::Stream | CallKind::ResumableStream => (1..=STREAM_EVENTS)
                .map(|id| event_text(attempt, id))
                .collect(),
        };
        let text = answer.text();
        let is_right = match answer.is_whole {
            true => text == whole,
            false => whole.starts_with(text.trim_end_matches('\0')),
        };
        if !is_right {
            self.ledger
                .break_promise(format!("answer of {attempt} is wrong: {text:?}"));
        }
        if answer.head(ATTEMPT_ID) != Some(attempt) {
            self.ledger
                .break_promise(format!("answer of {attempt} belongs to another call"));
        }
    }
}
