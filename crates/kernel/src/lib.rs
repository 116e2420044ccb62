//! Micro-kernel: services registered by name, started in order, drained in reverse.
//!
//! A service is an actix actor that handles [`ServiceSignal`]. Services find each other by name
//! through [`ServiceKernel::find`]. A service that fails to start stops the process.

pub mod kernel;
pub mod signal;

pub use kernel::{KernelError, Result, ServiceKernel};
pub use signal::ServiceSignal;
