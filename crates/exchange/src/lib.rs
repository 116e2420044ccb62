//! HTTP exchanges with endpoints, for gateways and agents alike.
//!
//! * [`connection`]: one connection to an endpoint, and how its answers state their end.
//! * [`pool`]: idle connections.
//! * [`events`]: splitting of an event stream into whole events.

pub mod connection;
pub mod events;
pub mod pool;
