//! Log of records that matter for a limited time only, in two files that take turns.
//!
//! Records are appended to one file; once it is large and all records of the other one are over, the
//! other one begins anew. Unlike in the log of a member, lost records do no harm beyond themselves:
//! bytes that can't be read end the file in which they are, and the records before them count.

use crate::error::Result;
use crate::folder::{DataFolder, FileName};
use crate::frame::{FILE_HEADER_BYTES, file_header, push_frame, scan_prefix};

/// Names of the files.
const FILES: [FileName; 2] = ["records.0", "records.1"];

/// One of the files.
#[derive(Clone, Copy, Debug, Default)]
struct LogFile {
    /// Number of the turn in which it was begun; 0 if it does not exist.
    turn: u64,
    /// Length up to the end of the last whole record.
    bytes: u64,
}

/// A log in a data folder.
pub struct RecordLog<F> {
    folder: F,
    files: [LogFile; 2],
    /// Index of the file that takes records.
    active: usize,
    /// Number of the records, of those found when the log was opened, that the other file held.
    pub older_records: usize,
    /// Whether bytes of a record that was not written may follow the last whole one.
    is_torn: bool,
}

impl<F: DataFolder> RecordLog<F> {
    /// Opens the log and returns it with its records, those of the older file first.
    ///
    /// # Errors
    /// When the file system fails.
    pub fn open(mut folder: F) -> Result<(Self, Vec<Vec<u8>>)> {
        let mut files = [LogFile::default(); 2];
        let mut records = [Vec::new(), Vec::new()];
        for (index, name) in FILES.into_iter().enumerate() {
            let Some(bytes) = folder.read(name)? else {
                continue;
            };
            let found = scan_prefix(name, &bytes);
            if let Some((turn, payloads)) = found.payloads.split_first()
                && let Ok(turn) = <[u8; 8]>::try_from(*turn)
            {
                files[index] = LogFile {
                    turn: u64::from_le_bytes(turn),
                    bytes: found.valid_bytes,
                };
                records[index] = payloads.iter().map(|payload| payload.to_vec()).collect();
            }
            if let Some(error) = found.damage {
                log::warn!("store: records after a damaged one are lost: {error}");
            }
        }
        let active = usize::from(files[1].turn > files[0].turn);
        let older_records = records[1 - active].len();
        let [first, second] = records;
        let records = match active {
            0 => [second, first].concat(),
            _ => [first, second].concat(),
        };
        let mut log = Self {
            folder,
            files,
            active,
            older_records,
            is_torn: true,
        };
        match log.files[active].turn {
            0 => log.begin(0, 1)?,
            // If a full disk refuses this, it is done before the next record.
            _ => drop(log.cut_tail()),
        }
        Ok((log, records))
    }

    /// Appends a record. It outlives the process, and a loss of power once [`Self::sync`] has
    /// returned.
    ///
    /// # Errors
    /// When the file system fails; the record is not in the log then.
    pub fn append(&mut self, record: &[u8]) -> Result<()> {
        self.cut_tail()?;
        let file = self.files[self.active];
        let mut bytes = Vec::new();
        push_frame(&mut bytes, file.bytes, record);
        self.is_torn = true;
        if let Err(error) = self.folder.append(FILES[self.active], &bytes) {
            // If the disk refuses this too, it is done before the next record.
            let _ = self.cut_tail();
            return Err(error.into());
        }
        self.is_torn = false;
        self.files[self.active].bytes += bytes.len() as u64;
        Ok(())
    }

    /// Makes the appended records durable.
    ///
    /// # Errors
    /// When the file system fails.
    pub fn sync(&mut self) -> Result<()> {
        Ok(self.folder.sync(FILES[self.active])?)
    }

    /// Size of the file that takes records, in bytes.
    pub fn active_bytes(&self) -> u64 {
        self.files[self.active].bytes
    }

    /// Lets the other file take records, whose records are dropped.
    ///
    /// # Errors
    /// When the file system fails; the same file takes records then.
    pub fn take_turn(&mut self) -> Result<()> {
        let turn = self.files[self.active].turn + 1;
        self.begin(1 - self.active, turn)
    }

    fn begin(&mut self, index: usize, turn: u64) -> Result<()> {
        let mut bytes = file_header();
        push_frame(&mut bytes, FILE_HEADER_BYTES as u64, &turn.to_le_bytes());
        self.folder.create(FILES[index], &bytes)?;
        self.folder.sync(FILES[index])?;
        self.folder.sync_folder()?;
        self.files[index] = LogFile {
            turn,
            bytes: bytes.len() as u64,
        };
        self.active = index;
        self.is_torn = false;
        Ok(())
    }

    /// Removes what may follow the last whole record.
    fn cut_tail(&mut self) -> Result<()> {
        if self.is_torn {
            let file = self.files[self.active];
            self.folder.truncate(FILES[self.active], file.bytes)?;
            self.is_torn = false;
        }
        Ok(())
    }
}
