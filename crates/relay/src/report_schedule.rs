//! Which endpoints the first keeper of their processes asks for reports, and what became known by them.
//!
//! Load pattern: a release lists many endpoints at once beside those of the versions before it, which need
//! another report as well. All instances may lose power seconds later, and an old process is known by the
//! start that it states, so the youngest processes go first.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use wire::id::{EndpointId, VersionId};

use crate::row::EndpointRow;

/// Reports that may be asked for in a second. They have a price.
const REPORT_RATE: f64 = 128.0;
/// Reports that may be asked for at once.
const MAX_REPORT_CREDIT: f64 = 32.0;
/// Time after which an endpoint is asked for its report again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Number of times that this interval doubles for an endpoint that has stated no start.
const MAX_DOUBLINGS: u32 = 10;
/// Maximum number of processes that a summary names.
const MAX_NAMED: usize = 32;

/// What the list states of an endpoint that is asked for its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListedProcess {
    /// Address at which it is asked.
    pub address: SocketAddr,
    /// Its software version.
    pub version: VersionId,
}

impl ListedProcess {
    /// What the list states of the endpoint of a row.
    pub fn of(row: &EndpointRow) -> Self {
        Self {
            address: row.address.into(),
            version: row.version_id,
        }
    }
}

/// What one more report of an endpoint may show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportNeed {
    /// When its process started: no report has stated that.
    First,
    /// Whether it has another process since a sign of a restart.
    AfterSign {
        /// When the sign was seen.
        seen_at: Duration,
    },
    /// That the process which reported before is the one that a reading since then states.
    Proving,
}

/// An endpoint whose process is to be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What the list states of it.
    pub listed: ListedProcess,
    /// What one more report may show; `None` if it need not or may not be asked.
    pub need: Option<ReportNeed>,
    /// Whether it has stated when a process of it started.
    pub has_reported: bool,
}

/// An endpoint that is or was a candidate.
#[derive(Clone, Copy, Debug)]
struct ScheduledEndpoint {
    listed: ListedProcess,
    /// Since when it has been a candidate as it is listed now.
    listed_at: Duration,
    /// When its present process was first noticed: it was listed, or a sign of a restart was seen.
    noticed_at: Duration,
    /// When it was last asked; zero if it was not.
    asked_at: Duration,
    /// Number of times that it was asked.
    count: u32,
}

impl ScheduledEndpoint {
    fn new(now: Duration, listed: ListedProcess) -> Self {
        Self {
            listed,
            listed_at: now,
            noticed_at: now,
            asked_at: Duration::ZERO,
            count: 0,
        }
    }

    /// Whether the endpoint may be asked again. One that has not stated its start may never do so, and is
    /// asked more and more rarely.
    fn is_over(&self, now: Duration, has_reported: bool) -> bool {
        let doublings = match has_reported {
            true => 0,
            false => self.count.saturating_sub(1).min(MAX_DOUBLINGS),
        };
        self.count == 0 || now >= self.asked_at + REPORT_INTERVAL * 2u32.pow(doublings)
    }
}

/// The turn of an endpoint among those that are asked; the least one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReportTurn {
    /// Whether it was asked for the same before, without an answer that tells it.
    is_repeated: bool,
    /// The process that was noticed last goes first.
    noticed_at: Reverse<Duration>,
    /// Of processes that were noticed together, those that have not reported go first: what proves them
    /// begins with that.
    is_proving: bool,
    asked_at: Duration,
    endpoint: EndpointId,
}

/// Processes that have become known, for one line of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownSummary {
    /// Their number.
    pub count: usize,
    /// Some of their endpoints.
    pub endpoints: Vec<EndpointId>,
    /// Longest time since one of them was listed, as far as that is known.
    pub since_listed: Duration,
    /// Longest time since one of them has certainly served, mostly since its first report.
    pub since_served: Duration,
}

/// When endpoints were asked for their reports.
#[derive(Clone, Debug)]
pub struct ReportSchedule {
    endpoints: HashMap<EndpointId, ScheduledEndpoint>,
    /// Number of reports that may be asked for at once, as of `credited_at`.
    credit: f64,
    credited_at: Duration,
    /// What has become known since the last summary.
    known: KnownSummary,
}

