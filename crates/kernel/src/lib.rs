//! Micro-kernel: services registered by name, started in order, drained in reverse.
//!
//! * [`http`]: options of HTTP connections.
//! * [`kernel`]: the registry, in which services find each other's handles by name.
//! * [`service`]: the life of one service, as an actix actor.
//! * [`program`]: the start of a program: arguments, settings file, logs.
//! * [`process`]: the life of a process, from its start to SIGTERM.

pub mod http;
pub mod kernel;
pub mod process;
pub mod program;
pub mod service;

pub use kernel::{KernelError, Result, ServiceKernel};
pub use service::{ServiceSignal, TaskFuture, TaskService};
