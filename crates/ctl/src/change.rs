//! The commands that change the settings.

use std::io::Write;
use std::time::{Duration, Instant};

use serde::Serialize;
use settings::SettingPath;
use settings::operator::{ChangeRequest, ChangeResponse, LiftResponse};
use watch::FleetStatus;
use wire::command::SettingEdit;
use wire::id::SettingsVersion;
use wire::member::EndpointState;

use crate::args::{DrainArgs, LiftArgs, RollbackArgs, SetArgs, UndrainArgs};
use crate::client::OperatorClient;
use crate::edit::{assignment, removal};
use crate::error::{CtlError, Result};
use crate::{print, read};

/// Interval between two queries of the fleet's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// JSON output of a change: the new version and, after `--wait`, the number of live instances at
/// which it is in force.
#[derive(Serialize)]
struct ChangeReport {
    version: SettingsVersion,
    #[serde(skip_serializing_if = "Option::is_none")]
    in_force_at: Option<usize>,
}

/// Changes settings.
///
/// # Errors
/// The change was refused, or did not come into force at every live instance in time.
pub async fn set(
    client: &OperatorClient,
    command: &SetArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let mut edits = Vec::new();
    for text in &command.assignments {
        edits.push(assignment(text)?);
    }
    for path in &command.unset {
        edits.push(removal(path)?);
    }
    if edits.is_empty() {
        let message = "nothing to change: give PATH=VALUE or --unset PATH";
        return Err(CtlError::Usage(message.to_owned()));
    }
    let base = match command.base {
        Some(version) => version,
        None => read::current_version(client).await?,
    };
    let version = send_change(client, base, edits, command.change_id.as_deref()).await?;
    let wait = command.wait.then_some(command.wait_s);
    report(client, version, wait, json, out).await
}

/// Restores the tree of an earlier version with a new change.
///
/// # Errors
/// The version is no longer kept, the change was refused, or it did not come into force at every
/// live instance in time.
pub async fn rollback(
    client: &OperatorClient,
    command: &RollbackArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let change_id = command.change_id.as_deref();
    let version = match read::accepted_change(client, change_id).await? {
        Some(version) => version,
        None => send_rollback(client, command.version, change_id).await?,
    };
    let wait = command.wait.then_some(command.wait_s);
    report(client, version, wait, json, out).await
}

async fn send_rollback(
    client: &OperatorClient,
    target: SettingsVersion,
    change_id: Option<&str>,
) -> Result<SettingsVersion> {
    let base = read::current_version(client).await?;
    let difference = read::read_diff(client, base, target).await?;
    if difference.edits.is_empty() {
        let message = format!("the current version, {base}, does not differ from version {target}");
        return Err(CtlError::Usage(message));
    }
    send_change(client, base, difference.edits, change_id).await
}

/// Drains endpoints: they finish their requests and accept no new ones.
///
/// # Errors
/// An endpoint does not exist, the change was refused, or the endpoints did not become idle in
/// time.
pub async fn drain(
    client: &OperatorClient,
    command: &DrainArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let version = set_draining(
        client,
        &command.endpoints,
        true,
        command.change_id.as_deref(),
    )
    .await?;
    if command.wait {
        let timeout = Duration::from_secs(command.wait_s);
        wait_until(client, timeout, |status| {
            busy_endpoints(status, &command.endpoints)
        })
        .await?;
    }
    report(client, version, None, json, out).await
}

/// Ends the draining of endpoints, so that they accept requests again.
///
/// # Errors
/// An endpoint does not exist, the change was refused, or the endpoints did not start to serve in
/// time.
pub async fn undrain(
    client: &OperatorClient,
    command: &UndrainArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let change_id = command.change_id.as_deref();
    let version = set_draining(client, &command.endpoints, false, change_id).await?;
    if command.wait {
        let timeout = Duration::from_secs(command.wait_s);
        wait_until(client, timeout, |status| {
            endpoints_not_serving(status, &command.endpoints)
        })
        .await?;
    }
    report(client, version, None, json, out).await
}

/// Lifts the quarantine of a request.
///
/// # Errors
/// The fingerprint is malformed, or the request failed.
pub async fn lift(
    client: &OperatorClient,
    command: &LiftArgs,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let fingerprint = settings::operator::parse_fingerprint(&command.fingerprint);
    let fingerprint = fingerprint.ok_or_else(|| {
        let message = format!("`{}` is not a valid fingerprint", command.fingerprint);
        CtlError::Usage(message)
    })?;
    let text = settings::operator::fingerprint_text(fingerprint);
    let path = format!("/operator/quarantine/{text}");
    let response: LiftResponse = client.delete(&path).await?;
    if json {
        return print::json(out, &response);
    }
    writeln!(out, "{} may run again", response.lifted)?;
    Ok(())
}

