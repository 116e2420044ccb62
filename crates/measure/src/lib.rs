//! The parts of `sapphire-measure` that its tests drive as well.
//!
//! * [`faults`]: stateful fuzzing of the outcome machines against an oracle.
//! * [`overload`]: how calls fare that are more than the engines can run.

pub mod faults;
pub mod overload;