impl Default for ReportSchedule {
    /// No endpoint was asked.
    fn default() -> Self {
        Self {
            endpoints: HashMap::new(),
            credit: MAX_REPORT_CREDIT,
            credited_at: Duration::ZERO,
            known: KnownSummary::default(),
        }
    }
}

impl ReportSchedule {
    /// Chooses which endpoints are asked now, those first whose process was noticed last.
    pub fn choose(&mut self, now: Duration, candidates: &[ReportCandidate]) -> Vec<EndpointId> {
        self.update(now, candidates);
        let turns = candidates.iter();
        let turns = turns.filter_map(|candidate| self.turn(now, candidate));
        let mut turns: Vec<ReportTurn> = turns.collect();
        turns.sort_unstable();
        turns.truncate(self.earn_credit(now));
        self.credit -= turns.len() as f64;
        for turn in &turns {
            if let Some(scheduled) = self.endpoints.get_mut(&turn.endpoint) {
                scheduled.asked_at = now;
                scheduled.count = scheduled.count.saturating_add(1);
            }
        }
        turns.into_iter().map(|turn| turn.endpoint).collect()
    }

    /// The turn of an endpoint; `None` if it is not asked now.
    fn turn(&self, now: Duration, candidate: &ReportCandidate) -> Option<ReportTurn> {
        let need = candidate.need?;
        let scheduled = self.endpoints.get(&candidate.endpoint)?;
        let asked_at = scheduled.asked_at;
        let turn = ReportTurn {
            is_repeated: match need {
                ReportNeed::First => scheduled.count > 0,
                ReportNeed::AfterSign { seen_at } => scheduled.count > 0 && asked_at >= seen_at,
                ReportNeed::Proving => false,
            },
            noticed_at: Reverse(scheduled.noticed_at),
            is_proving: matches!(need, ReportNeed::Proving),
            asked_at,
            endpoint: candidate.endpoint,
        };
        let is_due = scheduled.is_over(now, candidate.has_reported);
        is_due.then_some(turn)
    }

    /// Number of reports that may be asked for now.
    fn earn_credit(&mut self, now: Duration) -> usize {
        let earned = now.saturating_sub(self.credited_at).as_secs_f64() * REPORT_RATE;
        self.credit = (self.credit + earned).min(MAX_REPORT_CREDIT);
        self.credited_at = now;
        self.credit as usize
    }

    /// Keeps what is known of those endpoints that are candidates, as they are listed now.
    fn update(&mut self, now: Duration, candidates: &[ReportCandidate]) {
        for candidate in candidates {
            let new = ScheduledEndpoint::new(now, candidate.listed);
            let scheduled = self.endpoints.entry(candidate.endpoint).or_insert(new);
            if scheduled.listed != candidate.listed {
                *scheduled = new;
            }
            if let Some(ReportNeed::AfterSign { seen_at }) = candidate.need {
                scheduled.noticed_at = scheduled.noticed_at.max(seen_at);
            }
        }
        if self.endpoints.len() > candidates.len() {
            let kept = candidates.iter().map(|candidate| candidate.endpoint);
            let kept: BTreeSet<EndpointId> = kept.collect();
            self.endpoints.retain(|endpoint, _| kept.contains(endpoint));
        }
    }

    /// Records that a process of an endpoint has become known, which has `served` for that long.
    pub fn note_known(&mut self, now: Duration, endpoint: EndpointId, served: Duration) {
        let scheduled = self.endpoints.get(&endpoint);
        let since_listed = scheduled.map_or(Duration::ZERO, |scheduled| {
            now.saturating_sub(scheduled.listed_at)
        });
        let known = &mut self.known;
        known.count += 1;
        known.since_listed = known.since_listed.max(since_listed);
        known.since_served = known.since_served.max(served);
        if known.endpoints.len() < MAX_NAMED {
            known.endpoints.push(endpoint);
        }
    }

    /// What has become known since the last call; `None` for nothing.
    pub fn take_summary(&mut self) -> Option<KnownSummary> {
        let summary = std::mem::take(&mut self.known);
        (summary.count > 0).then_some(summary)
    }
}
