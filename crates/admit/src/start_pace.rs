//! When the endpoint takes the next request, by what it states about itself.

use std::time::{Duration, Instant};

use pace::bucket::{BucketSettings, TokenBucket};
use pace::limit::LimitStatement;
use pace::rest::EndpointRest;
use pace::room::EndpointRoom;
use pace::statement::{EndpointStatement, StatedValue};

/// Time without an answer after which an endpoint that names a limit is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Pace at which requests are started at the endpoint, all of which pass through this agent.
#[derive(Clone, Debug)]
pub struct StartPace {
    /// Origin of the times below.
    created: Instant,
    limit: LimitStatement,
    bucket: TokenBucket,
    rest: EndpointRest,
    answered_at: Duration,
}

impl StartPace {
    /// Creates the pace of an endpoint that has stated nothing.
    pub fn new(now: Instant) -> Self {
        Self {
            created: now,
            limit: LimitStatement::default(),
            bucket: TokenBucket::new(Duration::ZERO),
            rest: EndpointRest::None,
            answered_at: Duration::ZERO,
        }
    }

    /// Records what the endpoint states in the head of an answer that has just arrived, to a request
    /// that was sent at `sent_at`.
    pub fn note(&mut self, now: Instant, sent_at: Instant, statement: EndpointStatement) {
        let (now, sent_at) = (self.time(now), self.time(sent_at));
        self.answered_at = now;
        match statement.rest {
            StatedValue::Stated(rest) => self.rest.ask(now, rest),
            StatedValue::Absent | StatedValue::Unreadable => self.rest.end(sent_at),
        }
        if statement.limit == StatedValue::Unreadable {
            return;
        }
        let had_limit = self.limit.limit.is_some();
        self.limit.update(LimitStatement {
            limit: statement.limit.stated(),
            sent_at,
            read_at: now,
        });
        if !had_limit {
            self.bucket = TokenBucket::new(now);
        }
    }

    /// Time until the next request may be started if `ahead` are started before it; zero if it may
    /// be now.
    pub fn wait(&self, now: Instant, ahead: u32) -> Duration {
        let now = self.time(now);
        let rest = match self.rest.room(now) {
            EndpointRoom::Closed { until } => until.saturating_sub(now),
            EndpointRoom::Open | EndpointRoom::Ask => Duration::ZERO,
        };
        let Some(settings) = self.bucket_settings() else {
            return rest;
        };
        let ahead = f64::from(ahead);
        let missing = (ahead - f64::from(self.bucket.count(now, settings))).max(0.0);
        let after = Duration::try_from_secs_f64(missing / settings.rate).unwrap_or(Duration::MAX);
        let next = self.bucket.next_in(now, settings).saturating_add(after);
        rest.max(next)
    }

    /// Records that a request is started.
    pub fn start(&mut self, now: Instant) {
        let now = self.time(now);
        self.rest.start(now);
        if let Some(settings) = self.bucket_settings() {
            self.bucket.take(now, settings, 1);
        }
    }

    /// Whether the endpoint may be probed. One that rests may not; one that names a limit only if no
    /// answer has shown for a while that it is up, and the probe takes a token.
    pub fn may_probe(&mut self, now: Instant) -> bool {
        let is_limited = self.limit.limit.is_some();
        let is_known = self.time(now) < self.answered_at + PROBE_INTERVAL;
        if !self.wait(now, 0).is_zero() || is_limited && is_known {
            return false;
        }
        self.start(now);
        true
    }

    fn bucket_settings(&self) -> Option<BucketSettings> {
        let limit = self.limit.limit?;
        Some(BucketSettings::of_limit(limit, 1.0))
    }

    fn time(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.created)
    }
}
