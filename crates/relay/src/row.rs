//! Load and health of one endpoint of the list.

use std::net::SocketAddrV4;
use std::time::Duration;

use pace::cold::{ColdKnowledge, ColdRule, ColdState};
use pace::limit::LimitStatement;
use pace::rest::EndpointRest;
use pace::room::EndpointRoom;
use pace::statement::{EndpointStatement, StatedValue};
use wire::gateway::ListedEndpoint;
use wire::id::{DomainId, EndpointId, ServiceId, VersionId, name_id};
use wire::statement::{CallRate, ColdNotice, LimitNotice};

use crate::endpoint_leave::EndpointLeave;
use crate::endpoint_limit::{EndpointLimit, KeeperView, SharedRate};
use crate::health::EndpointHealth;
use crate::load_report::LoadReport;
use crate::speed::EndpointSpeed;
use crate::statement_change::StatementChange;

/// Time without activity after which calls avoid an endpoint that runs requests. Several times as
/// long as a slow endpoint takes for an answer or between two events.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Shortest time between two probes of one silent endpoint by this instance. A probe that succeeds
/// costs the endpoint a connection.
const PROBE_INTERVAL: Duration = Duration::from_millis(360);
/// Failed probes in a row after which an endpoint counts as unreachable. The first packet of a
/// single one may be lost.
const MAX_FAILED_PROBES: u32 = 2;
/// Time without bytes from an endpoint after which an instance that hears nothing of the others does
/// not know whether the endpoint has restarted. Shorter than a restart of a whole failure domain.
const ACTIVITY_GAP: Duration = Duration::from_millis(1500);
/// Age up to which the load that an endpoint reported is taken at face value.
const REPORT_LIMIT: Duration = Duration::from_millis(400);
/// Change of this instance's running requests at one endpoint, since the last announcement, from
/// which on an announcement is due before the next regular heartbeat.
const ANNOUNCEMENT_THRESHOLD: u32 = 3;
/// Weight of one sample in the moving averages of the holding time and of `present_fraction`.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Time over which the load of an endpoint is averaged. The loads that other instances announce are
/// up to half of this time old, so for calls that end sooner only an average is meaningful.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Assumed time for which a call holds a slot before one has ended.
const ASSUMED_HOLDING_TIME: Duration = Duration::from_millis(500);

/// The time that a call spent at its endpoint, divided by this, is the minimum of its holding time,
/// however long the expected wait was.
const MIN_RUN_DIVISOR: u32 = 4;

/// Estimates for how long a call held a slot, given the `time` that it spent at its endpoint and
/// the expected `wait` for the slot.
pub fn estimated_holding_time(time: Duration, wait: Duration) -> Duration {
    time.saturating_sub(wait).max(time / MIN_RUN_DIVISOR)
}

/// Suitability of an endpoint for a call, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointStanding {
    /// The endpoint is usable and not silent.
    Sound,
    /// The endpoint runs requests of this instance and has sent nothing for a while.
    Silent,
    /// The endpoint recently could not be reached or broke a connection during a call.
    LeftOut,
}

