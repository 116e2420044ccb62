//! Logs, metrics, decision records and the status page.
//!
//! * [`logging`]: log set-up, as text or JSON.
//! * [`output`]: non-blocking log output to standard output.
//! * [`record`]: decision records: how an entry routed a request, or an agent admitted it.
//! * [`ring`]: the bounded in-memory store of records and notices of one instance.
//! * [`filter`]: filter for records and notices.
//! * [`explain`]: human-readable descriptions of decision records.
//! * [`label`]: limit on the number of distinct label values of a metric.
//! * [`entry`], [`agent`], [`control`], [`gateway`]: the metrics of each program.
//! * [`process`]: the metrics common to all programs.
//! * [`traffic`]: frames and bytes on links by kind of message.
//! * [`usage`]: processor time and memory of this process.
//! * [`exposition`]: metrics in the Prometheus text format.
//! * [`role`]: the role of an instance.
//! * [`status`], [`gateway_status`]: the data of the status pages and status commands.
//! * [`page`]: the HTML status page.

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
