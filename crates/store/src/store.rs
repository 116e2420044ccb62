//! Opening, recovery and writing.

use std::sync::Arc;

use replica::id::{MemberIdentity, PersistNumber};
use replica::{
    AppendRecord, HardState, LogEntry, PersistBatch, PersistOperation, RecoveredState,
    SnapshotRecord,
};
use serde::{Deserialize, Serialize};

use crate::error::{Result, StoreError};
use crate::folder::{DataFolder, FileName};
use crate::frame::{file_header, push_frame, scan};

/// Name of the log file.
pub const LOG_FILE: FileName = "log";
/// Name of the snapshot file.
pub const SNAPSHOT_FILE: FileName = "snapshot";
/// Name of a new log file until it is complete.
const NEW_LOG_FILE: FileName = "log.new";
/// Name of a new snapshot file until it is complete.
const NEW_SNAPSHOT_FILE: FileName = "snapshot.new";

/// One record of the log file.
#[derive(Debug, Serialize, Deserialize)]
enum LogRecord {
    /// The first record.
    Header {
        /// The member that the folder belongs to.
        identity: MemberIdentity,
        /// Number of records, this one included, that were durable before the file was renamed into
        /// place. A file with fewer records is damaged.
        records: u32,
    },
    /// A change of the hard state and the log.
    Append(AppendRecord),
}

/// State found in a data folder when it was opened.
#[derive(Debug, PartialEq, Eq)]
pub struct OpenedMember {
    /// The member that the folder belongs to.
    pub identity: MemberIdentity,
    /// Whether the folder was empty, so that the member is a new one.
    pub is_new: bool,
    /// The durable state of the member.
    pub recovered: RecoveredState,
    /// Bytes of an incomplete write that were truncated from the log.
    pub cut_bytes: u64,
}

/// The data folder of one member.
pub struct MemberStore<F> {
    folder: F,
    identity: MemberIdentity,
    /// Length of the log file after the last durable write. The file is longer only inside `write`,
    /// while it is torn, or after a write that poisoned the store.
    log_bytes: u64,
    /// Whether bytes of a refused append may follow, as the full disk did not let them be cut.
    is_torn: bool,
    /// Whether a sync of the log found the disk full. What a later sync of the same file says does not
    /// count then, so the durable records go into a new file before the next append.
    is_unsynced: bool,
    /// Number of the last durable write. Never decreases.
    durable: PersistNumber,
    /// Whether a failed write left the files in an unknown state.
    poisoned: bool,
}

impl<F: DataFolder> MemberStore<F> {
    /// Opens a data folder and recovers its durable state. An empty folder becomes that of a new
    /// member with the identity `new_identity`.
    ///
    /// # Errors
    /// When a file is damaged, which is never repaired here, or was written by another version of
    /// the program, or when the file system fails.
    pub fn open(mut folder: F, new_identity: MemberIdentity) -> Result<(Self, OpenedMember)> {
        let log_bytes = folder.read(LOG_FILE)?;
        let snapshot_bytes = folder.read(SNAPSHOT_FILE)?;
        let snapshot = match &snapshot_bytes {
            Some(bytes) => Some(Arc::new(read_snapshot(bytes)?)),
            None => None,
        };
        let mut store = Self {
            folder,
            identity: new_identity,
            log_bytes: 0,
            is_torn: false,
            is_unsynced: false,
            durable: 0,
            poisoned: false,
        };
        let opened = match log_bytes {
            None if snapshot.is_some() => {
                return Err(damaged_log(0, "the file is missing"));
            }
            None => store.create_member()?,
            Some(bytes) => store.recover(&bytes, snapshot)?,
        };
        Ok((store, opened))
    }

