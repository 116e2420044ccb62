//! The parts of `sapphire-measure` that integration tests also call.
//!
//! * [`faults`]: stateful fuzzing of the claim, attempt and answer state machines against an
//!   oracle.
//! * [`limit`]: how a fleet obeys what endpoints state about themselves.
//! * [`overload`]: results of calls while the offered load exceeds the capacity of the engines.
//! * [`poison`]: retries of a request that crashes each endpoint that runs it.

pub mod faults;
pub mod limit;
pub mod overload;
pub mod poison;
