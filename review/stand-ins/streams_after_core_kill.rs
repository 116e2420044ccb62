//! All processes of the core are killed while streams run, and are back within a second. The clients
//! take their streams up again, each once, when all machines are in touch.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{End, Event, Request};
use crate::runner::Work;
use crate::{CONTACT, Route, Site, undisturbed};

const STREAMS: u32 = 30;
const EVENTS: u32 = 92;
const LIMIT: Duration = Duration::from_secs(15);

/// A client's stream.
#[derive(Clone)]
struct Stream {
    number: u32,
    started: Instant,
    first_attempt: String,
    events: Vec<Event>,
    /// Whether it went on when it was taken up.
    was_taken_up: bool,
    went_on: bool,
    is_whole: bool,
}

fn request(number: u32, attempt: String, limit: Duration) -> Request {
    Request {
        attempt,
        path: format!("/chat/{number}"),
        prefix: format!("f1:603,c{number:x}:110"),
        limit,
        body: format!("chat {number}"),
        resumes: None,
    }
}

/// Takes a stream up again at another gateway. Returns whether it went on.
fn take_up(site: &Site, stream: &mut Stream) -> bool {
    let left = LIMIT.saturating_sub(stream.started.elapsed());
    let last = stream.events.last().map_or(0, |event| event.id);
    let mut request = request(stream.number, format!("s{}-2", stream.number), left);
    request.resumes = (last > 0).then(|| (last, stream.first_attempt.clone()));
    stream.was_taken_up = last > 0 && last < EVENTS;
    let reply = site.client.call(site.fleet.choose(None), &request, None);
    let went_on = reply.events.first().is_some_and(|event| event.id == last + 1);
    stream.events.extend(reply.events);
    stream.is_whole = reply.end == End::Whole(200) && stream.events.len() == EVENTS as usize;
    went_on
}

pub fn play(folder: &Path) -> Result<(Site, bool), String> {
    let route = Route { kind: "stream", resumable: true, attempts: 2, timeout_ms: 15000, runners: 6, at_start: undisturbed };
    let pause = Duration::from_millis(60);
    let site = Site::start(folder, 6, &route, move |_, _| Work::Stream { events: EVENTS, pause })?;
    let site = Arc::new(site);
    let start = site.record.now() + 4.0;
    let broken_at = start + 2.0;
    // The core is back half a second later. Its machines are in touch `contactMs` after that; twice
    // that time is waited for.
    let in_touch_at = broken_at + 0.6 + 2.0 * CONTACT.as_secs_f64();
    site.until(start);
    let clients: Vec<_> = (1..=STREAMS)
        .map(|number| {
            let site = Arc::clone(&site);
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(u64::from(number) * 10));
                let attempt = format!("s{number}-1");
                let mut stream = Stream {
                    number,
                    started: Instant::now(),
                    first_attempt: attempt.clone(),
                    events: Vec::new(),
                    was_taken_up: false,
                    went_on: false,
                    is_whole: false,
                };
                // Without the disruption, the clients' channels break at the same time.
                let left = broken_at - site.record.now();
                let leaves_at = Instant::now() + Duration::from_secs_f64(left.max(0.0));
                let leaves_at = (!site.has_trouble).then_some(leaves_at);
                let reply = site.client.call(site.fleet.choose(None), &request(number, attempt, LIMIT), leaves_at);
                stream.events = reply.events;
                // The client comes back once, after a pause, when all machines are in touch.
                site.until(in_touch_at + f64::from(number) * 0.03);
                stream.went_on = take_up(&site, &mut stream);
                stream
            })
        })
        .collect();
    site.until(broken_at);
    if site.has_trouble {
        site.record.say("all processes of the core are killed");
        site.fleet.kill_all(Duration::from_millis(500)).map_err(|error| error.to_string())?;
        site.record.say("all processes of the core are started again");
    } else {
        site.record.say("TROUBLE=0: the clients' channels break, no process is killed");
    }
    // New streams begin at the same time as the old ones are taken up.
    let starters = {
        let site = Arc::clone(&site);
        thread::spawn(move || {
            site.until(in_touch_at);
            let calls: Vec<_> = (0..20u32)
                .map(|number| {
                    thread::sleep(Duration::from_millis(100));
                    let site = Arc::clone(&site);
                    thread::spawn(move || {
                        let attempt = format!("new{number}");
                        let reply = site.client.call(site.fleet.choose(None), &request(1000 + number, attempt, LIMIT), None);
                        !reply.events.is_empty()
                    })
                })
                .collect();
            let begun: Vec<bool> = calls.into_iter().map(|call| call.join().unwrap_or(false)).collect();
            (begun.iter().filter(|begun| **begun).count(), begun.len())
        })
    };
    let streams: Vec<Stream> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let (begun, new) = starters.join().unwrap_or((0, 0));
    // Those that have no event yet, or all of them, are not taken up.
    let taken: Vec<&Stream> = streams.iter().filter(|stream| stream.was_taken_up).collect();
    let went_on = taken.iter().filter(|stream| stream.went_on).count();
    let whole = streams.iter().filter(|stream| stream.is_whole).count();
    let serving = site.runners.iter().filter(|runner| runner.is_up()).count();
    site.record.say(&format!("{} streams were taken up at machines in touch, {went_on} of them went on", taken.len()));
    site.record.say(&format!("{begun} of {new} new streams began in that time; {serving} runners of version v1 serve"));
    site.record.say(&format!("{whole} of {} streams reached their last event", streams.len()));
    let share = went_on as f64 / taken.len().max(1) as f64;
    let share_new = begun as f64 / new.max(1) as f64;
    let is_broken = taken.len() >= 12 && serving >= 2 && share < 0.5 * share_new;
    let site = Arc::try_unwrap(site).map_err(|_| "a client is still running".to_owned())?;
    Ok((site, is_broken))
}
