//! One endpoint of the list, with its load and health.

use std::net::SocketAddrV4;
use std::time::Duration;

use wire::gateway::ListedEndpoint;
use wire::id::DomainId;

use crate::call::LoadReport;
use crate::health::EndpointHealth;

/// Silence of an endpoint that runs requests, after which calls avoid it. Several times what a slow
/// endpoint takes for an answer or between two events.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Age at which an endpoint's own report no longer counts.
const REPORT_LIMIT: Duration = Duration::from_millis(400);
/// Requests at one endpoint by which a load changes before others are told out of turn.
const ANNOUNCEMENT_THRESHOLD: u32 = 3;
/// Weight of one call in the average occupancy.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Time over which the load of an endpoint is averaged. What others report is up to half as old, and
/// tells nothing of calls that end sooner; an average does.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

/// Least part, as a divisor, of the time of a call at its endpoint that counts as run, however long
/// it was expected to wait there.
const MIN_RUN_DIVISOR: u32 = 4;

/// Time for which a call occupied a place, of the time that it was at its endpoint, when it was
/// expected to wait for the place first.
pub fn estimated_holding_time(time: Duration, wait: Duration) -> Duration {
    time.saturating_sub(wait).max(time / MIN_RUN_DIVISOR)
}

/// How well a call is placed at an endpoint, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndpointStanding {
    /// Nothing speaks against it.
    Sound,
    /// Requests run there and nothing comes back.
    Silent,
    /// It broke off or could not be reached lately.
    LeftOut,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRow {
    /// Its name.
    pub name: String,
    /// Address of its HTTP server.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
    /// Requests of this instance that it runs.
    own_running: u32,
    /// Requests of this instance that others were told of last.
    announced_running: u32,
    /// Requests of all other instances that it runs.
    others_running: u32,
    /// What it told of itself, and when.
    report: Option<(LoadReport, Duration)>,
    /// What the own calls tell.
    pub health: EndpointHealth,
    /// Since when it has run requests of this instance without a pause.
    busy_since: Option<Duration>,
    /// When anything came from it last.
    last_active_at: Option<Duration>,
    /// Whether it said that another endpoint holds its address.
    is_misplaced: bool,
    /// Average time for which a call occupies a place; `None` before the first has ended.
    pub holding_time: Option<Duration>,
    /// Load, averaged over the time by which reports are older than calls are long.
    average_load: f64,
    /// When the average was brought up to date.
    averaged_at: Duration,
    /// Average part of the requests that instances know of which the endpoint itself counts. The
    /// others are on their way, there or back. At most 1.
    present_fraction: f64,
}

impl EndpointRow {
    /// An endpoint of the list of which nothing else is known.
    pub fn new(listed: &ListedEndpoint) -> Self {
        Self {
            name: listed.name.clone(),
            address: listed.address,
            domain: listed.domain,
            slots: u32::from(listed.slots),
            is_draining: listed.is_draining,
            own_running: 0,
            announced_running: 0,
            others_running: 0,
            report: None,
            health: EndpointHealth::default(),
            busy_since: None,
            last_active_at: None,
            is_misplaced: false,
            holding_time: None,
            average_load: 0.0,
            averaged_at: Duration::ZERO,
            present_fraction: 1.0,
        }
    }

    /// How well a call would be placed there; `None` when it must not go there.
    pub fn standing(&self, now: Duration) -> Option<EndpointStanding> {
        if self.is_draining || self.is_misplaced {
            return None;
        }
        Some(match (self.health.is_usable(now), self.is_silent(now)) {
            (false, _) => EndpointStanding::LeftOut,
            (true, true) => EndpointStanding::Silent,
            (true, false) => EndpointStanding::Sound,
        })
    }

    /// Whether it runs requests of this instance and nothing came from it for a while. A hung or
    /// unreachable endpoint shows so before its connections end.
    pub fn is_silent(&self, now: Duration) -> bool {
        let since = self
            .busy_since
            .map(|at| at.max(self.last_active_at.unwrap_or_default()));
        since.is_some_and(|since| now >= since + SILENCE_LIMIT)
    }

    /// Whether it is there and well, as far as this instance knows.
    pub fn is_sound(&self, now: Duration) -> bool {
        !self.is_misplaced && self.health.is_usable(now) && !self.is_silent(now)
    }