/// Load and health of one endpoint, as known to this instance.
#[derive(Clone, Debug)]
pub struct EndpointRow {
    /// Name of the endpoint.
    pub name: String,
    /// Address of its HTTP server.
    pub address: SocketAddrV4,
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Version of the endpoint's software, according to the list.
    pub version: String,
    /// Id of `version`.
    pub version_id: VersionId,
    /// Number of requests that it can run concurrently, according to the list; 0 if not known.
    pub slots: u32,
    /// Whether the endpoint is draining and accepts no new calls.
    pub is_draining: bool,
    /// Whether the failure domain of the endpoint is evacuated.
    pub is_evacuated: bool,
    /// Number of this instance's requests at the endpoint.
    own_running: u32,
    /// Value of `own_running` that was last announced to other instances.
    announced_running: u32,
    /// Number of all other instances' requests at the endpoint, as announced by them.
    others_running: u32,
    /// Latest load that the endpoint reported, with the time of the report.
    report: Option<(LoadReport, Duration)>,
    /// Speed of its machine, as stated with the latest report.
    speed: EndpointSpeed,
    /// Health, derived from the calls of this instance.
    pub health: EndpointHealth,
    /// The limit that the endpoint names, and this instance's share of it.
    pub limit: EndpointLimit,
    /// How long endpoints of its service are cold after a start; `None` for never.
    cold_rule: Option<ColdRule>,
    /// What is known of its latest restart.
    cold: ColdState,
    /// The rest that the endpoint has asked of this instance.
    rest: EndpointRest,
    /// Whether the endpoint has said that it leaves.
    leave: EndpointLeave,
    /// Whether the endpoint has stated something unreadable.
    has_unreadable: bool,
    /// Time since which the endpoint has continuously run requests of this instance.
    busy_since: Option<Duration>,
    /// Time of the latest bytes from the endpoint.
    last_active_at: Option<Duration>,
    /// Probes in a row that found that the endpoint accepts no connection.
    failed_probes: u32,
    /// Time of the latest probe.
    probed_at: Option<Duration>,
    /// Time since which bytes have arrived without a break of [`ACTIVITY_GAP`].
    active_since: Duration,
    /// Whether a call to its address was declined as misdirected, which means that another endpoint
    /// has taken over the address.
    is_misplaced: bool,
    /// Moving average of the time for which a call holds a slot; `None` before the first successful
    /// call has ended.
    pub holding_time: Option<Duration>,
    /// Load, averaged over the time by which [`AVERAGING_TIME`] exceeds the holding time.
    average_load: f64,
    /// Time at which `average_load` was updated.
    averaged_at: Duration,
    /// Moving average of the endpoint's reported requests relative to the requests that instances
    /// count for it; at most 1. The difference is requests and answers in transit.
    present_fraction: f64,
}

impl EndpointRow {
    /// Creates the row of a listed endpoint without any load or history.
    pub fn new(listed: &ListedEndpoint) -> Self {
        Self {
            name: listed.name.clone(),
            address: listed.address,
            service: listed.service_id(),
            domain: listed.domain,
            version: listed.version.clone(),
            version_id: name_id(&listed.version),
            slots: u32::from(listed.slots),
            is_draining: listed.is_draining,
            is_evacuated: false,
            own_running: 0,
            announced_running: 0,
            others_running: 0,
            report: None,
            speed: EndpointSpeed::default(),
            health: EndpointHealth::default(),
            limit: EndpointLimit::new(Duration::ZERO),
            cold_rule: None,
            cold: ColdState::default(),
            rest: EndpointRest::None,
            leave: EndpointLeave::No,
            has_unreadable: false,
            busy_since: None,
            last_active_at: None,
            failed_probes: 0,
            probed_at: None,
            active_since: Duration::ZERO,
            is_misplaced: false,
            holding_time: None,
            average_load: 0.0,
            averaged_at: Duration::ZERO,
            present_fraction: 1.0,
        }
    }

    /// Whether an entry of the list is this endpoint, not one that replaced it under its name.
    pub fn is_same(&self, listed: &ListedEndpoint) -> bool {
        let is_in_place = self.address == listed.address && self.domain == listed.domain;
        is_in_place && self.version == listed.version
    }

    /// Suitability of the endpoint for a call; `None` if calls must not be sent to it because it is
    /// draining, by the list or its own word, misplaced, or its failure domain is evacuated.
    pub fn standing(&self, now: Duration) -> Option<EndpointStanding> {
        let is_leaving = self.is_draining || self.leave != EndpointLeave::No;
        if is_leaving || self.is_misplaced || self.is_evacuated {
            return None;
        }
        Some(match (self.health.is_usable(now), self.is_silent(now)) {
            (false, _) => EndpointStanding::LeftOut,
            (true, true) => EndpointStanding::Silent,
            (true, false) => EndpointStanding::Sound,
        })
    }

    /// Whether the endpoint may be asked for its report, which is a request beside those that its
    /// statements allow.
    pub fn may_report(&self, now: Duration) -> bool {
        let is_limited = self.limit.rate().is_some() || self.rests(now);
        self.standing(now).is_some() && !is_limited
    }

    /// Sets whether the failure domain of the endpoint is evacuated. The endpoint may have
    /// restarted unnoticed during an evacuation, so it may be cold when the evacuation ends.
    pub fn set_evacuated(&mut self, now: Duration, is_evacuated: bool) {
        let was_evacuated = std::mem::replace(&mut self.is_evacuated, is_evacuated);
        if was_evacuated && !is_evacuated {
            self.note_maybe_cold(now);
        }
    }

    /// Whether the statements of the endpoint allow that calls are sent.
    pub fn room(&self, now: Duration, view: KeeperView) -> EndpointRoom {
        match self.rest.room(now) {
            EndpointRoom::Open => self.limit.room(now, view, self.shared_rate(now, view)),
            closed => closed,
        }
    }

