//! Endpoints that name limits, ask for rest, or say that they leave, before a fleet of gateways.
//!
//! * [`endpoint`]: simulated endpoints.
//! * [`gateway`]: a gateway with the decisions of crate `relay`.
//! * `messages`: messages between the gateways, and which of them keeps the rates.
//! * [`window`]: which windows hold more calls than the limit allows.
//! * [`mod@replay`]: simulation of callers, gateways and endpoints.

pub mod endpoint;
pub mod gateway;
mod messages;
pub mod replay;
pub mod window;

use argh::FromArgs;

use self::replay::{ReplaySettings, StatementPattern, replay};

/// Smallest share of its limit that an endpoint must serve while more calls prefer it.
pub const MIN_USED: f64 = 0.8;
/// Fleets that are measured without `--instances`.
const FLEET_SIZES: [usize; 3] = [3, 30, 300];

/// measure how a fleet obeys limits, rests and leaving that endpoints state
#[derive(FromArgs)]
#[argh(subcommand, name = "limit")]
pub struct LimitArgs {
    /// seed of the calls and faults
    #[argh(option, default = "7")]
    pub seed: u64,
    /// number of gateways; without it 3, 30 and 300
    #[argh(option)]
    pub instances: Option<usize>,
}

/// Results of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LimitResult {
    /// Calls of callers.
    pub calls: u32,
    /// Windows that hold more calls than the limit of their endpoint allows.
    pub breaches: u32,
    /// Calls beyond the two that an endpoint may get from an instance of which it has asked a rest.
    pub rest_breaches: u32,
    /// Calls that were sent to an endpoint long after it had told their instance that it leaves.
    pub leave_breaches: u32,
    /// Share of the limits that served calls, while more calls preferred the endpoints.
    pub used: f64,
    /// Calls that were refused.
    pub refused: u32,
    /// Calls that were refused by a gateway in touch while an endpoint had room.
    pub refused_with_room: u32,
    /// Datagrams about limits in a second, for each gateway.
    pub datagrams: f64,
    /// Time from the arrival of a call until it was sent or refused, in milliseconds, which 99 of
    /// 100 calls did not exceed.
    pub wait_p99_ms: u64,
}

impl LimitResult {
    /// Whether the limits were kept and used, and no call was refused for which there was room.
    pub fn holds(&self) -> bool {
        let breaches = self.breaches + self.rest_breaches + self.leave_breaches;
        breaches == 0 && self.used >= MIN_USED && self.refused_with_room == 0
    }
}

/// Runs the measurement and prints its results. Returns whether the bounds hold in each fleet.
pub fn run(args: &LimitArgs) -> bool {
    let sizes = args
        .instances
        .map_or(FLEET_SIZES.to_vec(), |size| vec![size]);
    let mut holds = true;
    for instances in sizes {
        for pattern in StatementPattern::ALL {
            let settings = ReplaySettings {
                seed: args.seed,
                ..ReplaySettings::new(instances, pattern)
            };
            let result = replay(settings);
            println!(
                "RESULT limit instances={instances} pattern={pattern} seed={} calls={} breaches={} rest_breaches={} leave_breaches={} used={:.3} refused={} refused_with_room={} datagrams={:.2} wait_p99_ms={}",
                args.seed,
                result.calls,
                result.breaches,
                result.rest_breaches,
                result.leave_breaches,
                result.used,
                result.refused,
                result.refused_with_room,
                result.datagrams,
                result.wait_p99_ms
            );
            holds &= result.holds();
        }
    }
    holds
}
