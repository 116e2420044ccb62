//! Detects conflicts between concurrent changes by the branches that they affect.
//!
//! A change conflicts with the changes accepted since its base version if they affect a common
//! branch. A branch is a named child of `services`, `endpoints`, `accounts` or `operators`. An edit
//! of a root value counts as affecting all branches, because branches inherit from the root.

use std::collections::BTreeSet;

use wire::command::SettingEdit;

use crate::path::SettingPath;

/// Number of keys in the path of a branch: its group and its name.
const BRANCH_DEPTH: usize = 2;

/// The branches that a list of edits affects.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BranchSet {
    /// Paths of the affected branches.
    branches: BTreeSet<SettingPath>,
    /// Whether all branches are affected: by an edit of a root value or of a whole group, or by an
    /// edit with a malformed path.
    affects_all: bool,
}

impl BranchSet {
    /// The branches that `edits` affect.
    pub(crate) fn of(edits: &[SettingEdit]) -> Self {
        let mut set = Self::default();
        for edit in edits {
            match SettingPath::parse(&edit.path) {
                Ok(path) if path.keys().len() >= BRANCH_DEPTH => {
                    set.branches.insert(path.prefix(BRANCH_DEPTH));
                }
                _ => set.affects_all = true,
            }
        }
        set
    }

    /// Whether both sets have a branch in common.
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        self.affects_all || other.affects_all || !self.branches.is_disjoint(&other.branches)
    }
}
