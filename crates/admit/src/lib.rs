//! Admission control for one endpoint: load bound, fair queue, deadlines, drain.
//!
//! * [`queue`]: the admission state machine, which the agent drives with synchronous calls.
//! * [`request`]: inputs and outputs of the state machine.
//! * [`fair_queue`]: weighted fair queueing of client accounts within priority classes.
//! * [`mean`]: estimate of the service's mean load as seen by one endpoint.
//! * [`warm`]: estimate of the prompt prefixes in the endpoint's cache.
//! * [`start_pace`]: when the endpoint takes the next request, by what it states about itself.
//! * [`account`]: usage and limits of client accounts at one endpoint.
//!
//! Nothing here reads a clock; the caller passes the current time to each call.

pub mod account;
pub mod fair_queue;
pub mod mean;
pub mod queue;
pub mod request;
pub mod start_pace;
pub mod warm;

pub use queue::AdmitQueue;
pub use request::{AdmitAction, AdmitRequest, AdmitSettings, CancelOutcome};
pub use warm::WarmSet;
