//! Helpers for the registration of metrics.

use std::time::Duration;

use derive_more::{Display, Error, From};
use prometheus::core::Collector;
use prometheus::{
    Counter, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry,
};
use wire::answer::PriorityClass;

/// Registration or encoding of a metric failed, for example because its name is taken or malformed.
#[derive(Debug, Display, Error, From)]
#[display("metric can't be registered: {_0}")]
pub struct MetricError(prometheus::Error);

/// Result of metric operations.
pub type Result<T> = std::result::Result<T, MetricError>;

/// Histogram buckets for the time to the first token: upper bounds in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 11] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.91, 1.5, 3.0, 10.0, 30.0];
/// Histogram buckets for the time between tokens: upper bounds in seconds.
const BETWEEN_TOKENS_BOUNDS: [f64; 9] = [0.005, 0.01, 0.02, 0.035, 0.049, 0.075, 0.15, 0.5, 2.0];
/// Histogram buckets for queueing times: upper bounds in seconds.
const QUEUE_WAIT_BOUNDS: [f64; 10] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0];
/// Histogram buckets for the duration of a whole answer: upper bounds in seconds.
const ANSWER_BOUNDS: [f64; 10] = [0.02, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0, 120.0];
/// Histogram buckets for the duration of a disk write: upper bounds in seconds.
const DISK_BOUNDS: [f64; 8] = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.05, 0.25, 1.0];

/// The duration that a histogram measures, which determines its buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HistogramKind {
    FirstToken,
    BetweenTokens,
    QueueWait,
    Answer,
    Disk,
}

impl HistogramKind {
    fn bounds(self) -> &'static [f64] {
        match self {
            Self::FirstToken => &FIRST_TOKEN_BOUNDS,
            Self::BetweenTokens => &BETWEEN_TOKENS_BOUNDS,
            Self::QueueWait => &QUEUE_WAIT_BOUNDS,
            Self::Answer => &ANSWER_BOUNDS,
            Self::Disk => &DISK_BOUNDS,
        }
    }
}

pub(crate) fn histogram_family(
    registry: &Registry,
    kind: HistogramKind,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(kind.bounds().to_vec());
    register(registry, HistogramVec::new(opts, labels)?)
}

pub(crate) fn histogram(
    registry: &Registry,
    kind: HistogramKind,
    name: &str,
    help: &str,
) -> Result<Histogram> {
    let opts = HistogramOpts::new(name, help).buckets(kind.bounds().to_vec());
    register(registry, Histogram::with_opts(opts)?)
}

pub(crate) fn counter_family(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec> {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels)?)
}

pub(crate) fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter> {
    register(registry, IntCounter::new(name, help)?)
}

pub(crate) fn gauge_family(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<GaugeVec> {
    register(registry, GaugeVec::new(Opts::new(name, help), labels)?)
}

pub(crate) fn float_counter(registry: &Registry, name: &str, help: &str) -> Result<Counter> {
    register(registry, Counter::new(name, help)?)
}

pub(crate) fn int_gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge> {
    register(registry, IntGauge::new(name, help)?)
}

pub(crate) fn int_gauge_family(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec> {
    register(registry, IntGaugeVec::new(Opts::new(name, help), labels)?)
}

fn register<C: Collector + Clone + 'static>(registry: &Registry, metric: C) -> Result<C> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}

/// Label value of a priority class.
pub(crate) fn class_label(class: PriorityClass) -> &'static str {
    match class {
        PriorityClass::Urgent => "urgent",
        PriorityClass::Interactive => "interactive",
        PriorityClass::Batch => "batch",
    }
}

/// Records a duration in the histogram with these label values.
pub(crate) fn observe(family: &HistogramVec, labels: &[&str], duration: Duration) {
    family
        .with_label_values(labels)
        .observe(duration.as_secs_f64());
}

/// Converts a count to the value of a gauge; saturates at `i64::MAX`.
pub(crate) fn to_gauge_value(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
