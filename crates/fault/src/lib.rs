//! The closed list of error kinds and the table from kind to answer.
//!
//! * [`kind`]: every error that a caller or an operator can see.
//! * [`answer`]: what each kind means outside: HTTP status, outcome, log level.
//! * [`outcome`]: whether the work of a request took place.

pub mod answer;
pub mod kind;
pub mod outcome;

pub use answer::FaultAnswer;
pub use kind::{Fault, FaultKind};
pub use outcome::RunOutcome;

/// Result of the operations whose failure reaches a caller or an operator.
pub type Result<T> = std::result::Result<T, Fault>;
