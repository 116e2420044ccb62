//! Position of a check in the tree. Allocates nothing; the path is built only to report a fault.

use crate::path::SettingPath;

/// Position in the tree that is checked, as a linked list of keys up to the root.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckLocation<'a> {
    /// The parent and the key within it; `None` for the root.
    parent: Option<(&'a CheckLocation<'a>, &'a str)>,
}

impl CheckLocation<'_> {
    /// The root.
    pub(crate) const ROOT: CheckLocation<'static> = CheckLocation { parent: None };

    /// The location of a child.
    pub(crate) fn child<'b>(&'b self, key: &'b str) -> CheckLocation<'b> {
        CheckLocation {
            parent: Some((self, key)),
        }
    }

    /// The path of this location.
    pub(crate) fn path(&self) -> SettingPath {
        match self.parent {
            Some((parent, key)) => parent.path().child(key),
            None => SettingPath::default(),
        }
    }
}
