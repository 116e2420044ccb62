//! Durable log and snapshots of one member, under one data folder.
//!
//! * [`store`]: opening, recovery and writing.
//! * [`folder`]: the files of a data folder, as the store needs them.
//! * [`frame`]: checksummed records and how far a file is sound.
//! * [`error`]: why the store refuses.

pub mod error;
pub mod folder;
pub mod frame;
pub mod store;

pub use error::{Result, StoreError};
pub use folder::{DataFolder, DiskFolder};
pub use store::{MemberStore, OpenedMember};
