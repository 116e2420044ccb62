//! Minimum rate of progress of a transfer.

use std::time::Duration;

/// Minimum rate of progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressLimits {
    /// Minimum rate in bytes a second, over the whole transfer; 0 for none.
    pub bytes_per_second: u64,
    /// Time by which a transfer may be late.
    pub grace: Duration,
    /// Maximum time of a transfer.
    pub total: Duration,
}

impl ProgressLimits {
    /// Longest time that a transfer may take until `bytes` and one more have been transferred.
    pub fn time_for(&self, bytes: usize) -> Duration {
        if self.bytes_per_second == 0 {
            return self.total;
        }
        let due = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        self.total.min(self.grace + due)
    }
}
