//! What goes into the admission queue and what comes out.

use std::time::{Duration, Instant};

use fault::Fault;
use settings::LoadLimits;
use wire::answer::{AttemptKey, ClassKind};
use wire::id::AccountId;

/// Limits of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmitSettings {
    /// Requests that the endpoint runs at once.
    pub places: u32,
    /// Relative capacity, at least 1.
    pub weight: u32,
    /// Limits of load as multiples of the service's mean.
    pub limits: LoadLimits,
    /// Requests that may wait.
    pub queue_limit: u32,
    /// Refusals of a request after which it is judged by the hard bound instead of the aim.
    pub soft_hops: u8,
    /// Time from serving again to the first admission, in which the other agents learn that the
    /// mean falls.
    pub join_delay: Duration,
}

impl Default for AdmitSettings {
    fn default() -> Self {
        Self {
            places: 32,
            weight: 1,
            limits: LoadLimits::default(),
            queue_limit: 256,
            soft_hops: 2,
            join_delay: Duration::from_millis(400),
        }
    }
}

/// One attempt that asks for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmitRequest {
    /// The attempt.
    pub key: AttemptKey,
    /// Who pays.
    pub account: AccountId,
    /// Priority class.
    pub class: ClassKind,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Agents that refused the request before.
    pub hops: u8,
    /// Whether the endpoint's cache is believed to hold more of the prompt than others would, as
    /// [`WarmSet::match_depth`](crate::WarmSet::match_depth) tells.
    pub is_warm: bool,
    /// Share of the account in the fair queue, at least 1.
    pub share: u32,
    /// Requests that the account may start per second over the whole service; 0 is unlimited.
    pub rate_per_second: f64,
    /// Requests of the account that run here at once, and that may wait here; 0 is unlimited.
    pub concurrency: u32,
}

/// What the agent must do. Each offered attempt gets a `Start` or a `Refuse`, and never both,
/// unless it is cancelled.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmitAction {
    /// The attempt waits.
    Queue(AttemptKey),
    /// Run the attempt now.
    Start(AttemptKey),
    /// The attempt has not run and never will.
    Refuse {
        /// The attempt.
        key: AttemptKey,
        /// Why.
        fault: Fault,
    },
}

/// What a cancel met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The attempt was waiting; it has not run and never will.
    NotRun,
    /// The attempt is running; the agent must stop it and call `finish`.
    Running,
    /// The attempt is not here.
    Unknown,
}
