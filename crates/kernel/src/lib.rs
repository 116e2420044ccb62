//! Service lifecycle of a process: services are registered by name, started in order, and drained
//! and stopped in reverse order.
//!
//! * [`body`]: collection of the bodies of HTTP requests within the byte budget.
//! * [`http`]: socket options and limits of HTTP connections.
//! * [`limits`]: what the system lets this process use.
//! * [`kernel`]: the service registry, with lookup of handles by name.
//! * [`service`]: the lifecycle of one service, as an actix actor.
//! * [`program`]: program start-up: command line, settings file, logging.
//! * [`process`]: the main loop of a process, from start to shutdown.

pub mod body;
pub mod http;
pub mod kernel;
pub mod limits;
pub mod process;
pub mod program;
pub mod service;

pub use kernel::{KernelError, Result, ServiceKernel};
pub use service::{ServiceSignal, TaskFuture, TaskService};
