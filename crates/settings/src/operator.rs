//! Requests and responses of the operator API between `sapphirectl` and the control instances, as
//! JSON over HTTP.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /operator/settings?path=P&version=N` | [`BranchResponse`] |
//! | `GET /operator/settings?path=P&origin=true&version=N` | [`OriginResponse`] |
//! | `POST /operator/changes` with [`ChangeRequest`] | [`ChangeResponse`] |
//! | `GET /operator/history?limit=N` | [`HistoryResponse`] |
//! | `GET /operator/diff?from=A&to=B` | [`DiffResponse`] |
//! | `GET /operator/quarantine` | [`QuarantineResponse`] |
//! | `DELETE /operator/quarantine/FINGERPRINT` | [`LiftResponse`] |
//!
//! Every request carries `Authorization: Bearer KEY`. An error is returned as a [`FaultResponse`]
//! with the HTTP status of its kind, which is the same as for callers.

use fault::Fault;
use serde::{Deserialize, Serialize};
use toml::Value;
use wire::command::SettingEdit;
use wire::id::{FingerprintHash, SettingsVersion};

use crate::history::ChangeRecord;
use crate::origin::ResolvedValue;

/// Number of changes that a history request returns if it sets no limit.
pub const DEFAULT_HISTORY_LIMIT: usize = 20;

/// A value or branch of one version, without inherited values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BranchResponse {
    /// The version.
    pub version: SettingsVersion,
    /// The value or branch; `None` if it is not set.
    pub value: Option<Value>,
}

/// The resolved values at and below a path in one version.
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
    /// Path at which the value applies.
    pub path: String,
    /// The value.
    pub value: Value,
    /// Path at which the value is set, or `default`.
    pub origin: String,
}

/// A change of the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id of the change, chosen by the client; a resend has the same id.
    pub change_id: String,
    /// Version that the change is based on.
    pub base: SettingsVersion,
    /// Edits, applied atomically.
    pub edits: Vec<SettingEdit>,
}

/// Response to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Version that the change created.
    pub version: SettingsVersion,
}

/// The most recent accepted changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// Current version.
    pub version: SettingsVersion,
    /// The changes, newest first.
    pub changes: Vec<HistoryEntry>,
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that the change created.
    pub version: SettingsVersion,
    /// Version that the change is based on.
    pub base: SettingsVersion,
    /// Id of the change.
    pub change_id: String,
    /// Name of the operator; empty for the first tree.
    pub operator: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Edits of the change.
    pub edits: Vec<SettingEdit>,
}

/// The difference between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiffResponse {
    /// Version that the edits start from.
    pub from: SettingsVersion,
    /// Version that the edits lead to.
    pub to: SettingsVersion,
    /// The edits.
    pub edits: Vec<SettingEdit>,
}

/// Response with the quarantined requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineResponse {
    /// Fingerprints of the requests, in hexadecimal.
    pub quarantined: Vec<String>,
}

/// Response to a lifted quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiftResponse {
    /// The fingerprint in hexadecimal.
    pub lifted: String,
}

/// The response body of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultResponse {
    /// The error.
    pub error: FaultBody,
}

/// The description of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultBody {
    /// Kind of the error.
    pub kind: String,
    /// Whether the request was executed: `ran`, `not-run` or `unknown`.
    pub outcome: String,
    /// Explanation of the error.
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

/// Formats a fingerprint as 16 hexadecimal digits.
pub fn fingerprint_text(fingerprint: FingerprintHash) -> String {
    format!("{fingerprint:016x}")
}

/// Parses a fingerprint of up to 16 hexadecimal digits.
pub fn parse_fingerprint(text: &str) -> Option<FingerprintHash> {
    let is_hex = text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let parsed = FingerprintHash::from_str_radix(text, 16).ok();
    parsed.filter(|_| is_hex)
}
