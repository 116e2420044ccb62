//! A part that most prompts have crashes each runner that begins to answer it.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use crate::prompts::{PART, Sound, arrivals, crashes, request};
use crate::runner::{Arrival, Work};
use crate::{CONTACT, Route, Site, undisturbed};

pub fn play(folder: &Path) -> Result<(Site, bool), String> {
    let route = Route { kind: "stream", resumable: false, attempts: 1, timeout_ms: 6000, runners: 8, at_start: undisturbed };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let site = Site::start(folder, 8, &route, move |_, head| {
        let has_part = head.get("x-prefix-hash").is_some_and(|prefix| prefix.contains(PART));
        match has_part && has_trouble {
            true => Work::Crash,
            false => Work::Stream { events: 20, pause: Duration::from_millis(50) },
        }
    })?;
    let site = Arc::new(site);
    site.until(site.record.now() + 4.0);
    let mut sound = Sound::start(&site, Duration::from_millis(2000));
    let ends = site.record.now() + 40.0;
    let mut number = 0;
    let mut calls = Vec::new();
    while site.record.now() < ends {
        number += 1;
        let site = Arc::clone(&site);
        calls.push(thread::spawn(move || {
            let request = request(&format!("part{number}"), format!("f1:600,{PART},d{number:x}:100"), Duration::from_secs(6));
            site.client.call(site.fleet.choose(None), &request, None);
        }));
        thread::sleep(Duration::from_millis(100));
    }
    calls.into_iter().for_each(|call| drop(call.join()));
    sound.end();
    let known = crashes(&site);
    let fifth = known.get(4).copied().unwrap_or(f64::MAX);
    let since = fifth + CONTACT.as_secs_f64();
    let reached: Vec<Arrival> = arrivals(&site).into_iter().filter(|one| one.at >= since).collect();
    let later = known.iter().filter(|at| **at >= since).count();
    let count = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
    if has_trouble {
        site.record.say(&format!("{number} requests with the part were sent; the fifth crash was at {fifth:.3}"));
        site.record.say(&format!("{} requests with the part reached runners more than contactMs after it, and crashed runners {later} times", reached.len()));
    } else {
        site.record.say(&format!("TROUBLE=0: {number} requests with the part were sent, which crashes nothing"));
    }
    site.record.say(&format!("sound requests: {} sent, {} cut or failed, {} refused", count(&sound.sent), count(&sound.cut), count(&sound.refused)));
    let is_broken = has_trouble && reached.len() > 3;
    drop(sound);
    let site = Arc::try_unwrap(site).map_err(|_| "a client is still running".to_owned())?;
    Ok((site, is_broken))
}
