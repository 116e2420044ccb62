//! Metrics of a control instance.

use std::time::Duration;

use fault::FaultKind;
use prometheus::{GaugeVec, Histogram, IntCounter, IntCounterVec, IntGauge};

use crate::label::{LabelLimiter, LabelSettings};
use crate::metric::{
    HistogramKind, Result, counter, counter_family, gauge_family, histogram, int_gauge,
    to_gauge_value,
};
use crate::process::ProcessMetrics;

/// State of a control instance in the consensus protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSample {
    /// Latest term that this instance has seen.
    pub term: u64,
    /// Whether this instance is the leader.
    pub is_leader: bool,
    /// Index of the last committed entry.
    pub commit: u64,
    /// Log entries that are stored on this instance and not known to be committed.
    pub pending_entries: u64,
}

/// Metrics of a control instance.
pub struct ControlMetrics {
    /// Metrics common to all programs.
    pub process: ProcessMetrics,
    services: LabelLimiter,
    commands: IntCounterVec,
    refused: IntCounterVec,
    elections: IntCounter,
    sync: Histogram,
    commit_wait: Histogram,
    load_over_mean: GaugeVec,
    members: GaugeVec,
    term: IntGauge,
    is_leader: IntGauge,
    commit: IntGauge,
    pending_entries: IntGauge,
    quarantined: IntGauge,
}

impl ControlMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric name is malformed or registered twice, which is a programming error.
    pub fn new(labels: LabelSettings) -> Result<Self> {
        let process = ProcessMetrics::new()?;
        let registry = &process.registry;
        Ok(Self {
            services: LabelLimiter::new(labels.services),
            commands: counter_family(
                registry,
                "sapphire_control_commands_total",
                "Commands that were committed, by kind.",
                &["kind"],
            )?,
            refused: counter_family(
                registry,
                "sapphire_control_refused_total",
                "Commands that were refused, by kind of error.",
                &["kind"],
            )?,
            elections: counter(
                registry,
                "sapphire_control_elections_total",
                "Elections that this instance saw end.",
            )?,
            sync: histogram(
                registry,
                HistogramKind::Disk,
                "sapphire_control_sync_seconds",
                "Time to make a batch of log entries durable.",
            )?,
            commit_wait: histogram(
                registry,
                HistogramKind::QueueWait,
                "sapphire_control_commit_seconds",
                "Time from taking a command to its commit.",
            )?,
            load_over_mean: gauge_family(
                registry,
                "sapphire_control_load_over_mean_ratio",
                "Load of the busiest endpoint of a service over its mean.",
                &["service"],
            )?,
            members: gauge_family(
                registry,
                "sapphire_control_members",
                "Instances with a live lease, by role.",
                &["role"],
            )?,
            term: int_gauge(
                registry,
                "sapphire_control_term",
                "Term of the last election.",
            )?,
            is_leader: int_gauge(
                registry,
                "sapphire_control_is_leader",
                "Whether this instance leads.",
            )?,
            commit: int_gauge(
                registry,
                "sapphire_control_commit_index",
                "Index of the last committed entry.",
            )?,
            pending_entries: int_gauge(
                registry,
                "sapphire_control_pending_entries",
                "Entries that are stored here and not known to be committed.",
            )?,
            quarantined: int_gauge(
                registry,
                "sapphire_control_quarantined_requests",
                "Requests in quarantine.",
            )?,
            process,
        })
    }

    /// Counts a committed command and the time that its commit took. `kind` becomes a label and must
    /// be from a closed set.
    pub fn record_command(&self, kind: &'static str, wait: Duration) {
        self.commands.with_label_values(&[kind]).inc();
        self.commit_wait.observe(wait.as_secs_f64());
    }

    /// Counts a refused command.
    pub fn record_refused(&self, kind: FaultKind) {
        self.refused.with_label_values(&[kind.to_string()]).inc();
    }

    /// Counts an election that ended.
    pub fn record_election(&self) {
        self.elections.inc();
    }

    /// Records the duration of a sync of the log to the disk.
    pub fn record_sync(&self, duration: Duration) {
        self.sync.observe(duration.as_secs_f64());
    }

    /// Sets the ratio of the load of a service's busiest endpoint to the service's mean load.
    pub fn set_load_over_mean(&self, service: &str, ratio: f64) {
        let label = self.services.label(service);
        self.load_over_mean.with_label_values(&[label]).set(ratio);
    }

    /// Sets the number of entries and agents with a live lease.
    pub fn set_members(&self, entries: usize, agents: usize) {
        self.members
            .with_label_values(&["entry"])
            .set(entries as f64);
        self.members
            .with_label_values(&["agent"])
            .set(agents as f64);
    }

    /// Sets the gauges of the consensus protocol.
    pub fn set_replica(&self, sample: ReplicaSample) {
        self.term.set(to_gauge_value(sample.term));
        self.is_leader.set(i64::from(sample.is_leader));
        self.commit.set(to_gauge_value(sample.commit));
        self.pending_entries
            .set(to_gauge_value(sample.pending_entries));
    }

    /// Sets the number of requests in quarantine.
    pub fn set_quarantined(&self, count: usize) {
        self.quarantined.set(to_gauge_value(count as u64));
    }
}
