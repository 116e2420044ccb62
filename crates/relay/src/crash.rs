//! Calls that crash the endpoints that run them.
//!
//! Whenever a call breaks off, it is suspected until it is known whether its endpoint went down: an
//! endpoint that takes no connection right after has crashed, one that goes on answering has lost
//! an answer. A call that was running at several endpoints when each of them crashed is refused for
//! a while. Instances tell each other what they saw.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use wire::gateway::{CrashReport, MAX_CRASHES};
use wire::id::{EndpointId, FingerprintHash};

/// Endpoints that broke off under a call before it is refused.
const BLOCKING_CRASHES: usize = 3;
/// Time for which a report counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which a report is told to other instances.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);
/// Suspected calls that are remembered at most.
const MAX_SUSPECTS: usize = 4096;
/// Time after a break within which an endpoint that takes no connection counts as crashed by it.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);
/// Breaks that wait for their cause at most.
const MAX_PENDING_BREAKS: usize = 1024;

#[derive(Debug, Default)]
struct SuspectCall {
    endpoints: BTreeSet<EndpointId>,
    seen_at: Duration,
}

/// Suspected calls, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: HashMap<FingerprintHash, SuspectCall>,
    /// Breaks of own calls whose cause is not known yet, with their time. Oldest first.
    breaks: VecDeque<(CrashReport, Duration)>,
    /// Own reports, with their time.
    own: Vec<(CrashReport, Duration)>,
}

impl CrashTracker {
    /// A call of this instance broke off at an endpoint.
    pub fn note_break(&mut self, now: Duration, report: CrashReport) {
        self.breaks.retain(|(_, at)| now < *at + CONFIRMATION_TIME);
        if self.breaks.len() < MAX_PENDING_BREAKS {
            self.breaks.push_back((report, now));
        }
    }

    /// An endpoint takes no connection: it crashed under what broke off there lately.
    pub fn confirm(&mut self, now: Duration, endpoint: EndpointId) {
        let breaks = std::mem::take(&mut self.breaks);
        for (report, at) in breaks {
            if report.endpoint != endpoint {
                self.breaks.push_back((report, at));
            } else if now < at + CONFIRMATION_TIME {
                self.own.push((report, now));
                self.note(now, report);
            }
        }
    }

    /// An endpoint answers a call that it got after the break: it did not crash.
    pub fn clear(&mut self, endpoint: EndpointId, sent_at: Duration) {
        let is_over =
            |report: &CrashReport, at: Duration| report.endpoint == endpoint && at <= sent_at;
        self.breaks.retain(|(report, at)| !is_over(report, *at));
    }

    /// Takes over a report, of this instance or another.
    pub fn note(&mut self, now: Duration, report: CrashReport) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects
                .retain(|_, suspect| now < suspect.seen_at + REPORT_LIFETIME);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        suspect.endpoints.insert(report.endpoint);
        suspect.seen_at = now;
    }

    /// Whether a call is refused.
    pub fn is_blocked(&self, now: Duration, fingerprint: FingerprintHash) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| {
            suspect.endpoints.len() >= BLOCKING_CRASHES && now < suspect.seen_at + REPORT_LIFETIME
        })
    }

    /// The latest own reports, for the next heartbeat.
    pub fn reports_to_announce(&mut self, now: Duration) -> Vec<CrashReport> {
        self.own.retain(|(_, at)| now < *at + ANNOUNCEMENT_TIME);
        let newest = self.own.iter().rev().take(MAX_CRASHES);
        newest.map(|(report, _)| *report).collect()
    }
}
