//! The log of origins of streams in the data folder.
//!
//! Load pattern: all gateways are killed or lose power at once while streams run, and their callers come
//! back. The records in memory are gone then; the streams of services that have had several software
//! versions go on only by this log. It is written without keeping calls waiting: what was appended
//! outlives the process, what was synced outlives a loss of power.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use crate::suspect_file::unix_ms;
use relay::state::RelayState;
use serde::{Deserialize, Serialize};
use store::{DataFolder, DiskFolder, RecordLog};
use tokio::time::{sleep, timeout};
use wire::codec;
use wire::stream::{OriginClaim, OriginNotice};

/// Time for which records are collected before they are written together.
const BATCH_TIME: Duration = Duration::from_millis(12);
/// Records that are written at once at most.
const BATCH_RECORDS: usize = 1024;
/// Size of a file from which on the other one takes its turn, if its records are over.
const TURN_BYTES: u64 = 256 * 1024;
/// Size of a file at which only disputes are written until the records of the other one are over. There
/// are at most as many as records in memory.
const MAX_BYTES: u64 = 2 * 1024 * 1024;
/// Time by which the time of day may have been set between two lives of a process, in milliseconds.
const MAX_CLOCK_STEP_MS: u64 = 10_000;
/// Time after which returns are judged without a log that is still being read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Time until records that the disk has refused are written again, with those that came meanwhile.
const REFUSED_PAUSE: Duration = Duration::from_millis(200);
/// Time until a folder that could not be opened is tried again.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// Result of operations on the log.
pub type Result<T> = store::Result<T>;

/// Records that were written together.
#[derive(Debug, Serialize, Deserialize)]
struct OriginBatch {
    /// Time of writing in milliseconds since the Unix epoch. The lifetimes of the records refer to it.
    saved_ms: u64,
    /// The records.
    notices: Vec<OriginNotice>,
}

impl OriginBatch {
    /// Longest time for which a caller waits whose stream the batch holds.
    fn longest(&self) -> Duration {
        let lifetimes = self.notices.iter().map(|notice| notice.lifetime_ms);
        Duration::from_millis(lifetimes.max().unwrap_or_default().into())
    }

    /// Takes the time since the batch was written off the lifetimes, and drops the records whose callers
    /// have stopped waiting. The time of day may have been set meanwhile.
    fn add_age(&mut self, now_ms: u64) {
        let age = now_ms.saturating_sub(self.saved_ms);
        let age = u32::try_from(age.saturating_sub(MAX_CLOCK_STEP_MS)).unwrap_or(u32::MAX);
        for notice in &mut self.notices {
            notice.lifetime_ms = notice.lifetime_ms.saturating_sub(age);
        }
        self.notices.retain(|notice| notice.lifetime_ms > 0);
    }
}

/// What the log held when it was opened.
struct FoundOrigins<F> {
    log: RecordLog<F>,
    notices: Vec<OriginNotice>,
    /// Time until the callers have stopped waiting whose streams the active file holds.
    active_left: Duration,
    /// The same of the other file.
    other_left: Duration,
}

/// The open log, and when the records of each file are over.
struct OriginLog<F> {
    log: RecordLog<F>,
    /// When all callers have stopped waiting whose streams the active file holds.
    active_over_at: Duration,
    /// The same of the other file.
    other_over_at: Duration,
    has_failed: bool,
}

/// Takes over what the log holds, then appends the records that change, until the process ends. What
/// the disk refuses is logged once, and tried again as long as its callers may wait.
pub async fn keep_origins(state: Rc<RelayState>, data: PathBuf) {
    keep_origins_in(state, move || DiskFolder::open_beside(&data)).await;
}

/// Like [`keep_origins`], in the folder that `open_folder` opens.
pub async fn keep_origins_in<F: DataFolder + Send + 'static>(
    state: Rc<RelayState>,
    open_folder: impl Fn() -> Result<F> + Clone + Send + 'static,
) {
    let mut log = open_log(&state, open_folder).await;
    let mut has_refused = false;
    loop {
        match has_refused {
            true => sleep(REFUSED_PAUSE).await,
            false => state.origin_store_due.notified().await,
        }
        sleep(BATCH_TIME).await;
        let notices = state.take_unstored_origins();
        let mut batches = notices.chunks(BATCH_RECORDS);
        has_refused = false;
        while let Some(batch) = batches.next() {
            let (now, records) = (state.now(), batch.to_vec());
            let written = actix_rt::task::spawn_blocking(move || {
                let result = log.write(now, &records);
                (log, result)
            });
            let result;
            (log, result) = match written.await {
                Ok(written) => written,
                Err(error) => {
                    log::error!("gateway: log of origins ended: {error}");
                    return;
                }
            };
            has_refused = result.is_err();
            log.note_result(result);
            if has_refused {
                let refused = batches.by_ref().flatten().chain(batch);
                state.put_back_unstored_origins(refused);
            }
        }
    }
}

