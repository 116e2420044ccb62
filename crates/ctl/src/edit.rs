//! Assignments on the command line as edits.

use settings::SettingPath;
use wire::command::SettingEdit;

use crate::error::{CtlError, Result};

/// The edit that `PATH=VALUE` stands for.
///
/// # Errors
/// No `=`, or a path that is none.
pub fn assignment(text: &str) -> Result<SettingEdit> {
    let (path, value) = text
        .split_once('=')
        .ok_or_else(|| CtlError::Usage(format!("`{text}` is no PATH=VALUE")))?;
    Ok(SettingEdit {
        path: checked_path(path)?,
        value: Some(literal(value)),
    })
}

/// The edit that removes the value or branch at `path`.
///
/// # Errors
/// A path that is none.
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
        return Err(CtlError::Usage("a path is missing".to_owned()));
    }
    Ok(parsed.to_string())
}

/// A TOML value stays as it is; anything else is text.
fn literal(value: &str) -> String {
    let value = value.trim();
    let table = format!("value = {value}").parse::<toml::Table>();
    match table {
        Ok(table) if table.len() == 1 => value.to_owned(),
        _ => toml::Value::String(value.to_owned()).to_string(),
    }
}
