//! What `sapphirectl` and the control instances say to each other, as JSON over HTTP.
//!
//! | request | answer |
//! | --- | --- |
//! | `GET /operator/settings?path=P&version=N` | [`BranchResponse`] |
//! | `GET /operator/settings?path=P&origin=true&version=N` | [`OriginResponse`] |
//! | `POST /operator/changes` with [`ChangeRequest`] | [`ChangeResponse`] |
//! | `GET /operator/history?limit=N` | [`HistoryResponse`] |
//! | `GET /operator/diff?from=A&to=B` | [`DiffResponse`] |
//! | `GET /operator/quarantine` | [`QuarantineResponse`] |
//! | `DELETE /operator/quarantine/FINGERPRINT` | [`LiftResponse`] |
//!
//! Every request carries `Authorization: Bearer KEY`. An error is a [`FaultResponse`] with the HTTP
//! status of its kind, as callers get it too.

use fault::Fault;
use serde::{Deserialize, Serialize};
use toml::Value;
use wire::command::SettingEdit;
use wire::id::{FingerprintHash, SettingsVersion};

use crate::history::ChangeRecord;
use crate::origin::ResolvedValue;

/// Records of the history that are sent when no limit is asked for.
pub const DEFAULT_HISTORY_LIMIT: usize = 20;

/// A value or branch as it is written in one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BranchResponse {
    /// The version.
    pub version: SettingsVersion,
    /// The value or branch; nothing when it is not set.
    pub value: Option<Value>,
}

/// The resolved values at and below a path of one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginResponse {
    /// The version.
    pub version: SettingsVersion,
    /// The values.
    pub values: Vec<OriginValue>,
}

/// One resolved value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginValue {
    /// Where it applies.
    pub path: String,
    /// The value.
    pub value: Value,
    /// Path of the value that it is taken from, or `default`.
    pub origin: String,
}

/// A change of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Chosen by the client; equal for a resend.
    pub change_id: String,
    /// Version that the operator saw.
    pub base: SettingsVersion,
    /// Edits, applied together or not at all.
    pub edits: Vec<SettingEdit>,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Version that the change made.
    pub version: SettingsVersion,
}

/// The accepted changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Current version.
    pub version: SettingsVersion,
    /// The last changes, newest first.
    pub changes: Vec<HistoryEntry>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that it made.
    pub version: SettingsVersion,
    /// Version that the operator saw.
    pub base: SettingsVersion,
    /// Its id.
    pub change_id: String,
    /// Name of the operator; empty for the first tree.
    pub operator: String,
    /// When it was taken, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its edits.
    pub edits: Vec<SettingEdit>,
}

/// The difference between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffResponse {
    /// Version that the edits start from.
    pub from: SettingsVersion,
    /// Version that they lead to.
    pub to: SettingsVersion,
    /// The edits.
    pub edits: Vec<SettingEdit>,
}

/// The quarantined requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineResponse {
    /// Fingerprints in hexadecimal.
    pub quarantined: Vec<String>,
}

/// A lifted quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiftResponse {
    /// The fingerprint in hexadecimal.
    pub lifted: String,
}

/// The body of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultResponse {
    /// The error.
    pub error: FaultBody,
}

/// An error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultBody {
    /// Kind of the error.
    pub kind: String,
    /// `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// What is wrong.
    pub message: String,
}

impl From<ResolvedValue> for OriginValue {
    fn from(value: ResolvedValue) -> Self {
        Self {
            path: value.path.to_string(),
            value: value.value,
            origin: value.origin.to_string(),
        }
    }
}

impl From<&ChangeRecord> for HistoryEntry {
    fn from(record: &ChangeRecord) -> Self {
        Self {
            version: record.version,
            base: record.base,
            change_id: record.change_id.clone(),
            operator: record.operator.clone(),
            time_ms: u64::try_from(record.time.as_millis()).unwrap_or(u64::MAX),
            edits: record.edits.clone(),
        }
    }
}

impl From<&Fault> for FaultBody {
    fn from(fault: &Fault) -> Self {
        Self {
            kind: fault.kind.to_string(),
            outcome: fault.outcome().to_string(),
            message: fault.message.clone(),
        }
    }
}

impl From<&Fault> for FaultResponse {
    fn from(fault: &Fault) -> Self {
        let error = FaultBody::from(fault);
        Self { error }
    }
}

/// The text form of a fingerprint.
pub fn fingerprint_text(fingerprint: FingerprintHash) -> String {
    format!("{fingerprint:016x}")
}

/// The fingerprint that a text form stands for.
pub fn parse_fingerprint(text: &str) -> Option<FingerprintHash> {
    let is_hex = text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let parsed = FingerprintHash::from_str_radix(text, 16).ok();
    parsed.filter(|_| is_hex)
}
