//! The control program: replicated settings, claims, fences and membership digests.
//!
//! * [`state`]: the deterministic state machine behind the replicated log.
//! * [`node`]: what the parts of a control instance share; the one way to propose a command.
//! * [`server`]: connections from entries and agents.
//! * [`operator`]: the operators' HTTP interface.

pub mod node;
pub mod operator;
pub mod server;
pub mod state;
