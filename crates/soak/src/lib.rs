//! A randomized soak of real gateways under faults from outside.
//!
//! Gateways run as separate processes on loopback, before stand-ins for endpoints, the list, callers
//! and operators. A seeded plan injects faults, one after the other and on top of each other; the
//! promises of the product are checked from what callers and endpoints see.
//!
//! * [`run`]: one run from start to verdict.
//! * [`plan`]: the seeded series of faults.
//! * [`fleet`]: the gateways, their settings and signals.
//! * [`endpoint`]: stand-in endpoints.
//! * [`list`]: the stand-in list of endpoints.
//! * [`caller`]: callers, who keep their connections until the gateway is gone.
//! * [`operator`]: an operator who changes and reads the catalog.
//! * [`history`]: what was seen, and the promises that it breaks.
//! * [`http`]: just enough of HTTP for the stand-ins.

pub mod caller;
pub mod endpoint;
pub mod fleet;
pub mod history;
pub mod http;
pub mod list;
pub mod operator;
pub mod plan;
pub mod run;
