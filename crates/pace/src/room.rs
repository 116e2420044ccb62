//! Whether calls may be sent to an endpoint.

use std::time::Duration;

/// Whether calls may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointRoom {
    /// They may.
    Open,
    /// They may once a token was asked for.
    Ask,
    /// None may be sent before this time.
    Closed {
        /// The time.
        until: Duration,
    },
}
