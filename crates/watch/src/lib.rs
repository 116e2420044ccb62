//! Logs, metrics, decision records and the status page.
//!
//! * [`logging`]: sets up `log` by logforth, as text or JSON.

pub mod logging;

pub use logging::LogSettings;
