//! The agent program, which admits and runs all requests of one endpoint.
//!
//! * [`core`]: state shared by the parts of the agent.
//! * [`control`]: connections to the control instances.
//! * [`server`]: connections from entries.
//! * [`admission`]: handling of an attempt from its submission to its start or refusal.
//! * [`session`]: transfer of one attempt's answer to the entry.
//! * [`run`]: execution of one attempt at the endpoint.
//! * [`body`]: detection of truncated answer bodies.
//! * [`client`]: HTTP calls to the endpoint.
//! * [`endpoint`]: health of the endpoint, and its crashes.
//! * [`orders`]: fenced orders to the endpoint.
//! * [`report`]: reports about ended attempts: claims, decision records, metrics.
//! * [`http`]: HTTP server for health, metrics and decision records.

pub mod admission;
pub mod body;
pub mod client;
pub mod control;
pub mod core;
pub mod endpoint;
pub mod http;
pub mod orders;
pub mod report;
pub mod run;
pub mod server;
pub mod session;
