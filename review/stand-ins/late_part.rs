//! In long chats, whose prompts have many parts, one of the later parts crashes each runner.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::client::End;
use crate::prompts::{PART, arrivals, crashes, request};
use crate::runner::{Arrival, Work};
use crate::{CONTACT, Route, Site, undisturbed};

/// Prompt of a long chat: parts that chats share, one more that tells them apart, and their own.
fn prompt(earlier: usize, part: &str, number: u32) -> String {
    let shared: Vec<String> = (1..=earlier).map(|turn| format!("a{turn:x}:40")).collect();
    format!("{},{part},c{number:x}:60", shared.join(","))
}

pub fn play(folder: &Path) -> Result<(Site, bool), String> {
    let route = Route { kind: "stream", resumable: false, attempts: 1, timeout_ms: 6000, runners: 8, at_start: undisturbed };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // Number of parts before the one that crashes runners.
    let earlier: usize = std::env::var("EARLIER").ok().and_then(|earlier| earlier.parse().ok()).unwrap_or(18);
    let site = Site::start(folder, 8, &route, move |_, head| {
        let has_part = head.get("x-prefix-hash").is_some_and(|prefix| prefix.contains(PART));
        match has_part && has_trouble {
            true => Work::Crash,
            false => Work::Stream { events: 20, pause: Duration::from_millis(50) },
        }
    })?;
    let site = Arc::new(site);
    site.until(site.record.now() + 4.0);
    let is_over = Arc::new(AtomicBool::new(false));
    let [sent, cut] = [Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0))];
    let sound = {
        let (site, is_over, sent, cut) = (Arc::clone(&site), Arc::clone(&is_over), Arc::clone(&sent), Arc::clone(&cut));
        thread::spawn(move || {
            let mut calls = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let number = sent.fetch_add(1, Ordering::SeqCst);
                let (site, cut) = (Arc::clone(&site), Arc::clone(&cut));
                calls.push(thread::spawn(move || {
                    let request = request(&format!("sound{number}"), prompt(earlier, &format!("b{}:200", number % 8), number), Duration::from_secs(6));
                    let reply = site.client.call(site.fleet.choose(None), &request, None);
                    if reply.end != End::Whole(200) {
                        cut.fetch_add(1, Ordering::SeqCst);
                    }
                }));
                thread::sleep(Duration::from_millis(125));
            }
            calls.into_iter().for_each(|call| drop(call.join()));
        })
    };
    site.until(site.record.now() + 2.0);
    let mut refused = 0;
    for number in 0..24u32 {
        let at = site.record.now();
        let request = request(&format!("part{number}"), prompt(earlier, PART, number), Duration::from_secs(6));
        let reply = site.client.call(site.fleet.choose(None), &request, None);
        refused += u32::from(reply.end == End::Whole(503));
        site.until(at + 1.5);
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = sound.join();
    let known = crashes(&site);
    let fifth = known.get(4).copied().unwrap_or(f64::MAX);
    let since = fifth + CONTACT.as_secs_f64();
    let reached: Vec<Arrival> = arrivals(&site).into_iter().filter(|one| one.at >= since).collect();
    for one in &reached {
        site.record.line("case", &format!("{:.3}: {} reached {}", one.at, one.attempt, one.runner));
    }
    let broken: u32 = site.runners.iter().map(|runner| runner.broken.load(Ordering::SeqCst)).sum();
    let count = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
    let reached = if has_trouble { reached.len() } else { 0 };
    site.record.say(&format!("24 requests with the part as number {} of their prompts were sent, {refused} were refused; runners crashed {} times", earlier + 1, known.len()));
    site.record.say(&format!("{reached} requests with the part reached runners later than contactMs after the fifth crash"));
    site.record.say(&format!("sound requests: {} sent, {} not served; {broken} of their streams were broken off by crashes", count(&sent), count(&cut)));
    let site = Arc::try_unwrap(site).map_err(|_| "a client is still running".to_owned())?;
    Ok((site, reached > 3))
}
