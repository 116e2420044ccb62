//! At-most-once execution and complete answers, as pure state machines.
//!
//! Their inputs are messages and times, their outputs are verdicts and messages. They do no I/O,
//! never block and read no clock.
//!
//! * [`claims`]: control's replicated record of non-idempotent requests.
//! * [`record`]: one claimed request and the bounds of the claim table.
//! * [`ledger`]: entry: outcomes of one request's attempts, and whether it may be sent again.
//! * [`attempts`]: agent: states of the submitted attempts.
//! * [`replay`]: agent: the part of an answer that the entry has not acknowledged.
//! * [`assembly`]: entry: reassembles an answer from its frames.
//! * [`suspects`]: control's replicated record of requests that may crash endpoints.
//! * [`gate`]: agent: which requests run, run alone, or are refused as quarantined.
//! * [`error`]: violated invariants, as the `verify` methods report them.

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
