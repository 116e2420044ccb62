//! Calls that crash the endpoints that run them.
//!
//! Whenever an endpoint breaks off, every call that it was running is suspected. A call that was
//! running at several endpoints when each of them broke off is refused for a while. Instances tell
//! each other what they saw.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use wire::gateway::CrashReport;
use wire::id::{EndpointId, FingerprintHash};

/// Endpoints that broke off under a call before it is refused.
const CONVICTING_CRASHES: usize = 3;
/// Time for which a report counts.
const MEMORY: Duration = Duration::from_secs(60);
/// Time for which a report is told to other instances.
const TELLING_TIME: Duration = Duration::from_secs(2);
/// Reports in one heartbeat at most.
const TOLD_REPORTS: usize = 24;
/// Suspected calls that are remembered at most.
const MAX_SUSPECTS: usize = 4096;

#[derive(Debug, Default)]
struct SuspectCall {
    endpoints: BTreeSet<EndpointId>,
    seen_at: Duration,
}

/// Suspected calls, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<FingerprintHash, SuspectCall>,
    /// Own reports, with their time.
    own: Vec<(CrashReport, Duration)>,
}

impl CrashLedger {
    /// An endpoint broke off under a call of this instance.
    pub fn note_own(&mut self, now: Duration, report: CrashReport) {
        self.own.push((report, now));
        self.note(now, report);
    }

    /// Takes over a report, of this instance or another.
    pub fn note(&mut self, now: Duration, report: CrashReport) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects
                .retain(|_, suspect| now < suspect.seen_at + MEMORY);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        suspect.endpoints.insert(report.endpoint);
        suspect.seen_at = now;
    }

    /// Whether a call is refused.
    pub fn is_convicted(&self, now: Duration, fingerprint: FingerprintHash) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| {
            suspect.endpoints.len() >= CONVICTING_CRASHES && now < suspect.seen_at + MEMORY
        })
    }

    /// The latest own reports, for the next heartbeat.
    pub fn reports_to_tell(&mut self, now: Duration) -> Vec<CrashReport> {
        self.own.retain(|(_, at)| now < *at + TELLING_TIME);
        let newest = self.own.iter().rev().take(TOLD_REPORTS);
        newest.map(|(report, _)| *report).collect()
    }
}
