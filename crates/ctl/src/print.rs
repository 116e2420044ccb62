//! Output of responses as text or JSON.

use std::io::Write;
use std::time::Duration;

use serde::Serialize;
use settings::SettingPath;
use settings::diff::edit_line;
use settings::operator::{HistoryEntry, OriginValue};
use toml::Value;
use watch::FleetStatus;
use wire::command::SettingEdit;
use wire::member::EndpointState;

use crate::error::{CtlError, Result};

const SECONDS_PER_DAY: u64 = 24 * 60 * 60;

/// Writes a response as one line of JSON.
///
/// # Errors
/// Writing the output failed.
pub fn json(out: &mut dyn Write, response: &impl Serialize) -> Result<()> {
    let text =
        serde_json::to_string(response).map_err(|error| CtlError::Malformed(error.to_string()))?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Writes a value: a string without quotes, and a branch with one line for each value.
///
/// # Errors
/// Writing the output failed.
pub fn value(out: &mut dyn Write, path: &SettingPath, value: &Value) -> Result<()> {
    match value {
        Value::Table(_) => branch(out, path, value),
        Value::String(text) => Ok(writeln!(out, "{text}")?),
        other => Ok(writeln!(out, "{other}")?),
    }
}

fn branch(out: &mut dyn Write, path: &SettingPath, value: &Value) -> Result<()> {
    match value {
        Value::Table(table) if !table.is_empty() => {
            for (key, child) in table {
                branch(out, &path.child(key), child)?;
            }
            Ok(())
        }
        other => Ok(writeln!(out, "{path} = {other}")?),
    }
}

/// Writes resolved values with their origins.
///
/// # Errors
/// Writing the output failed.
pub fn origins(out: &mut dyn Write, values: &[OriginValue]) -> Result<()> {
    for value in values {
        let from = if value.origin == value.path {
            "set here"
        } else {
            &value.origin
        };
        writeln!(out, "{} = {}  # {from}", value.path, value.value)?;
    }
    Ok(())
}

/// Writes edits, one per line.
///
/// # Errors
/// Writing the output failed.
pub fn edits(out: &mut dyn Write, edits: &[SettingEdit]) -> Result<()> {
    for edit in edits {
        writeln!(out, "{}", edit_line(edit))?;
    }
    Ok(())
}

/// Writes changes, newest first.
///
/// # Errors
/// Writing the output failed.
pub fn history(out: &mut dyn Write, changes: &[HistoryEntry]) -> Result<()> {
    for change in changes {
        let operator = match change.operator.as_str() {
            "" => "(first tree)",
            name => name,
        };
        writeln!(
            out,
            "version {} by {operator} at {}, id {}, based on {}",
            change.version,
            utc_text(change.time_ms),
            change.change_id,
            change.base
        )?;
        for edit in &change.edits {
            writeln!(out, "  {}", edit_line(edit))?;
        }
    }
    Ok(())
}

/// Writes the status of the fleet.
///
/// # Errors
/// Writing the output failed.
pub fn status(out: &mut dyn Write, status: &FleetStatus) -> Result<()> {
    let leader = status.leader.as_deref().unwrap_or("unknown");
    writeln!(out, "settings version {}, leader {leader}", status.settings)?;
    for instance in &status.instances {
        let note = lag_note(instance.settings, status.settings);
        writeln!(
            out,
            "{} {} version {}{note}, heard {} ago",
            instance.role,
            name_in_domain(&instance.name, &instance.domain),
            instance.settings,
            seconds(instance.silence)
        )?;
    }
    for endpoint in &status.endpoints {
        writeln!(
            out,
            "endpoint {} of {}: {}, {} running, {} queued, {:.2} of the mean",
            name_in_domain(&endpoint.name, &endpoint.domain),
            endpoint.service,
            state_text(endpoint.state),
            endpoint.load.running,
            endpoint.load.queued,
            endpoint.load_over_mean
        )?;
    }
    Ok(())
}

fn lag_note(held: u64, current: u64) -> &'static str {
    if held < current { " (behind)" } else { "" }
}

fn name_in_domain(name: &str, domain: &str) -> String {
    if domain.is_empty() {
        name.to_owned()
    } else {
        format!("{name} in {domain}")
    }
}

fn seconds(time: Duration) -> String {
    format!("{:.1} s", time.as_secs_f64())
}

fn state_text(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Serving => "serving",
        EndpointState::Draining => "draining",
        EndpointState::Down => "down",
    }
}

/// Formats a time since the Unix epoch in UTC, for example `2026-12-04T00:30:00Z`.
pub fn utc_text(time_ms: u64) -> String {
    let seconds = time_ms / 1000;
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let second = seconds % SECONDS_PER_DAY;
    let (hour, minute) = (second / 3600, second / 60 % 60);
    format!(
        "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{:02}Z",
        second % 60
    )
}

/// Converts a number of days since the Unix epoch to year, month and day in the Gregorian calendar.
fn civil_date(day: u64) -> (u64, u64, u64) {
    // Counts years from March, so that a leap day is the last day of its year.
    let shifted = day + 719_468;
    let era = shifted / 146_097;
    let day_of_era = shifted % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let march_month = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * march_month + 2) / 5 + 1;
    let month = if march_month < 10 {
        march_month + 3
    } else {
        march_month - 9
    };
    let year = year_of_era + era * 400 + u64::from(month <= 2);
    (year, month, day_of_month)
}
