//! Latency and throughput cost of the path through entry and agent against direct calls of the
//! engine.
//!
//! Starts a small fleet of real processes on loopback and sends the same streamed completions over
//! both paths, alternately.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use awc::Client;
use fake::fleet::TestFleet;
use fake::fleet::plan::{ACCOUNT_KEY, FleetPlan, MODEL};
use futures::StreamExt;
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde_json::json;

use crate::BoundVerdict;

/// Largest accepted increase of the median time to the first byte in milliseconds.
const MAX_ADDED_MS_P50: f64 = 1.0;
/// Smallest accepted ratio of the throughput to that of direct calls.
const MIN_THROUGHPUT_RATIO: f64 = 0.5;
/// Largest recorded value in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;
/// Calls on each path before the measured ones.
const WARM_UP_CALLS: usize = 20;

/// Measures the added time to the first byte and the throughput against direct calls, with real
/// processes on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
pub(crate) struct OverheadArgs {
    /// calls on each path that the added time is measured with; default 500
    #[argh(option, default = "500")]
    calls: usize,
    /// tokens of each answer; default 200
    #[argh(option, default = "200")]
    tokens: u64,
    /// concurrent callers in the throughput measurement; default 16
    #[argh(option, default = "16")]
    callers: usize,
    /// calls of each concurrent caller; default 40
    #[argh(option, default = "40")]
    caller_calls: usize,
}

/// A path to the engine: direct, or through an entry and an agent.
#[derive(Clone)]
struct CallPath {
    uri: String,
    client: Rc<Client>,
}

impl CallPath {
    fn to(address: SocketAddr) -> Self {
        let client = Client::builder().disable_timeout().finish();
        Self {
            uri: format!("http://{address}/v1/chat/completions"),
            client: Rc::new(client),
        }
    }

    /// Requests one streamed answer and reads it to its end. Returns the time to its first byte.
    async fn call(&self, number: usize, tokens: u64) -> Duration {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": format!("call {number}")}],
        });
        let start = Instant::now();
        let sent = self
            .client
            .post(&self.uri)
            .bearer_auth(ACCOUNT_KEY)
            .send_json(&body)
            .await;
        let mut response = sent.expect("the call is answered");
        assert!(
            response.status().is_success(),
            "status {}",
            response.status()
        );
        let mut first = None;
        let mut last = bytes::Bytes::new();
        while let Some(part) = response.next().await {
            first.get_or_insert_with(|| start.elapsed());
            last = part.expect("the answer is whole");
        }
        assert!(last.ends_with(b"[DONE]\n\n"), "the answer is whole");
        first.expect("the answer has a body")
    }
}

/// Runs the measurement and prints its RESULT line.
pub(crate) fn run(args: &OverheadArgs) -> BoundVerdict {
    let plan = FleetPlan {
        engines: 1,
        prefill_ms: 0,
        token_ms: 0,
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(&plan);
    let direct = fleet.engines[0].forwarder.address;
    let routed = fleet.entries[0].http;
    actix_rt::System::new().block_on(measure(args, direct, routed))
}

async fn measure(args: &OverheadArgs, direct: SocketAddr, routed: SocketAddr) -> BoundVerdict {
    let (direct, routed) = (CallPath::to(direct), CallPath::to(routed));
    for number in 0..WARM_UP_CALLS {
        direct.call(number, args.tokens).await;
        routed.call(number, args.tokens).await;
    }
    let mut direct_times = new_histogram();
    let mut routed_times = new_histogram();
    for number in 0..args.calls {
        record(&mut direct_times, direct.call(number, args.tokens).await);
        record(&mut routed_times, routed.call(number, args.tokens).await);
    }
    let direct_ms = direct_times.value_at_quantile(0.5) as f64 / MICROS_PER_MS;
    let added_p50 = added_ms(&direct_times, &routed_times, 0.5);
    let added_p99 = added_ms(&direct_times, &routed_times, 0.99);
    let direct_rate = throughput(args, &direct).await;
    let routed_rate = throughput(args, &routed).await;
    let ratio = routed_rate / direct_rate;
    println!(
        "RESULT overhead policy=warm seed=0 added_ms_p50={added_p50:.3} \
         added_ms_p99={added_p99:.3} throughput_ratio={ratio:.3} \
         direct_ms_p50={direct_ms:.3} direct_per_second={direct_rate:.0} routed_per_second={routed_rate:.0}"
    );
    BoundVerdict::of(added_p50 <= MAX_ADDED_MS_P50 && ratio >= MIN_THROUGHPUT_RATIO)
}

/// Returns the answers per second of all concurrent callers.
async fn throughput(args: &OverheadArgs, path: &CallPath) -> f64 {
    let start = Instant::now();
    let callers = (0..args.callers).map(|caller| {
        let path = path.clone();
        async move {
            for call in 0..args.caller_calls {
                path.call(caller * args.caller_calls + call, args.tokens)
                    .await;
            }
        }
    });
    join_all(callers).await;
    (args.callers * args.caller_calls) as f64 / start.elapsed().as_secs_f64()
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS));
}

/// Returns the difference between the two paths at a quantile in milliseconds.
fn added_ms(direct: &Histogram<u64>, routed: &Histogram<u64>, quantile: f64) -> f64 {
    let micros = |histogram: &Histogram<u64>| histogram.value_at_quantile(quantile) as f64;
    (micros(routed) - micros(direct)) / MICROS_PER_MS
}
