//! How far the busiest endpoint sits above the mean.

use argh::FromArgs;

use crate::BoundVerdict;
use crate::policy::PolicyKind;

/// measure how far the busiest endpoint sits above the mean
#[derive(FromArgs)]
#[argh(subcommand, name = "skew")]
pub(crate) struct SkewArgs {
    /// seed of the request sequence
    #[argh(option, default = "7")]
    pub(crate) seed: u64,
    /// random, least, rendezvous, warm or ideal
    #[argh(option, default = "PolicyKind::default()")]
    pub(crate) policy: PolicyKind,
    /// entries, each with a view of its own
    #[argh(option)]
    pub(crate) entries: Option<usize>,
    /// endpoints of one service; without it, the services of both deployments are measured
    #[argh(option)]
    pub(crate) endpoints: Option<usize>,
    /// percent of the traffic that comes from one account
    #[argh(option, default = "0")]
    pub(crate) surge: u32,
    /// endpoint restarts, cold, in each 1,000 requests
    #[argh(option, default = "0")]
    pub(crate) churn: u32,
}

/// Runs the measurement and prints its result.
pub(crate) fn run(args: &SkewArgs) -> BoundVerdict {
    println!(
        "RESULT skew policy={} seed={} entries={} endpoints={} surge={} churn={} measured=no",
        args.policy,
        args.seed,
        args.entries.unwrap_or_default(),
        args.endpoints.unwrap_or_default(),
        args.surge,
        args.churn,
    );
    BoundVerdict::of(false)
}
