//! Dotted paths into the settings tree.
//!
//! A key with characters other than letters, digits, `-` and `_` is written in double quotes:
//! `services.redaction.models."breton-3.1".version`.

use std::fmt;

use crate::tree::SettingFault;

/// Result of parsing a path.
pub type Result<T> = std::result::Result<T, SettingFault>;

/// Path of a value or branch, as the keys from the root.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SettingPath {
    /// No key is empty or contains a double quote. The list is empty for the root.
    keys: Vec<String>,
}

impl SettingPath {
    /// Parses a dotted path; the empty text is the root.
    ///
    /// # Errors
    /// An empty key, an unterminated quote, or a missing or trailing dot.
    pub fn parse(text: &str) -> Result<Self> {
        let mut path = Self::default();
        let mut rest = text;
        while !rest.is_empty() {
            let (key, tail) = split_key(rest).ok_or_else(|| malformed(text))?;
            path.keys.push(key.to_owned());
            rest = match tail.strip_prefix('.') {
                Some(next) if !next.is_empty() => next,
                None if tail.is_empty() => tail,
                _ => return Err(malformed(text)),
            };
        }
        Ok(path)
    }

    /// The keys from the root.
    pub fn keys(&self) -> &[String] {
        &self.keys
    }

    /// The path of a child.
    #[must_use]
    pub fn child(&self, key: &str) -> Self {
        let mut path = self.clone();
        path.keys.push(key.to_owned());
        path
    }

    /// Whether this path is `start` or a descendant of it.
    pub fn starts_with(&self, start: &Self) -> bool {
        self.keys.starts_with(&start.keys)
    }

    /// The path of the first `count` keys, or the whole path if it is shorter.
    #[must_use]
    pub fn prefix(&self, count: usize) -> Self {
        let keys = self.keys[..count.min(self.keys.len())].to_vec();
        Self { keys }
    }

    /// The last key and the keys of its parent; `None` for the root.
    pub fn split_last(&self) -> Option<(&str, &[String])> {
        let (last, parents) = self.keys.split_last()?;
        Some((last, parents))
    }
}

impl fmt::Display for SettingPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, key) in self.keys.iter().enumerate() {
            if index > 0 {
                formatter.write_str(".")?;
            }
            if is_bare(key) {
                formatter.write_str(key)?;
            } else {
                write!(formatter, "\"{key}\"")?;
            }
        }
        Ok(())
    }
}

/// Splits off the first key. The remainder still starts with the dot, if there is one.
fn split_key(text: &str) -> Option<(&str, &str)> {
    let (key, tail) = match text.strip_prefix('"') {
        Some(quoted) => quoted.split_once('"')?,
        None => text.split_at(text.find('.').unwrap_or(text.len())),
    };
    let is_valid = !key.is_empty() && !key.contains('"');
    is_valid.then_some((key, tail))
}

fn is_bare(key: &str) -> bool {
    key.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_')
}

fn malformed(text: &str) -> SettingFault {
    SettingFault {
        path: text.to_owned(),
        reason: "is no path; write keys joined by dots, and a key with other characters in \
                 double quotes"
            .to_owned(),
    }
}
