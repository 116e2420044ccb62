//! What endpoints state about themselves.

use serde::{Deserialize, Serialize};

/// Millionths of a call per second, the unit of [`CallRate`].
const UNITS: f64 = 1e6;
/// Largest rate in calls per second. Greater ones, which no endpoint reaches, are taken as this.
const MAX_PER_SECOND: f64 = 1e6;

/// Rate of calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallRate(u64);

impl CallRate {
    /// A rate of calls per second. `None` if the number is negative, infinite or none.
    pub fn from_per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        is_rate.then(|| Self((rate.min(MAX_PER_SECOND) * UNITS) as u64))
    }

    /// The rate in calls per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / UNITS
    }
}
