//! Randomized soak test of real gateways with fault injection.
//!
//! Gateways run as separate processes on loopback, with stand-ins for endpoints, the endpoint list,
//! callers and operators. Faults are injected by a seeded plan, and may overlap. The guarantees of
//! the gateway are checked against what callers, endpoints and operators observe.
//!
//! * `statements`: what endpoints state about themselves.
//! * [`run`]: one run, from the start of the fleet to the check of its history.
//! * [`plan`]: the seeded sequence of faults.
//! * [`fleet`]: the gateway processes, their settings and signals.
//! * [`endpoint`]: stand-in endpoints.
//! * [`list`]: the stand-in endpoint list of the platform.
//! * [`call`]: requests of callers.
//! * [`caller`]: callers that reuse their connections.
//! * [`returns`]: callers that resume a stream at another gateway.
//! * [`poison`]: a caller whose request crashes endpoints.
//! * [`crashes`]: crashes and restarts of endpoints.
//! * [`hostile`]: clients that hold memory and connections of a gateway.
//! * [`operator`]: operators that replace and read the catalog.
//! * [`history`]: the observed calls and changes, and the guarantees that they violate.
//! * [`http`]: minimal HTTP/1.1 client and server for the stand-ins.

pub mod call;
pub mod caller;
pub mod crashes;
pub mod endpoint;
pub mod fleet;
pub mod history;
pub mod hostile;
pub mod http;
pub mod list;
pub mod operator;
pub mod plan;
pub mod poison;
pub mod returns;
pub mod run;
mod statements;
