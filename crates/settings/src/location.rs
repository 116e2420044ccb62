//! Where a check stands in the tree. Cheap to make; it becomes a path only for a fault.

use crate::path::SettingPath;

/// A place in the tree under check, as a chain of keys up to the root.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckPlace<'a> {
    /// The place above and the key below it; `None` for the root.
    step: Option<(&'a CheckPlace<'a>, &'a str)>,
}

impl CheckPlace<'_> {
    /// The root.
    pub(crate) const ROOT: CheckPlace<'static> = CheckPlace { step: None };

    /// The place of a child.
    pub(crate) fn child<'b>(&'b self, key: &'b str) -> CheckPlace<'b> {
        CheckPlace {
            step: Some((self, key)),
        }
    }

    /// The path of this place.
    pub(crate) fn path(&self) -> SettingPath {
        match self.step {
            Some((above, key)) => above.path().child(key),
            None => SettingPath::default(),
        }
    }
}
