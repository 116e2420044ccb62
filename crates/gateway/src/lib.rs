//! The gateway: relays calls to the endpoints of a route's services, and shares the catalog, the
//! endpoint list and the load with the other gateways.
//!
//! Decisions, without I/O:
//!
//! * [`bootstrap`]: whether a gateway may bootstrap the cluster of the quorum at the first start.
//! * [`evacuation`]: the evacuated failure domains in the replicated log, and operators' orders.
//! * [`evacuation_spread`]: which evacuations a gateway obeys, and whom it tells.
//! * [`directory`]: the other gateways that this one knows of, and which of them are live.
//! * [`list_readings`]: which gateway reads the endpoint list, and the active list.
//!
//! I/O:
//!
//! * [`node`]: state shared by the services of one gateway.
//! * [`datagrams`]: heartbeats, notices of the endpoint list and small consensus messages.
//! * [`account_notices`]: notices of the calls by client account, while a service is short of slots.
//! * [`crash_notices`]: notices of crashes of endpoints.
//! * [`peers`]: messages of the relay to the other gateways.
//! * [`peer_requests`]: requests and replies between gateways, over links.
//! * [`heartbeat`]: sending heartbeats, and what is updated with each.
//! * [`catalog_codec`]: catalogs in the compressed form in which they are stored and sent.
//! * [`endpoint_list`]: reading the platform's endpoint list and publishing it to other gateways.
//! * [`quorum`]: this gateway's member of the replicated log.
//! * [`catalog_sync`]: replacing and reading the catalog through any gateway.
//! * [`evacuation_sync`]: evacuating a failure domain through any gateway, and obeying it at all.
//! * [`http`]: HTTP server for operators, readiness checks and metrics.
//! * [`process_file`]: processes of endpoints whose version is known, kept over restarts of all gateways.
//! * [`suspect_file`]: what is known of crash suspects, kept over restarts of all gateways.
//! * [`status`]: status report for operators.
//! * [`reload`]: reloading of the settings file.

pub mod account_notices;
pub mod bootstrap;
pub mod catalog_codec;
pub mod catalog_sync;
pub mod crash_notices;
mod data_file;
pub mod datagrams;
pub mod directory;
pub mod endpoint_list;
pub mod evacuation;
pub mod evacuation_spread;
pub mod evacuation_sync;
pub mod heartbeat;
pub mod http;
pub mod list_readings;
pub mod node;
pub mod origin_file;
pub mod peer_requests;
pub mod peers;
pub mod process_file;
pub mod quorum;
pub mod reload;
pub mod status;
pub mod suspect_file;
pub mod version_record;
