//! The settings tree of the fleet, its validation, and the configuration file of each program.
//!
//! * [`access`]: authentication of client accounts and operators by key.
//! * [`path`]: dotted paths into the tree.
//! * [`tree`]: the settings tree before inheritance is resolved, and edits to it.
//! * [`diff`]: the difference between two trees, as edits.
//! * [`fleet`]: the settings with inheritance resolved, as the programs use them.
//! * [`policy`]: the values that branches inherit from their parent.
//! * [`schema`]: the types that describe keys: value type, range, default and meaning.
//! * [`keys`], [`files`]: the keys of the settings tree and of the configuration files.
//! * [`defaults`]: the default values.
//! * [`origin`]: where each resolved value comes from.
//! * [`page`]: the settings reference, generated from the key tables.
//! * [`history`]: the versions of the tree, as a replicated state machine that applies changes.
//! * [`holder`]: the local copy of the settings in an entry or an agent, and its lease.
//! * [`operator`]: requests and responses of the operator API.
//! * [`process`]: the configuration file that each program reads at start.

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
