//! Reports of requests that were lost together with the agent that ran them.
//!
//! An agent reports what was running when its endpoint crashed. One that goes down with its endpoint
//! can't, so the entry reports its own requests once it learns that the agent has restarted.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use wire::command::ControlCommand;
use wire::id::{EndpointId, FingerprintHash, IncarnationNumber};

use crate::core::EntryCore;

/// Interval at which the entry checks whether the agent has restarted.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which the entry gives up waiting for that. An agent that is only out of reach does not
/// restart.
const RESTART_TIMEOUT: Duration = Duration::from_secs(10 * 60);
/// Number of times that the entry proposes a report. Control learns of the crash from later
/// reports if none is decided.
const REPORT_ATTEMPTS: u32 = 60;
/// Delay after a report that was not decided.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// A run of a request at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentRun {
    /// The request.
    pub fingerprint: FingerprintHash,
    /// The agent's endpoint.
    pub endpoint: EndpointId,
    /// Epoch of the endpoint's cache, as known when the request was sent.
    pub cache_epoch: u64,
    /// Incarnation of the agent that admitted the request; `None` before.
    pub admitted_by: Option<IncarnationNumber>,
}

/// Reports a request whose answer was lost, if its agent restarts. Does not wait for that.
pub fn report_if_restarted(core: &Arc<EntryCore>, run: AgentRun) {
    if let Some(incarnation) = run.admitted_by {
        actix_rt::spawn(wait_and_report(Arc::clone(core), run, incarnation));
    }
}

async fn wait_and_report(core: Arc<EntryCore>, run: AgentRun, incarnation: IncarnationNumber) {
    if !wait_for_restart(&core, run.endpoint, incarnation).await {
        return;
    }
    log::warn!(
        "entry: the agent restarted during a run; reporting request {:016x} as a suspect.",
        run.fingerprint
    );
    // The first epoch of an agent's endpoint is the agent's incarnation.
    let cache_epoch = run.cache_epoch.max(incarnation);
    for _ in 0..REPORT_ATTEMPTS {
        let command = ControlCommand::ReportCrash {
            endpoint: run.endpoint,
            cache_epoch,
            suspects: vec![run.fingerprint],
        };
        if core.proposals.propose(command).await.is_ok() {
            return;
        }
        sleep(REPORT_PAUSE).await;
    }
    log::error!("entry: no control instance recorded a report of a lost request.");
}

/// Waits until the agent of `endpoint` has a later incarnation. Returns `false` if it has none
/// within [`RESTART_TIMEOUT`].
async fn wait_for_restart(
    core: &EntryCore,
    endpoint: EndpointId,
    incarnation: IncarnationNumber,
) -> bool {
    let checks = RESTART_TIMEOUT.as_millis() / CHECK_INTERVAL.as_millis();
    for _ in 0..checks {
        let has_restarted = {
            let selector = core.selector.lock();
            let record = selector.table.record(endpoint);
            record.is_some_and(|record| record.incarnation > incarnation)
        };
        if has_restarted {
            return true;
        }
        sleep(CHECK_INTERVAL).await;
    }
    false
}
