//! The control program: replicated settings, claims, fences and membership digests.
//!
//! * [`state`]: the deterministic state machine behind the replicated log.
//! * [`members`]: who is there, as this instance knows it, and who is told.
//! * [`node`]: what the parts of a control instance share.
//! * [`quorum`]: consensus with the other control instances; the one way to propose a command.
//! * [`disk`]: the thread that writes the data folder.
//! * [`summary`]: the control quorum as operators see it.
//! * [`server`]: connections from entries and agents.
//! * [`operator`]: the operators' HTTP interface.

pub mod disk;
pub mod members;
pub mod node;
pub mod operator;
pub mod quorum;
pub mod server;
pub mod state;
pub mod summary;
