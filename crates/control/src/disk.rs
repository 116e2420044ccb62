//! Opening the data folder, and the thread that writes it. Consensus runs on another thread, so a slow
//! disk delays no heartbeat.

use std::io;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use replica::PersistBatch;
use replica::id::PersistNumber;
use store::{DataFolder, MemberStore, StoreError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::sleep;

/// Pause before a write to a full disk is retried.
const DISK_FULL_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Pause before a data folder on a full disk is opened again.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Result of writes.
#[derive(Debug)]
pub enum DiskReport {
    /// Every write up to this number is durable.
    Durable(PersistNumber),
    /// The disk is full; the writes are retried.
    Full,
    /// The data folder failed; the thread has ended.
    Failed(StoreError),
}

/// Queue of batches to write.
pub type DiskQueue = Sender<PersistBatch>;

/// Receives the results of writes.
pub type DiskReports = UnboundedReceiver<DiskReport>;

/// Opens a data folder on a thread of its own, as the disk may hang. On a full disk that has to be
/// written first, it is tried again until there is room.
///
/// # Errors
/// Why it could not be opened.
pub async fn open_member<T: Send + 'static>(
    open: impl Fn() -> store::Result<T> + Clone + Send + 'static,
) -> store::Result<T> {
    let mut is_waiting = false;
    loop {
        let opened = actix_rt::task::spawn_blocking(open.clone()).await;
        match opened.map_err(|error| StoreError::Io(io::Error::other(error)))? {
            Err(StoreError::Full) => {
                if !is_waiting {
                    log::error!("store: the disk is full, the data folder can't be opened");
                }
                is_waiting = true;
                sleep(OPEN_RETRY_PAUSE).await;
            }
            opened => return opened,
        }
    }
}

/// Starts the thread. It ends when the queue is closed or the data folder fails.
pub fn start_disk<F: DataFolder + Send + 'static>(
    store: MemberStore<F>,
) -> (DiskQueue, DiskReports) {
    let (queue, batches) = channel();
    let (reports, reported) = unbounded_channel();
    thread::spawn(move || write_batches(store, &batches, &reports));
    (queue, reported)
}

/// Writes all pending batches with one sync each time, until the queue is closed or the data folder
/// fails.
fn write_batches<F: DataFolder>(
    mut store: MemberStore<F>,
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