async fn open_log<F: DataFolder + Send + 'static>(
    state: &Rc<RelayState>,
    open_folder: impl Fn() -> Result<F> + Clone + Send + 'static,
) -> OriginLog<F> {
    let mut has_failed = false;
    loop {
        let open_folder = open_folder.clone();
        let mut reading = actix_rt::task::spawn_blocking(move || read_log(open_folder()?));
        let opened = match timeout(READ_TIMEOUT, &mut reading).await {
            Ok(opened) => opened,
            Err(_) => {
                log::warn!("gateway: disk of the log of origins is silent");
                state.restore_origins([]);
                reading.await
            }
        };
        match opened {
            Ok(Ok(found)) => {
                log::info!(records = found.notices.len(); "gateway: log of origins read");
                state.restore_origins(found.notices);
                return OriginLog {
                    log: found.log,
                    active_over_at: state.now() + found.active_left,
                    other_over_at: state.now() + found.other_left,
                    has_failed: false,
                };
            }
            Ok(Err(error)) if !has_failed => {
                log::warn!("gateway: log of origins not read: {error}");
                has_failed = true;
            }
            Ok(Err(_)) => {}
            Err(error) => log::error!("gateway: log of origins not read: {error}"),
        }
        // What other keepers know counts without it.
        state.restore_origins([]);
        sleep(RETRY_TIME).await;
    }
}

/// Opens the log and reads the records that it holds.
fn read_log<F: DataFolder>(folder: F) -> Result<FoundOrigins<F>> {
    let (log, records) = RecordLog::open(folder)?;
    let mut found = FoundOrigins {
        notices: Vec::new(),
        active_left: Duration::ZERO,
        other_left: Duration::ZERO,
        log,
    };
    let now_ms = unix_ms();
    for (index, record) in records.iter().enumerate() {
        let mut batch: OriginBatch = match codec::decode_state(record) {
            Ok(batch) => batch,
            Err(error) => {
                log::warn!("gateway: records of origins not read: {error}");
                continue;
            }
        };
        batch.add_age(now_ms);
        let left = match index < found.log.older_records {
            true => &mut found.other_left,
            false => &mut found.active_left,
        };
        *left = batch.longest().max(*left);
        found.notices.extend(batch.notices);
    }
    Ok(found)
}

impl<F: DataFolder> OriginLog<F> {
    /// Appends records and makes them durable. Returns whether there was room for all of them.
    fn write(&mut self, now: Duration, notices: &[OriginNotice]) -> Result<bool> {
        let bytes = self.log.active_bytes();
        let mut notices = notices.to_vec();
        let mut has_room = true;
        let is_due = bytes >= TURN_BYTES && now >= self.other_over_at;
        // If the other file can't be begun, the same one goes on.
        if is_due && self.log.take_turn().is_ok() {
            self.other_over_at = self.active_over_at;
            self.active_over_at = now;
        } else if bytes >= MAX_BYTES {
            has_room = false;
            // The origin that was stored before must not count after a restart.
            notices.retain(|notice| notice.claim == OriginClaim::Disputed);
        }
        if notices.is_empty() {
            return Ok(has_room);
        }
        let batch = OriginBatch {
            saved_ms: unix_ms(),
            notices,
        };
        self.active_over_at = self.active_over_at.max(now + batch.longest());
        let record = codec::encode_state(&batch).map_err(io::Error::other)?;
        self.log.append(&record)?;
        self.log.sync()?;
        Ok(has_room)
    }

    /// Logs the first of several failures in a row, and the success after them.
    fn note_result(&mut self, result: Result<bool>) {
        match (result, self.has_failed) {
            (Ok(true), false) | (Ok(false) | Err(_), true) => {}
            (Ok(true), true) => {
                log::info!("gateway: log of origins written again");
                self.has_failed = false;
            }
            (Ok(false), false) => {
                log::warn!("gateway: log of origins is full, streams are not recorded");
                self.has_failed = true;
            }
            (Err(error), false) => {
                log::warn!("gateway: log of origins not written: {error}");
                self.has_failed = true;
            }
        }
    }
}
