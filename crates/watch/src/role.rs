//! The role of an instance.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Role of an instance.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InstanceRole {
    /// Accepts the requests of callers.
    #[default]
    #[display("entry")]
    Entry,
    /// Admits requests for one endpoint and runs them there.
    #[display("agent")]
    Agent,
    /// Member of the control quorum.
    #[display("control")]
    Control,
}
