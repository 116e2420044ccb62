//! Processor time and memory of this process.

use std::fs;
use std::time::Duration;

use prometheus::{Counter, IntGauge, Registry};

use crate::metric::{Result, float_counter, int_gauge};

/// Unit of the times in `/proc/<pid>/stat`; Linux fixes `USER_HZ` at 100 per second.
const TICKS_PER_SECOND: u64 = 100;
/// Index of the user time among the fields after the program name.
const USER_TIME_FIELD: usize = 11;
/// Bytes per unit of the sizes in `/proc/<pid>/status`.
const STATUS_UNIT_BYTES: u64 = 1024;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time in user and system mode.
    pub processor_time: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of this process from procfs; zero where it is not available.
    pub fn read() -> Self {
        Self::read_from("/proc/self")
    }

    /// Reads the usage of another process from procfs; zero where it is not available.
    pub fn of_process(id: u32) -> Self {
        Self::read_from(&format!("/proc/{id}"))
    }

    fn read_from(folder: &str) -> Self {
        let stat = fs::read_to_string(format!("{folder}/stat")).unwrap_or_default();
        let status = fs::read_to_string(format!("{folder}/status")).unwrap_or_default();
        Self {
            processor_time: parse_processor_time(&stat).unwrap_or_default(),
            resident_bytes: parse_resident_bytes(&status).unwrap_or_default(),
        }
    }
}

/// Parses user plus system time from the contents of `/proc/<pid>/stat`.
pub fn parse_processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: u64 = times
        .map(|text| text.parse::<u64>().unwrap_or_default())
        .sum();
    Some(Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND))
}

/// Parses the resident set size in bytes from the contents of `/proc/<pid>/status`.
pub fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let units: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(units * STATUS_UNIT_BYTES)
}

/// Metrics of the processor time and memory of this process.
#[derive(Clone, Debug)]
pub struct UsageMetrics {
    processor_time: Counter,
    resident_bytes: IntGauge,
}

impl UsageMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A metric name is malformed or taken.
    pub fn register(registry: &Registry) -> Result<Self> {
        Ok(Self {
            processor_time: float_counter(
                registry,
                "process_cpu_seconds_total",
                "Processor time in user and system mode.",
            )?,
            resident_bytes: int_gauge(
                registry,
                "process_resident_memory_bytes",
                "Resident memory.",
            )?,
        })
    }

    /// Updates the metrics from procfs.
    pub fn update(&self) {
        let usage = ProcessUsage::read();
        let growth = usage.processor_time.as_secs_f64() - self.processor_time.get();
        self.processor_time.inc_by(growth.max(0.0));
        let resident = i64::try_from(usage.resident_bytes).unwrap_or(i64::MAX);
        self.resident_bytes.set(resident);
    }
}
