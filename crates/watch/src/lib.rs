//! Logs, metrics, decision records and the status page.
//!
//! * [`logging`]: sets up `log` by logforth, as text or JSON.
//! * [`label`]: the bound on the label values of metrics.
//! * [`entry`], [`agent`], [`control`]: the metrics of each program.
//! * [`process`]: the metrics that every program has.
//! * [`traffic`]: bytes between the processes by kind of message.
//! * [`usage`]: processor time and memory of this process.
//! * [`exposition`]: metrics as Prometheus text.
//! * [`role`]: what an instance does.

pub mod agent;
pub mod control;
pub mod entry;
pub mod exposition;
pub mod label;
pub mod logging;
mod metric;
pub mod process;
pub mod role;
pub mod traffic;
pub mod usage;

pub use agent::AgentMetrics;
pub use control::ControlMetrics;
pub use entry::EntryMetrics;
pub use exposition::TEXT_CONTENT_TYPE;
pub use logging::LogSettings;
pub use metric::{MetricError, Result};
pub use process::ProcessMetrics;
pub use role::InstanceRole;
