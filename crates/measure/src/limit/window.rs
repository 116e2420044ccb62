//! Which windows hold more calls than the limit of their endpoint allows.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of a window.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first answer with a limit until the limit must be kept.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Calls beyond the share of the limit that a window may hold.
const EXTRA_CALLS: f64 = 5.0;
/// Multiple of the limit that a window may hold.
const LIMIT_FACTOR: f64 = 1.5;

/// Calls that reached an endpoint lately, and the windows that held too many.
#[derive(Debug, Default)]
pub struct CallWindow {
    /// When an answer first named a limit; `None` while there is none.
    limited_since: Option<Duration>,
    /// The greatest limits of the latest windows, in calls per second, with the time until which
    /// each was in force.
    limits: VecDeque<(Duration, f64)>,
    /// Arrivals of calls from instances that had been told of the limit.
    arrivals: VecDeque<Duration>,
    /// Windows that held too many calls.
    pub breaches: u32,
}

impl CallWindow {
    /// Sets the limit from `now` on, in calls per second.
    pub fn set_limit(&mut self, now: Duration, limit: Option<f64>) {
        if let Some((until, _)) = self.limits.back_mut() {
            *until = now;
        }
        match limit {
            Some(limit) => {
                self.limited_since.get_or_insert(now);
                self.limits.push_back((Duration::MAX, limit));
            }
            None => {
                self.limited_since = None;
                self.limits.clear();
                self.arrivals.clear();
            }
        }
    }

    /// Records a call from an instance that had been told of the limit in time.
    pub fn note_arrival(&mut self, now: Duration) {
        let Some(since) = self.limited_since else {
            return;
        };
        if now < since + LEARNING_TIME {
            return;
        }
        self.arrivals.push_back(now);
        let begin = now.saturating_sub(WINDOW);
        while self.arrivals.front().is_some_and(|at| *at < begin) {
            self.arrivals.pop_front();
        }
        while self.limits.front().is_some_and(|(until, _)| *until < begin) {
            self.limits.pop_front();
        }
        let limit = self.limits.iter().map(|(_, limit)| *limit);
        let limit = limit.fold(0.0, f64::max);
        let allowed = LIMIT_FACTOR * limit * WINDOW.as_secs_f64() + EXTRA_CALLS;
        if self.arrivals.len() as f64 > allowed {
            self.breaches += 1;
        }
    }
}
