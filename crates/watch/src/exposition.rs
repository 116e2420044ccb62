//! Metrics as Prometheus text.

use prometheus::{Registry, TextEncoder};

use crate::metric::Result;

/// Content type of the text.
pub const TEXT_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Every metric of `registry` in the Prometheus text format.
///
/// # Errors
/// A family that the format can't express.
pub fn expose(registry: &Registry) -> Result<String> {
    let families = registry.gather();
    Ok(TextEncoder::new().encode_to_string(&families)?)
}
