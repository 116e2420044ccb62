//! Results of calls while the offered load exceeds the capacity of the engines.
//!
//! * [`load`]: generates the calls of a load pattern.
//! * [`size`]: sizes of simulated fleets.
//! * [`layout`]: names, places and failure domains of the simulated engines and gateways.
//! * [`engine`]: simulated engines.
//! * [`tally`]: results of the calls, and an estimate of the best possible result.
//! * [`mod@replay`]: simulation of gateways and engines with the decisions of crate `relay`.

pub mod engine;
pub mod layout;
pub mod load;
pub mod replay;
pub mod size;
pub mod tally;

use argh::FromArgs;

use self::load::{CALL_KINDS, LoadPattern, draw_base, draw_load};
use self::replay::{AdmissionPolicy, replay};
use self::size::FleetSize;
use self::tally::{OverloadResult, ideal_worth};

/// measure the results of calls while the load exceeds the capacity of the engines
#[derive(FromArgs)]
#[argh(subcommand, name = "overload")]
pub struct OverloadArgs {
    /// seed of the calls
    #[argh(option, default = "7")]
    pub seed: u64,
    /// burst, hot-prompt, hot-account, angry-retries, engines-lost, engines-slow, release, give-up,
    /// surge-one, surge-three, wave, moving, engines-flap or engines-uneven; without it, all of them
    #[argh(option)]
    pub pattern: Option<LoadPattern>,
    /// number of gateways and engines, such as 7x9
    #[argh(option, default = "FleetSize::SMALL")]
    pub size: FleetSize,
}

/// Smallest accepted served share of a kind of call, as a fraction of the served share of all
/// calls.
const LEAST_KIND_PART: f64 = 0.25;

/// Results of both policies on one pattern.
#[derive(Clone, Debug)]
pub struct PatternResult {
    /// Result when every call is admitted.
    pub open: OverloadResult,
    /// Result when admission control decides by waits that it does not correct.
    pub uncorrected: OverloadResult,
    /// The same as `bounded` when placement ignores the speeds that engines state.
    pub speed_ignored: OverloadResult,
    /// The same as `bounded` with shares of accounts over all gateways.
    pub accounts_shared: OverloadResult,
    /// Result without the additional calls of a surge; `None` for the patterns without one.
    pub calm: Option<OverloadResult>,
    /// Result when the gateways' admission control decides.
    pub bounded: OverloadResult,
    /// Estimate of the largest worth that a fleet can earn.
    pub ideal: f64,
}

impl PatternResult {
    /// Whether admission control earns at least the worth of admitting every call, starves no kind
    /// of call, and refuses nothing while more than half of the slots are free.
    pub fn holds(&self) -> bool {
        let least = self.bounded.served() * LEAST_KIND_PART;
        let is_fair = self
            .bounded
            .kinds
            .iter()
            .all(|tally| tally.served() >= least);
        is_fair && self.bounded.worth() >= self.open.worth() && self.bounded.refused_half_free == 0
    }
}

/// Replays a pattern under both policies.
pub fn measure(pattern: LoadPattern, size: FleetSize, seed: u64) -> PatternResult {
    let calls = draw_load(pattern, size, seed);
    PatternResult {
        open: replay(pattern, AdmissionPolicy::Open, size, &calls, seed),
        uncorrected: replay(pattern, AdmissionPolicy::Uncorrected, size, &calls, seed),
        speed_ignored: replay(pattern, AdmissionPolicy::SpeedIgnored, size, &calls, seed),
        accounts_shared: replay(pattern, AdmissionPolicy::AccountsShared, size, &calls, seed),
        calm: (!pattern.surging().is_empty()).then(|| {
            let base = draw_base(pattern, size, seed);
            replay(pattern, AdmissionPolicy::Bounded, size, &base, seed)
        }),
        bounded: replay(pattern, AdmissionPolicy::Bounded, size, &calls, seed),
        ideal: ideal_worth(&calls, size.engines),
    }
}

/// Runs the measurement and prints its results. Returns whether the bound holds on each pattern.
pub fn run(args: &OverloadArgs) -> bool {
    let patterns = match args.pattern {
        Some(pattern) => vec![pattern],
        None => LoadPattern::ALL.to_vec(),
    };
    let mut holds = true;
    for pattern in patterns {
        let result = measure(pattern, args.size, args.seed);
        let policies = [
            ("open", &result.open),
            ("uncorrected", &result.uncorrected),
            ("speed-ignored", &result.speed_ignored),
            ("bounded", &result.bounded),
            ("accounts-shared", &result.accounts_shared),
        ];
        for (policy, of_policy) in policies {
            print_result(pattern, args, policy, of_policy, result.ideal);
            if let Some(calm) = &result.calm {
                print_accounts(pattern, args, policy, of_policy, calm);
            }
        }
        holds &= result.holds();
    }
    holds
}

fn print_result(
    pattern: LoadPattern,
    args: &OverloadArgs,
    policy: &str,
    result: &OverloadResult,
    ideal: f64,
) {
    let kinds = CALL_KINDS.iter().zip(&result.kinds).map(|(kind, tally)| {
        let share = |count| f64::from(count) / f64::from(tally.calls.max(1));
        let (name, refused) = (kind.name, share(tally.refused));
        let (on_time, late) = (share(tally.on_time), share(tally.late));
        format!("{name}={on_time:.3}/{late:.3}/{refused:.3}")
    });
    let kinds: Vec<String> = kinds.collect();
    println!(
        "RESULT overload pattern={pattern} policy={policy} size={} seed={} worth={:.3} ideal={ideal:.3} \
         served={:.3} {} refused_half_free={}",
        args.size,
        args.seed,
        result.worth(),
        result.served(),
        kinds.join(" "),
        result.refused_half_free,
    );
}

fn print_accounts(
    pattern: LoadPattern,
    args: &OverloadArgs,
    policy: &str,
    result: &OverloadResult,
    calm: &OverloadResult,
) {
    let (kept, least_kept) = result.kept(calm, pattern.surging());
    println!(
        "RESULT overload-accounts pattern={pattern} policy={policy} size={} seed={} \
         others_kept={kept:.3} least_kept={least_kept:.3} surge_of_fair_share={:.3} \
         free_at_refusal={:.3}",
        args.size,
        args.seed,
        result.share_ratio(pattern.surging()),
        result.free_at_refusal(),
    );
}
