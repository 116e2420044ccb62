//! Metrics of the agent.

use std::time::Duration;

use fault::FaultKind;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge};
use wire::answer::{EndpointLoad, PriorityClass};

use crate::label::{LabelLimiter, LabelSettings};
use crate::metric::{
    HistogramKind, Result, class_label, counter, counter_family, histogram_family, int_gauge,
    observe,
};
use crate::process::ProcessMetrics;

/// Metrics of the agent.
pub struct AgentMetrics {
    /// Metrics common to all programs.
    pub process: ProcessMetrics,
    accounts: LabelLimiter,
    queue_wait: HistogramVec,
    admitted: IntCounterVec,
    refused: IntCounterVec,
    failed: IntCounterVec,
    prompt_tokens: IntCounter,
    cached_tokens: IntCounter,
    crashes: IntCounter,
    running: IntGauge,
    queued: IntGauge,
    load_limit: IntGauge,
}

impl AgentMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric name is malformed or registered twice, which is a programming error.
    pub fn new(labels: LabelSettings) -> Result<Self> {
        let process = ProcessMetrics::new()?;
        let registry = &process.registry;
        Ok(Self {
            accounts: LabelLimiter::new(labels.accounts),
            queue_wait: histogram_family(
                registry,
                HistogramKind::QueueWait,
                "sapphire_agent_queue_wait_seconds",
                "Time that an admitted request waited for its endpoint.",
                &["account", "class"],
            )?,
            admitted: counter_family(
                registry,
                "sapphire_agent_admitted_total",
                "Requests admitted, by account.",
                &["account"],
            )?,
            refused: counter_family(
                registry,
                "sapphire_agent_refused_total",
                "Requests refused, by kind of error.",
                &["kind"],
            )?,
            failed: counter_family(
                registry,
                "sapphire_agent_failed_total",
                "Requests that failed after their admission, by kind of error.",
                &["kind"],
            )?,
            prompt_tokens: counter(
                registry,
                "sapphire_agent_prompt_tokens_total",
                "Estimated tokens of the prompts.",
            )?,
            cached_tokens: counter(
                registry,
                "sapphire_agent_cached_prefix_tokens_total",
                "Prompt tokens found in the endpoint's prefix cache.",
            )?,
            crashes: counter(
                registry,
                "sapphire_agent_endpoint_crashes_total",
                "Crashes of the endpoint.",
            )?,
            running: int_gauge(
                registry,
                "sapphire_agent_running_requests",
                "Requests that the endpoint is running.",
            )?,
            queued: int_gauge(
                registry,
                "sapphire_agent_queued_requests",
                "Requests that wait for the endpoint.",
            )?,
            load_limit: int_gauge(
                registry,
                "sapphire_agent_load_limit_requests",
                "Largest load that the bound allows now.",
            )?,
            process,
        })
    }

    /// Counts an admission. The account must exist in the settings, since its name becomes a label.
    pub fn record_admitted(&self, account: &str) {
        let label = self.accounts.label(account);
        self.admitted.with_label_values(&[label]).inc();
    }

    /// Records how long an admitted request waited, when it starts at the endpoint.
    pub fn record_started(&self, account: &str, class: PriorityClass, queue_wait: Duration) {
        let labels = [self.accounts.label(account), class_label(class)];
        observe(&self.queue_wait, &labels, queue_wait);
    }

    /// Counts a refusal.
    pub fn record_refused(&self, kind: FaultKind) {
        self.refused.with_label_values(&[kind.to_string()]).inc();
    }

    /// Counts a failure of an admitted request.
    pub fn record_failed(&self, kind: FaultKind) {
        self.failed.with_label_values(&[kind.to_string()]).inc();
    }

    /// Counts the tokens of one prompt.
    pub fn record_tokens(&self, prompt: u32, cached: u32) {
        self.prompt_tokens.inc_by(u64::from(prompt));
        self.cached_tokens.inc_by(u64::from(cached));
    }

    /// Counts a crash of the endpoint.
    pub fn record_crash(&self) {
        self.crashes.inc();
    }

    /// Sets the load gauges and the load limit.
    pub fn set_load(&self, load: EndpointLoad, limit: u32) {
        self.running.set(i64::from(load.running));
        self.queued.set(i64::from(load.queued));
        self.load_limit.set(i64::from(limit));
    }
}
