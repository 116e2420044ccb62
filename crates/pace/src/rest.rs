//! The time of rest that an endpoint has asked for.
//!
//! After a rest, the calls that have waited for its end would meet the endpoint all at once. So a
//! single call shows first whether the endpoint takes calls again.

use std::time::Duration;

use crate::room::EndpointRoom;

/// Longest time for which a rest is kept without a call that shows whether it still holds.
const MAX_REST: Duration = Duration::from_secs(60);
/// Longest time for which other calls wait for the first one after a rest.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The rest of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointRest {
    /// The endpoint has not asked for rest, or has taken a call since.
    #[default]
    None,
    /// No call is sent before this time, and then a single one.
    Until(Duration),
    /// The first call after a rest was sent at `sent_at`.
    Trial {
        /// When it was sent.
        sent_at: Duration,
    },
}

impl EndpointRest {
    /// Whether calls may be sent.
    pub fn room(self, now: Duration) -> EndpointRoom {
        let until = match self {
            Self::None => return EndpointRoom::Open,
            Self::Until(until) => until,
            Self::Trial { sent_at } => sent_at + TRIAL_TIMEOUT,
        };
        match now < until {
            true => EndpointRoom::Closed { until },
            false => EndpointRoom::Open,
        }
    }

    /// Records that the endpoint has asked for `rest`. A shorter rest does not end a longer one.
    pub fn ask(&mut self, now: Duration, rest: Duration) {
        let until = now + rest.min(MAX_REST);
        *self = match *self {
            Self::Until(other) => Self::Until(other.max(until)),
            Self::None | Self::Trial { .. } => Self::Until(until),
        };
    }

    /// Records that a call is sent.
    pub fn start(&mut self, now: Duration) {
        if *self != Self::None && self.room(now) == EndpointRoom::Open {
            *self = Self::Trial { sent_at: now };
        }
    }

    /// Records that the endpoint took a call that was sent at `sent_at`.
    pub fn end(&mut self, sent_at: Duration) {
        let is_trial = match *self {
            Self::Trial { sent_at: trial } => sent_at >= trial,
            Self::None | Self::Until(_) => false,
        };
        if is_trial {
            *self = Self::None;
        }
    }
}
