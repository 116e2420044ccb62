//! Durable log and snapshot of one member, in one data folder.
//!
//! * [`store`]: opening, recovery and writing.
//! * [`folder`]: file operations of a data folder.
//! * [`frame`]: checksummed records, and the detection of torn writes and damage.
//! * [`error`]: errors of the store.

pub mod error;
pub mod folder;
pub mod frame;
pub mod store;

pub use error::{Result, StoreError};
pub use folder::{DataFolder, DiskFolder};
pub use store::{MemberStore, OpenedMember};
