//! Logs, metrics, decision records and the status page.
//!
//! * [`logging`]: sets up `log` by logforth, as text or JSON.
//! * [`output`]: log lines on standard output that never block.
//! * [`record`]: why one request went where it went, as seen by an entry or an agent.
//! * [`ring`]: the bounded store of records and notices of one instance.
//! * [`filter`]: which records a reader follows.
//! * [`explain`]: the readable account of one request.
//! * [`label`]: the bound on the label values of metrics.
//! * [`entry`], [`agent`], [`control`], [`gateway`]: the metrics of each program.
//! * [`process`]: the metrics that every program has.
//! * [`traffic`]: bytes between the processes by kind of message.
//! * [`usage`]: processor time and memory of this process.
//! * [`exposition`]: metrics as Prometheus text.
//! * [`role`]: what an instance does.
//! * [`status`], [`gateway_status`]: what the status shows, as data.
//! * [`page`]: the status page as HTML.

pub mod agent;
pub mod control;
pub mod entry;
pub mod explain;
pub mod exposition;
pub mod filter;
pub mod gateway;
pub mod gateway_status;
pub mod label;
pub mod logging;
mod metric;
mod millis;
pub mod output;
pub mod page;
pub mod process;
pub mod record;
pub mod ring;
pub mod role;
pub mod status;
pub mod traffic;
pub mod usage;

pub use agent::AgentMetrics;
pub use control::ControlMetrics;
pub use entry::EntryMetrics;
pub use exposition::TEXT_CONTENT_TYPE;
pub use filter::RecordFilter;
pub use gateway::{CallSample, GatewayMetrics};
pub use logging::LogSettings;
pub use metric::{MetricError, Result};
pub use process::ProcessMetrics;
pub use record::DecisionRecord;
pub use ring::{DecisionRing, RingSettings};
pub use role::InstanceRole;
pub use status::FleetStatus;
