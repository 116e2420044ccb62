//! Checks a table against its key table: unknown and missing keys, types and ranges.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use toml::{Table, Value};

use crate::location::CheckLocation;
use crate::schema::{BranchSpec, DefaultValue, MAX_NAME_BYTES, MAX_TEXT_BYTES, ValueType, is_name};
use crate::tree::SettingFault;

/// Minimum Jaro-Winkler similarity, from 0 to 1, of a name that is suggested for an unknown one.
const MIN_SIMILARITY: f64 = 0.7;

/// Checks `table` and everything below it.
pub(crate) fn check_table(
    location: &CheckLocation<'_>,
    table: &Table,
    spec: &BranchSpec,
    faults: &mut Vec<SettingFault>,
) {
    report_missing(location, table, spec, faults);
    for (name, value) in table {
        let child = location.child(name);
        match spec.key(name) {
            Some(key) => check_child(&child, value, key.value_type, faults),
            None => faults.push(fault(&child, unknown_key(name, spec))),
        }
    }
}

/// A fault at `location`.
pub(crate) fn fault(location: &CheckLocation<'_>, reason: impl Into<String>) -> SettingFault {
    SettingFault {
        path: location.path().to_string(),
        reason: reason.into(),
    }
}

/// The candidate that is most similar to `name`, if its similarity reaches [`MIN_SIMILARITY`].
pub(crate) fn closest_match<'a>(
    name: &str,
    candidates: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let scored = candidates.map(|candidate| (strsim::jaro_winkler(name, candidate), candidate));
    let best = scored.max_by(|left, right| left.0.total_cmp(&right.0));
    best.filter(|(score, _)| *score >= MIN_SIMILARITY)
        .map(|(_, candidate)| candidate)
}

fn unknown_key(name: &str, spec: &BranchSpec) -> String {
    match closest_match(name, spec.keys().map(|key| key.name)) {
        Some(known) => format!("unknown key; did you mean `{known}`?"),
        None => format!("unknown key; {} has no such key", spec.label),
    }
}

fn report_missing(
    location: &CheckLocation<'_>,
    table: &Table,
    spec: &BranchSpec,
    faults: &mut Vec<SettingFault>,
) {
    for key in spec.keys() {
        if key.default == DefaultValue::Required && !table.contains_key(key.name) {
            faults.push(fault(&location.child(key.name), "is missing"));
        }
    }
}

/// Checks one value and everything below it.
fn check_child(
    location: &CheckLocation<'_>,
    value: &Value,
    value_type: ValueType,
    faults: &mut Vec<SettingFault>,
) {
    match (value_type, value) {
        (ValueType::Branches(spec), Value::Table(table)) => {
            check_branches(location, table, spec, faults);
        }
        (ValueType::Section(spec), Value::Table(table)) => {
            check_table(location, table, spec, faults);
        }
        (ValueType::List(spec), Value::Array(items)) => check_list(location, items, spec, faults),
        _ => match check_value(value, value_type) {
            Ok(()) => {}
            Err(None) => {
                let (found, expected) = (type_name(value), expected_type(value_type));
                faults.push(fault(location, format!("is {found}, expected {expected}")));
            }
            Err(Some(reason)) => faults.push(fault(location, reason)),
        },
    }
}

fn check_branches(
    location: &CheckLocation<'_>,
    table: &Table,
    spec: &BranchSpec,
    faults: &mut Vec<SettingFault>,
) {
    for (name, value) in table {
        let child = location.child(name);
        match value {
            _ if !is_name(name) => faults.push(fault(&child, invalid_name(name))),
            Value::Table(branch) => check_table(&child, branch, spec, faults),
            other => {
                let found = type_name(other);
                faults.push(fault(&child, format!("is {found}, expected a branch")));
            }
        }
    }
}

fn check_list(
    location: &CheckLocation<'_>,
    items: &[Value],
    spec: &BranchSpec,
    faults: &mut Vec<SettingFault>,
) {
    if items.is_empty() {
        faults.push(fault(location, "is empty, expected at least one entry"));
    }
    for (index, item) in items.iter().enumerate() {
        let key = index.to_string();
        let child = location.child(&key);
        match item {
            Value::Table(table) => check_table(&child, table, spec, faults),
            other => {
                let found = type_name(other);
                faults.push(fault(&child, format!("is {found}, expected a table")));
            }
        }
    }
}

/// Checks a value without subtables. `Err(None)` means that it has the wrong type.
fn check_value(value: &Value, value_type: ValueType) -> Result<(), Option<String>> {
    match (value_type, value) {
        (ValueType::Integer { min, max }, Value::Integer(number)) => {
            let is_in_range = u64::try_from(*number).is_ok_and(|it| (min..=max).contains(&it));
            ensure(is_in_range, || {
                format!("is {number}, expected {min} to {max}")
            })
        }
        (ValueType::Number { min, max }, Value::Float(number)) => check_number(*number, min, max),
        (ValueType::Number { min, max }, Value::Integer(number)) => {
            check_number(*number as f64, min, max)
        }
        (ValueType::Boolean, Value::Boolean(_)) => Ok(()),
        (ValueType::Text, Value::String(text)) => ensure(text.len() <= MAX_TEXT_BYTES, || {
            format!("is longer than {MAX_TEXT_BYTES} bytes")
        }),
        (ValueType::File, Value::String(text)) => {
            ensure(!text.is_empty(), || "is empty, expected a path".to_owned())
        }
        (ValueType::Name, Value::String(text)) => ensure(is_name(text), || invalid_name(text)),
        (ValueType::Choice(words), Value::String(text)) => check_choice(text, words),
        (ValueType::KeyHash, Value::String(text)) => check_hash(text),
        (ValueType::Address, Value::String(text)) => check_address(text),
        (ValueType::Names, Value::Array(items)) => {
            check_items(items, |text| ensure(is_name(text), || invalid_name(text)))
        }
        (ValueType::NameMap, Value::Table(table)) => table.iter().try_for_each(|(name, value)| {
            let text = value.as_str().ok_or_else(|| {
                Some(format!(
                    "names {} for `{name}`, expected a name",
                    type_name(value)
                ))
            })?;
            check_map_entry(name, text)
        }),
        (ValueType::NameMap, Value::String(text)) => {
            let map: BTreeMap<String, String> = serde_json::from_str(text).map_err(|error| {
                Some(format!(
                    "is `{text}`, expected a JSON object from names to names: {error}"
                ))
            })?;
            map.iter()
                .try_for_each(|(name, text)| check_map_entry(name, text))
        }
        (ValueType::Methods, Value::Array(items)) => check_items(items, check_method),
        (ValueType::Addresses, Value::Array(items)) => {
            ensure(!items.is_empty(), || {
                "is empty, expected at least one address".to_owned()
            })?;
            check_items(items, check_address)
        }
        _ => Err(None),
    }
}

