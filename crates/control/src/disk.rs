//! The thread that writes the data folder, so that a slow disk delays no heartbeat.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use replica::PersistBatch;
use replica::id::PersistNumber;
use store::{DiskFolder, MemberStore, StoreError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Pause before a write to a full disk is tried again.
const DISK_FULL_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// What became of the writes.
#[derive(Debug)]
pub enum DiskReport {
    /// Every write up to this number is durable.
    Durable(PersistNumber),
    /// The disk is full; the writes are tried again.
    Full,
    /// The data folder can't be used any more.
    Failed(StoreError),
}

/// Takes writes.
pub type DiskQueue = Sender<PersistBatch>;

/// Tells what became of writes.
pub type DiskReports = UnboundedReceiver<DiskReport>;

/// Starts the thread.
pub fn start_disk(store: MemberStore<DiskFolder>) -> (DiskQueue, DiskReports) {
    let (queue, batches) = channel();
    let (reports, reported) = unbounded_channel();
    thread::spawn(move || write_batches(store, &batches, &reports));
    (queue, reported)
}

/// Writes everything that waits with one sync, until the queue is closed.
fn write_batches(
    mut store: MemberStore<DiskFolder>,
    batches: &Receiver<PersistBatch>,
    reports: &UnboundedSender<DiskReport>,
) {
    let mut pending = Vec::new();
    while let Ok(batch) = batches.recv() {
        pending.push(batch);
        pending.extend(batches.try_iter());
        loop {
            match store.write(&pending) {
                Ok(number) => {
                    let _ = reports.send(DiskReport::Durable(number));
                    pending.clear();
                    break;
                }
                Err(StoreError::Full) => {
                    let _ = reports.send(DiskReport::Full);
                    thread::sleep(DISK_FULL_RETRY_PAUSE);
                }
                Err(error) => {
                    let _ = reports.send(DiskReport::Failed(error));
                    return;
                }
            }
        }
    }
}
