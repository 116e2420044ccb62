//! Whether an endpoint has said to this instance that it leaves.
//!
//! The endpoint itself knows before the list does, so it is believed although the list shows it as
//! ready. A process that started again under the same name and address knows nothing of that. Calls
//! would tell the two apart, but none is sent any more; so the instance asks with health checks.

use std::time::Duration;

/// Time after the endpoint said that it leaves, and between two health checks. The list usually
/// shows it in less.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Whether an endpoint has said that it leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointLeave {
    /// It has not.
    #[default]
    No,
    /// It has said so, or a health check began, at this time last.
    Said(Duration),
}

impl EndpointLeave {
    /// Records that the endpoint said that it leaves. Returns whether this is new.
    pub fn say(&mut self, now: Duration) -> bool {
        std::mem::replace(self, Self::Said(now)) == Self::No
    }

    /// Whether a health check is due. If so, records that it begins.
    pub fn begin_check(&mut self, now: Duration) -> bool {
        let is_due = match *self {
            Self::No => false,
            Self::Said(at) => now >= at + CHECK_INTERVAL,
        };
        if is_due {
            *self = Self::Said(now);
        }
        is_due
    }
}
