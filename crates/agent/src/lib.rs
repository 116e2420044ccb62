//! The agent program: authority for one endpoint.
//!
//! * [`state`]: what the parts of the agent share.
//! * [`control`]: the connection to the control quorum.
//! * [`server`]: connections from entries.
//! * [`run`]: one attempt at the endpoint.
//! * [`http`]: health, metrics and decisions.

pub mod control;
pub mod http;
pub mod run;
pub mod server;
pub mod state;
