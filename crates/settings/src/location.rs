//! Where a check stands in the tree. Cheap to make; it becomes a path only for a fault.

use crate::path::SettingPath;

/// A place in the tree under check, as a chain of keys up to the root.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckLocation<'a> {
    /// The place above and the key below it; `None` for the root.
    parent: Option<(&'a CheckLocation<'a>, &'a str)>,
}

impl CheckLocation<'_> {
    /// The root.
    pub(crate) const ROOT: CheckLocation<'static> = CheckLocation { parent: None };

    /// The place of a child.
    pub(crate) fn child<'b>(&'b self, key: &'b str) -> CheckLocation<'b> {
        CheckLocation {
            parent: Some((self, key)),
        }
    }

    /// The path of this place.
    pub(crate) fn path(&self) -> SettingPath {
        match self.parent {
            Some((parent, key)) => parent.path().child(key),
            None => SettingPath::default(),
        }
    }
}
