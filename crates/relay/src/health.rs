//! Health of an endpoint, derived from the calls of this instance.
//!
//! An endpoint that can't be reached, or whose connection breaks during a call, is left out of the
//! choice for a backoff that doubles with each consecutive break, up to a limit. Then a single call
//! probes it. An endpoint that answers slowly or with failures stays in use, but the placement of
//! calls without a prompt counts it as more loaded than it is.

use std::time::Duration;

/// Time for which an endpoint is left out after its first break.
const INITIAL_BACKOFF: Duration = Duration::from_millis(400);
/// Maximum time for which an endpoint is left out after a break.
const MAX_BACKOFF: Duration = Duration::from_secs(3);
/// Maximum time for which other calls avoid an endpoint while one call probes it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Breaks within this time after one that counted are attributed to the same cause and don't count.
const SAME_CAUSE_WINDOW: Duration = Duration::from_millis(300);
/// Weight of one call in the moving averages of latency and failures.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Outcome of one call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The endpoint answered successfully, with the time to the answer or to its first event.
    Served(Duration),
    /// The endpoint ran the call and answered with a failure.
    Failed,
    /// The endpoint could not be reached, or the connection to it broke during the call.
    Broken,
}

/// Change of an endpoint's health by the outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// No change of state.
    None,
    /// The endpoint is left out of the choice for a while.
    LeftOut {
        /// Number of consecutive breaks.
        breaks: u32,
        /// Time for which the endpoint is left out.
        pause: Duration,
    },
    /// The endpoint answered again after at least one break.
    Recovered,
}

/// Health of one endpoint, as observed by this instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointHealth {
    /// Number of breaks since the last answer. Breaks within [`SAME_CAUSE_WINDOW`] count once.
    breaks: u32,
    /// Time of the latest break that counted.
    broke_at: Duration,
    /// Time until which the endpoint is left out.
    left_out_until: Option<Duration>,
    /// Moving average of the time to an answer, in milliseconds; 0 before the first answer.
    latency_ms: f64,
    /// Moving average of the share of failures, from 0 to 1.
    failures: f64,
}

impl EndpointHealth {
    /// Records the outcome of a call.
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

    /// Whether a call may be sent to the endpoint.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.left_out_until.is_none_or(|until| now >= until)
    }

    /// Records that a call is sent to the endpoint. After a break the call is a probe: other calls
    /// avoid the endpoint until it ends or `PROBE_TIMEOUT` has passed.
    pub fn start(&mut self, now: Duration) {
        if self.breaks > 0 {
            self.left_out_until = Some(now + PROBE_TIMEOUT);
        }
    }

    /// Records that the endpoint has answered another instance. The backoff ends, and the next call
    /// probes the endpoint.
    pub fn note_answered_elsewhere(&mut self) {
        if self.breaks > 0 {
            self.left_out_until = None;
        }
    }

    /// Moving average of the time to an answer; `None` before the first answer.
    pub fn latency(&self) -> Option<Duration> {
        (self.latency_ms > 0.0).then(|| Duration::from_secs_f64(self.latency_ms / 1000.0))
    }

    /// Moving average of the share of failures, from 0 to 1.
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
