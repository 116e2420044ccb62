//! The error kinds that callers and operators can see.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::answer::FaultAnswer;
use crate::outcome::RunOutcome;

/// One kind of error. The text form is the `kind` field of the JSON error body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FaultKind {
    /// The request carries no account key.
    #[display("missing-key")]
    MissingKey,
    /// The account key belongs to no client account.
    #[display("unknown-key")]
    UnknownKey,
    /// The client account or the operator lacks the permission.
    #[display("forbidden")]
    Forbidden,
    /// No service has this name.
    #[display("unknown-service")]
    UnknownService,
    /// No service serves this model.
    #[display("unknown-model")]
    UnknownModel,
    /// The request cannot be understood.
    #[display("malformed-request")]
    MalformedRequest,
    /// The body exceeds the accepted size.
    #[display("oversized-body")]
    OversizedBody,
    /// The caller sent its request, or read its answer, too slowly.
    #[display("slow-caller")]
    SlowCaller,
    /// The client account exceeded its request rate.
    #[display("rate-limited")]
    RateLimited,
    /// The client account has too many requests in flight.
    #[display("concurrency-limited")]
    ConcurrencyLimited,
    /// Admitting the request would exceed the load bound or the queue.
    #[display("overloaded")]
    Overloaded,
    /// The endpoint or the entry is draining and accepts no new requests.
    #[display("draining")]
    Draining,
    /// No endpoint can serve the request now.
    #[display("no-endpoint")]
    NoEndpoint,
    /// The deadline passed, or cannot be met, before the request started.
    #[display("deadline-unmet")]
    DeadlineUnmet,
    /// The deadline passed while the request was running.
    #[display("deadline-passed")]
    DeadlinePassed,
    /// The caller cancelled the request before it started.
    #[display("cancelled")]
    Cancelled,
    /// No control quorum answers.
    #[display("control-unreachable")]
    ControlUnreachable,
    /// The idempotency key was used with another request body.
    #[display("key-conflict")]
    KeyConflict,
    /// The request with this idempotency key is still running.
    #[display("still-running")]
    StillRunning,
    /// The first attempt with this idempotency key has an unknown outcome; the request is never
    /// executed again.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The retention period of the idempotency key has passed.
    #[display("key-expired")]
    KeyExpired,
    /// The request is quarantined because it crashed endpoints.
    #[display("quarantined")]
    Quarantined,
    /// The request is held back because endpoints failed while they ran it.
    #[display("suspected")]
    Suspected,
    /// The endpoint failed while the request was running.
    #[display("endpoint-failed")]
    EndpointFailed,
    /// The connection to the endpoint or to its agent was lost while the request was running.
    #[display("connection-lost")]
    ConnectionLost,
    /// The settings of this instance are older than its settings lease allows.
    #[display("settings-stale")]
    SettingsStale,
    /// The settings changed since the version that the change was based on.
    #[display("version-conflict")]
    VersionConflict,
    /// The settings fail validation.
    #[display("invalid-settings")]
    InvalidSettings,
    /// The order carries an outdated fencing token.
    #[display("fenced")]
    Fenced,
    /// The durable store is full.
    #[display("store-full")]
    StoreFull,
    /// An internal error of the system.
    #[display("internal")]
    Internal,
    /// It is not known which software version began the stream that the request resumes, or the
    /// route does not lead there any more.
    #[display("origin-unknown")]
    OriginUnknown,
    /// The head of the request exceeds the accepted size or number of fields.
    #[display("oversized-head")]
    OversizedHead,
    /// An operator's change was proposed, but no quorum confirmed it in time. It may still be committed.
    #[display("change-unconfirmed")]
    ChangeUnconfirmed,
}

impl FaultKind {
    /// Every kind, in declaration order.
    pub const ALL: [Self; 34] = [
        Self::MissingKey,
        Self::UnknownKey,
        Self::Forbidden,
        Self::UnknownService,
        Self::UnknownModel,
        Self::MalformedRequest,
        Self::OversizedBody,
        Self::SlowCaller,
        Self::RateLimited,
        Self::ConcurrencyLimited,
        Self::Overloaded,
        Self::Draining,
        Self::NoEndpoint,
        Self::DeadlineUnmet,
        Self::DeadlinePassed,
        Self::Cancelled,
        Self::ControlUnreachable,
        Self::KeyConflict,
        Self::StillRunning,
        Self::OutcomeUnknown,
        Self::KeyExpired,
        Self::Quarantined,
        Self::Suspected,
        Self::EndpointFailed,
        Self::ConnectionLost,
        Self::SettingsStale,
        Self::VersionConflict,
        Self::InvalidSettings,
        Self::Fenced,
        Self::StoreFull,
        Self::Internal,
        Self::OriginUnknown,
        Self::OversizedHead,
        Self::ChangeUnconfirmed,
    ];

    /// Returns how this kind is reported: HTTP status, outcome, retry delay and log level.
    pub fn answer(self) -> FaultAnswer {
        FaultAnswer::of(self)
    }

    /// Builds a fault of this kind with the kind's default retry delay.
    pub fn because(self, message: impl Into<String>) -> Fault {
        Fault {
            kind: self,
            message: message.into(),
            retry_after: None,
        }
    }
}

/// An error that is reported to a caller or an operator.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[display("{kind}: {message}")]
pub struct Fault {
    /// The kind, which determines how the error is reported.
    pub kind: FaultKind,
    /// One sentence for the reader. Must not contain keys or request bodies.
    pub message: String,
    /// Delay after which a retry may succeed; overrides the kind's default.
    pub retry_after: Option<Duration>,
}

impl Fault {
    /// Overrides the kind's default retry delay.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Returns the outcome that this fault reports to the caller.
    pub fn outcome(&self) -> RunOutcome {
        self.kind.answer().outcome
    }
}