    /// The rate that all instances share: the endpoint's limit, or a lower one while it is cold.
    pub fn shared_rate(&self, now: Duration, view: KeeperView) -> Option<SharedRate> {
        let is_known = match view.cut_since {
            Some(since) => self.is_active(now) && self.active_since <= since,
            None => view.is_informed(now),
        };
        self.rate_if(self.is_cold(now) || !is_known)
    }

    /// The rate that all instances share if the endpoint is cold, or is not.
    pub fn rate_if(&self, is_cold: bool) -> Option<SharedRate> {
        let limit = self.limit.rate().map(|rate| SharedRate {
            rate,
            since: Duration::ZERO,
            is_cold: false,
        });
        let cold = self.cold_rule.filter(|_| is_cold).map(|rule| SharedRate {
            rate: rule.rate,
            since: self.cold.since(),
            is_cold: true,
        });
        match (limit, cold) {
            (Some(limit), Some(cold)) if limit.rate < cold.rate => Some(SharedRate {
                rate: limit.rate,
                ..cold
            }),
            (limit, cold) => cold.or(limit),
        }
    }

    /// Whether bytes have arrived so lately that a restart meanwhile would have been noticed.
    fn is_active(&self, now: Duration) -> bool {
        let latest = self.last_active_at;
        latest.is_some_and(|at| now < at + ACTIVITY_GAP)
    }

    /// Time until which the endpoint counts as cold; `Duration::MAX` if it has not answered since a
    /// sign of a restart.
    pub fn cold_until(&self) -> Option<Duration> {
        let rule = self.cold_rule?;
        self.cold.until(rule.start)
    }

    /// Whether the endpoint counts as cold.
    pub fn is_cold(&self, now: Duration) -> bool {
        self.cold_until().is_some_and(|until| now < until)
    }

    /// Whether endpoints of the service are cold after a start.
    pub fn has_cold_rule(&self) -> bool {
        self.cold_rule.is_some()
    }

    /// Sets how long endpoints of the service are cold after a start; `None` for never.
    pub fn set_cold_rule(&mut self, rule: Option<ColdRule>) {
        self.cold_rule = rule;
    }

    /// Records that the endpoint is new in the list, or has replaced another one.
    pub fn note_new(&mut self, now: Duration) {
        self.cold = ColdState::of_new(now);
    }

    /// Records that the endpoint may have become cold: it could not be reached, broke a connection,
    /// has another process start, or was evacuated until now. It counts as cold until it has
    /// answered a call that is sent later, and then for the cold time of its service. Returns
    /// whether this is new.
    pub fn note_maybe_cold(&mut self, now: Duration) -> bool {
        let is_new = self.cold.note_sign(now);
        if is_new {
            self.limit.drop_tokens(now);
        }
        is_new && self.cold_rule.is_some()
    }

    /// Records bytes of an answer to a call that was sent at `sent_at`, whose head arrived at
    /// `since`. Returns whether it is the first answer after a sign of a restart.
    pub fn note_answer(&mut self, now: Duration, sent_at: Duration, since: Duration) -> bool {
        let is_first = self.cold.note_answer(sent_at, since, now);
        is_first && self.cold_rule.is_some()
    }

    /// Records what a reading of the list says about the cold time.
    pub fn note_listed_cold(&mut self, read_at: Duration, remaining: Duration) {
        let was_cold = self.is_cold(read_at);
        self.cold.note_listed(read_at, remaining);
        if !was_cold && self.is_cold(read_at) {
            self.limit.drop_tokens(read_at);
        }
    }

    /// Records what another instance knows of the latest restart. Returns whether this is new.
    pub fn note_told_cold(&mut self, now: Duration, notice: &ColdNotice) -> bool {
        if notice.address != self.address {
            return false;
        }
        let before = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        let is_new = self.cold.merge(&ColdKnowledge {
            sign_at: notice.sign_age_ms.map(before),
            answered_at: notice.answer_age_ms.map(before),
            stated_until: notice
                .remaining_ms
                .map(|remaining| now + Duration::from_millis(remaining.into())),
        });
        let is_sign = is_new && notice.answer_age_ms.is_none();
        if is_new && !is_sign {
            self.health.note_answered_elsewhere();
        }
        if is_sign {
            self.limit.drop_tokens(now);
        }
        is_new && self.cold_rule.is_some()
    }

