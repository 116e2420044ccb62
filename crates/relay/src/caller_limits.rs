//! Limits on callers, beside those of the catalog.

use std::time::Duration;

use quota::connections::ConnectionLimits;
use quota::progress::ProgressLimits;

/// Assumed timeout of a caller that states none.
pub const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits on callers, beside those of the catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerLimits {
    /// Size of the process's byte budget, in bytes.
    pub budget_bytes: usize,
    /// Limits on connections.
    pub connections: ConnectionLimits,
    /// Number of requests in a row that a caller may send on one connection without waiting for the
    /// answer to the one before. The connection is closed after the answer to the last of them.
    pub pipelined_requests: usize,
    /// Maximum time between two reads of a body.
    pub body_timeout: Duration,
    /// Minimum rate at which a body is sent.
    pub body_progress: ProgressLimits,
    /// Minimum rate at which an answer is taken.
    pub answer_progress: ProgressLimits,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            budget_bytes: 48 * 1024 * 1024,
            connections: ConnectionLimits {
                connections: 2500,
                per_address: 0,
                waiting: 0,
                closing: 0,
            },
            pipelined_requests: 64,
            body_timeout: Duration::from_secs(10),
            body_progress: ProgressLimits {
                bytes_per_second: 1024,
                grace: Duration::from_secs(10),
                total: Duration::from_secs(300),
            },
            answer_progress: ProgressLimits {
                bytes_per_second: 1024,
                grace: Duration::from_secs(10),
                total: Duration::MAX,
            },
        }
    }
}
