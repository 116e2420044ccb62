//! What an endpoint states about itself in the head of an answer.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderMap, RETRY_AFTER};
use wire::statement::CallRate;

/// Greatest time of rest that is read, in seconds.
const MAX_REST_SECONDS: f64 = 3600.0;

/// Names of the headers in which endpoints state something about themselves, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementHeaders {
    /// Rate of calls, in calls per second, that the endpoint takes from all instances together.
    pub limit: &'static str,
    /// Whether the endpoint is leaving: 1 if it is.
    pub leaving: &'static str,
    /// For how much longer the endpoint is cold after a start, in milliseconds.
    pub cold: &'static str,
}

/// A value in the head of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StatedValue<T> {
    /// The head does not have it.
    #[default]
    Absent,
    /// The head has it.
    Stated(T),
    /// The head has something else in its place.
    Unreadable,
}

impl<T> StatedValue<T> {
    /// The value, if the head has it.
    pub fn stated(self) -> Option<T> {
        match self {
            Self::Stated(value) => Some(value),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

/// What an endpoint states about itself in the head of an answer, whatever its status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointStatement {
    /// Rate of calls that the endpoint takes from all instances together.
    pub limit: StatedValue<CallRate>,
    /// Time for which the endpoint wants no calls from the instance that it answers. Only with the
    /// statuses by which it turns calls away.
    pub rest: StatedValue<Duration>,
    /// Whether the endpoint is leaving and wants no new calls.
    pub is_leaving: StatedValue<bool>,
    /// For how much longer the endpoint is cold after a start. Only health answers state it.
    pub cold: StatedValue<Duration>,
}

impl EndpointStatement {
    /// Reads the head of an answer, whatever its status.
    pub fn read(headers: &HeaderMap, names: StatementHeaders) -> Self {
        Self {
            limit: read_strictest(headers, names.limit, read_rate, CallRate::min),
            rest: read_strictest(headers, RETRY_AFTER.as_str(), read_rest, Duration::max),
            is_leaving: read_strictest(headers, names.leaving, read_flag, bool::max),
            cold: read_strictest(headers, names.cold, read_cold, Duration::max),
        }
    }

    /// The statement in an answer with this status. Other answers may have the header of a rest for
    /// their caller.
    pub fn of_answer(self, status: StatusCode) -> Self {
        let turns_away = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        match turns_away.contains(&status) {
            true => self,
            false => Self {
                rest: StatedValue::Absent,
                ..self
            },
        }
    }

    /// Whether a part of it can't be read.
    pub fn is_unreadable(&self) -> bool {
        self.limit == StatedValue::Unreadable
            || self.rest == StatedValue::Unreadable
            || self.is_leaving == StatedValue::Unreadable
            || self.cold == StatedValue::Unreadable
    }
}

/// Reads a statement of the endpoint about itself. If it is made several times, the strictest
/// readable one binds.
fn read_strictest<T: Copy>(
    headers: &HeaderMap,
    name: &str,
    read: impl Fn(&str) -> Option<T>,
    stricter: impl Fn(T, T) -> T,
) -> StatedValue<T> {
    let texts = headers.get_all(name).map(|value| value.to_str().ok());
    let values = texts.map(|text| read(text?.trim()));
    values.fold(StatedValue::Absent, |strictest, value| {
        match (strictest, value) {
            (StatedValue::Stated(strictest), Some(value)) => {
                StatedValue::Stated(stricter(strictest, value))
            }
            (_, Some(value)) => StatedValue::Stated(value),
            (StatedValue::Absent, None) => StatedValue::Unreadable,
            (strictest, None) => strictest,
        }
    })
}

fn read_rate(rate: &str) -> Option<CallRate> {
    CallRate::from_per_second(rate.parse().ok()?)
}

/// Reads a number of seconds, which may have a fraction.
fn read_rest(seconds: &str) -> Option<Duration> {
    let seconds: f64 = seconds
        .parse()
        .ok()
        .filter(|seconds: &f64| seconds.is_finite())?;
    Duration::try_from_secs_f64(seconds.min(MAX_REST_SECONDS)).ok()
}

/// Reads a number of milliseconds, which may have a fraction.
fn read_cold(millis: &str) -> Option<Duration> {
    let millis: f64 = millis
        .parse()
        .ok()
        .filter(|millis: &f64| millis.is_finite())?;
    Duration::try_from_secs_f64((millis / 1000.0).min(MAX_REST_SECONDS)).ok()
}

fn read_flag(flag: &str) -> Option<bool> {
    match flag {
        "1" => Some(true),
        "0" => Some(false),
        _ => None,
    }
}
