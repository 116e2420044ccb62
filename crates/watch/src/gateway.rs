//! Metrics of the gateway.

use std::time::Duration;

use prometheus::{HistogramVec, IntCounterVec, IntGauge};

use crate::label::{LabelLimiter, LabelSettings};
use crate::metric::{
    HistogramKind, Result, counter_family, histogram_family, int_gauge, observe, to_gauge_value,
};
use crate::process::ProcessMetrics;

/// Measurements of one finished call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallSample<'a> {
    /// Name of the client account; empty for none.
    pub account: &'a str,
    /// Name of the route; empty for none.
    pub route: &'a str,
    /// How the call ended. Becomes a label and must be from a closed set.
    pub outcome: &'a str,
    /// Time from arrival to the first byte of an endpoint's answer; `None` without any.
    pub first_byte: Option<Duration>,
    /// Time from arrival to the end.
    pub total: Duration,
}

/// Metrics of the gateway.
pub struct GatewayMetrics {
    /// Metrics common to all programs.
    pub process: ProcessMetrics,
    accounts: LabelLimiter,
    routes: LabelLimiter,
    calls: IntCounterVec,
    attempts: IntCounterVec,
    refusals: IntCounterVec,
    answer_ends: IntCounterVec,
    crash_decisions: IntCounterVec,
    stream_returns: IntCounterVec,
    statements: IntCounterVec,
    limit_messages: IntCounterVec,
    first_byte: HistogramVec,
    answer: HistogramVec,
    gateways: IntGauge,
    endpoints: IntGauge,
    connections: IntGauge,
}

impl GatewayMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric name is malformed or registered twice, which is a programming error.
    pub fn new(labels: LabelSettings) -> Result<Self> {
        let process = ProcessMetrics::new()?;
        let registry = &process.registry;
        let label_names = ["account", "route"];
        Ok(Self {
            accounts: LabelLimiter::new(labels.accounts),
            routes: LabelLimiter::new(labels.services),
            calls: counter_family(
                registry,
                "sapphire_gateway_calls_total",
                "Calls of callers, by how they ended.",
                &["outcome"],
            )?,
            attempts: counter_family(
                registry,
                "sapphire_gateway_attempts_total",
                "Tries of calls at endpoints, by how they ended.",
                &["end"],
            )?,
            refusals: counter_family(
                registry,
                "sapphire_gateway_refusals_total",
                "Refusals for lack of a slot, by client account and by what its share meant.",
                &["account", "share"],
            )?,
            answer_ends: counter_family(
                registry,
                "sapphire_gateway_answer_ends_total",
                "Answers of endpoints, by how they state their end and how they ended.",
                &["framing", "end"],
            )?,
            crash_decisions: counter_family(
                registry,
                "sapphire_gateway_crash_decisions_total",
                "Decisions on whether calls crashed endpoints.",
                &["decision"],
            )?,
            stream_returns: counter_family(
                registry,
                "sapphire_gateway_stream_returns_total",
                "Calls that resume a stream, by how its origin was found.",
                &["origin"],
            )?,
            statements: counter_family(
                registry,
                "sapphire_gateway_statements_total",
                "Statements of endpoints about themselves in the heads of their answers.",
                &["kind"],
            )?,
            limit_messages: counter_family(
                registry,
                "sapphire_gateway_limit_messages_total",
                "Messages about limits of endpoints to other gateways, and requests without answer.",
                &["kind"],
            )?,
            first_byte: histogram_family(
                registry,
                HistogramKind::FirstToken,
                "sapphire_gateway_first_byte_seconds",
                "Time from the arrival of a call to the first byte of an endpoint's answer.",
                &label_names,
            )?,
            answer: histogram_family(
                registry,
                HistogramKind::Answer,
                "sapphire_gateway_answer_seconds",
                "Time from the arrival of a call to its end.",
                &label_names,
            )?,
            gateways: int_gauge(
                registry,
                "sapphire_gateway_live_gateways",
                "Gateways that were heard lately, this one included.",
            )?,
            endpoints: int_gauge(
                registry,
                "sapphire_gateway_endpoints",
                "Endpoints of the list in force.",
            )?,
            connections: int_gauge(
                registry,
                "sapphire_gateway_connections",
                "Open connections of callers.",
            )?,
            process,
        })
    }

    /// Counts a finished call and records its durations.
    pub fn observe_call(&self, sample: &CallSample<'_>) {
        self.calls.with_label_values(&[sample.outcome]).inc();
        let labels = [
            self.accounts.label(sample.account),
            self.routes.label(sample.route),
        ];
        observe(&self.answer, &labels, sample.total);
        if let Some(first) = sample.first_byte {
            observe(&self.first_byte, &labels, first);
        }
    }

    /// Counts a call that is refused for lack of a slot. `share` becomes a label and must be from a
    /// closed set.
    pub fn count_refusal(&self, account: &str, share: &str) {
        let account = self.accounts.label(account);
        self.refusals.with_label_values(&[account, share]).inc();
    }

    /// Counts an attempt of a call at an endpoint. `end` becomes a label and must be from a closed
    /// set.
    pub fn count_attempt(&self, end: &str) {
        self.attempts.with_label_values(&[end]).inc();
    }

    /// Counts an answer of an endpoint. Both values become labels and must be from closed sets.
    pub fn count_answer_end(&self, framing: &str, end: &str) {
        self.answer_ends.with_label_values(&[framing, end]).inc();
    }

    /// Counts a call that resumes a stream. `origin` tells how the stream's origin was found; it
    /// becomes a label and must be from a closed set.
    pub fn count_stream_return(&self, origin: &str) {
        self.stream_returns.with_label_values(&[origin]).inc();
    }

    /// Counts a statement of an endpoint about itself. `kind` becomes a label and must be from a
    /// closed set.
    pub fn count_statement(&self, kind: &str) {
        self.statements.with_label_values(&[kind]).inc();
    }

    /// Counts a message about limits of endpoints. `kind` becomes a label and must be from a closed
    /// set.
    pub fn count_limit_message(&self, kind: &str) {
        self.limit_messages.with_label_values(&[kind]).inc();
    }

    /// Counts a decision on a call that may have crashed an endpoint. `decision` becomes a label and
    /// must be from a closed set.
    pub fn count_crash_decision(&self, decision: &str) {
        self.crash_decisions.with_label_values(&[decision]).inc();
    }

    /// Sets the number of live gateways, including this one.
    pub fn set_gateways(&self, count: usize) {
        self.gateways.set(to_gauge_value(count as u64));
    }

    /// Sets the number of endpoints in the endpoint list in force.
    pub fn set_endpoints(&self, count: usize) {
        self.endpoints.set(to_gauge_value(count as u64));
    }

    /// Sets the number of open client connections.
    pub fn set_connections(&self, count: usize) {
        self.connections.set(to_gauge_value(count as u64));
    }
}
