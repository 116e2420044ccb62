//! Metrics of the entry.

use std::time::Duration;

use fault::{FaultKind, RunOutcome};
use prometheus::core::Collector;
use prometheus::{GaugeVec, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge};
use wire::answer::PriorityClass;

use crate::label::{LabelLimiter, LabelSettings};
use crate::metric::{
    HistogramKind, Result, class_label, counter, counter_family, gauge_family, histogram_family,
    int_gauge, observe, to_gauge_value,
};
use crate::process::ProcessMetrics;

/// Measurements of one finished request.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerSample<'a> {
    /// Name of the client account; must exist in the settings.
    pub account: &'a str,
    /// Name of the service; must exist in the settings.
    pub service: &'a str,
    /// Name of the model; must exist in the settings.
    pub model: Option<&'a str>,
    /// Priority class.
    pub class: PriorityClass,
    /// Whether the request was executed, as far as the entry knows.
    pub outcome: RunOutcome,
    /// The error, when the answer is missing or incomplete.
    pub fault: Option<FaultKind>,
    /// Time from arrival to the first byte of the answer's body; `None` without any.
    pub first_token: Option<Duration>,
    /// Time that the request waited at the agent; `None` when it was not admitted.
    pub queue_wait: Option<Duration>,
    /// Time from arrival to the end.
    pub total: Duration,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the endpoint's prefix cache.
    pub cached_tokens: u32,
    /// Attempts that were sent to agents.
    pub attempts: u32,
}

/// Records the times between successive parts of one streamed answer.
#[derive(Clone, Debug)]
pub struct GapObserver(Histogram);

impl GapObserver {
    /// Records one gap.
    pub fn observe(&self, gap: Duration) {
        self.0.observe(gap.as_secs_f64());
    }
}

/// Prompt token counts of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixTokens {
    /// Estimated tokens of all prompts.
    pub prompt: u64,
    /// Prompt tokens found in prefix caches.
    pub cached: u64,
}

/// Metrics of the entry.
pub struct EntryMetrics {
    /// Metrics common to all programs.
    pub process: ProcessMetrics,
    accounts: LabelLimiter,
    services: LabelLimiter,
    models: LabelLimiter,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    queue_wait: HistogramVec,
    answer: HistogramVec,
    answers: IntCounterVec,
    service_answers: IntCounterVec,
    faults: IntCounterVec,
    attempts: IntCounter,
    prompt_tokens: IntCounterVec,
    cached_tokens: IntCounterVec,
    load_over_mean: GaugeVec,
    in_flight: IntGauge,
}

