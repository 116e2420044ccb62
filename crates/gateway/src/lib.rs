//! The gateway: takes calls on routes, and shares catalog, list and load with the other gateways.
//!
//! Decisions, without any input or output:
//!
//! * [`directory`]: the gateways that were heard.
//! * [`founding`]: whether a gateway may found the first log.
//! * [`list_readings`]: readings of the list: who reads, and what is in force.
//!
//! Input and output:
//!
//! * [`node`]: what the services of one gateway share.
//! * [`datagrams`]: heartbeats, parts of the list and small messages of the consensus.
//! * [`peer_requests`]: questions among gateways over links.
//! * [`heartbeat`]: the gateway's heartbeat.
//! * [`catalog_codec`]: catalogs as they are stored and sent.
//! * [`endpoint_list`]: reading the platform's list.
//! * [`quorum`]: the gateway's member of the quorum.
//! * [`catalog_sync`]: replacing and reading the catalog, from any gateway.
//! * [`http`]: operators and readiness.
//! * [`status`]: what this gateway knows, for operators.
//! * [`reload`]: settings that changed.

pub mod catalog_codec;
pub mod catalog_sync;
pub mod datagrams;
pub mod directory;
pub mod endpoint_list;
pub mod founding;
pub mod heartbeat;
pub mod http;
pub mod list_readings;
pub mod node;
pub mod peer_requests;
pub mod quorum;
pub mod reload;
pub mod status;
