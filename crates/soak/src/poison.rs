//! A caller whose request crashes each endpoint that runs it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use platform::headers::{API_KEY, ATTEMPT_ID, DEADLINE_MS};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::endpoint::ACCOUNT_KEY;
use crate::history::{CALL_KINDS, path_segment};
use crate::http::HttpStream;
use crate::operator::HOST;

/// Body of the request.
pub const POISON_BODY: &str = "the request that crashes endpoints";
/// Range of the time between two calls, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..250;
/// Timeout for connecting and for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls per hundred whose caller disconnects right after sending the request.
const ABANDONED_PER_HUNDRED: u32 = 20;

/// Starts a caller that sends the request to randomly chosen gateways until `is_stopping` is set.
/// The seed decides on which route.
pub fn start_poison_caller(
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
            let request = request_text(path_segment(kind), number);
            let gateway = gateways[random.random_range(0..gateways.len())];
            let is_abandoned = random.random_range(0..100) < ABANDONED_PER_HUNDRED;
            // Gateways are killed and connections cut on purpose; the next call tries again.
            let _ = call(gateway, &request, is_abandoned);
            thread::sleep(Duration::from_millis(random.random_range(PAUSE_MS)));
        }
    })
}

fn request_text(segment: &str, number: u64) -> String {
    format!(
        "POST /{segment}/x HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: poison-{number:x}\r\n{DEADLINE_MS}: {}\r\n{API_KEY}: {ACCOUNT_KEY}\r\nContent-Length: {}\r\n\r\n{POISON_BODY}",
        ANSWER_TIMEOUT.as_millis(),
        POISON_BODY.len()
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
