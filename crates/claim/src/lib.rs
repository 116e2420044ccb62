//! At-most-once execution and whole answers, as pure state machines.
//!
//! Time and messages come in, verdicts go out; nothing here waits, sends or reads a clock.
//!
//! * [`claims`]: control's replicated record of non-idempotent requests.
//! * [`record`]: one claimed request and the bounds of the table that keeps it.
//! * [`ledger`]: entry: what may still be done, and said, about one request.
//! * [`attempts`]: agent: which attempts were submitted, may run, or never will.
//! * [`replay`]: agent: the part of an answer that the entry has not acknowledged.
//! * [`assembly`]: entry: puts an answer together from its frames.
//! * [`suspects`]: control's replicated record of requests that may crash endpoints.
//! * [`gate`]: agent: which requests run, run alone, or are refused as quarantined.
//! * [`error`]: what `verify` reports.

pub mod assembly;
pub mod attempts;
pub mod claims;
pub mod error;
pub mod gate;
pub mod ledger;
pub mod record;
pub mod replay;
pub mod suspects;

pub use assembly::{AnswerAssembly, AssemblyVerdict};
pub use attempts::{AttemptLimits, AttemptTable, CancelVerdict, ResumeVerdict, SubmitVerdict};
pub use claims::ClaimTable;
pub use error::{InvariantFault, Result};
pub use gate::{GateVerdict, SuspectGate};
pub use ledger::CallLedger;
pub use record::{ClaimLimits, ClaimRecord, ClaimState};
pub use replay::{ReplayBuffer, ResumeFault};
pub use suspects::{SuspectLimits, SuspectRow, SuspectStage, SuspectTable};
