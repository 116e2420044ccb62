//! Which branches a change concerns.
//!
//! Two changes under equal versions conflict when they concern the same branch. A branch is one
//! named child of `services`, `endpoints`, `accounts` or `operators`. The values of the root are
//! inherited by every branch and concern all of them.

use std::collections::BTreeSet;

use wire::command::SettingEdit;

use crate::path::SettingPath;

/// Keys that name one branch: its group and its name.
const BRANCH_DEPTH: usize = 2;

/// The branches that a list of edits concerns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct BranchSet {
    /// Paths of branches.
    branches: BTreeSet<SettingPath>,
    /// Whether an edit concerns the root or a whole group of branches.
    affects_all: bool,
}

impl BranchSet {
    /// The branches of `edits`.
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

    /// Whether both concern a common branch.
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        self.affects_all || other.affects_all || !self.branches.is_disjoint(&other.branches)
    }
}