    /// Drops the content of a data folder, which becomes that of a new member with the identity
    /// `new_identity`. For a folder that holds nothing committed.
    ///
    /// # Errors
    /// When the folder holds a snapshot, which only committed entries get into, or when the file
    /// system fails.
    pub fn start_over(mut folder: F, new_identity: MemberIdentity) -> Result<(Self, OpenedMember)> {
        if folder.read(SNAPSHOT_FILE)?.is_some() {
            return Err(StoreError::Damaged {
                file: SNAPSHOT_FILE,
                offset: 0,
                reason: "a folder that is given up has a snapshot",
            });
        }
        let mut store = Self {
            folder,
            identity: new_identity,
            log_bytes: 0,
            is_torn: false,
            is_unsynced: false,
            durable: 0,
            poisoned: false,
        };
        let opened = store.create_member()?;
        Ok((store, opened))
    }

    /// Makes operations durable, in order, and returns the number of the last one. Operations that
    /// are durable already are skipped, so a call that failed because the disk is full may be
    /// retried.
    ///
    /// # Errors
    /// [`StoreError::Full`] when the disk is full. After any other error, the process must be
    /// restarted.
    pub fn write(&mut self, batches: &[PersistBatch]) -> Result<PersistNumber> {
        if self.poisoned {
            return Err(StoreError::Poisoned);
        }
        let skipped = batches
            .iter()
            .take_while(|batch| batch.number <= self.durable);
        let mut remaining = &batches[skipped.count()..];
        while let Some(first) = remaining.first() {
            let written = match &first.operation {
                PersistOperation::Append(_) => self.append(remaining)?,
                PersistOperation::Replace {
                    hard,
                    snapshot,
                    entries,
                } => {
                    self.replace(*hard, snapshot, entries)?;
                    1
                }
            };
            self.durable = remaining[written - 1].number;
            remaining = &remaining[written..];
        }
        Ok(self.durable)
    }

    /// Returns the folder. For tests.
    pub fn into_folder(self) -> F {
        self.folder
    }

    fn create_member(&mut self) -> Result<OpenedMember> {
        let recovered = RecoveredState::default();
        self.write_log(recovered.hard, &[])?;
        Ok(OpenedMember {
            identity: self.identity,
            is_new: true,
            recovered,
            cut_bytes: 0,
        })
    }

    fn recover(
        &mut self,
        bytes: &[u8],
        snapshot: Option<Arc<SnapshotRecord>>,
    ) -> Result<OpenedMember> {
        let scan = scan(LOG_FILE, bytes)?;
        let (identity, hard, mut entries) = replay(&scan.payloads)?;
        self.identity = identity;
        self.log_bytes = scan.valid_bytes;
        let cut_bytes = bytes.len() as u64 - scan.valid_bytes;
        if cut_bytes > 0 {
            log::warn!("store: truncating {cut_bytes} bytes of an incomplete write from the log");
            self.folder.truncate(LOG_FILE, self.log_bytes)?;
        }
        // The process before may have ended between a write and its sync.
        self.folder.sync(LOG_FILE)?;
        self.folder.sync_folder()?;
        check_no_gap(&entries, snapshot.as_deref())?;
        if !is_same_history(&entries, snapshot.as_deref()) {
            entries.clear();
            self.write_log(hard, &entries)?;
        }
        let recovered = RecoveredState {
            hard,
            snapshot,
            entries,
        };
        Ok(OpenedMember {
            identity,
            is_new: false,
            recovered,
            cut_bytes,
        })
    }

    /// Writes the appends up to the first other operation with one sync; returns their number.
    fn append(&mut self, batches: &[PersistBatch]) -> Result<usize> {
        let mut bytes = Vec::new();
        let mut count = 0;
        for batch in batches {
            let PersistOperation::Append(record) = &batch.operation else {
                break;
            };
            let position = self.log_bytes + bytes.len() as u64;
            let payload = encode(&LogRecord::Append(record.clone()))?;
            push_frame(&mut bytes, position, &payload);
            count += 1;
        }
        self.renew_log()?;
        self.cut_tail()?;
        if let Err(error) = self.folder.append(LOG_FILE, &bytes) {
            self.is_torn = true;
            return match self.cut_tail() {
                // The tail is cut before the next append.
                Ok(()) | Err(StoreError::Full) => Err(error.into()),
                Err(error) => Err(error),
            };
        }
        self.sync_log()?;
        self.log_bytes += bytes.len() as u64;
        Ok(count)
    }

