//! Whether the software version that the list states for an endpoint is that of its present process.
//!
//! The list lags, and an endpoint that crashes stays listed. Load pattern: endpoints crash while
//! they stream and are back under their ids with other software before any list shows it; the
//! streams that they broke off look for an endpoint of their version at that moment.
//!
//! A sign of a restart makes the version uncertain. It is certain again once the endpoint has
//! answered after the sign, and a reading of the list began at least the lag of the list after the
//! connection of that answer was accepted: that reading shows the process that answered. A
//! connection from before the sign shows that there was no restart, and so does an endpoint that
//! reports a start long before the reading, or the start of a process whose version is known.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use wire::id::{EndpointId, ServiceId, VersionId};
use wire::stream::{MAX_RESTART_SIGNS, RestartNotice, RestartSign};

use wire::process::{ProcessRecord, ProcessStart};

use crate::known_processes::{KnownProcess, KnownProcesses};
use crate::origin::whole_millis;
use crate::report_schedule::ReportNeed;
use crate::unsettled_origins::{LostCause, ProcessFinding, UnsettledStream};

/// Time for which a sign is kept if the endpoint does not answer: longer than any stream lives that
/// could return to it.
const SIGN_RETENTION: Duration = Duration::from_secs(600);
/// Time for which a sign is told to other instances after the list has overcome it here: their lists
/// may be older.
const TOLD_TIME: Duration = Duration::from_secs(10);
/// Time within which bytes that a process has sent arrive, also if packets are lost.
const TRANSIT_TIME: Duration = Duration::from_secs(1);
/// Interval at which one more check may begin. Checks have a price.
const CREDIT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval after which an endpoint is checked again because of the same sign.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of checks that may begin at once: several endpoints may crash together.
const MAX_CHECK_CREDIT: f64 = 20.0;
/// Longest time by which the time of day of two machines is assumed to differ.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(10);
/// Time from the start of an instance, or the end of a gap, until the others tell it of signs: two
/// heartbeats, and the time that they take.
const INTRODUCTION_TIME: Duration = Duration::from_millis(600);
/// Time from a sign within which the endpoint may still report that its process has not changed.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Time within which further signs of an endpoint are not announced: a crash breaks off many runs.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of readings that are remembered: a report may be answered after several later ones.
const MAX_READINGS: usize = 8;

/// A reading of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StatedReading {
    began_at: Duration,
    /// When it had ended, as far as this instance knows.
    ended_at: Duration,
}

/// Time for which one process of an endpoint has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServedSpan {
    /// When it accepted a connection.
    since: Duration,
    /// When a call was sent on that connection that it answered.
    until: Duration,
}

/// What an endpoint reported of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessReport {
    /// When the process started, as the endpoint states it.
    pub start: ProcessStart,
    /// Time since then by the time of day; `None` if it can't be true.
    pub age: Option<Duration>,
    /// When the endpoint accepted the connection of the report.
    pub since: Duration,
    /// When the report was asked for.
    pub sent_at: Duration,
}

/// The time for which a process of an endpoint has certainly served, by its reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedSpan {
    /// When the process started, as it states it.
    start: ProcessStart,
    /// Since when it has served.
    since: Duration,
    /// When its latest report was asked for.
    until: Duration,
}

impl ReportedSpan {
    /// Whether the process served at `at`.
    fn covers(&self, at: Duration) -> bool {
        self.since <= at && at <= self.until
    }
}

/// A sign that an endpoint may have restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SignRecord {
    /// When it was seen.
    seen_at: Duration,
    /// What is known of the process that served after that; `None` before.
    served: Option<ServedSpan>,
    /// When a sign of this endpoint was last announced to other instances.
    announced_at: Option<Duration>,
}

