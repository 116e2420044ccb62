//! Maps each error kind to its HTTP status, outcome, retry delay and log level.

use std::time::Duration;

use log::Level;

use crate::kind::FaultKind;
use crate::outcome::RunOutcome;

/// How an error kind is reported to the caller, the operator and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FaultAnswer {
    /// HTTP status code.
    pub status: u16,
    /// What the caller may conclude about execution.
    pub outcome: RunOutcome,
    /// Default delay after which a retry may succeed; `None` when a retry is not suggested.
    pub retry_after: Option<Duration>,
    /// Log level of the error.
    pub level: Level,
}

impl FaultAnswer {
    /// Returns the answer for `kind`.
    pub fn of(kind: FaultKind) -> Self {
        use FaultKind as K;
        use RunOutcome::{NotRun, Unknown};
        match kind {
            K::MissingKey => row(401, NotRun, None, Level::Info),
            K::UnknownKey => row(401, NotRun, None, Level::Info),
            K::Forbidden => row(403, NotRun, None, Level::Info),
            K::UnknownService => row(404, NotRun, None, Level::Info),
            K::UnknownModel => row(404, NotRun, None, Level::Info),
            K::MalformedRequest => row(400, NotRun, None, Level::Info),
            K::OversizedBody => row(413, NotRun, None, Level::Info),
            K::SlowCaller => row(408, NotRun, None, Level::Info),
            K::RateLimited => row(429, NotRun, Some(1), Level::Info),
            K::ConcurrencyLimited => row(429, NotRun, Some(1), Level::Info),
            K::Overloaded => row(503, NotRun, Some(1), Level::Warn),
            K::Draining => row(503, NotRun, Some(1), Level::Info),
            K::NoEndpoint => row(503, NotRun, Some(2), Level::Warn),
            K::DeadlineUnmet => row(504, NotRun, Some(2), Level::Info),
            K::DeadlinePassed => row(504, Unknown, None, Level::Warn),
            K::Cancelled => row(499, NotRun, None, Level::Info),
            K::ControlUnreachable => row(503, NotRun, Some(2), Level::Error),
            K::KeyConflict => row(422, NotRun, None, Level::Info),
            K::StillRunning => row(409, Unknown, Some(2), Level::Info),
            K::OutcomeUnknown => row(409, Unknown, None, Level::Warn),
            K::KeyExpired => row(410, Unknown, None, Level::Info),
            K::Quarantined => row(422, NotRun, None, Level::Warn),
            K::Suspected => row(503, NotRun, Some(5), Level::Warn),
            K::EndpointFailed => row(502, Unknown, None, Level::Error),
            K::ConnectionLost => row(502, Unknown, None, Level::Error),
            K::SettingsStale => row(503, NotRun, Some(5), Level::Error),
            K::VersionConflict => row(409, NotRun, None, Level::Info),
            K::InvalidSettings => row(422, NotRun, None, Level::Info),
            K::Fenced => row(409, NotRun, None, Level::Warn),
            K::StoreFull => row(507, NotRun, Some(5), Level::Error),
            K::Internal => row(500, Unknown, None, Level::Error),
            K::OriginUnknown => row(503, NotRun, Some(1), Level::Warn),
            K::OversizedHead => row(431, NotRun, None, Level::Info),
            K::ChangeUnconfirmed => row(503, Unknown, Some(1), Level::Warn),
        }
    }
}

/// Builds one row of the table; `retry_after` is in seconds.
fn row(status: u16, outcome: RunOutcome, retry_after: Option<u64>, level: Level) -> FaultAnswer {
    FaultAnswer {
        status,
        outcome,
        retry_after: retry_after.map(Duration::from_secs),
        level,
    }
}