    /// What other instances are told of the latest restart; `None` while the endpoint is not cold.
    pub fn cold_notice(&self, now: Duration, endpoint: EndpointId) -> Option<ColdNotice> {
        if !self.is_cold(now) {
            return None;
        }
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let age = |at: Duration| millis(now.saturating_sub(at));
        let knowledge = self.cold.knowledge();
        Some(ColdNotice {
            endpoint,
            address: self.address,
            sign_age_ms: knowledge.sign_at.map(age),
            answer_age_ms: knowledge.answered_at.map(age),
            remaining_ms: knowledge
                .stated_until
                .map(|until| millis(until.saturating_sub(now))),
        })
    }

    /// Whether a health check is due, as the endpoint has said that it leaves and the list shows it
    /// as ready. If so, records that it begins.
    pub fn begin_leave_check(&mut self, now: Duration, instances: usize) -> bool {
        let is_excluded = self.is_draining || self.is_misplaced || self.is_evacuated;
        let may_call = !is_excluded && !self.rests(now);
        let is_limited = self.limit.rate().is_some();
        may_call && self.leave.begin_check(now, instances, is_limited)
    }

    /// Records that a process at the endpoint's address serves which does not say that it leaves.
    pub fn note_returned(&mut self) {
        self.leave = EndpointLeave::No;
    }

    /// Whether the endpoint has asked this instance for rest that is not over.
    pub fn rests(&self, now: Duration) -> bool {
        self.rest.room(now) != EndpointRoom::Open
    }

    /// Calls per second that the endpoint takes from all instances together: its limit, or an
    /// estimate from its slots.
    pub fn call_rate(&self, now: Duration) -> f64 {
        let holding_time = self.holding_time.unwrap_or(ASSUMED_HOLDING_TIME);
        let slots = f64::from(self.capacity(now).unwrap_or(1));
        let estimate = slots / holding_time.as_secs_f64().max(f64::MIN_POSITIVE);
        let cold_rate = self.cold_rule.filter(|_| self.is_cold(now));
        let rates = [self.limit.rate(), cold_rate.map(|rule| rule.rate)];
        let strictest = rates.into_iter().flatten().min();
        strictest.map_or(estimate, CallRate::per_second)
    }

    /// Records what the endpoint states in the head of an answer that has just arrived, to a call
    /// that was sent at `sent_at`. Returns what changed.
    pub fn note_statement(
        &mut self,
        now: Duration,
        sent_at: Duration,
        statement: EndpointStatement,
    ) -> Vec<StatementChange> {
        match statement.rest {
            StatedValue::Stated(rest) => self.rest.ask(now, rest),
            StatedValue::Absent | StatedValue::Unreadable => self.rest.end(sent_at),
        }
        let mut changes = Vec::new();
        if let StatedValue::Stated(remaining) = statement.cold {
            let was_cold = self.is_cold(now);
            self.cold.note_stated(now, sent_at, remaining);
            if !was_cold && self.is_cold(now) {
                self.limit.drop_tokens(now);
            }
            if was_cold && self.cold_rule.is_some() {
                changes.push(StatementChange::Cold(remaining));
            }
        }
        if self.note_limit(now, sent_at, statement.limit) {
            changes.push(StatementChange::Limit(self.limit.rate()));
        }
        let is_leaving = statement.is_leaving == StatedValue::Stated(true);
        if is_leaving && self.leave.say(now) {
            changes.push(StatementChange::Leaving);
        }
        let is_unreadable = statement.is_unreadable();
        if is_unreadable && !std::mem::replace(&mut self.has_unreadable, true) {
            changes.push(StatementChange::Unreadable);
        }
        changes
    }

    /// Records the limit in the head of an answer. Returns whether it changed. What can't be read
    /// changes nothing.
    fn note_limit(
        &mut self,
        now: Duration,
        sent_at: Duration,
        limit: StatedValue<CallRate>,
    ) -> bool {
        let is_readable = limit != StatedValue::Unreadable;
        is_readable
            && self.limit.note(LimitStatement {
                limit: limit.stated(),
                sent_at,
                read_at: now,
            })
    }

    /// Records what another instance was told. Returns what changed.
    pub fn note_told(&mut self, now: Duration, notice: &LimitNotice) -> Option<StatementChange> {
        if notice.address != self.address {
            return None;
        }
        let statement = LimitStatement::of_notice(now, notice);
        let is_changed = self.limit.note(statement);
        is_changed.then_some(StatementChange::Limit(self.limit.rate()))
    }

