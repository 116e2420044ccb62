//! A clock that also counts the time for which the machine was suspended.
//!
//! [`std::time::Instant`] does not count it on Linux, so that a belief or a lease from before a
//! suspension looks younger than it is.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Time since the clock was started, suspensions included. It never goes back.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    started: Duration,
}

impl BootClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            started: time_since_boot(),
        }
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        time_since_boot().saturating_sub(self.started)
    }
}

fn time_since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // The kernel never returns a negative time on this clock.
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u32::try_from(tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