/// Signs of restarts, and the readings of the list that overcome them.
#[derive(Clone, Debug)]
pub struct VersionCertainty {
    /// Longest time by which a reading of the list is behind.
    lag: Duration,
    /// When the latest reading began that states the active list; zero before the first.
    stated_at: Duration,
    /// The latest readings that stated the active list, first to last.
    readings: VecDeque<StatedReading>,
    /// Time from which on this instance has missed no sign that it was told; `None` while it hears
    /// none.
    watched_since: Option<Duration>,
    /// Time before that for which the signs are known, from an instance that was watching.
    known_before: Duration,
    signs: HashMap<EndpointId, SignRecord>,
    /// Number of checks that may begin at once, as of `credited_at`.
    check_credit: f64,
    credited_at: Duration,
    /// The process that an endpoint last reported.
    reported: HashMap<EndpointId, ReportedSpan>,
    /// Processes whose version is known.
    pub known: KnownProcesses,
    /// Until when an endpoint was shown to be served by the process that the active list states.
    proven: HashMap<EndpointId, Duration>,
    /// When endpoints were last checked.
    checked: HashMap<EndpointId, Duration>,
}

impl Default for VersionCertainty {
    /// No signs, before the first reading of a list without lag.
    fn default() -> Self {
        Self::new(Duration::ZERO)
    }
}

