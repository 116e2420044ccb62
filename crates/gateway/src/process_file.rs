//! Processes of endpoints whose software version is known, kept in a file of the data folder.
//!
//! Gateways tell each other what they know, so the file matters only if all of them stop at once:
//! without it, streams go on only when the list has stated the versions again, and callers wait no
//! longer than that.

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use relay::state::RelayState;
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval};
use wire::process::ProcessRecord;

use crate::data_file;

/// Interval at which the file is rewritten if what is known has changed.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);
/// Name of the file.
const FILE_NAME: &str = "processes";

/// Content of the file.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ProcessList {
    /// The processes. The time for which they have served is that before the file was written.
    processes: Vec<ProcessRecord>,
}

/// Takes over what the file holds, then rewrites it whenever what is known has changed, until the
/// process ends. A file that can't be read or written is logged; the other keepers may have it.
pub async fn keep_processes(state: Rc<RelayState>, data: PathBuf) {
    let folder = data.clone();
    let read = move || data_file::read(&folder, FILE_NAME);
    match actix_rt::task::spawn_blocking(read).await {
        Ok(Ok(list)) => take_over(&state, list),
        Ok(Err(error)) => log::warn!("gateway: file of processes not read: {error}"),
        Err(error) => log::error!("gateway: file of processes not read: {error}"),
    }
    // What others told meanwhile may not be in the file.
    let mut saved = None;
    let mut has_failed = false;
    let mut ticks = interval(SAVE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let revision = state.process_revision();
        if saved == Some(revision) {
            continue;
        }
        let list = ProcessList {
            processes: state.known_processes(),
        };
        let folder = data.clone();
        let write = move || data_file::write(&folder, FILE_NAME, &list);
        match actix_rt::task::spawn_blocking(write).await {
            Ok(Ok(())) => {
                saved = Some(revision);
                has_failed = false;
            }
            Ok(Err(error)) if !has_failed => {
                log::warn!("gateway: file of processes not written: {error}");
                has_failed = true;
            }
            _ => {}
        }
    }
}

/// Notes the processes of the file. That they have served until now is not known.
fn take_over(state: &RelayState, list: ProcessList) {
    log::info!(processes = list.processes.len(); "gateway: file of processes read");
    let processes = list.processes.into_iter();
    state.note_processes(processes.map(|process| ProcessRecord {
        served_ms: 0,
        ..process
    }));
}
