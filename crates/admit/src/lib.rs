//! Admission to one endpoint: load bound, fair queue, deadlines, drain.
//!
//! * [`queue`]: the state machine that an agent drives by plain calls.
//! * [`request`]: what goes in and what comes out.
//! * [`fair_queue`]: weighted fair queueing of client accounts within priority classes.
//! * [`mean`]: the service's mean load as it can be known at one endpoint.
//! * [`warm`]: which prefixes the endpoint's cache is believed to hold.
//! * [`account`]: use and limits of client accounts at one endpoint.
//!
//! Nothing here reads a clock; time comes in with each call.

pub mod account;
pub mod fair_queue;
pub mod mean;
pub mod queue;
pub mod request;
pub mod warm;

pub use queue::AdmitQueue;
pub use request::{AdmitAction, AdmitRequest, AdmitSettings, CancelOutcome};
pub use warm::WarmSet;
