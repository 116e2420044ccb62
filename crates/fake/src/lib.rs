//! Stand-ins for engines, plain services and the platform list, for tests and the quickstart.
//!
//! * [`caller`]: a caller of the product.
//! * [`engine`]: a model engine with a prefix cache and paced tokens.
//! * [`fleet`]: a whole fleet of real processes, for tests.
//! * [`plain`]: a plain service that counts its orders.
//! * [`platform`]: the platform's list of instances.
//! * [`tour`]: the steps of the quickstart's tour.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod plain;
pub mod platform;
pub mod tour;
