//! Ratio of the most loaded endpoint's load to the mean load.

use argh::FromArgs;
use settings::LoadLimits;

use crate::BoundVerdict;
use crate::policy::PolicyKind;
use crate::suite::{ServiceTrials, SuiteSettings, limits_with, run_suite};
use crate::trial::{Chooser, TrialResult};

/// measure the ratio of the most loaded endpoint's load to the mean load
#[derive(FromArgs)]
#[argh(subcommand, name = "skew")]
pub(crate) struct SkewArgs {
    /// seed of the request sequence
    #[argh(option, default = "7")]
    pub(crate) seed: u64,
    /// random, least, rendezvous, warm or ideal
    #[argh(option, default = "PolicyKind::default()")]
    pub(crate) policy: PolicyKind,
    /// number of entries, each with its own view of the endpoints
    #[argh(option)]
    pub(crate) entries: Option<usize>,
    /// number of endpoints of one service; without it, the services of both deployments are
    /// measured
    #[argh(option)]
    pub(crate) endpoints: Option<usize>,
    /// percent of the traffic that comes from one account
    #[argh(option, default = "0")]
    pub(crate) surge: u32,
    /// endpoint restarts with an empty cache per 1,000 requests
    #[argh(option, default = "0")]
    pub(crate) churn: u32,
    /// load that the policy aims at as a multiple of the mean, instead of the default
    #[argh(option)]
    pub(crate) aim: Option<f64>,
    /// requests of each trial, instead of a number that depends on the service's size
    #[argh(option)]
    pub(crate) requests: Option<usize>,
}

/// Largest accepted share of refused requests.
const MAX_REFUSED: f64 = 0.01;
/// Largest accepted ratio of the skew to the ideal policy's, if the ideal policy exceeds the bound
/// itself.
const MAX_OF_IDEAL: f64 = 1.05;

impl SkewArgs {
    fn suite(&self) -> SuiteSettings {
        SuiteSettings {
            seed: self.seed,
            entries: self.entries,
            endpoints: self.endpoints,
            surge: self.surge,
            churn: self.churn,
            limits: limits_with(self.aim),
            requests: self.requests,
        }
    }
}

/// Runs the measurement and prints its result.
pub(crate) fn run(args: &SkewArgs) -> BoundVerdict {
    let trials = run_suite(&args.suite(), Chooser::IdealLoad);
    let policy = args.policy;
    let results = || trials.iter().map(|trial| trial.result(policy));
    let worst = |value: fn(&TrialResult) -> f64| results().map(value).fold(0.0, f64::max);
    let bound = LoadLimits::default().bound;
    let over_share = results().map(|result| result.over_share(bound));
    let of_ideal = trials.iter().map(|trial| of_ideal(trial, policy));
    let verdict = BoundVerdict::of(trials.iter().all(|trial| holds(trial, policy)));
    println!(
        "RESULT skew policy={policy} seed={} surge={} churn={} over_bound={} max_over_mean={:.3} \
         of_ideal={:.3} p99_over_mean={:.3} over_share={:.4} refused={:.4} redirected={:.3}",
        args.seed,
        args.surge,
        args.churn,
        results().map(|result| result.over_bound).sum::<u64>(),
        worst(TrialResult::max_over_mean),
        of_ideal.fold(0.0, f64::max),
        worst(TrialResult::p99_over_mean),
        over_share.fold(0.0, f64::max),
        worst(TrialResult::refused_share),
        worst(TrialResult::redirected_share),
    );
    verdict
}

fn holds(trial: &ServiceTrials, policy: PolicyKind) -> bool {
    let result = trial.result(policy);
    let ideal = trial.result(PolicyKind::Ideal).max_over_mean();
    let bound = LoadLimits::default().bound;
    let limit = if ideal <= bound {
        bound
    } else {
        MAX_OF_IDEAL * ideal
    };
    result.requests > 0
        && result.over_bound == 0
        && result.max_over_mean() <= limit
        && result.refused_share() < MAX_REFUSED
}

fn of_ideal(trial: &ServiceTrials, policy: PolicyKind) -> f64 {
    trial.result(policy).max_over_mean() / trial.result(PolicyKind::Ideal).max_over_mean()
}
