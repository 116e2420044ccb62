//! Requests that crash each endpoint that runs them, before a fleet of gateways.
//!
//! * [`call`]: what the callers send.
//! * [`pattern`]: how endpoints end, and what else fails during a run.
//! * [`endpoint`]: simulated endpoints.
//! * [`gateway`]: a gateway with the decisions of crate `relay`.
//! * [`mod@replay`]: simulation of callers, gateways and endpoints.

pub mod call;
pub mod endpoint;
pub mod gateway;
pub mod pattern;
pub mod replay;

use std::time::Duration;

use argh::FromArgs;

use self::pattern::{CrashPattern, PoisonScope};
use self::replay::{ReplaySettings, replay};

/// Most of these requests that may reach endpoints once the fleet has had the time to learn of the
/// crashes that it has to know.
pub const MAX_LATE_RETRIES: u32 = 3;

/// count the requests that go on crashing each endpoint that runs them
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
    /// request or prompt-part: what crashes the endpoints
    #[argh(option, default = "PoisonScope::Request")]
    pub scope: PoisonScope,
    /// a small fleet, whose endpoints may all be down at once
    #[argh(switch)]
    pub small: bool,
    /// milliseconds between two requests that crash endpoints
    #[argh(option, default = "300")]
    pub interval: u64,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoisonResult {
    /// Endpoints that the requests crashed.
    pub crashes: u32,
    /// Runs of them after the crashes that the fleet has to know, sent by gateways that had the time
    /// to learn of these.
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
        let fleet = match args.small {
            true => ReplaySettings::small(pattern, args.scope),
            false => ReplaySettings::new(pattern, args.scope),
        };
        let settings = ReplaySettings {
            seed: args.seed,
            poison_interval: Duration::from_millis(args.interval),
            ..fleet
        };
        let result = replay(settings);
        println!(
            "RESULT poison pattern={pattern} scope={} seed={} crashes={} late_retries={} calls={} refused={}",
            args.scope,
            args.seed,
            result.crashes,
            result.late_retries,
            result.calls,
            result.refused
        );
        holds &= result.holds();
    }
    holds
}
