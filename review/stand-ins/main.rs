//! Stand-ins of the review and the scripts' courses of events. Built by `review/build.sh`.
//!
//! `cases NAME FOLDER` plays a case and writes `record.txt` into the folder. It exits with 1 if the
//! rule was broken, 0 if it held and 2 if the case couldn't run. With `TROUBLE=0` it does the same
//! without the disruption.

mod client;
mod common_part;
mod first_start;
mod fleet;
mod foreign_entry;
mod http;
mod late_part;
mod part_after_core_kill;
mod platform;
mod prompts;
mod record;
mod runner;
mod streams_after_core_kill;
mod upgrade_in_place;

use std::net::SocketAddrV4;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use client::Client;
use fleet::{Addresses, Fleet};
use record::Record;
use runner::{Runner, Work};

/// Longest time of a case. After it, everything is ended.
const MOST: Duration = Duration::from_secs(115);
/// `contactMs` of the small installations.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// A random number (splitmix64).
pub fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    if STATE.load(Ordering::SeqCst) == 0 {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        STATE.store(time.as_nanos() as u64 | 1, Ordering::SeqCst);
    }
    let mut value = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// A small deployment: three gateways with disks, one service, its runners and the provider.
pub struct Site {
    pub record: Arc<Record>,
    pub fleet: Arc<Fleet>,
    pub runners: Vec<Arc<Runner>>,
    pub client: Arc<Client>,
    /// An entry of another writer on the list.
    pub other_entry: platform::OtherEntry,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// The route of a case.
pub struct Route {
    pub kind: &'static str,
    pub resumable: bool,
    pub attempts: u32,
    pub timeout_ms: u32,
    /// Number of runners that start with the case; the others start later.
    pub runners: usize,
    /// What happens while the gateways start for the first time.
    pub at_start: fn(&Fleet, bool),
}

/// Nothing happens while the gateways start.
pub fn undisturbed(_: &Fleet, _: bool) {}

impl Site {
    pub fn start(
        folder: &Path,
        runners: u8,
        route: &Route,
        work: impl Fn(&Runner, &http::Head) -> Work + Send + Sync + Clone + 'static,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let record = Arc::new(Record::new(&folder.join("record.txt")).map_err(text)?);
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0" && value != "disk");
        let addresses = Addresses::draw();
        let list = SocketAddrV4::new(addresses.host(2, 1), addresses.port);
        let runners: Vec<Arc<Runner>> = (1..=runners)
            .map(|number| {
                let address = SocketAddrV4::new(addresses.host(1, number), addresses.port);
                let (name, zone) = (format!("i-{number}"), format!("zone-{}", number % 3 + 1));
                let work = work.clone();
                Runner::new(&record, &name, address, "lm", &zone, "v1", 64, Box::new(move |runner, head| work(runner, head)))
            })
            .collect();
        for runner in runners.iter().take(route.runners) {
            runner.start().map_err(text)?;
        }
        let other_entry = platform::OtherEntry::default();
        platform::serve_list(list, runners.clone(), Arc::clone(&other_entry)).map_err(text)?;
        let fleet = Fleet::new(&record, addresses, list, 3).map_err(text)?;
        let key = "n2ctnfzs989anu6wsjnb".to_owned();
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"chat.example\",\"pathPrefix\":\"/chat/\",\"routeKind\":\"{}\",\"timeoutMs\":{},\"targetLatencyMs\":400,\"priority\":1,\"service\":\"lm\",\"maxAttempts\":{},\"public\":false,\"sticky\":true,\"resumable\":{},\"itlTargetMs\":250}}],\"services\":[{{\"name\":\"lm\",\"healthPath\":\"/healthz\",\"maxConns\":380,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacityTokens\":316509,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{key}\"],\"priority\":1}}]}}",
            route.kind, route.timeout_ms, route.attempts, route.resumable
        );
        let guarded = Arc::clone(&fleet);
        thread::spawn(move || {
            thread::sleep(MOST);
            println!("the case took too long");
            guarded.end();
            exit(2);
        });
        platform::follow_readiness(&fleet);
        if let Err(reason) = fleet.start_all(&config, |fleet| (route.at_start)(fleet, has_trouble)) {
            fleet.end();
            return Err(reason);
        }
        let client = Arc::new(Client {
            fleet: Arc::clone(&fleet),
            record: Arc::clone(&record),
            host: "chat.example".to_owned(),
            key,
        });
        record.say("all gateways are ready");
        Ok(Self { record, fleet, runners, client, other_entry, has_trouble })
    }

    /// Waits until this time of the record.
    pub fn until(&self, time: f64) {
        let left = time - self.record.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        println!("usage: cases NAME FOLDER");
        exit(2);
    };
    let folder = Path::new(folder);
    let played = match name.as_str() {
        "streams-after-core-kill" => streams_after_core_kill::play(folder),
        "part-after-core-kill" => part_after_core_kill::play(folder),
        "common-part" => common_part::play(folder),
        "foreign-entry" => foreign_entry::play(folder),
        "late-part" => late_part::play(folder),
        "first-start" => first_start::play(folder),
        "upgrade-in-place" => upgrade_in_place::play(folder),
        _ => Err(format!("there is no case {name}")),
    };
    match played {
        Ok((site, is_broken)) => {
            let ended = site.fleet.ended();
            site.fleet.end();
            if let Some(text) = ended {
                site.record.say(&text);
            }
            site.record.say(if is_broken { "the rule is BROKEN" } else { "the rule held" });
            exit(i32::from(is_broken));
        }
        Err(reason) => {
            println!("the case couldn't run: {reason}");
            exit(2);
        }
    }
}