async fn set_draining(
    client: &OperatorClient,
    endpoints: &[String],
    draining: bool,
    change_id: Option<&str>,
) -> Result<SettingsVersion> {
    if endpoints.is_empty() {
        return Err(CtlError::Usage("name at least one endpoint".to_owned()));
    }
    let group = SettingPath::default().child("endpoints");
    let known = read::current_value(client, &group.to_string()).await?;
    let mut edits = Vec::new();
    for name in endpoints {
        if known.value.as_ref().and_then(|it| it.get(name)).is_none() {
            return Err(CtlError::NotFound(format!("there is no endpoint `{name}`")));
        }
        edits.push(SettingEdit {
            path: group.child(name).child("draining").to_string(),
            value: Some(draining.to_string()),
        });
    }
    send_change(client, known.version, edits, change_id).await
}

/// Sends a change. The client may send it more than once; the change id ensures that it is applied
/// only once.
async fn send_change(
    client: &OperatorClient,
    base: SettingsVersion,
    edits: Vec<SettingEdit>,
    change_id: Option<&str>,
) -> Result<SettingsVersion> {
    let change_id = match change_id {
        Some(id) => id.to_owned(),
        None => format!("{:032x}", rand::random::<u128>()),
    };
    let request = ChangeRequest {
        change_id,
        base,
        edits,
    };
    let response: Result<ChangeResponse> = client.post("/operator/changes", &request).await;
    match response {
        Ok(response) => Ok(response.version),
        Err(CtlError::Unreachable(reason)) => {
            let id = &request.change_id;
            let message = format!(
                "{reason}\nthe change may have been accepted; send it again with --change-id {id} \
                 to find out"
            );
            Err(CtlError::Unreachable(message))
        }
        Err(other) => Err(other),
    }
}

async fn report(
    client: &OperatorClient,
    version: SettingsVersion,
    wait_s: Option<u64>,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    let in_force_at = match wait_s {
        Some(seconds) => {
            let timeout = Duration::from_secs(seconds);
            let status =
                wait_until(client, timeout, |status| late_instances(status, version)).await?;
            Some(status.instances.len())
        }
        None => None,
    };
    if json {
        let report = ChangeReport {
            version,
            in_force_at,
        };
        return print::json(out, &report);
    }
    match in_force_at {
        Some(count) => writeln!(
            out,
            "version {version}, in force at all {count} live instances"
        )?,
        None => writeln!(out, "version {version}")?,
    }
    Ok(())
}

/// Polls the fleet's status until `pending` lists nothing more to wait for.
async fn wait_until(
    client: &OperatorClient,
    timeout: Duration,
    pending: impl Fn(&FleetStatus) -> Vec<String>,
) -> Result<FleetStatus> {
    let deadline = Instant::now() + timeout;
    loop {
        let status = read::read_status(client).await?;
        let waiting = pending(&status);
        if waiting.is_empty() {
            return Ok(status);
        }
        if Instant::now() >= deadline {
            let message = format!(
                "accepted, but not complete after {} s:\n",
                timeout.as_secs()
            );
            return Err(CtlError::Incomplete(message + &waiting.join("\n")));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Describes the live instances that have not applied `version`.
fn late_instances(status: &FleetStatus, version: SettingsVersion) -> Vec<String> {
    if status.instances.is_empty() {
        return vec!["no live instance is known".to_owned()];
    }
    let late = status
        .instances
        .iter()
        .filter(|instance| instance.settings < version);
    late.map(|it| format!("{} has version {}", it.name, it.settings))
        .collect()
}

/// Describes the named endpoints that do not serve.
fn endpoints_not_serving(status: &FleetStatus, names: &[String]) -> Vec<String> {
    let serves = |name: &str| {
        let mut endpoints = status.endpoints.iter();
        endpoints.any(|it| it.name == name && it.state == EndpointState::Serving)
    };
    let waiting = names.iter().filter(|name| !serves(name));
    waiting
        .map(|name| format!("{name} is not serving"))
        .collect()
}

/// Describes the named endpoints that still accept requests, or have running or queued ones.
fn busy_endpoints(status: &FleetStatus, names: &[String]) -> Vec<String> {
    let endpoints = status
        .endpoints
        .iter()
        .filter(|endpoint| names.contains(&endpoint.name));
    let mut waiting = Vec::new();
    for endpoint in endpoints {
        let load = endpoint.load.total();
        if endpoint.state == EndpointState::Serving {
            waiting.push(format!("{} still accepts requests", endpoint.name));
        } else if load > 0 {
            waiting.push(format!("{} still has {load} requests", endpoint.name));
        }
    }
    waiting
}
