//! The control program: replicated settings, claims, fences and membership digests.
//!
//! * [`state`]: the deterministic state machine behind the replicated log.
//! * [`members`]: entries and agents known to this instance, and the digests sent to them.
//! * [`node`]: state shared by the parts of a control instance.
//! * [`platform`]: the platform's list of instances.
//! * [`quorum`]: consensus with the other control instances.
//! * [`propose`]: proposal of commands, here or at the leader.
//! * [`disk`]: the thread that writes the data folder.
//! * [`summary`]: status of the control quorum for operators.
//! * [`server`]: connections from entries, agents and other control instances.
//! * [`operator`]: the operators' HTTP interface.
//! * [`gauges`]: the metrics, updated when they are scraped.
//! * [`operator_handler`]: answers operators' requests on the node's thread.
//! * [`operator_status`]: the answer to `GET /operator/status`.

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
