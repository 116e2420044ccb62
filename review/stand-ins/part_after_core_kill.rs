//! A part of prompts crashes each runner. It is known and refused everywhere; then all processes of
//! the core are killed and are back within a second. Requests with the part come again.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::client::End;
use crate::prompts::{PART, Sound, arrivals, crashes, request};
use crate::runner::{Arrival, Work};
use crate::{CONTACT, Route, Site, undisturbed};

pub fn play(folder: &Path) -> Result<(Site, bool), String> {
    let route = Route { kind: "stream", resumable: false, attempts: 1, timeout_ms: 6000, runners: 8, at_start: undisturbed };
    let site = Site::start(folder, 8, &route, |_, head| {
        match head.get("x-prefix-hash").is_some_and(|prefix| prefix.contains(PART)) {
            true => Work::Crash,
            false => Work::Stream { events: 20, pause: Duration::from_millis(50) },
        }
    })?;
    let site = Arc::new(site);
    let mut sound = Sound::start(&site, Duration::from_millis(125));
    let mut number = 0;
    let mut send = |count: u32, gap: f64| {
        let mut refused = 0;
        for _ in 0..count {
            number += 1;
            let at = site.record.now();
            let request = request(&format!("part{number}"), format!("f1:600,{PART},d{number:x}:100"), Duration::from_secs(6));
            let reply = site.client.call(site.fleet.choose(None), &request, None);
            refused += u32::from(reply.end == End::Whole(503));
            site.until(at + gap);
        }
        refused
    };
    let start = site.record.now() + 4.0;
    site.until(start);
    // Requests with the part come every 1.5 s, until it is known.
    send(6, 1.5);
    let known = crashes(&site);
    let Some(fifth) = known.get(4).copied() else {
        return Err("the part has not crashed five runners".to_owned());
    };
    site.record.say(&format!("the part has crashed {} runners, the fifth at {fifth:.3}", known.len()));
    let refused = send(4, 0.75);
    site.record.say(&format!("{refused} of 4 further requests with the part were refused"));
    let before = arrivals(&site).len();
    if site.has_trouble {
        site.record.say("all processes of the core are killed");
        site.fleet.kill_all(Duration::from_millis(500)).map_err(|error| error.to_string())?;
        site.record.say("all processes of the core are started again");
    }
    let back = site.record.now();
    // The machines are in touch `contactMs` after they are back; twice that time is waited for.
    site.until(back + 2.0 * CONTACT.as_secs_f64());
    let in_touch = site.record.now();
    site.record.say("all machines are in touch; requests with the part come again, one every 2 s");
    let refused = send(12, 2.0);
    sound.end();
    let since = in_touch.max(fifth + CONTACT.as_secs_f64());
    let reached: Vec<Arrival> = arrivals(&site).into_iter().filter(|one| one.at >= since).collect();
    for one in &reached {
        site.record.say(&format!("{:.3}: {} reached {}", one.at, one.attempt, one.runner));
    }
    let crashed = crashes(&site).into_iter().filter(|at| *at >= since).count();
    let count = |counter: &AtomicU32| counter.load(Ordering::SeqCst);
    site.record.say(&format!("{before} requests with the part reached runners before; {} of 12 since, sent by machines in touch; {refused} were refused", reached.len()));
    site.record.say(&format!("{crashed} runners crashed since"));
    let broken: u32 = site.runners.iter().map(|runner| runner.broken.load(Ordering::SeqCst)).sum();
    site.record.say(&format!("sound requests in all: {} sent, {} cut or failed, {} refused; {broken} of their streams were broken off by crashes", count(&sound.sent), count(&sound.cut), count(&sound.refused)));
    let is_broken = reached.len() > 3;
    drop(sound);
    let site = Arc::try_unwrap(site).map_err(|_| "a client is still running".to_owned())?;
    Ok((site, is_broken))
}