/// Checks an entry of a map whose names are given by the platform, and may be no names of ours.
fn check_map_entry(name: &str, text: &str) -> Result<(), Option<String>> {
    let is_valid = |text: &str| !text.is_empty() && text.len() <= MAX_TEXT_BYTES;
    ensure(is_valid(name) && is_valid(text), || {
        format!("maps `{name}` to `{text}`, expected 1 to {MAX_TEXT_BYTES} bytes on both sides")
    })
}

fn ensure(is_valid: bool, reason: impl FnOnce() -> String) -> Result<(), Option<String>> {
    if is_valid {
        Ok(())
    } else {
        Err(Some(reason()))
    }
}

fn check_number(number: f64, min: f64, max: f64) -> Result<(), Option<String>> {
    ensure((min..=max).contains(&number), || {
        format!("is {number}, expected {min} to {max}")
    })
}

fn check_choice(text: &str, words: &'static [&'static str]) -> Result<(), Option<String>> {
    ensure(words.contains(&text), || {
        let listed = quoted_list(words);
        match closest_match(text, words.iter().copied()) {
            Some(word) => format!("is `{text}`, expected {listed}; did you mean `{word}`?"),
            None => format!("is `{text}`, expected {listed}"),
        }
    })
}

fn check_hash(text: &str) -> Result<(), Option<String>> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let is_hash = text.len() == 64 && text.bytes().all(is_digit);
    // The message omits the value, which may be a secret key pasted in place of its hash.
    ensure(is_hash, || {
        "is no SHA-256 in 64 lower-case hexadecimal digits; `sapphirectl hash-key` prints one"
            .to_owned()
    })
}

fn check_address(text: &str) -> Result<(), Option<String>> {
    ensure(text.parse::<SocketAddr>().is_ok(), || {
        format!("is `{text}`, expected an IP number and a port, for example `127.0.0.1:7000`")
    })
}

fn check_method(text: &str) -> Result<(), Option<String>> {
    let is_method = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase());
    ensure(is_method, || {
        format!("holds `{text}`, expected HTTP methods in capitals")
    })
}

fn check_items(
    items: &[Value],
    check: impl Fn(&str) -> Result<(), Option<String>>,
) -> Result<(), Option<String>> {
    let mut seen = HashSet::new();
    for item in items {
        let text = item.as_str().ok_or(None)?;
        check(text)?;
        ensure(seen.insert(text), || format!("holds `{text}` twice"))?;
    }
    Ok(())
}

fn invalid_name(text: &str) -> String {
    format!(
        "`{text}` is no name; a name has 1 to {MAX_NAME_BYTES} letters, digits and `-_.:/+@`, \
         and starts with a letter or digit"
    )
}

fn quoted_list(words: &[&str]) -> String {
    let quoted: Vec<String> = words.iter().map(|word| format!("`{word}`")).collect();
    quoted.join(" or ")
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::String(_) => "a text",
        Value::Integer(_) => "a whole number",
        Value::Float(_) => "a decimal number",
        Value::Boolean(_) => "a truth value",
        Value::Datetime(_) => "a date",
        Value::Array(_) => "a list",
        Value::Table(_) => "a branch",
    }
}

/// Describes a type and its range, for error messages and the settings reference.
pub(crate) fn expected_type(value_type: ValueType) -> String {
    match value_type {
        ValueType::Integer { min, max } => format!("a whole number, {min} to {max}"),
        ValueType::Number { min, max } => format!("a number, {min} to {max}"),
        ValueType::Boolean => "`true` or `false`".to_owned(),
        ValueType::Text => "a text".to_owned(),
        ValueType::Name => "a name".to_owned(),
        ValueType::Choice(words) => quoted_list(words),
        ValueType::Names => "a list of names".to_owned(),
        ValueType::NameMap => "a table from names to names".to_owned(),
        ValueType::Methods => "a list of HTTP methods".to_owned(),
        ValueType::KeyHash => "a SHA-256 in hexadecimal".to_owned(),
        ValueType::Address => "an IP number and a port".to_owned(),
        ValueType::Addresses => "a list of IP numbers and ports".to_owned(),
        ValueType::File => "a path".to_owned(),
        ValueType::Branches(spec) => format!("branches `{}`", spec.label),
        ValueType::Section(spec) => format!("the table `{}`", spec.label),
        ValueType::List(spec) => format!("a list of tables `{}`", spec.label),
    }
}
