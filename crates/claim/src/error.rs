//! What `verify` reports.

use derive_more::{Display, Error};

/// A broken invariant of a state machine.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("broken invariant: {reason}")]
pub struct InvariantFault {
    /// Which one.
    pub reason: String,
}

/// Result of checking the invariants.
pub type Result<T> = std::result::Result<T, InvariantFault>;

/// Fails with `reason` unless `holds`.
pub(crate) fn ensure(holds: bool, reason: &str) -> Result<()> {
    if holds {
        return Ok(());
    }
    Err(InvariantFault {
        reason: reason.to_owned(),
    })
}
