//! What is known of requests and prompt parts that crash endpoints, kept in a file of the data folder.
//!
//! Gateways repeat to each other what they know, so the file matters only if all of them stop at
//! once: without it, each known suspect would crash five more endpoints.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use relay::crash::SuspectKind;
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};
use wire::gateway::CrashNotice;
use xxhash_rust::xxh3::Xxh3;

use crate::data_file;
use crate::node::GatewayNode;

/// Interval at which the file is rewritten if what is known has changed. Short, as a suspect that
/// becomes known just before all gateways stop has to be in it.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Name of the file.
const FILE_NAME: &str = "suspects";

/// Content of the file.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SuspectRecord {
    /// Time of writing in milliseconds since the Unix epoch. The ages of the crashes refer to it.
    saved_ms: u64,
    /// Requests with several crashes.
    requests: CrashNotice,
    /// Prompt parts with several crashes.
    parts: CrashNotice,
}

impl SuspectRecord {
    /// Hash of what is known, without the ages.
    fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for notice in [&self.requests, &self.parts] {
            for crash in &notice.crashes {
                hasher.update(&crash.id.to_le_bytes());
                for hash in &crash.requests {
                    hasher.update(&hash.to_le_bytes());
                }
            }
            hasher.update(&[0]);
        }
        hasher.digest()
    }

    /// Adds the time since the file was written to the ages. The time of day may have been set
    /// back in the meantime; then the ages stay.
    fn add_age(&mut self, now_ms: u64) {
        let age = now_ms.saturating_sub(self.saved_ms);
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        for notice in [&mut self.requests, &mut self.parts] {
            for crash in &mut notice.crashes {
                crash.age_ms = crash.age_ms.saturating_add(age);
            }
        }
    }
}

/// Takes over what the file holds, then rewrites it whenever what is known has changed, until the
/// process ends. A file that can't be read or written is logged; what it would hold is known to
/// the other gateways, too.
pub async fn keep_suspects(node: Rc<GatewayNode>, data: PathBuf) {
    let folder = data.clone();
    let read = actix_rt::task::spawn_blocking(move || data_file::read(&folder, FILE_NAME)).await;
    match read {
        Ok(Ok(record)) => node.take_over_suspects(record),
        Ok(Err(error)) => log::warn!("gateway: file of crash suspects not read: {error}"),
        Err(error) => log::error!("gateway: file of crash suspects not read: {error}"),
    }
    let mut saved = node.suspect_record().digest();
    let mut has_failed = false;
    let mut ticks = interval(SAVE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let record = node.suspect_record();
        let digest = record.digest();
        if digest == saved {
            continue;
        }
        let folder = data.clone();
        let write = move || data_file::write(&folder, FILE_NAME, &record);
        let written = actix_rt::task::spawn_blocking(write).await;
        match written {
            Ok(Ok(())) => {
                saved = digest;
                has_failed = false;
            }
            Ok(Err(error)) if !has_failed => {
                log::warn!("gateway: file of crash suspects not written: {error}");
                has_failed = true;
            }
            _ => {}
        }
    }
}

impl GatewayNode {
    fn suspect_record(&self) -> SuspectRecord {
        let crashes = self.relay_state.crashes.borrow();
        let now = self.now();
        SuspectRecord {
            saved_ms: unix_ms(),
            requests: crashes.known_suspects(now, SuspectKind::Request),
            parts: crashes.known_suspects(now, SuspectKind::Part),
        }
    }

    fn take_over_suspects(&self, mut record: SuspectRecord) {
        record.add_age(unix_ms());
        let now = self.now();
        let mut crashes = self.relay_state.crashes.borrow_mut();
        // Objections would come from this gateway itself, which has served nothing yet.
        let _ = crashes.note_notice(now, SuspectKind::Request, &record.requests);
        let _ = crashes.note_notice(now, SuspectKind::Part, &record.parts);
        drop(crashes);
        self.relay_state.announce_crashes();
        let count = record.requests.crashes.len() + record.parts.crashes.len();
        log::info!(crashes = count; "gateway: file of crash suspects read");
    }
}

/// The time of day in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
