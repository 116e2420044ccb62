//! The settings tree, its checks, and the settings file of each program.
//!
//! * [`access`]: who a request comes from, by its key.
//! * [`path`]: dotted paths into the tree.
//! * [`tree`]: the tree as operators write it, and edits to it.
//! * [`diff`]: the difference between two trees, as edits.
//! * [`fleet`]: the resolved form that the programs use.
//! * [`policy`]: the values that every branch inherits.
//! * [`defaults`], [`schema`], [`keys`], [`files`]: every key, its range, its default and its meaning.
//! * [`origin`]: where each resolved value comes from.
//! * [`page`]: the page of all settings.
//! * [`history`]: every version, and how changes are accepted.
//! * [`holder`]: the settings that an entry or an agent holds, and their lease.
//! * [`operator`]: what `sapphirectl` and the control instances say to each other.
//! * [`process`]: the file that each program reads at its start.

pub mod access;
mod answer;
mod check;
mod consistency;
pub mod defaults;
pub mod diff;
pub mod files;
pub mod fleet;
pub mod history;
pub mod holder;
pub mod keys;
mod location;
pub mod operator;
pub mod origin;
mod overlap;
pub mod page;
pub mod path;
pub mod policy;
pub mod process;
mod resolve;
pub mod schema;
pub mod tree;

pub use fleet::FleetSettings;
pub use history::SettingsHistory;
pub use holder::SettingsHolder;
pub use path::SettingPath;
pub use policy::{LoadLimits, PolicySettings};
pub use tree::{SettingFault, SettingsTree};