    /// Whether nothing came from it from `since` to `now`, for longer than a slow endpoint takes.
    pub fn was_silent(&self, since: Duration, now: Duration) -> bool {
        let was_active = self.last_active_at.is_some_and(|at| at >= since);
        !was_active && now >= since + SILENCE_LIMIT
    }

    /// Requests that it holds: what all instances know of, or what it told lately if that is more.
    pub fn load(&self, now: Duration) -> u32 {
        let known = self.own_running + self.others_running;
        let fresh = self.fresh_report(now);
        fresh.map_or(known, |report| known.max(report.running + report.waiting))
    }

    fn fresh_report(&self, now: Duration) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_sub(at) <= REPORT_LIMIT).then_some(report)
    }

    /// Requests that it can run at once; `None` when that is not known. Less than its slots when
    /// requests wait before these are taken, as its memory is full then.
    pub fn capacity(&self, now: Duration) -> Option<u32> {
        if let Some(report) = self.fresh_report(now).filter(|report| report.waiting > 0) {
            return Some(report.running.max(1));
        }
        let reported = self.report.map(|(report, _)| report.slots);
        let slots = reported.filter(|slots| *slots > 0).unwrap_or(self.slots);
        (slots > 0).then_some(slots)
    }

    /// Requests that it holds in relation to those that it can run at once.
    pub fn utilization(&self, now: Duration) -> f64 {
        f64::from(self.load(now)) / f64::from(self.capacity(now).unwrap_or(1))
    }

    /// Calls that end before the next one gets a place, as a part of its places; 0 while one is
    /// free.
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

    /// Part of its places that are free.
    pub fn free_fraction(&self, now: Duration) -> f64 {
        let capacity = self.capacity(now).map_or(f64::INFINITY, f64::from);
        (1.0 - self.average_load_at(now) / capacity).max(0.0)
    }

    /// Requests that it probably holds: what it told counts the less, the more of these have ended.
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

    /// The load, averaged up to now.
    fn average_load_at(&self, now: Duration) -> f64 {
        let load = self.estimated_load(now);
        // An endpoint that has just come fills faster than its average follows.
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

    /// Brings the average up to date, before the load changes.
    pub fn update_average(&mut self, now: Duration) {
        self.average_load = self.average_load_at(now);
        self.averaged_at = now;
    }

    /// A call of this instance goes there.
    pub fn start(&mut self, now: Duration) {
        self.update_average(now);
        self.own_running += 1;
        self.busy_since.get_or_insert(now);
        self.health.start(now);
    }

    /// A call of this instance has ended there.
    pub fn finish(&mut self, now: Duration) {
        self.update_average(now);
        self.own_running = self.own_running.saturating_sub(1);
        if self.own_running == 0 {
            self.busy_since = None;
        }
    }

    /// Something came from it.
    pub fn note_activity(&mut self, now: Duration) {
        self.last_active_at = Some(now);
    }

    /// A call that ended well occupied a place for this long.
    pub fn note_holding_time(&mut self, time: Duration) {
        let average = self.holding_time.unwrap_or(time);
        let weighted = average.mul_f64(1.0 - AVERAGE_WEIGHT) + time.mul_f64(AVERAGE_WEIGHT);
        self.holding_time = Some(weighted);
    }

    /// It told of itself.
    pub fn note_report(&mut self, now: Duration, report: LoadReport) {
        self.update_average(now);
        self.update_present_fraction(report);
        self.report = Some((report, now));
    }

    /// Another endpoint holds its address.
    pub fn note_misplaced(&mut self) {
        self.is_misplaced = true;
    }

    /// Another instance runs this many requests there.
    pub fn add_others(&mut self, running: u16) {
        self.others_running += u32::from(running);
    }

    /// Another instance no longer runs these requests there, which were added before.
    pub fn remove_others(&mut self, running: u16) {
        self.others_running -= u32::from(running);
    }

    /// Nothing is known of requests of other instances.
    pub fn forget_others(&mut self) {
        self.others_running = 0;
    }

    /// Whether the requests of this instance have changed so much that others should know at once.
    pub fn is_announcement_due(&self) -> bool {
        self.own_running.abs_diff(self.announced_running) >= ANNOUNCEMENT_THRESHOLD
    }

    /// Requests of this instance, to tell others.
    pub fn announce_load(&mut self) -> u32 {
        self.announced_running = self.own_running;
        self.own_running
    }
}
