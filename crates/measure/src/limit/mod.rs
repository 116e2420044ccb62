//! Endpoints that name limits, ask for rest, or say that they leave, before a fleet of gateways.
//!
//! * `cold`: failure domains that are down and come back cold.
//! * [`endpoint`]: simulated endpoints.
//! * [`gateway`]: a gateway with the decisions of crate `relay`.
//! * `messages`: messages between the gateways, and which of them keeps the rates.
//! * [`window`]: which windows hold more calls than the limit allows.
//! * [`mod@replay`]: simulation of callers, gateways and endpoints.

pub mod cold;
pub mod endpoint;
pub mod gateway;
mod messages;
pub mod replay;
pub mod window;

use argh::FromArgs;

use self::cold::ColdLoad;
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
    /// Calls that were refused in the first seconds after the first start of the fleet.
    pub refused_first: u32,
    /// Calls a second that endpoints got after their cold time, relative to the others.
    pub after_cold: f64,
    /// Largest number of calls that a cold endpoint got in a second.
    pub most_cold_calls: u32,
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

/// Fleets before cold endpoints that are measured without `--instances`.
const COLD_FLEET_SIZES: [usize; 3] = [7, 30, 105];

/// measure how a fleet sends calls to endpoints that are cold after a start
#[derive(FromArgs)]
#[argh(subcommand, name = "cold")]
pub struct ColdArgs {
    /// seed of the first run
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of seeds from that one on
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// number of gateways; without it 7, 30 and 105
    #[argh(option)]
    pub instances: Option<usize>,
    /// load outside the bursts: steady or quiet; without it both
    #[argh(option)]
    pub load: Option<String>,
    /// let the gateways take cold endpoints for warm ones
    #[argh(switch)]
    pub ignore: bool,
}

/// Runs the measurement of cold endpoints and prints a line for each fleet. Returns whether no second
/// held more calls than a cold endpoint bears.
pub fn run_cold(args: &ColdArgs) -> bool {
    let sizes = args
        .instances
        .map_or(COLD_FLEET_SIZES.to_vec(), |size| vec![size]);
    let mut holds = true;
    let runs = sizes
        .into_iter()
        .flat_map(|size| ColdLoad::ALL.map(|load| (size, load)));
    let is_wanted = |load: ColdLoad| {
        args.load
            .as_ref()
            .is_none_or(|only| *only == load.to_string())
    };
    let runs = runs.filter(|(_, load)| is_wanted(*load));
    for (instances, load) in runs {
        let seeds = args.seed..args.seed + args.seeds;
        let results = seeds.map(|seed| replay_cold(instances, load, seed, !args.ignore));
        let results: Vec<LimitResult> = results.collect();
        let mean = |value: fn(&LimitResult) -> f64| {
            results.iter().map(value).sum::<f64>() / results.len().max(1) as f64
        };
        let breaches: u32 = results.iter().map(|result| result.breaches).sum();
        let most = results.iter().map(|result| result.most_cold_calls).max();
        println!(
            "RESULT cold instances={instances} load={load} seed={} seeds={} breaches={breaches} most_in_a_second={} used={:.3} after_cold={:.3} calls={:.0} refused={:.1} refused_first={:.1} datagrams={:.2} wait_p99_ms={:.0}",
            args.seed,
            args.seeds,
            most.unwrap_or(0),
            mean(|result| result.used),
            mean(|result| result.after_cold),
            mean(|result| f64::from(result.calls)),
            mean(|result| f64::from(result.refused)),
            mean(|result| f64::from(result.refused_first)),
            mean(|result| result.datagrams),
            mean(|result| result.wait_p99_ms as f64),
        );
        holds &= breaches == 0;
    }
    holds
}

/// Replays one seed of a fleet before cold endpoints.
pub fn replay_cold(
    instances: usize,
    cold_load: ColdLoad,
    seed: u64,
    knows_cold: bool,
) -> LimitResult {
    replay(ReplaySettings {
        seed,
        cold_load,
        knows_cold,
        ..ReplaySettings::new(instances, StatementPattern::Cold)
    })
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
