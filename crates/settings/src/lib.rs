//! The settings tree, its checks, and the settings file of each program.
//!
//! * [`tree`]: the tree as operators write it, and edits to it.
//! * [`fleet`]: the resolved form that the programs use.
//! * [`policy`]: the values that every branch inherits.
//! * [`process`]: the file that each program reads at its start.

pub mod fleet;
pub mod policy;
pub mod process;
pub mod tree;

pub use fleet::FleetSettings;
pub use policy::{LoadLimits, PolicySettings};
pub use tree::{SettingFault, SettingsTree};
