//! What is measured and logged of a call.

use std::time::Duration;

use actix_http::StatusCode;
use fault::{FaultKind, RunOutcome};
use watch::{CallSample, GatewayMetrics};
use wire::id::EndpointId;

/// How a call ended, as the caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// A whole answer of an endpoint.
    Answered(StatusCode),
    /// An answer of this instance.
    Refused(FaultKind),
    /// The answer broke off after its start; the connection has to be closed.
    Cut,
    /// The caller left.
    CallerLost,
}

/// One try of a call at an endpoint.
#[derive(Debug)]
pub struct CallTry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its name.
    pub name: String,
    /// Requests that it held, as far as this instance knew.
    pub load: u32,
    /// How the try ended, one of a closed set of words.
    pub end: &'static str,
}

/// What is told of a call in the log.
#[derive(Debug)]
pub struct CallRecord {
    /// The caller's id of the attempt.
    pub attempt: Option<String>,
    /// Its route.
    pub route: String,
    /// The client account.
    pub account: String,
    /// Version of the catalog that it was judged by; 0 for none.
    pub catalog: u64,
    /// Age of the reading of the list that it was placed by.
    pub list_age: Option<Duration>,
    /// The tries, in order.
    pub tries: Vec<CallTry>,
    /// Its rank among the calls that its service may get; 0 is the most urgent.
    pub rank: u8,
    /// Expected wait for a place when the call was let in or refused last.
    pub queue_wait: Duration,
    /// Time after which the caller was told to return.
    pub retry_after: Option<Duration>,
    /// Time to the first byte of an endpoint's answer.
    pub first_byte: Option<Duration>,
    /// Why the last try failed.
    pub last_error: Option<String>,
    /// How it ended.
    pub end: CallEnd,
    /// Time from its arrival to its end.
    pub elapsed: Duration,
}

impl CallRecord {
    /// The record of a call that was not judged yet.
    pub fn new(attempt: Option<String>) -> Self {
        Self {
            attempt,
            route: String::new(),
            account: String::new(),
            catalog: 0,
            list_age: None,
            tries: Vec::new(),
            rank: 0,
            queue_wait: Duration::ZERO,
            retry_after: None,
            first_byte: None,
            last_error: None,
            end: CallEnd::CallerLost,
            elapsed: Duration::ZERO,
        }
    }

    /// The endpoints that were tried.
    pub fn tried(&self) -> Vec<EndpointId> {
        self.tries.iter().map(|tried| tried.endpoint).collect()
    }

    /// Measures the call, and writes one line: what decided where it went, and how it ended.
    pub fn note(&self, metrics: &GatewayMetrics) {
        let label = end_label(self.end);
        metrics.observe_call(&CallSample {
            account: &self.account,
            route: &self.route,
            outcome: label,
            first_byte: self.first_byte,
            total: self.elapsed,
        });
        let tries = self.tries.iter();
        let tries: Vec<String> = tries
            .map(|tried| format!("{}:{}:{}", tried.name, tried.load, tried.end))
            .collect();
        log::info!(
            call = self.attempt.as_deref().unwrap_or("-"),
            outcome = label,
            answer = answer_text(self.end).as_str(),
            route = self.route.as_str(),
            account = self.account.as_str(),
            catalog = self.catalog,
            list_age_ms = self.list_age.map_or(-1, |age| age.as_millis() as i64),
            tries = tries.join(",").as_str(),
            rank = self.rank,
            queue_ms = self.queue_wait.as_millis() as u64,
            retry_after_ms = self.retry_after.map_or(-1, |wait| wait.as_millis() as i64),
            error = self.last_error.as_deref().unwrap_or(""),
            elapsed_ms = self.elapsed.as_millis() as u64;
            "relay: call"
        );
    }
}

fn end_label(end: CallEnd) -> &'static str {
    match end {
        CallEnd::Answered(status) if status.is_server_error() => "failure-passed",
        CallEnd::Answered(_) => "answered",
        CallEnd::Refused(kind) if kind.answer().outcome == RunOutcome::NotRun => "refused",
        CallEnd::Refused(_) => "failed",
        CallEnd::Cut => "cut",
        CallEnd::CallerLost => "caller-lost",
    }
}

fn answer_text(end: CallEnd) -> String {
    match end {
        CallEnd::Answered(status) => status.as_u16().to_string(),
        CallEnd::Refused(kind) => kind.to_string(),
        CallEnd::Cut | CallEnd::CallerLost => String::new(),
    }
}
