//! Sizes of simulated fleets.

use std::fmt;

use argh::FromArgValue;

/// Number of gateways and engines of a fleet. The offered load grows with the engines, so that each
/// size uses the same share of its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines.
    pub engines: usize,
}

impl FleetSize {
    /// A small deployment.
    pub const SMALL: Self = Self {
        gateways: 7,
        engines: 9,
    };
    /// A deployment whose gateways still reach each other in one round of heartbeats.
    pub const MIDDLE: Self = Self {
        gateways: 30,
        engines: 60,
    };
    /// A deployment of hundreds of instances.
    pub const LARGE: Self = Self {
        gateways: 105,
        engines: 185,
    };
    /// The size that the system is built for.
    pub const TARGET: Self = Self {
        gateways: 300,
        engines: 720,
    };

    /// How many times as many engines it has as [`Self::SMALL`].
    pub fn scale(self) -> f64 {
        self.engines as f64 / Self::SMALL.engines as f64
    }
}

impl fmt::Display for FleetSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}x{}", self.gateways, self.engines)
    }
}

impl FromArgValue for FleetSize {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        let size = value.split_once('x').and_then(|(gateways, engines)| {
            Some(Self {
                gateways: gateways.parse().ok().filter(|count| *count > 0)?,
                engines: engines.parse().ok().filter(|count| *count > 0)?,
            })
        });
        size.ok_or_else(|| "gateways and engines, such as 105x185".to_owned())
    }
}
