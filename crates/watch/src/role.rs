//! What an instance does.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an instance does.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// Takes requests of callers.
    #[default]
    #[display("entry")]
    Entry,
    /// Stands beside an endpoint.
    #[display("agent")]
    Agent,
    /// Belongs to the control quorum.
    #[display("control")]
    Control,
}
