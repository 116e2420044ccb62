//! Measures the processor time and memory of real control, entry and agent processes.
//!
//! `cargo build --release --workspace`, then
//! `cargo run --release -p fake --example fleet_cost -- ENGINES CHATS TOKENS`

use std::env;
use std::thread;
use std::time::{Duration, Instant};

use fake::fleet::TestFleet;
use fake::fleet::caller::{CallerAnswer, PendingCall};
use fake::fleet::plan::FleetPlan;
use fake::fleet::process::FleetProcess;
use watch::usage::ProcessUsage;

/// Defaults of the arguments: engines, chats, tokens of each chat.
const DEFAULT_SIZES: [usize; 3] = [2, 400, 50];
/// Number of concurrent chats.
const CONCURRENCY: usize = 8;
/// Time over which the usage of the idle fleet is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Bytes in a megabyte.
const MEGABYTE: f64 = 1e6;

/// Resource usage of one role, summed over its processes.
#[derive(Clone, Copy, Debug, Default)]
struct RoleUsage {
    processor_time: Duration,
    resident_bytes: u64,
    processes: u32,
}

fn main() {
    let mut sizes = DEFAULT_SIZES;
    for (size, text) in sizes.iter_mut().zip(env::args().skip(1)) {
        *size = text.parse().unwrap_or(*size);
    }
    let [engines, chats, tokens] = sizes;
    let fleet = TestFleet::start(&FleetPlan {
        engines,
        token_ms: 1,
        ..FleetPlan::default()
    });
    let start = usage_by_role(&fleet);
    thread::sleep(IDLE_TIME);
    let idle = usage_by_role(&fleet);
    let begin = Instant::now();
    let whole = run_chats(&fleet, chats, tokens);
    let spent = begin.elapsed();
    let busy = usage_by_role(&fleet);
    println!(
        "RESULT fleet engines={engines} chats={chats} tokens={tokens} whole={whole} \
         seconds={:.2}",
        spent.as_secs_f64()
    );
    for (index, role) in ["control", "entry", "agent"].iter().enumerate() {
        print_role(role, start[index], idle[index], busy[index], chats);
    }
}

/// Runs all chats in concurrent groups. Returns the number of complete answers.
fn run_chats(fleet: &TestFleet, chats: usize, tokens: usize) -> usize {
    let mut whole = 0;
    let mut started = 0;
    while started < chats {
        let count = CONCURRENCY.min(chats - started);
        let calls: Vec<PendingCall> = (started..started + count)
            .map(|chat| {
                let prompt = format!("chat {chat} {}", "with a history ".repeat(64));
                fleet.chat(0, &prompt, tokens as u64).spawn()
            })
            .collect();
        whole += calls
            .into_iter()
            .map(PendingCall::finish)
            .filter(CallerAnswer::is_whole)
            .count();
        started += count;
    }
    whole
}

fn print_role(role: &str, start: RoleUsage, idle: RoleUsage, busy: RoleUsage, chats: usize) {
    let idle_time = (idle.processor_time - start.processor_time) / idle.processes;
    let busy_time = busy.processor_time - idle.processor_time;
    println!(
        "RESULT role={role} processes={} idle_core_share={:.4} ms_per_chat={:.3} \
         resident_mb_each={:.1}",
        busy.processes,
        idle_time.as_secs_f64() / IDLE_TIME.as_secs_f64(),
        busy_time.as_secs_f64() * 1000.0 / chats as f64,
        busy.resident_bytes as f64 / f64::from(busy.processes) / MEGABYTE,
    );
}

/// Returns the usage of control, entries and agents, in this order.
fn usage_by_role(fleet: &TestFleet) -> [RoleUsage; 3] {
    let agents = fleet.engines.iter().chain([&fleet.plain]);
    [
        sum(fleet.controls.iter().map(|instance| &instance.process)),
        sum(fleet.entries.iter().map(|instance| &instance.process)),
        sum(agents.map(|endpoint| &endpoint.agent.process)),
    ]
}

fn sum<'a>(processes: impl Iterator<Item = &'a FleetProcess>) -> RoleUsage {
    processes
        .map(FleetProcess::usage)
        .fold(RoleUsage::default(), |total, usage: ProcessUsage| {
            RoleUsage {
                processor_time: total.processor_time + usage.processor_time,
                resident_bytes: total.resident_bytes + usage.resident_bytes,
                processes: total.processes + 1,
            }
        })
}
