//! Converts assignments on the command line to edits.

use settings::SettingPath;
use wire::command::SettingEdit;

use crate::error::{CtlError, Result};

/// Parses `PATH=VALUE` into the edit that sets the value.
///
/// # Errors
/// There is no `=`, or the path is empty or malformed.
pub fn assignment(text: &str) -> Result<SettingEdit> {
    let (path, value) = text.split_once('=').ok_or_else(|| {
        CtlError::Usage(format!(
            "`{text}` is not an assignment of the form PATH=VALUE"
        ))
    })?;
    Ok(SettingEdit {
        path: checked_path(path)?,
        value: Some(literal(value)),
    })
}

/// The edit that removes the value or branch at `path`.
///
/// # Errors
/// The path is empty or malformed.
pub fn removal(path: &str) -> Result<SettingEdit> {
    Ok(SettingEdit {
        path: checked_path(path)?,
        value: None,
    })
}

fn checked_path(path: &str) -> Result<String> {
    let parsed = SettingPath::parse(path.trim());
    let parsed = parsed.map_err(|fault| CtlError::Usage(fault.to_string()))?;
    if parsed.keys().is_empty() {
        return Err(CtlError::Usage("the path is empty".to_owned()));
    }
    Ok(parsed.to_string())
}

/// Returns a TOML value unchanged, and anything else as a TOML string.
fn literal(value: &str) -> String {
    let value = value.trim();
    let table = format!("value = {value}").parse::<toml::Table>();
    match table {
        Ok(table) if table.len() == 1 => value.to_owned(),
        _ => toml::Value::String(value.to_owned()).to_string(),
    }
}
