//! Inputs and outputs of the admission state machine.

use std::time::{Duration, Instant};

use fault::Fault;
use settings::LoadLimits;
use wire::answer::{AttemptKey, PriorityClass};
use wire::id::AccountId;

/// Admission limits of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmitSettings {
    /// Number of requests that the endpoint runs concurrently; the setting `places`.
    pub slots: u32,
    /// Relative capacity, at least 1.
    pub weight: u32,
    /// Load limits as multiples of the service's mean load.
    pub limits: LoadLimits,
    /// Number of requests that may wait while all slots are occupied.
    pub queue_limit: u32,
    /// Number of refusals after which a request is limited by the hard bound instead of the aim.
    pub soft_hops: u8,
    /// Time from the start of serving to the first admission. In this time the other agents learn
    /// of the new endpoint, which lowers the mean.
    pub join_delay: Duration,
}

impl Default for AdmitSettings {
    fn default() -> Self {
        Self {
            slots: 32,
            weight: 1,
            limits: LoadLimits::default(),
            queue_limit: 256,
            soft_hops: 2,
            join_delay: Duration::from_millis(400),
        }
    }
}

/// An attempt offered for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmitRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// Client account that the request is charged to.
    pub account: AccountId,
    /// Priority class.
    pub class: PriorityClass,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: Instant,
    /// Number of agents that have refused the request so far.
    pub hops: u8,
    /// Whether the endpoint's cache is estimated to hold most of the prompt, according to
    /// [`WarmSet::match_depth`](crate::WarmSet::match_depth).
    pub is_warm: bool,
    /// Weight of the account in the fair queue, at least 1.
    pub share: u32,
    /// Requests that the account may start per second over the whole service; 0 is unlimited.
    pub rate_per_second: f64,
    /// Limit of the account's running requests at this endpoint, and once that is reached, also of
    /// its waiting ones; 0 is unlimited.
    pub concurrency: u32,
}

/// What the agent must do. Each offered attempt gets exactly one `Start` or one `Refuse`, unless it
/// is cancelled while it waits.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmitAction {
    /// The attempt was admitted and waits in the queue.
    Queue(AttemptKey),
    /// Run the attempt now.
    Start(AttemptKey),
    /// Refuse the attempt, which has not run and never will.
    Refuse {
        /// The attempt.
        key: AttemptKey,
        /// Reason for the refusal.
        fault: Fault,
    },
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The attempt was waiting and is removed; it has not run and never will.
    NotRun,
    /// The attempt is running; the agent must stop it and call `finish`.
    Running,
    /// The attempt is neither waiting nor running.
    Unknown,
}
