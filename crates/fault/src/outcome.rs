//! Whether a request was executed.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What is known about the execution of a request.
///
/// `NotRun` is a guarantee: the attempt has not run and never will. Only the process that would
/// have run it, or one that never sent it, may report it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The endpoint executed the request.
    #[display("ran")]
    Ran,
    /// The endpoint has not executed the request and never will.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have been executed.
    #[display("unknown")]
    Unknown,
}
