//! Callers that reuse their connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use catalog::CallKind;
use platform::headers::ATTEMPT_ID;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::call::{CALL_TIMEOUT, SoakCall};
use crate::history::{CALL_KINDS, CallerOutcome, SoakHistory};
use crate::http::{HttpMessage, HttpStream};
use crate::poison::harmless_prompt;
use crate::returns::{ReceivedEvents, ReturnPlan, expected_events};

/// Exclusive upper bound of the pause between two calls on a connection, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// Calls per thousand whose caller disconnects right after sending the request.
const ABANDONED_PER_THOUSAND: u32 = 20;
/// Exclusive upper bound of the number of calls on one connection.
const MAX_CALLS_PER_CONNECTION: u32 = 40;

/// Starts a caller that calls randomly chosen gateways until `is_stopping` is set.
pub fn start_caller(
    number: u64,
    seed: u64,
    gateways: Vec<SocketAddr>,
    history: Arc<SoakHistory>,
    is_stopping: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut caller = SoakCaller {
            number,
            calls: 0,
            returns: ReturnPlan::new(seed, gateways.clone()),
            random: Pcg64::seed_from_u64(seed),
            history,
        };
        while !is_stopping.load(Ordering::SeqCst) {
            let gateway = gateways[caller.random.random_range(0..gateways.len())];
            // After a connection error, the next iteration chooses a gateway again.
            let _ = caller.call_gateway(gateway, &is_stopping);
            thread::sleep(Duration::from_millis(5));
        }
    })
}

/// Kind of fault in the refusal of a request that is suspected of crashing endpoints.
const SUSPECTED: &str = "\"suspected\"";

struct SoakCaller {
    number: u64,
    calls: u64,
    random: Pcg64,
    returns: ReturnPlan,
    history: Arc<SoakHistory>,
}

impl SoakCaller {
    fn call_gateway(&mut self, gateway: SocketAddr, is_stopping: &AtomicBool) -> io::Result<()> {
        let mut stream = HttpStream::connect(gateway, CALL_TIMEOUT + Duration::from_secs(1))?;
        for _ in 0..self.random.random_range(1..MAX_CALLS_PER_CONNECTION) {
            let answer = self.call(&mut stream, gateway)?;
            let is_closing = answer.header("connection") == Some("close");
            if is_closing || !answer.is_whole || is_stopping.load(Ordering::SeqCst) {
                break;
            }
            thread::sleep(Duration::from_millis(
                self.random.random_range(0..MAX_PAUSE_MS),
            ));
        }
        Ok(())
    }

    fn call(&mut self, stream: &mut HttpStream, gateway: SocketAddr) -> io::Result<HttpMessage> {
        let kind = CALL_KINDS[self.random.random_range(0..CALL_KINDS.len())];
        self.calls += 1;
        let call = SoakCall {
            body: format!("{:x}-{:x}", self.number, self.calls),
            kind,
            prompt: harmless_prompt(self.calls, &mut self.random),
        };
        self.history.record_call(&call.body, kind);
        self.history.record_gateway(&call.body, gateway);
        stream.send(call.request(&call.body, "").as_bytes())?;
        if self.random.random_range(0..1000) < ABANDONED_PER_THOUSAND {
            return Err(io::ErrorKind::Interrupted.into());
        }
        let loss = match kind {
            CallKind::ResumableStream => self.returns.draw_loss(),
            _ => None,
        };
        if let Some(count) = loss {
            let events = self.read_events(stream, count)?;
            stream.reset()?;
            self.resume(&call, &events);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let answer = stream.read()?;
        if kind == CallKind::ResumableStream {
            self.history.record_stream(answer.status() == 200);
        }
        let outcome = outcome_of(&self.history, &call, &call.body, &answer);
        self.history.record_outcome(&call.body, outcome);
        if kind == CallKind::ResumableStream && !answer.is_whole && answer.status() == 200 {
            self.resume(&call, &answer.text());
        }
        Ok(answer)
    }

    /// Resumes a stream whose first answer broke off after the events in `text`.
    fn resume(&mut self, call: &SoakCall, text: &str) {
        match ReceivedEvents::new(call, text) {
            Some(received) => self.returns.resume(&self.history, call, received),
            None => self.history.record_violation(format!(
                "stream {} begins with unexpected events: {text:?}",
                call.body
            )),
        }
    }

    /// Reads the first events of a resumable stream, whose caller then loses its connection.
    fn read_events(&self, stream: &mut HttpStream, count: u32) -> io::Result<String> {
        let read = stream.read_events(count);
        match &read {
            Ok(_) => self.history.record_stream(true),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => {
                self.history.record_stream(false);
            }
            Err(_) => {}
        }
        read
    }
}

fn outcome_of(
    history: &SoakHistory,
    call: &SoakCall,
    attempt: &str,
    answer: &HttpMessage,
) -> CallerOutcome {
    match answer.status() {
        200 => check_answer(history, call, attempt, answer),
        408 | 421 | 429 | 503 => {
            if answer.text().contains(SUSPECTED) {
                let violation = format!("harmless call {attempt} was refused as suspected");
                history.record_violation(violation);
            }
            CallerOutcome::NotRun
        }
        400..=499 => {
            let status = answer.status();
            let violation = format!("valid call {attempt} was answered with status {status}");
            history.record_violation(violation);
            CallerOutcome::Unknown
        }
        _ => CallerOutcome::Unknown,
    }
}

/// Checks a good answer to a first attempt. One that does not state its end may lack something, but
/// not the rest of an event.
fn check_answer(
    history: &SoakHistory,
    call: &SoakCall,
    attempt: &str,
    answer: &HttpMessage,
) -> CallerOutcome {
    let text = answer.text();
    let expected = match call.kind {
        CallKind::Safe | CallKind::Unsafe => call.body.clone(),
        CallKind::Stream | CallKind::ResumableStream => expected_events(call, &text),
    };
    let is_part = expected.starts_with(text.trim_end_matches('\0'));
    let ends_inside_event = call.kind.is_stream() && !text.ends_with("\n\n");
    let is_valid = match (answer.is_whole, answer.states_end) {
        (true, true) => text == expected,
        (true, false) => is_part && !ends_inside_event,
        (false, _) => is_part,
    };
    if !is_valid {
        history.record_violation(format!(
            "answer to call {attempt} has an unexpected body: {text:?}"
        ));
    }
    if answer.header(ATTEMPT_ID) != Some(attempt) {
        history.record_violation(format!("answer to call {attempt} has another attempt id"));
    }
    match answer.is_whole && text == expected {
        true => CallerOutcome::Served,
        false => CallerOutcome::Unknown,
    }
}