impl EntryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric name is malformed or registered twice, which is a programming error.
    pub fn new(labels: LabelSettings) -> Result<Self> {
        let process = ProcessMetrics::new()?;
        let registry = &process.registry;
        let account_labels = ["account", "class"];
        let service_labels = ["service", "model"];
        Ok(Self {
            accounts: LabelLimiter::new(labels.accounts),
            services: LabelLimiter::new(labels.services),
            models: LabelLimiter::new(labels.models),
            first_token: histogram_family(
                registry,
                HistogramKind::FirstToken,
                "sapphire_entry_first_token_seconds",
                "Time from the arrival of a request to the first byte of its answer's body.",
                &account_labels,
            )?,
            between_tokens: histogram_family(
                registry,
                HistogramKind::BetweenTokens,
                "sapphire_entry_between_tokens_seconds",
                "Time between successive parts of a streamed answer.",
                &account_labels,
            )?,
            queue_wait: histogram_family(
                registry,
                HistogramKind::QueueWait,
                "sapphire_entry_queue_wait_seconds",
                "Time that an admitted request waited at its agent.",
                &account_labels,
            )?,
            answer: histogram_family(
                registry,
                HistogramKind::Answer,
                "sapphire_entry_answer_seconds",
                "Time from the arrival of a request to the end of its answer.",
                &account_labels,
            )?,
            answers: counter_family(
                registry,
                "sapphire_entry_answers_total",
                "Answers to callers, by account and outcome.",
                &["account", "outcome"],
            )?,
            service_answers: counter_family(
                registry,
                "sapphire_entry_service_answers_total",
                "Answers to callers, by service, model and outcome.",
                &["service", "model", "outcome"],
            )?,
            faults: counter_family(
                registry,
                "sapphire_entry_faults_total",
                "Requests without a whole answer, by kind of error.",
                &["kind"],
            )?,
            attempts: counter(
                registry,
                "sapphire_entry_attempts_total",
                "Attempts sent to agents.",
            )?,
            prompt_tokens: counter_family(
                registry,
                "sapphire_entry_prompt_tokens_total",
                "Estimated tokens of the prompts.",
                &service_labels,
            )?,
            cached_tokens: counter_family(
                registry,
                "sapphire_entry_cached_prefix_tokens_total",
                "Prompt tokens found in prefix caches.",
                &service_labels,
            )?,
            load_over_mean: gauge_family(
                registry,
                "sapphire_entry_load_over_mean_ratio",
                "Load of the busiest endpoint of a service over its mean, as seen.",
                &["service"],
            )?,
            in_flight: int_gauge(
                registry,
                "sapphire_entry_in_flight_requests",
                "Requests that are being served.",
            )?,
            process,
        })
    }

    /// Counts a finished request.
    pub fn record(&self, sample: &AnswerSample) {
        let account_labels = [
            self.accounts.label(sample.account),
            class_label(sample.class),
        ];
        if let Some(wait) = sample.first_token {
            observe(&self.first_token, &account_labels, wait);
        }
        if let Some(wait) = sample.queue_wait {
            observe(&self.queue_wait, &account_labels, wait);
        }
        observe(&self.answer, &account_labels, sample.total);
        let outcome = sample.outcome.to_string();
        self.answers
            .with_label_values(&[account_labels[0], &outcome])
            .inc();
        self.attempts.inc_by(u64::from(sample.attempts));
        if let Some(kind) = sample.fault {
            self.record_fault(kind);
        }
        self.record_service(sample, &outcome);
    }

    /// Returns the prompt token counts of a service since the start, over all models. Services
    /// beyond the label limit share one count.
    pub fn prefix_tokens(&self, service: &str) -> PrefixTokens {
        let label = self.services.label(service);
        PrefixTokens {
            prompt: sum_by_service(&self.prompt_tokens, label),
            cached: sum_by_service(&self.cached_tokens, label),
        }
    }

    /// Counts an error of a request, which need not have a known account or service.
    pub fn record_fault(&self, kind: FaultKind) {
        self.faults.with_label_values(&[kind.to_string()]).inc();
    }

    /// Returns the observer for one stream. It holds the histogram, so that recording a gap needs no
    /// label lookup.
    pub fn gap_observer(&self, account: &str, class: PriorityClass) -> GapObserver {
        let account_labels = [self.accounts.label(account), class_label(class)];
        GapObserver(self.between_tokens.with_label_values(&account_labels))
    }

    /// Sets the ratio of the load of a service's busiest endpoint to the service's mean load.
    pub fn set_load_over_mean(&self, service: &str, ratio: f64) {
        let label = self.services.label(service);
        self.load_over_mean.with_label_values(&[label]).set(ratio);
    }

    /// Sets the number of requests that are being served.
    pub fn set_in_flight(&self, count: usize) {
        self.in_flight.set(to_gauge_value(count as u64));
    }

    fn record_service(&self, sample: &AnswerSample, outcome: &str) {
        let service = self.services.label(sample.service);
        let model = sample.model.map_or("", |name| self.models.label(name));
        let answers = &self.service_answers;
        answers.with_label_values(&[service, model, outcome]).inc();
        if sample.model.is_none() {
            return;
        }
        let service_labels = [service, model];
        let prompt = self.prompt_tokens.with_label_values(&service_labels);
        prompt.inc_by(u64::from(sample.prompt_tokens));
        let cached = self.cached_tokens.with_label_values(&service_labels);
        cached.inc_by(u64::from(sample.cached_tokens));
    }
}

/// Sums the counters of `family` whose `service` label equals `service`.
fn sum_by_service(family: &IntCounterVec, service: &str) -> u64 {
    let families = family.collect();
    let metrics = families
        .iter()
        .flat_map(prometheus::proto::MetricFamily::get_metric);
    let matching = metrics.filter(|metric| {
        let labels = metric.get_label();
        labels
            .iter()
            .any(|label| label.name() == "service" && label.value() == service)
    });
    matching
        .map(|metric| metric.get_counter().get_value() as u64)
        .sum()
}
