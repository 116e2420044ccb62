//! Detection of calls that crash the endpoints that run them.
//!
//! When the connection to an endpoint breaks during a call, the break is pending until its cause is
//! known: an endpoint that then accepts no connection has crashed, one that keeps answering has
//! only lost an answer. A call that was running at several endpoints when they crashed is refused
//! for a while. Instances announce the crashes that they observe to each other.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use wire::gateway::{CrashReport, MAX_CRASHES};
use wire::id::{EndpointId, FingerprintHash};

/// Number of endpoints that crashed while running a call, from which on the call is refused.
const BLOCKING_CRASHES: usize = 3;
/// Time after the latest crash report of a call until its reports expire.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);
/// Time for which a crash report is sent with each heartbeat to other instances.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);
/// Maximum number of suspected calls that are kept.
const MAX_SUSPECTS: usize = 4096;
/// Time after a break within which a failed connection attempt to the endpoint confirms it as a
/// crash.
const CONFIRMATION_TIME: Duration = Duration::from_secs(3);
/// Maximum number of breaks whose cause is pending.
const MAX_PENDING_BREAKS: usize = 1024;

#[derive(Debug, Default)]
struct SuspectCall {
    endpoints: BTreeSet<EndpointId>,
    seen_at: Duration,
}

/// A decision of [`CrashTracker`], for the log and the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashNews {
    /// The connection to an endpoint broke during a call; the cause is pending.
    Pending(CrashReport),
    /// The endpoint answered a later call: the break was no crash.
    RuledOut(CrashReport),
    /// Nothing told the cause of the break in time.
    Expired(CrashReport),
    /// A crash was counted against a call, which has been counted `crashes` of them.
    Counted {
        /// The call and the endpoint.
        report: CrashReport,
        /// Number of endpoints that crashed while running the call.
        crashes: usize,
    },
    /// The call is refused from now on.
    Blocked(FingerprintHash),
}

/// Tracks which calls are suspected of crashing endpoints, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTracker {
    suspects: HashMap<FingerprintHash, SuspectCall>,
    /// Breaks of this instance's calls whose cause is pending, with their time, oldest first.
    breaks: VecDeque<(CrashReport, Duration)>,
    /// Confirmed crashes of this instance's calls, with the time of confirmation, oldest first.
    own: Vec<(CrashReport, Duration)>,
    /// Decisions that were not taken by [`Self::take_news`] yet, oldest first.
    news: Vec<CrashNews>,
}

impl CrashTracker {
    /// Records that the connection to an endpoint broke during a call of this instance.
    pub fn note_break(&mut self, now: Duration, report: CrashReport) {
        self.expire(now);
        if self.breaks.len() < MAX_PENDING_BREAKS {
            self.breaks.push_back((report, now));
            self.news.push(CrashNews::Pending(report));
        }
    }

    /// Drops breaks whose cause did not become known in time.
    pub fn expire(&mut self, now: Duration) {
        let is_expired = |(_, at): &mut (CrashReport, Duration)| now >= *at + CONFIRMATION_TIME;
        while let Some((report, _)) = self.breaks.pop_front_if(is_expired) {
            self.news.push(CrashNews::Expired(report));
        }
    }

    /// Takes the decisions since the last call of this function, oldest first.
    pub fn take_news(&mut self) -> Vec<CrashNews> {
        std::mem::take(&mut self.news)
    }

    /// Records that an endpoint accepts no connection: recent breaks at it were crashes.
    pub fn confirm(&mut self, now: Duration, endpoint: EndpointId) {
        self.expire(now);
        let breaks = std::mem::take(&mut self.breaks);
        for (report, at) in breaks {
            if report.endpoint != endpoint {
                self.breaks.push_back((report, at));
            } else {
                self.own.push((report, now));
                self.note(now, report);
            }
        }
    }

    /// Records that an endpoint answered a call that was sent to it at `sent_at`: breaks up to then
    /// were no crashes.
    pub fn clear(&mut self, endpoint: EndpointId, sent_at: Duration) {
        let is_cleared =
            |report: &CrashReport, at: Duration| report.endpoint == endpoint && at <= sent_at;
        for (report, at) in std::mem::take(&mut self.breaks) {
            match is_cleared(&report, at) {
                true => self.news.push(CrashNews::RuledOut(report)),
                false => self.breaks.push_back((report, at)),
            }
        }
    }

    /// Records a crash report of this or another instance.
    pub fn note(&mut self, now: Duration, report: CrashReport) {
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects
                .retain(|_, suspect| now < suspect.seen_at + REPORT_LIFETIME);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            return;
        }
        let suspect = self.suspects.entry(report.fingerprint).or_default();
        let was_blocked = suspect.endpoints.len() >= BLOCKING_CRASHES;
        let is_new = suspect.endpoints.insert(report.endpoint);
        let crashes = suspect.endpoints.len();
        suspect.seen_at = now;
        if is_new {
            self.news.push(CrashNews::Counted { report, crashes });
        }
        if crashes >= BLOCKING_CRASHES && !was_blocked {
            self.news.push(CrashNews::Blocked(report.fingerprint));
        }
    }

    /// Number of endpoints that are known to have crashed while running a call.
    pub fn crashes_of(&self, fingerprint: FingerprintHash) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.endpoints.len())
    }

    /// Whether a call is refused because it crashed too many endpoints.
    pub fn is_blocked(&self, now: Duration, fingerprint: FingerprintHash) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| {
            suspect.endpoints.len() >= BLOCKING_CRASHES && now < suspect.seen_at + REPORT_LIFETIME
        })
    }

    /// The newest crash reports of this instance, for the next heartbeat.
    pub fn reports_to_announce(&mut self, now: Duration) -> Vec<CrashReport> {
        self.own.retain(|(_, at)| now < *at + ANNOUNCEMENT_TIME);
        let newest = self.own.iter().rev().take(MAX_CRASHES);
        newest.map(|(report, _)| *report).collect()
    }
}
