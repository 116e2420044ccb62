//! Serde format of durations: milliseconds as a number.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

pub(crate) fn serialize<S: Serializer>(
    duration: &Duration,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_f64(to_millis(*duration))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    let millis = f64::deserialize(deserializer)?;
    Ok(Duration::from_micros(
        (millis * MICROS_PER_MILLI).round() as u64
    ))
}

/// Converts to milliseconds with microsecond precision.
pub(crate) fn to_millis(duration: Duration) -> f64 {
    duration.as_micros() as f64 / MICROS_PER_MILLI
}
