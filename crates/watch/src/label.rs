//! Limit on the number of distinct label values of a metric.

use std::collections::HashSet;
use std::sync::{PoisonError, RwLock};

/// Label shared by all names beyond the limit.
pub const OTHER_LABEL: &str = "other";

/// Limits on the label values of one program's metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LabelSettings {
    /// Client accounts with a label of their own.
    pub accounts: usize,
    /// Services with a label of their own.
    pub services: usize,
    /// Models with a label of their own.
    pub models: usize,
}

impl Default for LabelSettings {
    fn default() -> Self {
        Self {
            accounts: 100,
            services: 32,
            models: 64,
        }
    }
}

/// Limits the cardinality of a label: the first `limit` names are used as labels, and all others
/// share [`OTHER_LABEL`].
///
/// Invariant: `names` holds at most `limit` names, and a name in it is never removed.
#[derive(Debug)]
pub struct LabelLimiter {
    limit: usize,
    names: RwLock<HashSet<String>>,
}

impl LabelLimiter {
    /// Creates a limiter without names.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            names: RwLock::default(),
        }
    }

    /// Returns the label for `name`.
    pub fn label<'a>(&self, name: &'a str) -> &'a str {
        let names = self.names.read().unwrap_or_else(PoisonError::into_inner);
        if names.contains(name) {
            return name;
        }
        if names.len() >= self.limit {
            return OTHER_LABEL;
        }
        drop(names);
        self.admit(name)
    }

    /// Number of names with a label of their own.
    pub fn len(&self) -> usize {
        self.names
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .len()
    }

    /// Whether no name has a label of its own.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds `name`, unless another thread has filled the set in the meantime.
    fn admit<'a>(&self, name: &'a str) -> &'a str {
        let mut names = self.names.write().unwrap_or_else(PoisonError::into_inner);
        if names.len() >= self.limit && !names.contains(name) {
            return OTHER_LABEL;
        }
        names.insert(name.to_owned());
        name
    }
}