    /// Makes the appended records durable.
    fn sync_log(&mut self) -> Result<()> {
        let synced = self.folder.sync(LOG_FILE).map_err(StoreError::from);
        match synced {
            Err(StoreError::Full) => {
                self.is_unsynced = true;
                self.is_torn = true;
                // A process that starts before the log is renewed must not read the refused records.
                match self.cut_tail() {
                    Err(error) => Err(error),
                    Ok(()) => Err(StoreError::Full),
                }
            }
            synced => {
                self.poisoned = synced.is_err();
                synced
            }
        }
    }

    /// Writes the durable records to a new file after a sync that found the disk full.
    fn renew_log(&mut self) -> Result<()> {
        if !self.is_unsynced {
            return Ok(());
        }
        let mut bytes = self.folder.read(LOG_FILE)?.unwrap_or_default();
        bytes.truncate(self.log_bytes as usize);
        let valid_bytes = scan(LOG_FILE, &bytes).map(|scan| scan.valid_bytes);
        if !valid_bytes.is_ok_and(|valid| valid == self.log_bytes) {
            self.poisoned = true;
            return Err(damaged_log(0, "durable records are missing"));
        }
        self.replace_file(NEW_LOG_FILE, LOG_FILE, &bytes)?;
        self.is_unsynced = false;
        self.is_torn = false;
        Ok(())
    }

    /// Removes what may be left of a refused append. A full disk may refuse that, too.
    fn cut_tail(&mut self) -> Result<()> {
        if !self.is_torn {
            return Ok(());
        }
        let cut = self.folder.truncate(LOG_FILE, self.log_bytes);
        let cut = cut.map_err(StoreError::from);
        self.poisoned = matches!(cut, Err(ref error) if !matches!(error, StoreError::Full));
        self.is_torn = cut.is_err();
        cut
    }

    /// Replaces the snapshot, then the log. After a crash between the two, the old log still holds
    /// everything that was durable, and the new snapshot either covers a part of it or supersedes
    /// all of it.
    fn replace(
        &mut self,
        hard: HardState,
        snapshot: &SnapshotRecord,
        entries: &[LogEntry],
    ) -> Result<()> {
        let mut bytes = file_header();
        let position = bytes.len() as u64;
        push_frame(&mut bytes, position, &encode(snapshot)?);
        self.replace_file(NEW_SNAPSHOT_FILE, SNAPSHOT_FILE, &bytes)?;
        self.write_log(hard, entries)
    }

    fn write_log(&mut self, hard: HardState, entries: &[LogEntry]) -> Result<()> {
        let header = LogRecord::Header {
            identity: self.identity,
            records: 2,
        };
        let contents = LogRecord::Append(AppendRecord {
            hard,
            truncate_from: None,
            entries: entries.to_vec(),
        });
        let mut bytes = file_header();
        for record in [header, contents] {
            let position = bytes.len() as u64;
            push_frame(&mut bytes, position, &encode(&record)?);
        }
        self.replace_file(NEW_LOG_FILE, LOG_FILE, &bytes)?;
        self.log_bytes = bytes.len() as u64;
        self.is_torn = false;
        self.is_unsynced = false;
        Ok(())
    }

