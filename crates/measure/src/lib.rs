//! The parts of `sapphire-measure` that its tests drive as well.
//!
//! * [`faults`]: stateful fuzzing of the outcome machines against an oracle.

pub mod faults;
