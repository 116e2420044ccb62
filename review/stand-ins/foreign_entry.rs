//! The provider's list holds one entry of another writer that can't be read. Then the runners are
//! replaced: new ones start, the old ones drain and leave.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::End;
use crate::prompts::request;
use crate::platform::LAG;
use crate::runner::Work;
use crate::{Route, Site, undisturbed};

/// Runners at the start; as many new ones replace them.
const OLD: usize = 6;
/// `drainMs` of the small installations.
const DRAIN: f64 = 3.0;

/// The entry of another writer. By default its version ends in half of a surrogate pair, as where a
/// text was cut off.
fn other_entry() -> String {
    let form = std::env::var("FORM").unwrap_or_default();
    let entry = |id: &str, service: &str, version: &str, slots: &str| {
        format!("{{\"service\":\"{service}\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-1\",\"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"id\":\"{id}\"}}")
    };
    match form.as_str() {
        "number" => entry("x-1", "batch", "v1", "1e999"),
        "control" => entry("x-1", "batch", "v\u{1}", "4"),
        _ => entry("x-1", "batch", "v1 \\ud83d", "4"),
    }
}

pub fn play(folder: &Path) -> Result<(Site, bool), String> {
    let route = Route { kind: "stream", resumable: false, attempts: 2, timeout_ms: 6000, runners: OLD, at_start: undisturbed };
    let site = Site::start(folder, 2 * OLD as u8, &route, |_, _| Work::Stream { events: 20, pause: Duration::from_millis(100) })?;
    let site = Arc::new(site);
    site.until(site.record.now() + 4.0);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = {
        let (site, is_over) = (Arc::clone(&site), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut calls = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let number = calls.len();
                let site = Arc::clone(&site);
                calls.push(thread::spawn(move || {
                    let at = site.record.now();
                    let request = request(&format!("c{number}"), format!("f{}:600,c{number:x}:100", number % 7), Duration::from_secs(6));
                    let reply = site.client.call(site.fleet.choose(None), &request, None);
                    (at, reply.end, reply.body)
                }));
                thread::sleep(Duration::from_millis(500));
            }
            calls.into_iter().filter_map(|call| call.join().ok()).collect::<Vec<_>>()
        })
    };
    site.until(site.record.now() + 4.0);
    if site.has_trouble {
        *site.other_entry.lock().unwrap() = other_entry();
        site.record.say("the list holds an entry of another writer that can't be read");
    }
    site.until(site.record.now() + 4.0);
    for runner in &site.runners[OLD..] {
        runner.start().map_err(|error| error.to_string())?;
    }
    site.record.say("the new runners start");
    site.until(site.record.now() + 4.0);
    let mut drained = Vec::new();
    for runner in &site.runners[..OLD] {
        runner.drain();
        // The list shows it after its lag.
        drained.push((Arc::clone(runner), site.record.now() + LAG.as_secs_f64()));
        site.until(site.record.now() + 0.5);
    }
    site.record.say("the old runners are draining");
    site.until(site.record.now() + DRAIN + 5.0);
    for (runner, _) in &drained {
        runner.leave();
    }
    let left_at = site.record.now();
    site.record.say("the old runners have left");
    site.until(left_at + 12.0);
    is_over.store(true, Ordering::SeqCst);
    let calls = clients.join().map_err(|_| "a client failed".to_owned())?;
    let mut late = 0;
    for (runner, shown_at) in &drained {
        for one in runner.arrivals.lock().unwrap().iter().filter(|one| one.at > shown_at + DRAIN) {
            late += 1;
            site.record.say(&format!("{:.3}: {} reached {} {:.3} s after the list showed that it is draining", one.at, one.attempt, one.runner, one.at - shown_at));
        }
    }
    let new: usize = site.runners[OLD..].iter().map(|runner| runner.arrivals.lock().unwrap().len()).sum();
    let broken: u32 = site.runners.iter().map(|runner| runner.broken.load(Ordering::SeqCst)).sum();
    let served = |since: f64, until: f64| {
        let sent = calls.iter().filter(|(at, ..)| *at >= since && *at < until);
        let (sent, served) = sent.fold((0, 0), |(sent, served), (_, end, _)| (sent + 1, served + usize::from(*end == End::Whole(200))));
        format!("{served} of {sent} requests were served")
    };
    site.record.say(&format!("{late} requests reached draining runners later than drainMs; {broken} streams were broken off when these left"));
    site.record.say(&format!("before the runners left, {}; after it, {}", served(0.0, left_at), served(left_at, f64::MAX)));
    site.record.say(&format!("{new} requests reached the new runners"));
    let site = Arc::try_unwrap(site).map_err(|_| "a client is still running".to_owned())?;
    Ok((site, late > 0))
}