    /// Replaces the file `name` atomically and durably. Its content is written to `new` first. After
    /// [`StoreError::Full`], the file may have been replaced, but perhaps not durably; it has to be
    /// replaced again before anything is appended to it.
    fn replace_file(&mut self, new: FileName, name: FileName, bytes: &[u8]) -> Result<()> {
        self.folder.create(new, bytes)?;
        self.folder.sync(new)?;
        if let Err(error) = self.folder.rename(new, name) {
            let error = StoreError::from(error);
            // A full disk that refuses to rename has changed nothing.
            self.poisoned = !matches!(error, StoreError::Full);
            return Err(error);
        }
        let synced = self.folder.sync_folder().map_err(StoreError::from);
        self.poisoned = matches!(synced, Err(ref error) if !matches!(error, StoreError::Full));
        synced
    }
}

fn read_snapshot(bytes: &[u8]) -> Result<SnapshotRecord> {
    let damaged = |reason| StoreError::Damaged {
        file: SNAPSHOT_FILE,
        offset: 0,
        reason,
    };
    let scan = scan(SNAPSHOT_FILE, bytes)?;
    let [payload] = scan.payloads[..] else {
        return Err(damaged("the file is not complete"));
    };
    if scan.valid_bytes != bytes.len() as u64 {
        return Err(damaged("the file is too long"));
    }
    postcard::from_bytes(payload).map_err(|_| damaged("the record can't be read"))
}

type ReplayedLog = (MemberIdentity, HardState, Vec<LogEntry>);

fn replay(payloads: &[&[u8]]) -> Result<ReplayedLog> {
    let mut payloads = payloads.iter().enumerate();
    let count = payloads.len();
    let header = payloads.next().map(|(_, payload)| decode(payload));
    let Some(LogRecord::Header { identity, records }) = header.transpose()? else {
        return Err(damaged_log(0, "the head is missing"));
    };
    if count < records as usize {
        return Err(damaged_log(0, "durable records are missing"));
    }
    let mut hard = HardState::default();
    let mut entries = Vec::new();
    for (number, payload) in payloads {
        let LogRecord::Append(record) = decode(payload)? else {
            return Err(damaged_log(number as u64, "second head"));
        };
        hard = record.hard;
        replay_append(&mut entries, record)?;
    }
    Ok((identity, hard, entries))
}

fn replay_append(entries: &mut Vec<LogEntry>, record: AppendRecord) -> Result<()> {
    if let Some(first) = record.truncate_from {
        entries.retain(|entry| entry.index < first);
    }
    for entry in record.entries {
        let has_gap = entries
            .last()
            .is_some_and(|last| last.index + 1 != entry.index);
        if has_gap {
            return Err(damaged_log(0, "entries are missing"));
        }
        entries.push(entry);
    }
    Ok(())
}

/// Checks that no entry is missing between the snapshot and the first entry.
fn check_no_gap(entries: &[LogEntry], snapshot: Option<&SnapshotRecord>) -> Result<()> {
    let covered = snapshot.map_or(0, |snapshot| snapshot.index);
    match entries.first() {
        Some(first) if first.index > covered + 1 => {
            Err(damaged_log(0, "entries after the snapshot are missing"))
        }
        _ => Ok(()),
    }
}

/// Whether the entries begin right after the snapshot or include its last entry in the same term;
/// also true without entries or without a snapshot. Other entries are superseded by the snapshot.
fn is_same_history(entries: &[LogEntry], snapshot: Option<&SnapshotRecord>) -> bool {
    let (Some(first), Some(snapshot)) = (entries.first(), snapshot) else {
        return true;
    };
    if first.index == snapshot.index + 1 {
        return true;
    }
    let at_snapshot = entries.get((snapshot.index - first.index) as usize);
    at_snapshot.is_some_and(|entry| entry.term == snapshot.term)
}

fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(record).map_err(|error| StoreError::Io(std::io::Error::other(error)))
}

fn decode(payload: &[u8]) -> Result<LogRecord> {
    postcard::from_bytes(payload).map_err(|_| damaged_log(0, "a record can't be read"))
}

fn damaged_log(offset: u64, reason: &'static str) -> StoreError {
    StoreError::Damaged {
        file: LOG_FILE,
        offset,
        reason,
    }
}
