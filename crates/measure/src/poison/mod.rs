//! Retries of a request that crashes each endpoint that runs it, before a fleet of gateways.
//!
//! * [`pattern`]: how endpoints end, and what else fails during a run.
//! * [`endpoint`]: simulated endpoints.
//! * [`gateway`]: a gateway with the decisions of crate `relay`.
//! * [`mod@replay`]: simulation of callers, gateways and endpoints.

pub mod endpoint;
pub mod gateway;
pub mod pattern;
pub mod replay;

use argh::FromArgs;

use self::pattern::CrashPattern;
use self::replay::replay;

/// Most retries of the request that may reach endpoints once the fleet has had the time to learn of
/// the third crash.
pub const MAX_LATE_RETRIES: u32 = 3;

/// count the retries of a request that crashes each endpoint that runs it
#[derive(FromArgs)]
#[argh(subcommand, name = "poison")]
pub struct PoisonArgs {
    /// seed of the calls and faults
    #[argh(option, default = "7")]
    pub seed: u64,
    /// new-name, same-name, replaced, silent, caller-leaves, crash-storm, gateway-restarts,
    /// gateway-cuts or lost-answers; without it, all of them
    #[argh(option)]
    pub pattern: Option<CrashPattern>,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoisonResult {
    /// Endpoints that the request crashed.
    pub crashes: u32,
    /// Runs of the request after the third crash, sent by gateways that had the time to learn of
    /// it.
    pub late_retries: u32,
    /// Calls of other requests.
    pub calls: u32,
    /// Calls of other requests that were refused as suspected.
    pub refused: u32,
}

impl PoisonResult {
    /// Whether the retries are within the bound and no other request was refused.
    pub fn holds(&self) -> bool {
        self.late_retries <= MAX_LATE_RETRIES && self.refused == 0
    }
}

/// Runs the measurement and prints its results. Returns whether the bound holds on each pattern.
pub fn run(args: &PoisonArgs) -> bool {
    let patterns = match args.pattern {
        Some(pattern) => vec![pattern],
        None => CrashPattern::ALL.to_vec(),
    };
    let mut holds = true;
    for pattern in patterns {
        let result = replay(pattern, args.seed);
        println!(
            "RESULT poison pattern={pattern} seed={} crashes={} late_retries={} calls={} refused={}",
            args.seed, result.crashes, result.late_retries, result.calls, result.refused
        );
        holds &= result.holds();
    }
    holds
}
