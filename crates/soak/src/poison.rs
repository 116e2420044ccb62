//! Callers whose requests crash each endpoint that runs them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use platform::headers::{API_KEY, ATTEMPT_ID, DEADLINE_MS, PREFIX_HASH};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::endpoint::ACCOUNT_KEY;
use crate::history::{CALL_KINDS, PoisonScope, path_segment};
use crate::http::HttpStream;
use crate::operator::HOST;

/// Body of the request that crashes endpoints.
const POISON_BODY: &str = "the request that crashes endpoints";
/// Id of the prompt part that crashes endpoints.
const POISON_PART: &str = "dead";
/// First part of all prompts.
const FIRST_PART: &str = "f1";
/// Number of second parts that harmless prompts have.
const SECOND_PARTS: u32 = 6;
/// Range of the time between two calls, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..250;
/// Timeout for connecting and for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls per hundred whose caller disconnects right after sending the request.
const ABANDONED_PER_HUNDRED: u32 = 20;

/// What crashes endpoints in a call with this body and these prompt parts, if anything does.
pub fn scope_of(body: &str, parts: &str) -> Option<PoisonScope> {
    let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
    if body == POISON_BODY {
        Some(PoisonScope::Request)
    } else if ids.any(|id| id == POISON_PART) {
        Some(PoisonScope::PromptPart)
    } else {
        None
    }
}

/// Prompt of a harmless call, as stated in its head. The last part is its own.
pub fn harmless_prompt(number: u64, random: &mut Pcg64) -> String {
    let second = random.random_range(0..SECOND_PARTS);
    format!("{FIRST_PART}:100,b{second}:50,c{number:x}:10")
}

/// Starts a caller that sends requests that crash endpoints to randomly chosen gateways until
/// `is_stopping` is set: one request again and again, or different ones with the prompt part. The
/// seed decides on which route.
pub fn start_poison_caller(
    scope: PoisonScope,
    seed: u64,
    gateways: Vec<SocketAddr>,
    is_stopping: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut random = Pcg64::seed_from_u64(seed);
        let kind = CALL_KINDS[random.random_range(0..CALL_KINDS.len())];
        let mut number = 0;
        while !is_stopping.load(Ordering::SeqCst) {
            number += 1;
            let request = request_text(scope, path_segment(kind), number);
            let gateway = gateways[random.random_range(0..gateways.len())];
            let is_abandoned = random.random_range(0..100) < ABANDONED_PER_HUNDRED;
            // Gateways are killed and connections cut on purpose; the next call tries again.
            let _ = call(gateway, &request, is_abandoned);
            thread::sleep(Duration::from_millis(random.random_range(PAUSE_MS)));
        }
    })
}

fn request_text(scope: PoisonScope, segment: &str, number: u64) -> String {
    let (attempt, body, prompt) = match scope {
        PoisonScope::Request => (
            format!("poison-{number:x}"),
            POISON_BODY.to_owned(),
            format!("{FIRST_PART}:100,c0:10"),
        ),
        PoisonScope::PromptPart => (
            format!("part-{number:x}"),
            format!("a request with the part, number {number}"),
            format!("{FIRST_PART}:100,{POISON_PART}:50,d{number:x}:10"),
        ),
    };
    format!(
        "POST /{segment}/x HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {attempt}\r\n{DEADLINE_MS}: {}\r\n{API_KEY}: {ACCOUNT_KEY}\r\n{PREFIX_HASH}: {prompt}\r\nContent-Length: {}\r\n\r\n{body}",
        ANSWER_TIMEOUT.as_millis(),
        body.len()
    )
}

fn call(gateway: SocketAddr, request: &str, is_abandoned: bool) -> io::Result<()> {
    let mut stream = HttpStream::connect(gateway, ANSWER_TIMEOUT)?;
    stream.send(request.as_bytes())?;
    if is_abandoned {
        thread::sleep(Duration::from_millis(1));
        return Ok(());
    }
    stream.read().map(|_| ())
}
