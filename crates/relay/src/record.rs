//! Metrics and log line of a call.

use std::collections::BTreeSet;
use std::time::Duration;

use actix_http::StatusCode;
use fault::{FaultKind, RunOutcome};
use watch::{CallSample, GatewayMetrics};
use wire::id::{EndpointId, FingerprintHash};

use crate::attempt::AnswerEnd;
use crate::crash_log::hex_text;

/// How a call ended, as seen by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The caller received a whole answer of an endpoint.
    Answered(StatusCode),
    /// This instance answered with a fault.
    Refused(FaultKind),
    /// The answer broke off after it had begun; the connection must be closed.
    Cut,
    /// The connection to the caller was lost.
    CallerLost,
}

/// Record of one attempt of a call at an endpoint.
#[derive(Debug)]
pub struct AttemptRecord {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Name of the endpoint.
    pub name: String,
    /// Software version of the endpoint, according to the list when the attempt began.
    pub version: String,
    /// Id of the last event that the caller had received, from this call or an earlier one, when
    /// the attempt began; `None` if the attempt begins the stream.
    pub resumed_after: Option<String>,
    /// Number of running and queued requests at the endpoint, as known to this instance when the
    /// attempt began.
    pub load: u32,
    /// How the attempt ended, from a fixed set of labels.
    pub end: &'static str,
    /// Whether another process answered than the one that the stream depends on.
    pub is_other_process: bool,
}

/// Values of a call for its log line and metrics.
#[derive(Debug)]
pub struct CallRecord {
    /// Attempt id that the caller chose.
    pub attempt_id: Option<String>,
    /// Id of the earlier attempt whose stream the caller resumes.
    pub resumes: Option<String>,
    /// Name of the route.
    pub route: String,
    /// Name of the client account; empty for none.
    pub account: String,
    /// Version of the catalog whose rules were applied; 0 for none.
    pub catalog: u64,
    /// Age of the endpoint list when the rules of the call were looked up; `None` before the first
    /// list.
    pub list_age: Option<Duration>,
    /// Hash that is equal for calls that are the same work; 0 before the rules were applied.
    pub fingerprint: FingerprintHash,
    /// Ids of the parts of the prompt that other calls may share; empty without a prompt.
    pub parts: Vec<u64>,
    /// Number of endpoints known to have crashed while running the same work, when the rules of the
    /// call were looked up.
    pub crashes: usize,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// Rank given by the last admission decision; 0 is the most urgent.
    pub rank: u8,
    /// Expected wait for a slot at the last admission decision.
    pub queue_wait: Duration,
    /// What the share of the client account meant at the last admission decision, from a fixed set
    /// of labels; empty before one.
    pub account_share: &'static str,
    /// Retry time that a refused caller was given.
    pub retry_after: Option<Duration>,
    /// Time from the arrival of the call until a good answer began to be forwarded.
    pub first_byte: Option<Duration>,
    /// How the last answer of an endpoint ended; `None` if no head of one arrived.
    pub answer_end: Option<AnswerEnd>,
    /// Why the last failed attempt failed.
    pub last_error: Option<String>,
    /// How the call ended.
    pub end: CallEnd,
    /// Time from the arrival of the call to its end.
    pub elapsed: Duration,
}

impl CallRecord {
    /// Creates the record of a call to which no rules were applied yet.
    pub fn new(attempt_id: Option<String>) -> Self {
        Self {
            attempt_id,
            resumes: None,
            route: String::new(),
            account: String::new(),
            catalog: 0,
            list_age: None,
            fingerprint: 0,
            parts: Vec::new(),
            crashes: 0,
            attempts: Vec::new(),
            rank: 0,
            queue_wait: Duration::ZERO,
            account_share: "",
            retry_after: None,
            first_byte: None,
            answer_end: None,
            last_error: None,
            end: CallEnd::CallerLost,
            elapsed: Duration::ZERO,
        }
    }

    /// Ids of the endpoints that were tried.
    pub fn tried(&self) -> Vec<EndpointId> {
        self.attempts
            .iter()
            .map(|attempt| attempt.endpoint)
            .collect()
    }

    /// Ids of the endpoints that a call which goes on with a stream does not try again: where another
    /// process answered, the next one may have the version.
    pub fn tried_for_good(&self) -> Vec<EndpointId> {
        let mut replaced = BTreeSet::new();
        let attempts = self.attempts.iter().filter(|attempt| {
            let is_first = attempt.is_other_process && replaced.insert(attempt.endpoint);
            !is_first
        });
        attempts.map(|attempt| attempt.endpoint).collect()
    }

    /// Updates the metrics and writes the log line of the call, which states the inputs of its
    /// placement and how it ended.
    pub fn note(&self, metrics: &GatewayMetrics) {
        let label = end_label(self.end);
        metrics.observe_call(&CallSample {
            account: &self.account,
            route: &self.route,
            outcome: label,
            first_byte: self.first_byte,
            total: self.elapsed,
        });
        let attempts = self.attempts.iter();
        let attempts: Vec<String> = attempts
            .map(|attempt| format!("{}:{}:{}", attempt.name, attempt.load, attempt.end))
            .collect();
        let versions = self.attempts.iter().map(|attempt| attempt.version.as_str());
        let versions: Vec<&str> = versions.collect();
        let resumed_after = self.attempts.iter().map(resumed_text);
        let resumed_after: Vec<&str> = resumed_after.collect();
        let parts: Vec<String> = self.parts.iter().map(|part| hex_text(*part)).collect();
        log::info!(
            call = self.attempt_id.as_deref().unwrap_or("-"),
            outcome = label,
            answer = answer_text(self.end).as_str(),
            route = self.route.as_str(),
            account = self.account.as_str(),
            catalog = self.catalog,
            list_age_ms = self.list_age.map_or(-1, |age| age.as_millis() as i64),
            fingerprint = hex_text(self.fingerprint).as_str(),
            parts = parts.join(",").as_str(),
            crashes = self.crashes,
            tries = attempts.join(",").as_str(),
            versions = versions.join(",").as_str(),
            resumes = self.resumes.as_deref().unwrap_or(""),
            resumed_after = resumed_after.join(",").as_str(),
            rank = self.rank,
            queue_ms = self.queue_wait.as_millis() as u64,
            account_share = self.account_share,
            retry_after_ms = self.retry_after.map_or(-1, |wait| wait.as_millis() as i64),
            framing = self.answer_end.map_or("", |end| end.framing.label()),
            answer_end = self.answer_end.map_or("", AnswerEnd::label),
            error = self.last_error.as_deref().unwrap_or(""),
            elapsed_ms = self.elapsed.as_millis() as u64;
            "relay: call"
        );
    }
}

fn resumed_text(attempt: &AttemptRecord) -> &str {
    attempt.resumed_after.as_deref().unwrap_or("-")
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
