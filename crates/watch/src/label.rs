//! The bound on the label values of metrics.

use std::collections::HashSet;
use std::sync::{PoisonError, RwLock};

/// Label of every name past the bound.
pub const OTHER_LABEL: &str = "other";

/// How many label values the metrics of one program may have.
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

/// Gives the first names a label of their own and [`OTHER_LABEL`] to all others.
///
/// Invariant: at most `limit` names.
#[derive(Debug)]
pub struct LabelBound {
    limit: usize,
    names: RwLock<HashSet<String>>,
}

impl LabelBound {
    /// A bound without names.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            names: RwLock::default(),
        }
    }

    /// The label of `name`.
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

    /// Names with a label of their own.
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

    /// Takes `name` in, unless another thread filled the bound meanwhile.
    fn admit<'a>(&self, name: &'a str) -> &'a str {
        let mut names = self.names.write().unwrap_or_else(PoisonError::into_inner);
        if names.len() >= self.limit && !names.contains(name) {
            return OTHER_LABEL;
        }
        names.insert(name.to_owned());
        name
    }
}
