//! Metrics that every program has.

use prometheus::{IntGauge, Registry};
use wire::id::SettingsVersion;

use crate::exposition::expose;
use crate::metric::{Result, clamp, whole_gauge};
use crate::traffic::TrafficMetrics;
use crate::usage::UsageMetrics;

/// Metrics that every program has, and the registry of all.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    pub(crate) registry: Registry,
    /// Frames and bytes on links.
    pub traffic: TrafficMetrics,
    usage: UsageMetrics,
    settings_version: IntGauge,
}

impl ProcessMetrics {
    /// Registers the metrics in a registry of their own.
    ///
    /// # Errors
    /// A name that is taken; never in a released build.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        Ok(Self {
            traffic: TrafficMetrics::register(&registry)?,
            usage: UsageMetrics::register(&registry)?,
            settings_version: whole_gauge(
                &registry,
                "sapphire_settings_version",
                "Settings version in force.",
            )?,
            registry,
        })
    }

    /// Sets the settings version in force.
    pub fn set_settings_version(&self, version: SettingsVersion) {
        self.settings_version.set(clamp(version));
    }

    /// All metrics of the program as Prometheus text.
    ///
    /// # Errors
    /// A family that the format can't express.
    pub fn expose(&self) -> Result<String> {
        self.usage.update();
        self.traffic.update();
        expose(&self.registry)
    }
}