    /// Whether the endpoint runs requests of this instance and has sent nothing for a while.
    /// Detects hung and unreachable endpoints before their connections fail.
    pub fn is_silent(&self, now: Duration) -> bool {
        let since = self
            .busy_since
            .map(|at| at.max(self.last_active_at.unwrap_or_default()));
        since.is_some_and(|since| now >= since + SILENCE_LIMIT)
    }

    /// Whether the endpoint is silent and has accepted no connection of the latest probes.
    pub fn is_unreachable(&self, now: Duration) -> bool {
        self.failed_probes >= MAX_FAILED_PROBES && self.is_silent(now)
    }

    /// Whether the endpoint is to be probed, as it is silent and no probe was made lately. If so,
    /// records that a probe begins.
    pub fn begin_probe(&mut self, now: Duration) -> bool {
        let is_due = self.probed_at.is_none_or(|at| now >= at + PROBE_INTERVAL);
        let begins = is_due && self.is_silent(now);
        if begins {
            self.probed_at = Some(now);
        }
        begins
    }

    /// Records whether a probe found that the endpoint accepts connections.
    pub fn note_probe(&mut self, is_reached: bool) {
        self.failed_probes = match is_reached {
            true => 0,
            false => self.failed_probes + 1,
        };
    }

    /// Whether the endpoint is usable and neither misplaced nor silent. A draining endpoint may be
    /// sound.
    pub fn is_sound(&self, now: Duration) -> bool {
        !self.is_misplaced && self.health.is_usable(now) && !self.is_silent(now)
    }

    /// Whether the endpoint sent nothing from `since` to `now` and this took at least
    /// `SILENCE_LIMIT`.
    pub fn was_silent(&self, since: Duration, now: Duration) -> bool {
        let was_active = self.last_active_at.is_some_and(|at| at >= since);
        !was_active && now >= since + SILENCE_LIMIT
    }

    /// Number of running and queued requests: those that all instances count, or those of a recent
    /// report of the endpoint if these are more.
    pub fn load(&self, now: Duration) -> u32 {
        let known = self.own_running + self.others_running;
        let fresh = self.fresh_report(now);
        fresh.map_or(known, |report| known.max(report.running + report.waiting))
    }

