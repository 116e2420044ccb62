//! Stand-ins for engines, plain services and the platform list, for tests and the quickstart.
//!
//! * [`engine`]: a model engine with a prefix cache and paced tokens.
//! * [`plain`]: a plain service that counts its orders.
//! * [`platform`]: the platform's list of instances.

pub mod engine;
pub mod plain;
pub mod platform;
