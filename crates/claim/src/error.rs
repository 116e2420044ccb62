//! Violated invariants, as the `verify` methods report them.

use derive_more::{Display, Error};

/// A violated invariant of a state machine.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("broken invariant: {reason}")]
pub struct InvariantFault {
    /// The invariant, as a sentence that should hold.
    pub reason: String,
}

/// Result of checking invariants.
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
