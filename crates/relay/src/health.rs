//! What the own calls tell about an endpoint.
//!
//! An endpoint that can't be reached, or breaks off, is left out for a while that grows with each
//! failure in a row; then one call tries it again. An endpoint that answers slowly or with failures
//! stays in use but counts as more loaded than it is.

use std::time::Duration;

/// Time for which an endpoint is left out after its first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Longest time for which an endpoint is left out.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Time for which other calls avoid an endpoint that one call tries again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time within which calls that break off do so for one cause.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(300);
/// Weight of one call in the averages.
const AVERAGE_WEIGHT: f64 = 0.1;

/// How one call ended at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The endpoint answered well; the time to the answer, or to its first event.
    Served(Duration),
    /// The endpoint answered with a failure of its own.
    Failed,
    /// The endpoint can't be reached or broke off.
    Broken,
}

/// What a call changed in the view of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// Nothing that matters.
    None,
    /// The endpoint is left out.
    LeftOut {
        /// Breaks in a row.
        breaks: u32,
        /// For how long.
        pause: Duration,
    },
    /// The endpoint answers again.
    Recovered,
}

/// Health of one endpoint, as this instance sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    /// Breaks since the last answer. Calls that break off together count once.
    breaks: u32,
    /// When the latest of them that counted came.
    broke_at: Duration,
    /// Until when the endpoint is left out.
    left_out_until: Option<Duration>,
    /// Average time to an answer in milliseconds; 0 before the first.
    latency_ms: f64,
    /// Average share of failures, from 0 to 1.
    failures: f64,
}

impl EndpointHealth {
    /// Notes how a call ended.
    pub fn note(&mut self, now: Duration, outcome: CallOutcome) -> HealthChange {
        match outcome {
            CallOutcome::Served(latency) => {
                self.update_latency(latency);
                self.failures += (0.0 - self.failures) * AVERAGE_WEIGHT;
                self.recover()
            }
            CallOutcome::Failed => {
                self.failures += (1.0 - self.failures) * AVERAGE_WEIGHT;
                self.recover()
            }
            CallOutcome::Broken if self.breaks > 0 && now < self.broke_at + SAME_CAUSE_WINDOW => {
                HealthChange::None
            }
            CallOutcome::Broken => {
                self.broke_at = now;
                let pause = INITIAL_BACKOFF * 2u32.saturating_pow(self.breaks.min(8));
                let pause = pause.min(MAX_BACKOFF);
                self.breaks += 1;
                self.left_out_until = Some(now + pause);
                HealthChange::LeftOut {
                    breaks: self.breaks,
                    pause,
                }
            }
        }
    }

    /// Whether a call may go there.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.left_out_until.is_none_or(|until| now >= until)
    }

    /// A call goes there. After a break, others wait for its end.
    pub fn start(&mut self, now: Duration) {
        if self.breaks > 0 {
            self.left_out_until = Some(now + PROBE_TIMEOUT);
        }
    }

    /// Average time to an answer.
    pub fn latency(&self) -> Option<Duration> {
        (self.latency_ms > 0.0).then(|| Duration::from_secs_f64(self.latency_ms / 1000.0))
    }

    /// Average share of failures.
    pub fn failures(&self) -> f64 {
        self.failures
    }

    fn recover(&mut self) -> HealthChange {
        self.left_out_until = None;
        match std::mem::take(&mut self.breaks) {
            0 => HealthChange::None,
            _ => HealthChange::Recovered,
        }
    }

    fn update_latency(&mut self, latency: Duration) {
        let millis = latency.as_secs_f64() * 1000.0;
        if self.latency_ms == 0.0 {
            self.latency_ms = millis;
        } else {
            self.latency_ms += (millis - self.latency_ms) * AVERAGE_WEIGHT;
        }
    }
}
