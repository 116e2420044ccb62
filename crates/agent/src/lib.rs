//! The agent program: authority for one endpoint.
//!
//! * [`core`]: what the parts of the agent share.
//! * [`control`]: connections to the control instances.
//! * [`server`]: connections from entries.
//! * [`admission`]: from a submitted attempt to its start or refusal.
//! * [`session`]: the answer of one attempt on its way to the entry.
//! * [`run`]: one attempt at the endpoint.
//! * [`body`]: whether the body of an answer has come to its end.
//! * [`endpoint`]: the endpoint itself: calls, health, crashes.
//! * [`orders`]: fenced orders to the endpoint.
//! * [`report`]: what an attempt leaves behind: claim, decision record, metrics.
//! * [`http`]: health, metrics and decisions.

pub mod admission;
pub mod body;
pub mod control;
pub mod core;
pub mod endpoint;
pub mod http;
pub mod orders;
pub mod report;
pub mod run;
pub mod server;
pub mod session;
