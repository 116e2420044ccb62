//! Metrics common to all programs.

use prometheus::{IntGauge, Registry};
use wire::id::SettingsVersion;

use crate::exposition::expose;
use crate::metric::{Result, int_gauge, to_gauge_value};
use crate::traffic::TrafficMetrics;
use crate::usage::UsageMetrics;

/// Metrics common to all programs, and the registry of all metrics of the program.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    pub(crate) registry: Registry,
    /// Frames and bytes on links.
    pub traffic: TrafficMetrics,
    usage: UsageMetrics,
    settings_version: IntGauge,
}

impl ProcessMetrics {
    /// Registers the metrics in a new registry.
    ///
    /// # Errors
    /// A metric name is malformed or registered twice, which is a programming error.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        Ok(Self {
            traffic: TrafficMetrics::register(&registry)?,
            usage: UsageMetrics::register(&registry)?,
            settings_version: int_gauge(
                &registry,
                "sapphire_settings_version",
                "Settings version in force.",
            )?,
            registry,
        })
    }

    /// Sets the settings version in force.
    pub fn set_settings_version(&self, version: SettingsVersion) {
        self.settings_version.set(to_gauge_value(version));
    }

    /// Updates the usage and traffic metrics, and encodes all metrics of the program in the
    /// Prometheus text format.
    ///
    /// # Errors
    /// A metric family cannot be encoded.
    pub fn expose(&self) -> Result<String> {
        self.usage.update();
        self.traffic.update();
        expose(&self.registry)
    }
}
