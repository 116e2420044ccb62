//! Fake engines, plain services and platform list for tests and the quickstart.
//!
//! * [`caller`]: asynchronous HTTP client of an entry.
//! * [`engine`]: fake model engine with a prefix cache and a configurable token rate.
//! * [`fleet`]: fleet of real processes for tests.
//! * [`plain`]: fake plain service that counts its orders.
//! * [`platform`]: fake platform API that serves the list of instances.
//! * [`tour`]: the steps of the quickstart's tour.

pub mod caller;
pub mod engine;
pub mod fleet;
pub mod plain;
pub mod platform;
mod request_id;
pub mod tour;
