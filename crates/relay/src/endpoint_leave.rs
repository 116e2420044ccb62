//! Whether an endpoint has said to this instance that it leaves.
//!
//! The endpoint itself knows before the list does, so it is believed although the list shows it as
//! ready. A process that started again under the same name and address knows nothing of that. Calls
//! would tell the two apart, but none is sent any more; so the instance asks with health checks.

use std::time::Duration;

/// Time after the endpoint said that it leaves, and between two health checks. The list usually
/// shows it in less.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Number of instances beyond which the interval grows with their number, as each may check.
const FREQUENT_CHECKERS: usize = 10;
/// Factor of the interval for an endpoint that names a limit, as its checks count as calls.
const LIMITED_FACTOR: u32 = 6;

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

    /// Whether a health check is due at one of `instances`. If so, records that it begins.
    pub fn begin_check(&mut self, now: Duration, instances: usize, is_limited: bool) -> bool {
        let factor = instances.div_ceil(FREQUENT_CHECKERS).max(1);
        let interval = CHECK_INTERVAL * u32::try_from(factor).unwrap_or(u32::MAX);
        let interval = match is_limited {
            true => interval * LIMITED_FACTOR,
            false => interval,
        };
        let is_due = match *self {
            Self::No => false,
            Self::Said(at) => now >= at + interval,
        };
        if is_due {
            *self = Self::Said(now);
        }
        is_due
    }
}
