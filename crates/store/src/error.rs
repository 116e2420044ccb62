//! Errors of the store.

use std::io;

use derive_more::{Display, Error};

/// An error of the store.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// Another process uses the data folder.
    #[display("the data folder is in use by another process")]
    Locked,
    /// A file was modified or lost after it was durable.
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
    /// The disk is full. An incomplete append was removed, so the write may be retried; the retry
    /// fails with [`Self::Poisoned`] if the files were left in an unknown state.
    #[display("the disk of the data folder is full")]
    Full,
    /// An earlier write failed and left the files in an unknown state. The process must be
    /// restarted.
    #[display("an earlier write failed; the data folder must be opened again")]
    Poisoned,
    /// Another error of the file system.
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
