//! What endpoints state about themselves in the heads of their answers, and when calls may be sent
//! to them. Shared by the paths through gateways and through agents.
//!
//! * [`statement`]: the reading of a head.
//! * [`cold`]: whether an endpoint is cold after a start of its process.
//! * [`limit`]: the latest of an endpoint's statements on its limit.
//! * [`room`]: whether calls may be sent to an endpoint.
//! * [`bucket`]: bucket of tokens that fills at a rate.
//! * [`rest`]: the time of rest that an endpoint has asked for.

pub mod bucket;
pub mod cold;
pub mod limit;
pub mod rest;
pub mod room;
pub mod statement;
