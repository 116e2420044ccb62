//! The closed list of error kinds, and how each is reported.
//!
//! * [`kind`]: the error kinds that callers and operators can see.
//! * [`answer`]: HTTP status, outcome, retry delay and log level of each kind.
//! * [`outcome`]: whether a request was executed.

pub mod answer;
pub mod kind;
pub mod outcome;

pub use answer::FaultAnswer;
pub use kind::{Fault, FaultKind};
pub use outcome::RunOutcome;

/// Result of operations whose failure is reported to a caller or an operator.
pub type Result<T> = std::result::Result<T, Fault>;
