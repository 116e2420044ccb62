//! The gateway: takes calls on routes, and shares catalog, list and load with the other gateways.
//!
//! Decisions, without any input or output:
//!
//! * [`directory`]: the gateways that were heard.
//! * [`founding`]: whether a gateway may found the first log.
//! * [`readings`]: readings of the list: who reads, and what is in force.
//!
//! Input and output:
//!
//! * [`node`]: what the services of one gateway share.
//! * [`datagrams`]: heartbeats, parts of the list and small messages of the consensus.
//! * [`asks`]: questions among gateways over links.
//! * [`beats`]: the gateway's heartbeat.
//! * [`packing`]: catalogs as they are stored and sent.
//! * [`list`]: reading the platform's list.
//! * [`quorum`]: the gateway's member of the quorum.
//! * [`changes`]: replacing and reading the catalog, from any gateway.
//! * [`http`]: operators and readiness.
//! * [`status`]: what this gateway knows, for operators.
//! * [`reload`]: settings that changed.

pub mod asks;
pub mod beats;
pub mod changes;
pub mod datagrams;
pub mod directory;
pub mod founding;
pub mod http;
pub mod list;
pub mod node;
pub mod packing;
pub mod quorum;
pub mod readings;
pub mod reload;
pub mod status;
