//! Entries of the platform's instance list.
//!
//! The list lags behind the instances, so it is only used to learn that an instance is leaving. An
//! entry that reports an instance as live does not prove that it is, and an instance that is not
//! listed may be too new for the list.

use wire::id::{EndpointId, IncarnationNumber};

/// State of an instance as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// The instance exists.
    Live,
    /// The instance is about to be stopped.
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The endpoint that the instance runs.
    pub endpoint: EndpointId,
    /// Incarnation of its agent, if the list reports it.
    pub incarnation: Option<IncarnationNumber>,
    /// State that the platform reports.
    pub state: ListState,
}