    fn fresh_report(&self, now: Duration) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_sub(at) <= REPORT_LIMIT).then_some(report)
    }

    /// Number of requests that the endpoint can run concurrently; `None` if not known. If a recent
    /// report states queued requests, it is the number of running ones: fewer than the slots when
    /// the endpoint's memory is full.
    pub fn capacity(&self, now: Duration) -> Option<u32> {
        if let Some(report) = self.fresh_report(now).filter(|report| report.waiting > 0) {
            return Some(report.running.max(1));
        }
        let reported = self.report.map(|(report, _)| report.slots);
        let slots = reported.filter(|slots| *slots > 0).unwrap_or(self.slots);
        (slots > 0).then_some(slots)
    }

    /// Ratio of the load to the capacity; above 1 when requests are queued. An unknown capacity
    /// counts as 1.
    pub fn utilization(&self, now: Duration) -> f64 {
        f64::from(self.load(now)) / f64::from(self.capacity(now).unwrap_or(1))
    }

    /// Number of calls that must end before the next one gets a slot, relative to the capacity; 0
    /// while a slot is free or if the capacity is not known.
    pub fn queue_ratio(&self, now: Duration) -> f64 {
        let Some(capacity) = self.capacity(now).map(f64::from) else {
            return 0.0;
        };
        let load = self.average_load_at(now);
        if load >= capacity {
            (load + 1.0 - capacity) / capacity
        } else {
            0.0
        }
    }

    /// Fraction of the capacity that is free; 1 if the capacity is not known.
    pub fn free_fraction(&self, now: Duration) -> f64 {
        let capacity = self.capacity(now).map_or(f64::INFINITY, f64::from);
        (1.0 - self.average_load_at(now) / capacity).max(0.0)
    }

    /// Estimated number of requests at the endpoint. Reported requests that no instance counts are
    /// weighted down as the report ages, since they end over time.
    fn estimated_load(&self, now: Duration) -> f64 {
        let known = f64::from(self.own_running + self.others_running);
        let known = known * self.present_fraction;
        let Some((report, at)) = self.report else {
            return known;
        };
        let unknown = f64::from(report.running + report.waiting) - known;
        let holding_time = self.holding_time.unwrap_or(REPORT_LIMIT);
        let age = now.saturating_sub(at).as_secs_f64();
        known + unknown.max(0.0) * (-age / holding_time.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
    }

    /// Average load at `now`. Not averaged if calls hold slots for longer than [`AVERAGING_TIME`].
    fn average_load_at(&self, now: Duration) -> f64 {
        let load = self.estimated_load(now);
        // Without a known holding time the load is not averaged, as the load of a new endpoint
        // rises faster than an average would follow.
        let holding_time = self.holding_time.unwrap_or(AVERAGING_TIME);
        let span = AVERAGING_TIME.saturating_sub(holding_time);
        if span.is_zero() {
            return load;
        }
        let age = now.saturating_sub(self.averaged_at);
        let kept = (-age.as_secs_f64() / span.as_secs_f64()).exp();
        load + (self.average_load - load) * kept
    }

    fn update_present_fraction(&mut self, report: LoadReport) {
        let known = f64::from(self.own_running + self.others_running).max(1.0);
        let present = f64::from(report.running + report.waiting) / known;
        self.present_fraction += (present.min(1.0) - self.present_fraction) * AVERAGE_WEIGHT;
    }

    /// Updates the average load. Must be called before each change of the load.
    pub fn update_average(&mut self, now: Duration) {
        self.average_load = self.average_load_at(now);
        self.averaged_at = now;
    }

    /// Records that a call of this instance is sent to the endpoint.
    pub fn start(&mut self, now: Duration, view: KeeperView) {
        self.rest.start(now);
        let share = self.shared_rate(now, view);
        self.limit.take_token(now, view, share);
        self.update_average(now);
        self.own_running += 1;
        self.busy_since.get_or_insert(now);
        self.health.start(now);
    }

    /// Records that a call of this instance has ended at the endpoint.
    pub fn finish(&mut self, now: Duration) {
        self.update_average(now);
        self.own_running = self.own_running.saturating_sub(1);
        if self.own_running == 0 {
            self.busy_since = None;
        }
    }

    /// Records that bytes arrived from the endpoint.
    pub fn note_activity(&mut self, now: Duration) {
        if !self.is_active(now) {
            self.active_since = now;
        }
        self.last_active_at = Some(now);
        self.failed_probes = 0;
    }

    /// Records the time for which a successful call held a slot.
    pub fn note_holding_time(&mut self, time: Duration) {
        let average = self.holding_time.unwrap_or(time);
        let weighted = average.mul_f64(1.0 - AVERAGE_WEIGHT) + time.mul_f64(AVERAGE_WEIGHT);
        self.holding_time = Some(weighted);
    }

    /// Records the load that the endpoint reported.
    pub fn note_report(&mut self, now: Duration, report: LoadReport) {
        self.update_average(now);
        self.update_present_fraction(report);
        self.report = Some((report, now));
        self.speed = EndpointSpeed::stated(now, report.work_percent);
    }

    /// Expected factor by which work takes longer than usual at `now`.
    pub fn slowdown(&self, now: Duration) -> f64 {
        self.speed.slowdown(now)
    }

    /// Expected time until a call gets a slot, if calls hold one for `holding_time` at the usual
    /// speed.
    pub fn expected_wait(&self, now: Duration, holding_time: Duration) -> Duration {
        let wait = holding_time.mul_f64(self.queue_ratio(now));
        self.speed.work_time(now, wait)
    }

    /// Records that another endpoint has taken over the address.
    pub fn note_misplaced(&mut self) {
        self.is_misplaced = true;
    }

    /// Adds requests that another instance announced for the endpoint.
    pub fn add_others(&mut self, running: u16) {
        self.others_running += u32::from(running);
    }

    /// Removes requests of another instance that were added before.
    pub fn remove_others(&mut self, running: u16) {
        self.others_running -= u32::from(running);
    }

    /// Resets the number of other instances' requests.
    pub fn reset_others(&mut self) {
        self.others_running = 0;
    }

    /// Whether this instance's requests at the endpoint have changed so much since the last
    /// announcement that a new one is due at once.
    pub fn is_announcement_due(&self) -> bool {
        self.own_running.abs_diff(self.announced_running) >= ANNOUNCEMENT_THRESHOLD
    }

    /// Returns the number of this instance's requests, and records it as announced to other
    /// instances.
    pub fn announce_load(&mut self) -> u32 {
        self.announced_running = self.own_running;
        self.own_running
    }
}