impl VersionCertainty {
    /// No signs, before the first reading.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            stated_at: Duration::ZERO,
            readings: VecDeque::new(),
            watched_since: Some(Duration::ZERO),
            known_before: Duration::ZERO,
            signs: HashMap::new(),
            check_credit: MAX_CHECK_CREDIT,
            credited_at: Duration::ZERO,
            reported: HashMap::new(),
            known: KnownProcesses::default(),
            proven: HashMap::new(),
            checked: HashMap::new(),
        }
    }

    /// Whether the version in the list is that of the endpoint's present process.
    pub fn is_certain(&self, endpoint: EndpointId) -> bool {
        let sign = self.signs.get(&endpoint);
        let proven_until = self.proven.get(&endpoint).copied();
        let is_proven = proven_until.is_some_and(|until| {
            self.is_watched(until) && sign.is_none_or(|sign| until >= sign.seen_at)
        });
        let is_stated = match sign {
            None => self.misses_none(),
            Some(sign) => sign.served.is_some_and(|served| {
                self.states(served.since) && (self.misses_none() || self.is_watched(served.until))
            }),
        };
        is_proven || is_stated
    }

    /// Drops what is known of endpoints that are not listed any more.
    pub fn retain_listed(&mut self, now: Duration, is_listed: impl Fn(EndpointId) -> bool) {
        self.known.retain_listed(now, &is_listed);
        self.reported.retain(|endpoint, _| is_listed(*endpoint));
        self.proven.retain(|endpoint, _| is_listed(*endpoint));
    }

    /// Records that the list states another process for an endpoint than before.
    pub fn note_replaced(&mut self, endpoint: EndpointId) {
        self.proven.remove(&endpoint);
    }

    /// Whether the signs that this instance knows, and the active list, leave out no restart: a
    /// reading that began since the signs are known shows what they don't.
    fn misses_none(&self) -> bool {
        let known_before = self.known_before.min(self.lag);
        let since = self.watched_since;
        since.is_some_and(|since| self.stated_at + known_before >= since + self.lag)
    }

    /// Whether others have had the time by `at` to know that this instance is to be told of signs.
    fn is_told_of_signs(&self, at: Duration) -> bool {
        let since = self.watched_since;
        since.is_some_and(|since| at >= since + INTRODUCTION_TIME)
    }

    /// Whether this instance has missed no sign since `at`.
    fn is_watched(&self, at: Duration) -> bool {
        self.watched_since.is_some_and(|since| at >= since)
    }

    /// Whether the active list shows the processes that ran when this instance began to watch, or
    /// later ones.
    pub fn has_watched(&self) -> bool {
        self.watched_since.is_some_and(|since| self.states(since))
    }

    /// Records that this instance may have missed signs until `since`, or misses them now.
    pub fn restart_watch(&mut self, since: Option<Duration>) {
        self.watched_since = since;
        self.known_before = Duration::ZERO;
        self.proven.clear();
    }

    /// Whether the active list shows a process that has served since `at`.
    pub fn states(&self, at: Duration) -> bool {
        self.stated_at >= at + self.lag
    }

    /// Whether a reading that began and ended within the time for which a process has served states it.
    fn has_stated(&self, span: &ReportedSpan) -> bool {
        let mut readings = self.readings.iter();
        readings.any(|reading| {
            reading.began_at >= span.since + self.lag && reading.ended_at <= span.until
        })
    }

    /// Time from `now` until a reading may begin that states the process of an endpoint; `None` while
    /// nothing is known that it could be compared with.
    pub fn statement_wait(&self, endpoint: EndpointId, now: Duration) -> Option<Duration> {
        let since = match self.signs.get(&endpoint) {
            Some(sign) => sign.served?.since,
            None => self.watched_since?,
        };
        Some((since + self.lag).saturating_sub(now))
    }

    /// What is known of the process that began a stream, if the list now states `version` for its
    /// endpoint. Another version than the one listed at that time may be that of a later process.
    pub fn find_process(&self, stream: &UnsettledStream, version: VersionId) -> ProcessFinding {
        if stream.listed_version != version {
            return ProcessFinding::Lost(LostCause::OtherVersion);
        }
        let start = stream.process_start;
        if start.is_some_and(|start| self.is_gone(stream.endpoint, start)) {
            return ProcessFinding::Lost(LostCause::OtherProcess);
        }
        let accepted_at = stream.accepted_at;
        match self.signs.get(&stream.endpoint).map(|sign| sign.served) {
            Some(Some(served)) if served.since > accepted_at => {
                match self.is_report_awaited(stream) {
                    true => ProcessFinding::Open,
                    false => ProcessFinding::Lost(LostCause::LaterConnection),
                }
            }
            Some(Some(served)) if self.states(served.since) => ProcessFinding::Version(version),
            None if !self.is_watched(accepted_at) => ProcessFinding::Open,
            None if self.states(accepted_at) => ProcessFinding::Version(version),
            _ => ProcessFinding::Open,
        }
    }

    /// Whether the process of an endpoint with this start is gone: a later one has stated its own.
    pub fn is_gone(&self, endpoint: EndpointId, start: ProcessStart) -> bool {
        let reported = self.reported.get(&endpoint);
        reported.is_some_and(|span| span.start > start)
    }

    /// The version of the process that began a stream, if it is a known one: it stated its start, or
    /// reported before and after that.
    pub fn reported_version(&self, stream: &UnsettledStream) -> Option<VersionId> {
        let start = match stream.process_start {
            Some(start) => start,
            None => {
                let span = self.reported.get(&stream.endpoint)?;
                span.covers(stream.accepted_at).then_some(span.start)?
            }
        };
        let process = self.known.stating(stream.endpoint, start)?;
        Some(process.version())
    }

    /// Whether the endpoint of a stream may still report that its process has not changed with a sign. A
    /// process that stated its start is gone only when another one states its own.
    fn is_report_awaited(&self, stream: &UnsettledStream) -> bool {
        if stream.process_start.is_some() {
            return true;
        }
        let sign = self.signs.get(&stream.endpoint);
        sign.is_some_and(|sign| self.stated_at < sign.seen_at + REPORT_TIME)
    }

    /// Records a sign that was seen at `at`. Returns whether other instances should be told.
    pub fn note_sign(&mut self, endpoint: EndpointId, at: Duration) -> bool {
        let sign = self.note_told(endpoint, at);
        let is_due = sign
            .announced_at
            .is_none_or(|last| at >= last + ANNOUNCEMENT_INTERVAL);
        if is_due {
            sign.announced_at = Some(at);
        }
        is_due
    }

    fn note_told(&mut self, endpoint: EndpointId, at: Duration) -> &mut SignRecord {
        let sign = self.signs.entry(endpoint).or_insert(SignRecord {
            seen_at: at,
            served: None,
            announced_at: None,
        });
        sign.seen_at = sign.seen_at.max(at);
        sign.served = sign.served.filter(|served| served.until >= at);
        sign
    }

    /// Records that an endpoint answered a call that was sent at `sent_at`, on a connection that it
    /// accepted at `since`: one process has served all this time.
    pub fn note_answer(&mut self, endpoint: EndpointId, since: Duration, sent_at: Duration) {
        let Some(sign) = self.signs.get_mut(&endpoint) else {
            return;
        };
        if sent_at < sign.seen_at {
            return;
        }
        let known = sign.served.map_or(since, |served| served.since);
        sign.served = Some(ServedSpan {
            since: known.min(since),
            until: sent_at,
        });
    }

    /// Records what an endpoint reported, for which the list states `listed`. The same start as before
    /// shows that there was no restart in between, an age that there was none since the active list was
    /// read, and the start of a known process which version it has.
    pub fn note_start(&mut self, endpoint: EndpointId, listed: VersionId, report: ProcessReport) {
        let ProcessReport {
            start,
            since,
            sent_at,
            ..
        } = report;
        let least_age = report.age.unwrap_or_default();
        let least_age = least_age.saturating_sub(MAX_CLOCK_ERROR);
        let shown_age = sent_at.saturating_sub(self.stated_at) + self.lag;
        let is_shown = !self.stated_at.is_zero() && least_age > shown_age;
        if is_shown && self.is_told_of_signs(sent_at) {
            self.proven.insert(endpoint, sent_at);
        }
        let served_since = match self.reported.get(&endpoint) {
            Some(span) if span.start == start => since.min(span.since),
            Some(_) => {
                self.note_told(endpoint, sent_at);
                since
            }
            None => since,
        };
        let span = ReportedSpan {
            start,
            since: served_since,
            until: sent_at,
        };
        self.reported.insert(endpoint, span);
        self.note_answer(endpoint, served_since, sent_at);
        self.note_known(endpoint, listed);
    }

    /// Compares what an endpoint last reported with what is known of its processes.
    pub fn note_known(&mut self, endpoint: EndpointId, listed: VersionId) {
        let Some(span) = self.reported.get_mut(&endpoint) else {
            return;
        };
        let Some(process) = self.known.stating(endpoint, span.start) else {
            return;
        };
        span.since = span.since.min(process.since);
        let span = *span;
        self.note_answer(endpoint, span.since, span.until);
        if process.version() == listed && self.is_told_of_signs(span.until) {
            let proven = self.proven.entry(endpoint).or_default();
            *proven = (*proven).max(span.until);
        }
    }

    /// The process that the endpoint is to state on the connection of a call that depends on `listed`,
    /// its version in the list; `None` if no process of it is known to have this version.
    pub fn known_process(&self, endpoint: EndpointId, listed: VersionId) -> Option<KnownProcess> {
        let process = self.known.get(endpoint);
        process.filter(|process| process.version() == listed)
    }

    /// The known process of an endpoint that has `listed`, its version in the list, if no report since has shown
    /// that it is gone: calls may go on there once it has stated its start on their connections.
    pub fn serving_process(&self, endpoint: EndpointId, listed: VersionId) -> Option<KnownProcess> {
        let process = self.known_process(endpoint, listed);
        process.filter(|process| !self.is_gone(endpoint, process.start()))
    }

    /// What calls that depend on the version of an endpoint go by: whether it is certain, and the start of its
    /// serving process.
    pub fn standing(
        &self,
        endpoint: EndpointId,
        listed: VersionId,
    ) -> (bool, Option<ProcessStart>) {
        let process = self.serving_process(endpoint, listed);
        let start = process.map(|process| process.start());
        (self.is_certain(endpoint), start)
    }

    /// Whether the origin of a stream that begins at an endpoint now is certain, or is once its process has
    /// stated its start: no report since has shown that the known process is gone.
    pub fn lasts(&self, endpoint: EndpointId, listed: VersionId) -> bool {
        self.is_known(endpoint, listed) || self.is_certain(endpoint)
    }

    /// Whether an endpoint may have another process than the known one: there is a sign of a restart, it
    /// has not stated its start to this instance, which may have missed one, its latest report states
    /// another start, or none is known.
    pub fn may_be_replaced(&self, endpoint: EndpointId, listed: VersionId) -> bool {
        let has_sign = self.signs.contains_key(&endpoint);
        has_sign || !self.has_reported(endpoint) || !self.is_known(endpoint, listed)
    }

    /// Whether a process of an endpoint is known, and no report since has stated another start.
    fn is_known(&self, endpoint: EndpointId, listed: VersionId) -> bool {
        let reported = self.reported.get(&endpoint);
        let process = self.known_process(endpoint, listed);
        process.is_some_and(|process| reported.is_none_or(|span| span.start == process.start()))
    }

    /// Whether an endpoint has stated when its process started.
    pub fn has_reported(&self, endpoint: EndpointId) -> bool {
        self.reported.contains_key(&endpoint)
    }

    /// What one more report of an endpoint may show: the first one, one after a sign, or one after a reading
    /// that states the process which reported before, if its version `is_wanted`; `None` for nothing. The
    /// process is known if it states the same start before and after a reading.
    pub fn report_need(&self, endpoint: EndpointId, is_wanted: bool) -> Option<ReportNeed> {
        let Some(span) = self.reported.get(&endpoint) else {
            return Some(ReportNeed::First);
        };
        let sign = self.signs.get(&endpoint);
        let sign = sign.filter(|sign| sign.served.is_none_or(|served| served.until < sign.seen_at));
        if let Some(sign) = sign.filter(|sign| sign.seen_at > span.until) {
            let seen_at = sign.seen_at;
            return is_wanted.then_some(ReportNeed::AfterSign { seen_at });
        }
        let is_known = self.known.stating(endpoint, span.start).is_some();
        let is_proven = self.states(span.since) && !self.has_stated(span);
        (is_wanted && !is_known && is_proven).then_some(ReportNeed::Proving)
    }

    /// Records that the process which an endpoint reported has the version that the list states for it,
    /// if a reading within the time that the process has served shows so. Returns the process if it
    /// was not known.
    pub fn find_known(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        service: ServiceId,
        listed: VersionId,
    ) -> Option<ProcessRecord> {
        let span = self.reported.get(&endpoint)?;
        if !self.has_stated(span) {
            return None;
        }
        let record = ProcessRecord {
            endpoint,
            start: span.start,
            service,
            version: listed,
            served_ms: whole_millis(now.saturating_sub(span.since)),
        };
        self.known.note(now, record).then_some(record)
    }

    /// Whether an endpoint is to be checked, as a stream would go on there if its version were
    /// certain. If so, records that the check begins.
    pub fn begin_check(&mut self, endpoint: EndpointId, now: Duration) -> bool {
        let sign = self.signs.get(&endpoint);
        let seen_at = sign.map_or(Duration::ZERO, |sign| sign.seen_at);
        let last = self.checked.get(&endpoint);
        let is_recent = last.is_some_and(|last| *last >= seen_at && now < *last + CHECK_INTERVAL);
        // Without a sign or a known process, only a report that counts is of use.
        let is_known = self.known.get(endpoint).is_some();
        let is_early = sign.is_none() && !is_known && !self.is_told_of_signs(now);
        if is_early || is_recent || self.is_certain(endpoint) {
            return false;
        }
        self.take_credit(endpoint, now)
    }

    /// Whether a stream that begins at an endpoint is to read its report first, so that its origin names
    /// the process. If so, records that the check begins.
    pub fn begin_statement(
        &mut self,
        endpoint: EndpointId,
        listed: VersionId,
        now: Duration,
    ) -> bool {
        let last = self.checked.get(&endpoint);
        let is_recent = last.is_some_and(|last| now < *last + CHECK_INTERVAL);
        // A process that has stated the start of the known one is checked beside the stream.
        let sign = self.signs.get(&endpoint);
        let reported = self.reported.get(&endpoint);
        let is_shown = self.is_known(endpoint, listed)
            && reported.is_some_and(|span| sign.is_none_or(|sign| span.until >= sign.seen_at));
        if is_recent && is_shown || self.is_certain(endpoint) {
            return false;
        }
        self.take_credit(endpoint, now)
    }

    /// Takes the credit of one check of an endpoint. Returns `false` if there is none.
    fn take_credit(&mut self, endpoint: EndpointId, now: Duration) -> bool {
        let earned = now
            .saturating_sub(self.credited_at)
            .div_duration_f64(CREDIT_INTERVAL);
        let credit = (self.check_credit + earned).min(MAX_CHECK_CREDIT);
        (self.check_credit, self.credited_at) = (credit, now);
        if credit < 1.0 {
            return false;
        }
        self.check_credit -= 1.0;
        self.checked.insert(endpoint, now);
        true
    }

    /// Records that a stream goes on that an endpoint sends on a connection which it accepted at
    /// `since`. Bytes that a crashed process has sent may arrive for a while after it.
    pub fn note_bytes(&mut self, endpoint: EndpointId, since: Duration, now: Duration) {
        self.note_answer(endpoint, since, now.saturating_sub(TRANSIT_TIME));
    }

    /// Records that the active list was stated by a reading that began at `began_at`.
    pub fn note_stated(&mut self, now: Duration, began_at: Duration) {
        if began_at > self.stated_at {
            self.stated_at = began_at;
            if self.readings.len() == MAX_READINGS {
                self.readings.pop_front();
            }
            self.readings.push_back(StatedReading {
                began_at,
                ended_at: now,
            });
        }
        let overcome_at = self.stated_at.saturating_sub(self.lag + TOLD_TIME);
        self.signs.retain(|_, sign| {
            let is_over = sign.served.is_some_and(|served| served.since < overcome_at);
            !is_over && now < sign.seen_at + SIGN_RETENTION
        });
        self.checked.retain(|_, at| now < *at + CHECK_INTERVAL);
        if self.misses_none() {
            let signs = &self.signs;
            self.proven
                .retain(|endpoint, _| signs.contains_key(endpoint));
        }
    }

    /// What to tell an instance that has become live; `None` if not all signs fit, as it would take
    /// those that are told for all.
    pub fn notice(&self, now: Duration) -> Option<RestartNotice> {
        let signs = self.signs.iter().map(|(endpoint, sign)| RestartSign {
            endpoint: *endpoint,
            age_ms: whole_millis(now.saturating_sub(sign.seen_at)),
        });
        let signs: Vec<RestartSign> = signs.collect();
        let since = self.watched_since?;
        (signs.len() <= MAX_RESTART_SIGNS).then(|| RestartNotice {
            watched_ms: whole_millis(now.saturating_sub(since) + self.known_before),
            signs,
        })
    }

    /// Records what another instance was watching for and has seen. `is_recent` tells that the notice
    /// was not sent within a gap of this instance, after which the sender may have seen more.
    pub fn note_notice(&mut self, now: Duration, notice: &RestartNotice, is_recent: bool) {
        for sign in &notice.signs {
            let age = Duration::from_millis(u64::from(sign.age_ms));
            self.note_told(sign.endpoint, now.saturating_sub(age));
        }
        let Some(since) = self.watched_since.filter(|_| is_recent) else {
            return;
        };
        let watched = Duration::from_millis(u64::from(notice.watched_ms));
        let before = watched.saturating_sub(now.saturating_sub(since));
        self.known_before = self.known_before.max(before);
    }
}
