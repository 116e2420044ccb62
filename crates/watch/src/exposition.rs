//! Metrics in the Prometheus text format.

use prometheus::{Registry, TextEncoder};

use crate::metric::Result;

/// Content type of the Prometheus text format.
pub const TEXT_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Encodes all metrics of `registry` in the Prometheus text format.
///
/// # Errors
/// A metric family cannot be encoded.
pub fn expose(registry: &Registry) -> Result<String> {
    let families = registry.gather();
    Ok(TextEncoder::new().encode_to_string(&families)?)
}
