//! Metrics of the gateway.

use std::time::Duration;

use fault::FaultKind;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::label::{LabelLimiter, LabelSettings};
use crate::metric::{
    HistogramKind, Result, counter, counter_family, histogram_family, int_gauge, int_gauge_family,
    observe, to_gauge_value,
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
    origin_notices: IntCounterVec,
    process_reports: IntCounterVec,
    statements: IntCounterVec,
    limit_messages: IntCounterVec,
    first_byte: HistogramVec,
    answer: HistogramVec,
    gateways: IntGauge,
    endpoints: IntGauge,
    skipped_entries: IntGauge,
    connections: IntGauge,
    evacuation_revision: IntGauge,
    evacuated_since: IntGaugeVec,
    region_refusals: IntCounter,
    gaps: IntCounter,
    rejected: IntCounterVec,
    held_bytes: IntGauge,
    evictions: IntGauge,
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
            origin_notices: counter_family(
                registry,
                "sapphire_gateway_origin_notices_total",
                "Notices of origins of streams to keepers with a disk, by what became of them.",
                &["end"],
            )?,
            process_reports: counter_family(
                registry,
                "sapphire_gateway_process_reports_total",
                "Reports by which the processes of endpoints become known, and processes that have.",
                &["step"],
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
            skipped_entries: int_gauge(
                registry,
                "sapphire_gateway_list_entries_skipped",
                "Entries of this gateway's latest reading of the endpoint list that could not be read.",
            )?,
            connections: int_gauge(
                registry,
                "sapphire_gateway_connections",
                "Open connections of callers.",
            )?,
            evacuation_revision: int_gauge(
                registry,
                "sapphire_gateway_evacuation_revision",
                "Revision of the evacuations that this gateway obeys; 0 for none.",
            )?,
            evacuated_since: int_gauge_family(
                registry,
                "sapphire_gateway_evacuated_since_seconds",
                "Evacuated failure domains, with the Unix time of the order.",
                &["domain"],
            )?,
            region_refusals: counter(
                registry,
                "sapphire_gateway_region_refusals_total",
                "Calls that must stay in certain regions and for which no endpoint there was left.",
            )?,
            gaps: counter(
                registry,
                "sapphire_gateway_gaps_total",
                "Times at which messages of other gateways began or ended to be missed.",
            )?,
            rejected: counter_family(
                registry,
                "sapphire_gateway_rejected_requests_total",
                "Requests of callers that were not received whole, by the fault they were answered with.",
                &["kind"],
            )?,
            held_bytes: int_gauge(
                registry,
                "sapphire_gateway_held_bytes",
                "Bytes of the byte budget that clients hold.",
            )?,
            evictions: int_gauge(
                registry,
                "sapphire_gateway_evictions",
                "Clients that were evicted from the byte budget since the start.",
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

    /// Counts notices of origins to keepers with a disk. `end` becomes a label and must be from a closed
    /// set.
    pub fn count_origin_notices(&self, end: &str, count: u64) {
        self.origin_notices.with_label_values(&[end]).inc_by(count);
    }

    /// Counts a report that an endpoint is asked for so that its process becomes known, or a process that
    /// has. `step` becomes a label and must be from a closed set.
    pub fn count_process_report(&self, step: &str) {
        self.process_reports.with_label_values(&[step]).inc();
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

    /// Sets the number of unreadable entries in this gateway's latest reading of the endpoint list.
    pub fn set_skipped_entries(&self, count: usize) {
        self.skipped_entries.set(to_gauge_value(count as u64));
    }

    /// Counts a call that must stay in certain regions and for which no endpoint there was left.
    pub fn count_region_refusal(&self) {
        self.region_refusals.inc();
    }

    /// Counts the begin or the end of a time in which messages of other gateways are missed.
    pub fn count_gap(&self) {
        self.gaps.inc();
    }

    /// Sets the revision of the evacuations in force, and each evacuated failure domain with the
    /// time of its order in milliseconds since the Unix epoch.
    pub fn set_evacuations<'a>(
        &self,
        revision: u64,
        domains: impl Iterator<Item = (&'a str, u64)>,
    ) {
        self.evacuation_revision.set(to_gauge_value(revision));
        self.evacuated_since.reset();
        for (domain, since_ms) in domains {
            let since = self.evacuated_since.with_label_values(&[domain]);
            since.set(to_gauge_value(since_ms / 1000));
        }
    }

    /// Counts a request that was not received whole. `kind` becomes a label.
    pub fn count_rejected(&self, kind: FaultKind) {
        let kind = kind.to_string();
        self.rejected.with_label_values(&[kind.as_str()]).inc();
    }

    /// Sets the number of bytes that clients hold and the number of evictions since the start.
    pub fn set_byte_budget(&self, held: usize, evictions: u64) {
        self.held_bytes.set(to_gauge_value(held as u64));
        self.evictions.set(to_gauge_value(evictions));
    }

    /// Sets the number of open client connections.
    pub fn set_connections(&self, count: usize) {
        self.connections.set(to_gauge_value(count as u64));
    }
}
