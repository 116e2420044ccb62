//! Commands to the control quorum, and its replies.

use std::time::Duration;

use bytes::Bytes;
use fault::{Fault, RunOutcome};
use serde::{Deserialize, Serialize};

use crate::answer::{AttemptKey, HeaderField};
use crate::id::{AccountId, EndpointId, FenceNumber, FingerprintHash, SettingsVersion};

/// Sets or removes one value of the settings tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingEdit {
    /// Dotted path, for example `services.redaction.load_bound`.
    pub path: String,
    /// TOML literal of the new value; `None` removes the table or value at the path.
    pub value: Option<String>,
}

/// An operator's change of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Chosen by the operator's client; a resend of the same change has the same id.
    pub change_id: String,
    /// Version that the change is based on.
    pub base: SettingsVersion,
    /// Name of the operator.
    pub operator: String,
    /// Edits, applied atomically.
    pub edits: Vec<SettingEdit>,
}

/// Identifies a non-idempotent request across resends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub key: String,
}

/// Requests the right to execute a non-idempotent request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key that is claimed.
    pub claim: ClaimKey,
    /// Hash of the request; another request with the same key is a conflict.
    pub fingerprint: FingerprintHash,
    /// The only attempt that may run.
    pub attempt: AttemptKey,
    /// The only endpoint that may run it.
    pub endpoint: EndpointId,
    /// How long the claim is kept after it has finished.
    pub retention: Duration,
}

/// The recorded answer of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status of the endpoint.
    pub status: u16,
    /// Headers of the endpoint.
    pub headers: Vec<HeaderField>,
    /// Body, when it is small enough to keep.
    pub body: Option<Bytes>,
}

/// A deterministic command of the control state machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Changes the settings.
    ChangeSettings(SettingsChange),
    /// Claims a non-idempotent request.
    ClaimRequest(ClaimRequest),
    /// Records the outcome of a claimed request. `NotRun` releases the claim.
    FinishClaim {
        /// The claim.
        claim: ClaimKey,
        /// The attempt that held it.
        attempt: AttemptKey,
        /// The outcome.
        outcome: RunOutcome,
        /// The answer, when it ran.
        answer: Option<RecordedAnswer>,
    },
    /// Acquires a new fencing token for orders to an endpoint.
    TakeFence {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Reports the requests that were running when an endpoint crashed.
    ReportCrash {
        /// The endpoint.
        endpoint: EndpointId,
        /// Epoch of the endpoint's prefix cache that the crash ended; a resend of the report has
        /// the same epoch.
        cache_epoch: u64,
        /// Requests that were running.
        suspects: Vec<FingerprintHash>,
    },
    /// Reports that a suspected request completed without a crash.
    ClearSuspect {
        /// The suspect.
        fingerprint: FingerprintHash,
    },
    /// Lifts a quarantine.
    LiftQuarantine {
        /// The request.
        fingerprint: FingerprintHash,
    },
    /// Requests a permit to run a suspected request alone on an endpoint. One attempt at a time
    /// holds it.
    TrySuspect {
        /// The suspect.
        fingerprint: FingerprintHash,
        /// The endpoint that would run it.
        endpoint: EndpointId,
        /// The only attempt for which the permit is valid.
        attempt: AttemptKey,
    },
    /// Returns the permit of an attempt that was refused or stopped.
    DropTrial {
        /// The suspect.
        fingerprint: FingerprintHash,
        /// The attempt that held the permit.
        attempt: AttemptKey,
    },
    /// Reports that an endpoint's agent has restarted: the outcome of claims that earlier
    /// incarnations held is unknown.
    AbandonClaims {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// A command with the time at which the leader accepted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Wall clock time of the leader since the Unix epoch. Never decreases along the log.
    pub time: Duration,
    /// The command.
    pub command: ControlCommand,
}

/// Reply of the control state machine to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The settings change is accepted as this version.
    SettingsAccepted(SettingsVersion),
    /// The claim is granted; the request may run.
    ClaimGranted,
    /// The claimed request has already run; this is its answer.
    ClaimAnswered(RecordedAnswer),
    /// The outcome of the claim is recorded.
    ClaimFinished,
    /// The new fencing token.
    FenceTaken(FenceNumber),
    /// The report is recorded.
    Recorded,
    /// The command is refused and has changed nothing.
    Refused(Fault),
}
