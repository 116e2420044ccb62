//! Operator and account keys.

use std::io::{BufRead, Write};
use std::path::Path;

use serde::Serialize;
use settings::fleet::hash_key as digest;

use crate::args::HashKeyArgs;
use crate::error::{CtlError, Result};
use crate::print;

/// Environment variable that contains the operator key.
pub const KEY_VARIABLE: &str = "SAPPHIRE_OPERATOR_KEY";
/// Number of random bytes in a new key.
const KEY_BYTES: usize = 32;

/// JSON output of the command: a key hash, and the key if it is new.
#[derive(Serialize)]
struct KeyOutput {
    /// Set only for a new key.
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<String>,
    key_hash: String,
}

/// The operator key from the file if one is given, or else from the value of the environment
/// variable.
///
/// # Errors
/// The file cannot be read or contains no key.
pub fn operator_key(file: Option<&Path>, variable: Option<String>) -> Result<Option<String>> {
    match file {
        Some(path) => read_key(path).map(Some),
        None => Ok(variable.filter(|key| !key.is_empty())),
    }
}

/// Prints the hash of a key that is generated, or read from the file or from standard input.
///
/// # Errors
/// There is no key, or the output failed.
pub fn hash_key(
    command: &HashKeyArgs,
    file: Option<&Path>,
    json: bool,
    out: &mut dyn Write,
) -> Result<()> {
    if command.generate {
        let key = hex::encode(rand::random::<[u8; KEY_BYTES]>());
        let key_hash = digest(&key);
        return print_key(out, json, Some(key), key_hash);
    }
    let key = match file {
        Some(path) => read_key(path)?,
        None => first_line(&mut std::io::stdin().lock())?,
    };
    print_key(out, json, None, digest(&key))
}

fn print_key(out: &mut dyn Write, json: bool, key: Option<String>, key_hash: String) -> Result<()> {
    if json {
        return print::json(out, &KeyOutput { key, key_hash });
    }
    match key {
        Some(key) => writeln!(out, "key = {key}\nkey_hash = {key_hash}")?,
        None => writeln!(out, "{key_hash}")?,
    }
    Ok(())
}

fn read_key(path: &Path) -> Result<String> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| CtlError::Usage(format!("{} cannot be read: {error}", path.display())))?;
    non_empty_key(text.lines().next().unwrap_or_default())
}

fn first_line(input: &mut dyn BufRead) -> Result<String> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    non_empty_key(&line)
}

fn non_empty_key(line: &str) -> Result<String> {
    match line.trim() {
        "" => Err(CtlError::Usage("the key is empty".to_owned())),
        key => Ok(key.to_owned()),
    }
}
