//! The control program: replicated settings, claims, fences and membership digests.
//!
//! * [`state`]: the deterministic state machine behind the replicated log.
//! * [`members`]: who is there, as this instance knows it, and who is told.
//! * [`node`]: what the parts of a control instance share.
//! * [`platform`]: the platform's list of instances.
//! * [`quorum`]: consensus with the other control instances.
//! * [`propose`]: the one way to propose a command.
//! * [`disk`]: the thread that writes the data folder.
//! * [`summary`]: the control quorum as operators see it.
//! * [`server`]: connections from entries and agents.
//! * [`operator`]: the operators' HTTP interface.
//! * [`gauges`]: the metrics, brought up to date when they are read.
//! * [`operator_handler`]: answers operators' requests on the node's thread.
//! * [`operator_status`]: what this instance tells operators about the fleet.

pub mod disk;
pub mod gauges;
pub mod members;
pub mod node;
pub mod operator;
pub mod operator_handler;
pub mod operator_status;
pub mod platform;
pub mod propose;
pub mod quorum;
pub mod server;
pub mod state;
pub mod summary;
