//! Changes of what an endpoint states about itself.

use std::time::Duration;

use wire::statement::CallRate;

/// A change of what an endpoint states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementChange {
    /// It names another limit, or none any more.
    Limit(Option<CallRate>),
    /// It states for how much longer it is cold after a start.
    Cold(Duration),
    /// It says that it leaves.
    Leaving,
    /// It stated something unreadable, for the first time.
    Unreadable,
}
