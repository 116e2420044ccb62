//! Runners crash one after the other, and start again under their ids with newer software. Streams
//! that they break off go on elsewhere.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{End, Event, Request};
use crate::runner::Work;
use crate::{Route, Site, undisturbed};

const EVENTS: u32 = 92;
const LIMIT: Duration = Duration::from_secs(15);
/// Number of runners that crash, one at a time.
const CRASHES: usize = 4;
/// Time from a crash until the runner starts again, and until the next one crashes, in seconds.
const DOWN: Duration = Duration::from_secs(1);
const GAP: f64 = 1.6;

pub fn play(folder: &Path) -> Result<(Site, bool), String> {
    let route = Route { kind: "stream", resumable: true, attempts: 2, timeout_ms: 15000, runners: 6, at_start: undisturbed };
    let pause = Duration::from_millis(60);
    let site = Site::start(folder, 6, &route, move |_, _| Work::Stream { events: EVENTS, pause })?;
    let site = Arc::new(site);
    site.until(site.record.now() + 4.0);
    let is_over = Arc::new(AtomicBool::new(false));
    let starters = {
        let (site, is_over) = (Arc::clone(&site), Arc::clone(&is_over));
        thread::spawn(move || {
            let mut clients = Vec::new();
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let site = Arc::clone(&site);
                clients.push(thread::spawn(move || stream(&site, number)));
                thread::sleep(Duration::from_millis(50));
            }
            clients.into_iter().filter_map(|client| client.join().ok()).collect::<Vec<_>>()
        })
    };
    site.until(site.record.now() + 6.0);
    for runner in site.runners.iter().take(CRASHES).filter(|_| site.has_trouble) {
        let at = site.record.now();
        runner.crash_and_return(DOWN, Some("v2"));
        site.until(at + GAP);
    }
    site.until(site.record.now() + 4.0);
    is_over.store(true, Ordering::SeqCst);
    let streams = starters.join().map_err(|_| "a client failed".to_owned())?;
    let mut mixed = 0;
    for (number, events) in &streams {
        let versions: BTreeSet<&str> = events.iter().map(|event| event.version.as_str()).collect();
        if versions.len() > 1 {
            mixed += 1;
            let mut parts: Vec<String> = Vec::new();
            for event in events {
                let part = format!("{} of {}", event.version, event.runner);
                if parts.last().is_none_or(|last| !last.ends_with(&part)) {
                    parts.push(format!("from event {} {part}", event.id));
                }
            }
            site.record.say(&format!("stream {number} holds events of two versions: {}", parts.join(", ")));
        }
    }
    let whole = streams.iter().filter(|(_, events)| events.len() == EVENTS as usize).count();
    site.record.say(&format!("{} streams, {whole} whole, {mixed} hold events of two versions", streams.len()));
    let site = Arc::try_unwrap(site).map_err(|_| "a client is still running".to_owned())?;
    Ok((site, mixed > 2))
}

/// A client's stream, which it takes up again once if it breaks off.
fn stream(site: &Site, number: u32) -> (u32, Vec<Event>) {
    let started = Instant::now();
    let mut events: Vec<Event> = Vec::new();
    let mut first: Option<String> = None;
    let mut last_gateway = None;
    for turn in 1..=2 {
        let left = LIMIT.saturating_sub(started.elapsed());
        if left < Duration::from_millis(500) {
            break;
        }
        let attempt = format!("s{number}-{turn}");
        let last = events.last().map_or(0, |event| event.id);
        let request = Request {
            attempt: attempt.clone(),
            path: format!("/chat/{number}"),
            prefix: format!("f{}:603,c{number:x}:110", number % 12),
            limit: left,
            body: format!("chat {number}"),
            resumes: first.clone().map(|first| (last, first)),
        };
        let gateway = site.fleet.choose(last_gateway);
        last_gateway = Some(gateway);
        let reply = site.client.call(gateway, &request, None);
        if !reply.events.is_empty() {
            first.get_or_insert(attempt);
        }
        events.extend(reply.events);
        if reply.end == End::Whole(200) {
            break;
        }
        thread::sleep(reply.retry_after.unwrap_or(Duration::from_millis(200)).min(left / 3));
    }
    (number, events)
}
