//! Why the store refuses.

use std::io;

use derive_more::{Display, Error};

/// Why the store refuses.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// Another process uses the data folder.
    #[display("the data folder is in use by another process")]
    Locked,
    /// A file was changed or lost after it was durable.
    #[display(
        "{file} is damaged at byte {offset}: {reason}; \
         nothing was changed; replace this member by emptying its data folder"
    )]
    Damaged {
        /// The file.
        file: &'static str,
        /// Where the damage begins.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// The file was written by another version of the program.
    #[display("{file} has format version {version}, this program reads {FORMAT_VERSION}")]
    Version {
        /// The file.
        file: &'static str,
        /// Its version.
        version: u16,
    },
    /// The disk takes no more data. Nothing of the write remains; it may be tried again.
    #[display("the disk of the data folder is full")]
    Full,
    /// An earlier write failed in a way that leaves the files unknown. Restart the process.
    #[display("an earlier write failed; the data folder must be opened again")]
    Poisoned,
    /// The file system failed.
    #[display("data folder: {_0}")]
    Io(io::Error),
}

/// Version of the files that this program writes and reads.
pub const FORMAT_VERSION: u16 = 1;

/// Result of the operations of a store.
pub type Result<T> = std::result::Result<T, StoreError>;

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full,
            _ => Self::Io(error),
        }
    }
}
