//! The commands that read settings, status and decisions.

use std::io::Write;

use serde::{Deserialize, Serialize};
use settings::SettingPath;
use settings::operator::{
    BranchResponse, DiffResponse, HistoryResponse, OriginResponse, QuarantineResponse,
};
use watch::{DecisionRecord, FleetStatus};
use wire::id::SettingsVersion;

use crate::args::{DiffArgs, GetArgs, HistoryArgs, WhyArgs};
use crate::client::OperatorClient;
use crate::error::{CtlError, Result};
use crate::print;

/// Path of an entry's decision records.
pub const DECISIONS_PATH: &str = "/operator/decisions";

/// Path of the fleet's status at a control instance.
const STATUS_PATH: &str = "/operator/status";
/// Number of recent changes that are searched for an earlier attempt of a rollback.
const RESEND_SEARCH_LIMIT: usize = 1_000;

#[derive(Serialize)]
struct SettingsQuery<'a> {
    path: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    origin: Option<bool>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<SettingsVersion>,
}

#[derive(Serialize)]
struct HistoryQuery {
    limit: usize,
}

#[derive(Serialize)]
struct DiffQuery {
    from: SettingsVersion,
    to: SettingsVersion,
}

#[derive(Serialize)]
struct WhyQuery<'a> {
    request: &'a str,
}

/// The records of one request at an entry.
#[derive(Serialize, Deserialize)]
struct WhyResponse {
    records: Vec<DecisionRecord>,
}

/// Shows settings.
///
/// # Errors
/// The setting does not exist, or the request failed.
pub async fn get(
    client: &OperatorClient,
    command: &GetArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let path = SettingPath::parse(&command.path);
    let path = path.map_err(|fault| CtlError::Usage(fault.to_string()))?;
    let absent = || CtlError::NotFound(format!("`{path}` is not set"));
    if command.origin {
        let response: OriginResponse = read_settings(client, command).await?;
        if response.values.is_empty() {
            return Err(absent());
        }
        if json {
            return print::json(out, &response);
        }
        return print::origins(out, &response.values);
    }
    let response: BranchResponse = read_settings(client, command).await?;
    let value = response.value.as_ref().ok_or_else(absent)?;
    if json {
        return print::json(out, &response);
    }
    print::value(out, &path, value)
}

async fn read_settings<T: serde::de::DeserializeOwned>(
    client: &OperatorClient,
    command: &GetArgs,
) -> Result<T> {
    let query = SettingsQuery {
        path: &command.path,
        origin: command.origin.then_some(true),
        version: command.version,
    };
    client.get("/operator/settings", &query).await
}

/// The value at a path in the current version.
///
/// # Errors
/// The request failed.
pub async fn current_value(client: &OperatorClient, path: &str) -> Result<BranchResponse> {
    let query = SettingsQuery {
        path,
        origin: None,
        version: None,
    };
    client.get("/operator/settings", &query).await
}

/// The current version.
///
/// # Errors
/// The request failed.
pub async fn current_version(client: &OperatorClient) -> Result<SettingsVersion> {
    let response = read_history(client, 0).await?;
    Ok(response.version)
}

/// The version that an accepted change with this id created. A rollback checks this first: once it
/// has been accepted, the current version is the restored one, and its edits can no longer be
/// computed for a resend.
///
/// # Errors
/// The request failed.
pub async fn accepted_change(
    client: &OperatorClient,
    change_id: Option<&str>,
) -> Result<Option<SettingsVersion>> {
    let Some(change_id) = change_id else {
        return Ok(None);
    };
    let history = read_history(client, RESEND_SEARCH_LIMIT).await?;
    let mut changes = history.changes.iter();
    let found = changes.find(|change| change.change_id == change_id);
    Ok(found.map(|change| change.version))
}

async fn read_history(client: &OperatorClient, limit: usize) -> Result<HistoryResponse> {
    client
        .get("/operator/history", &HistoryQuery { limit })
        .await
}

/// Shows the difference between two versions.
///
/// # Errors
/// A version is no longer kept, or the request failed.
pub async fn diff(
    client: &OperatorClient,
    command: &DiffArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let to = match command.to {
        Some(version) => version,
        None => current_version(client).await?,
    };
    let response = read_diff(client, command.from, to).await?;
    if json {
        return print::json(out, &response);
    }
    print::edits(out, &response.edits)
}

/// The edits that lead from one version to another.
///
/// # Errors
/// A version is no longer kept, or the request failed.
pub async fn read_diff(
    client: &OperatorClient,
    from: SettingsVersion,
    to: SettingsVersion,
) -> Result<DiffResponse> {
    client.get("/operator/diff", &DiffQuery { from, to }).await
}

/// Shows the most recent changes.
///
/// # Errors
/// The request failed.
pub async fn history(
    client: &OperatorClient,
    command: &HistoryArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let response = read_history(client, command.limit).await?;
    if json {
        return print::json(out, &response);
    }
    print::history(out, &response.changes)
}

/// Shows instances, endpoints and the version in force.
///
/// # Errors
/// The request failed.
pub async fn status(client: &OperatorClient, json: bool, out: &mut dyn Write) -> Result<()> {
    if json {
        // Prints the response unchanged, because `FleetStatus` lacks some of its fields, such as
        // those of the quorum.
        let response: serde_json::Value = client.get(STATUS_PATH, &()).await?;
        return print::json(out, &response);
    }
    print::status(out, &read_status(client).await?)
}

/// The status of the fleet, as seen by a control instance.
///
/// # Errors
/// The request failed.
pub async fn read_status(client: &OperatorClient) -> Result<FleetStatus> {
    client.get(STATUS_PATH, &()).await
}

/// Explains how a request was routed, from the records of all entries on the command line.
///
/// # Errors
/// No entry has a record of the request, or a query failed.
pub async fn why(
    client: &OperatorClient,
    command: &WhyArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let query = WhyQuery {
        request: &command.request,
    };
    let mut records = Vec::new();
    for entry in client.entries()? {
        let found: WhyResponse = client.get_from(*entry, DECISIONS_PATH, &query).await?;
        records.extend(found.records);
    }
    if records.is_empty() {
        let message = format!(
            "no record of request {}: it was not sampled, is too old, or arrived at an \
             entry that is not given with --entry",
            command.request
        );
        return Err(CtlError::NotFound(message));
    }
    if json {
        return print::json(out, &WhyResponse { records });
    }
    write!(out, "{}", watch::explain::explain(&records))?;
    Ok(())
}

/// Lists quarantined requests.
///
/// # Errors
/// The request failed.
pub async fn quarantined(client: &OperatorClient, json: bool, out: &mut dyn Write) -> Result<()> {
    let response: QuarantineResponse = client.get("/operator/quarantine", &()).await?;
    if json {
        return print::json(out, &response);
    }
    for fingerprint in &response.quarantined {
        writeln!(out, "{fingerprint}")?;
    }
    Ok(())
}
