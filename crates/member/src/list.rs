//! The platform's list of instances, which lags.
//!
//! The list only ever adds a sign that an instance is leaving. That it names an instance as live
//! proves nothing, and that it does not name one may be its lag.

use wire::id::{EndpointId, IncarnationNumber};

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It exists.
    Live,
    /// It is about to be stopped.
    Leaving,
}

/// One line of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The endpoint that the instance runs.
    pub endpoint: EndpointId,
    /// Life of its agent, when the list tells it.
    pub incarnation: Option<IncarnationNumber>,
    /// What the platform says.
    pub state: ListState,
}
