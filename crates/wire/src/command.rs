//! What goes through the control quorum.

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
    /// TOML literal of the new value; `None` removes the branch or value.
    pub value: Option<String>,
}

/// An operator's change of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Chosen by the operator's client; equal for a resend of the same change.
    pub change_id: String,
    /// Version that the operator saw.
    pub base: SettingsVersion,
    /// Name of the operator.
    pub operator: String,
    /// Edits, applied together or not at all.
    pub edits: Vec<SettingEdit>,
}

/// Names a non-idempotent request across resends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The client account.
    pub account: AccountId,
    /// The caller's idempotency key.
    pub key: String,
}

/// Asks for the right to run a non-idempotent request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What is claimed.
    pub claim: ClaimKey,
    /// The work; another one under the same key is a conflict.
    pub fingerprint: FingerprintHash,
    /// The one attempt that may run.
    pub attempt: AttemptKey,
    /// The one endpoint that may run it.
    pub endpoint: EndpointId,
    /// How long the claim is kept after it finished.
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
    /// Records how a claimed request ended. `NotRun` frees the claim.
    FinishClaim {
        /// The claim.
        claim: ClaimKey,
        /// The attempt that held it.
        attempt: AttemptKey,
        /// How it ended.
        outcome: RunOutcome,
        /// The answer, when it ran.
        answer: Option<RecordedAnswer>,
    },
    /// Takes a new fencing number for orders to an endpoint.
    TakeFence {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Reports the requests that were running when an endpoint crashed.
    ReportCrash {
        /// The endpoint.
        endpoint: EndpointId,
        /// Life of the endpoint's cache that ended; equal for a resend of the same report.
        cache_epoch: u64,
        /// What was running.
        suspects: Vec<FingerprintHash>,
    },
    /// Reports that a suspect completed without a crash.
    ClearSuspect {
        /// The suspect.
        fingerprint: FingerprintHash,
    },
    /// Lifts a quarantine.
    LiftQuarantine {
        /// The request.
        fingerprint: FingerprintHash,
    },
    /// Asks for the right to run a suspect, alone. One attempt at a time holds it.
    TrySuspect {
        /// The suspect.
        fingerprint: FingerprintHash,
        /// The endpoint that would run it.
        endpoint: EndpointId,
        /// The one attempt that the permit is for.
        attempt: AttemptKey,
    },
    /// Gives back the permit of an attempt that never started and never will.
    DropTrial {
        /// The suspect.
        fingerprint: FingerprintHash,
        /// The attempt that held the permit.
        attempt: AttemptKey,
    },
    /// Reports that a new life of an endpoint's agent began: what earlier lives held is unknown.
    AbandonClaims {
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// A command with the time at which the leader took it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Wall clock of the leader since the Unix epoch. Never runs backwards in the log.
    pub time: Duration,
    /// The command.
    pub command: ControlCommand,
}

/// What the control state machine answers to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The settings change is accepted as this version.
    SettingsAccepted(SettingsVersion),
    /// The claim is granted; the request may run.
    ClaimGranted,
    /// The claimed request ran before; this is its answer.
    ClaimAnswered(RecordedAnswer),
    /// The end of the claim is recorded.
    ClaimFinished,
    /// The fencing number.
    FenceTaken(FenceNumber),
    /// The report is recorded.
    Recorded,
    /// The command is refused and changed nothing.
    Refused(Fault),
}
