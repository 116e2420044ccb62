//! Runs every policy on the measured services, and prints a line for each trial.

use settings::LoadLimits;

use crate::policy::PolicyKind;
use crate::trial::{Chooser, TrialResult, run_trial};
use crate::workload::{RequestSequence, WorkloadSettings};

/// Numbers of endpoints of the services of both deployments: redaction, guichet, toponym-lm and
/// gazetteer-api.
const DEPLOYED_SERVICES: [usize; 4] = [9, 3, 9, 4];
/// Number of entries of a deployment.
const DEPLOYED_ENTRIES: usize = 4;
/// Smallest default number of requests of a trial.
const MIN_REQUESTS: usize = 60_000;
/// Smallest default number of requests of a trial per slot of the service.
const REQUESTS_PER_SLOT: usize = 8;

/// Parameters of a suite.
#[derive(Clone, Debug)]
pub(crate) struct SuiteSettings {
    pub(crate) seed: u64,
    pub(crate) entries: Option<usize>,
    pub(crate) endpoints: Option<usize>,
    pub(crate) surge: u32,
    pub(crate) churn: u32,
    pub(crate) limits: LoadLimits,
    pub(crate) requests: Option<usize>,
}

/// Results of every policy on one service.
pub(crate) struct ServiceTrials {
    results: Vec<(PolicyKind, TrialResult)>,
}

impl ServiceTrials {
    /// Returns the result of `policy`.
    pub(crate) fn result(&self, policy: PolicyKind) -> &TrialResult {
        let found = self.results.iter().find(|(kind, _)| *kind == policy);
        found
            .map(|(_, result)| result)
            .expect("every policy is tried")
    }
}

/// Runs every policy on every service; `ideal` is the chooser of the ideal policy.
pub(crate) fn run_suite(settings: &SuiteSettings, ideal: Chooser) -> Vec<ServiceTrials> {
    let deployed = DEPLOYED_SERVICES.to_vec();
    let services = settings.endpoints.map_or(deployed, |count| vec![count]);
    let numbered = (0..).zip(services);
    numbered
        .map(|(number, endpoints)| run_service(settings, endpoints, number, ideal))
        .collect()
}

fn run_service(
    settings: &SuiteSettings,
    endpoints: usize,
    number: u64,
    ideal: Chooser,
) -> ServiceTrials {
    let slots = endpoints * crate::workload::SLOTS as usize;
    let requests = MIN_REQUESTS.max(slots * REQUESTS_PER_SLOT);
    let workload = WorkloadSettings {
        seed: settings.seed.wrapping_mul(16).wrapping_add(number),
        endpoints,
        entries: settings.entries.unwrap_or(DEPLOYED_ENTRIES),
        surge: settings.surge,
        churn: settings.churn,
        requests: settings.requests.unwrap_or(requests),
    };
    let sequence = RequestSequence::generate(&workload);
    let trial = |policy| {
        let result = run_trial(&sequence, chooser(policy, ideal), settings.limits);
        print_trial(endpoints, policy, &result);
        (policy, result)
    };
    let results = PolicyKind::ALL.into_iter().map(trial).collect();
    ServiceTrials { results }
}

fn chooser(policy: PolicyKind, ideal: Chooser) -> Chooser {
    match policy {
        PolicyKind::Random => Chooser::Random,
        PolicyKind::Least => Chooser::Least,
        PolicyKind::Rendezvous => Chooser::Rendezvous,
        PolicyKind::Warm => Chooser::Warm,
        PolicyKind::Ideal => ideal,
    }
}

fn print_trial(endpoints: usize, policy: PolicyKind, result: &TrialResult) {
    println!(
        "trial endpoints={endpoints} policy={policy} over_bound={} max_over_mean={:.3} \
         p99_over_mean={:.3} over_share={:.4} refused={:.4} redirected={:.3} deferred={:.4} cut={} hit={:.4}",
        result.over_bound,
        result.max_over_mean(),
        result.p99_over_mean(),
        result.over_share(LoadLimits::default().bound),
        result.refused_share(),
        result.redirected_share(),
        result.deferred_share(),
        result.cut,
        result.hit(),
    );
    if let Some(time) = result.decision_time {
        println!("timing endpoints={endpoints} policy={policy} decision={time:?}");
    }
}

/// Returns the default limits, with `aim` if it is given.
pub(crate) fn limits_with(aim: Option<f64>) -> LoadLimits {
    let limits = LoadLimits::default();
    LoadLimits {
        aim: aim.unwrap_or(limits.aim),
        ..limits
    }
}
