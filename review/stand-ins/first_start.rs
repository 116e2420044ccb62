//! One machine of the core loses power while the system starts for the first time, and is back some
//! seconds later. Long after, another one loses its disk right after it has acknowledged a change.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::platform::{get, post};
use crate::runner::Work;
use crate::{Route, Site};

/// When the first machine loses power, after the start of the machines, and for how long.
const LOST_AT: Duration = Duration::from_millis(1500);
const LOST_FOR: Duration = Duration::from_millis(3500);

fn power_loss(fleet: &Fleet, has_trouble: bool) {
    if !has_trouble {
        return;
    }
    thread::sleep(LOST_AT);
    fleet.kill(0);
    thread::sleep(LOST_FOR);
    let _ = fleet.start(0, false);
}

pub fn play(folder: &Path) -> Result<(Site, bool), String> {
    let route = Route { kind: "safe", resumable: false, attempts: 2, timeout_ms: 2500, runners: 3, at_start: power_loss };
    let site = Site::start(folder, 3, &route, |_, _| Work::Whole { work: Duration::from_millis(20) })?;
    site.until(site.record.now() + 8.0);
    for gateway in &site.fleet.gateways {
        let status = get(gateway.control, "/operator/gateway", Duration::from_secs(1));
        let text = status.map(|(_, body)| String::from_utf8_lossy(&body).into_owned());
        site.record.line("status", &format!("{}: {text:?}", gateway.name));
    }
    // The operator's change.
    let mut acknowledged = None;
    let (_, body) = (0..30).find_map(|turn| get(site.fleet.gateways[turn % 3].control, "/v1/config/read", Duration::from_secs(1)).ok().filter(|(status, _)| *status == 200)).ok_or("the configuration can't be read")?;
    let next = String::from_utf8_lossy(&body).replacen("\"version\":7", "\"version\":9", 1);
    for turn in 0..30 {
        let gateway = 1 + turn % 2;
        let status = post(site.fleet.gateways[gateway].control, "/v1/config/replace", &next, Duration::from_secs(1));
        site.record.line("operator", &format!("version 9 sent to gateway-{}: {status:?}", gateway + 1));
        if matches!(status, Ok(200)) {
            acknowledged = Some(gateway);
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    let wiped = acknowledged.ok_or("version 9 was not acknowledged")?;
    site.record.say(&format!("version 9 was acknowledged by gateway-{}", wiped + 1));
    // TROUBLE=disk leaves out the loss at the start only.
    if site.has_trouble || std::env::var("TROUBLE").is_ok_and(|value| value == "disk") {
        site.fleet.wipe(wiped).map_err(|error| error.to_string())?;
        thread::sleep(Duration::from_secs(1));
        site.fleet.start(wiped, false).map_err(|error| error.to_string())?;
        site.record.say("it loses its disk and is started again with an empty one");
    }
    // `recoverS`, and then reads for longer than `contactMs`.
    site.until(site.record.now() + 12.0);
    let mut reads = [0, 0, 0];
    let until = Instant::now() + Duration::from_secs(15);
    let mut turn = 0;
    while Instant::now() < until {
        let gateway = turn % 3;
        turn += 1;
        let read = get(site.fleet.gateways[gateway].control, "/v1/config/read", Duration::from_secs(1));
        let version = read.as_ref().ok().filter(|(status, _)| *status == 200).map(|(_, body)| String::from_utf8_lossy(body).contains("\"version\":9"));
        let kind = match version {
            Some(true) => 0,
            Some(false) => 1,
            None => 2,
        };
        reads[kind] += 1;
        let status = read.map(|(status, _)| status);
        site.record.line("operator", &format!("reads the configuration at gateway-{}: {status:?}, newest {version:?}", gateway + 1));
        thread::sleep(Duration::from_millis(300));
    }
    site.record.say(&format!("reads of the configuration: {} bring version 9, {} an older one, {} none", reads[0], reads[1], reads[2]));
    Ok((site, reads[0] == 0))
}
