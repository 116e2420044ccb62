//! Share of reusable prefix tokens that requests find in the cache of their endpoint.

use argh::FromArgs;

use crate::BoundVerdict;
use crate::policy::PolicyKind;
use crate::suite::{ServiceTrials, SuiteSettings, limits_with, run_suite};
use crate::trial::Chooser;

/// measure the share of reusable prefix tokens that requests find cached
#[derive(FromArgs)]
#[argh(subcommand, name = "reuse")]
pub(crate) struct ReuseArgs {
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

/// Smallest accepted ratio of the hit rate to the ideal policy's hit rate.
const MIN_OF_IDEAL: f64 = 0.9;

impl ReuseArgs {
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
pub(crate) fn run(args: &ReuseArgs) -> BoundVerdict {
    let trials = run_suite(&args.suite(), Chooser::IdealWarm);
    let policy = args.policy;
    let hits = trials.iter().map(|trial| trial.result(policy).hit());
    let of_ideal = trials.iter().map(|trial| of_ideal(trial, policy));
    let verdict = BoundVerdict::of(trials.iter().all(|trial| holds(trial, policy)));
    println!(
        "RESULT reuse policy={policy} seed={} surge={} churn={} hit={:.4} hit_of_ideal={:.4}",
        args.seed,
        args.surge,
        args.churn,
        hits.fold(f64::INFINITY, f64::min),
        of_ideal.fold(f64::INFINITY, f64::min),
    );
    verdict
}

fn holds(trial: &ServiceTrials, policy: PolicyKind) -> bool {
    let hit = trial.result(policy).hit();
    let baselines = [PolicyKind::Rendezvous, PolicyKind::Least];
    let mut others = baselines.into_iter().filter(|other| *other != policy);
    let is_best = others.all(|other| hit > trial.result(other).hit());
    is_best && of_ideal(trial, policy) >= MIN_OF_IDEAL
}

fn of_ideal(trial: &ServiceTrials, policy: PolicyKind) -> f64 {
    trial.result(policy).hit() / trial.result(PolicyKind::Ideal).hit()
}
