//! Durable log and snapshot of one member, and other records, in one data folder.
//!
//! * [`store`]: opening, recovery and writing.
//! * [`folder`]: file operations of a data folder.
//! * [`frame`]: checksummed records, and the detection of torn writes and damage.
//! * [`record_log`]: records that matter for a limited time.
//! * [`error`]: errors of the store.

pub mod error;
pub mod folder;
pub mod frame;
pub mod record_log;
pub mod store;

pub use error::{Result, StoreError};
pub use folder::{DataFolder, DiskFolder};
pub use record_log::RecordLog;
pub use store::{MemberStore, OpenedMember};
