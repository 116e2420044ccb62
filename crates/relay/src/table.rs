//! The endpoints of the list, with their load and health.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use wire::gateway::ListedEndpoint;
use wire::id::{DomainId, EndpointId, InstanceId, ServiceId};

use crate::call::LoadReport;
use crate::health::{CallSign, EndpointHealth, HealthChange};

/// Silence of an endpoint that runs requests, after which calls avoid it. Several times what a slow
/// endpoint takes for an answer or between two events.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Age at which an endpoint's own report no longer counts.
const REPORT_LIMIT: Duration = Duration::from_millis(400);
/// Requests at one endpoint by which a load changes before others are told out of turn.
const LOAD_NEWS: u32 = 3;
/// Weight of one call in the average occupancy.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Time over which the load of an endpoint is averaged. What others report is up to half as old, and
/// tells nothing of calls that end sooner; an average does.
const AVERAGING_TIME: Duration = Duration::from_millis(500);

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
    pub own_running: u32,
    /// Requests of this instance that others were told of last.
    told_running: u32,
    /// Requests of all other instances that it runs.
    pub others_running: u32,
    /// What it told of itself, and when.
    report: Option<(LoadReport, Duration)>,
    /// What the own calls tell.
    pub health: EndpointHealth,
    /// Since when it has run requests of this instance without a pause.
    busy_since: Option<Duration>,
    /// When anything came from it last.
    heard_at: Option<Duration>,
    /// Whether it said that another endpoint holds its address.
    is_misplaced: bool,
    /// Average time for which a call occupies a place; `None` before the first has ended.
    occupancy: Option<Duration>,
    /// Load, averaged over the time by which reports are older than calls are long.
    average_load: f64,
    /// When the average was brought up to date.
    averaged_at: Duration,
    /// Average part of the requests that instances know of which the endpoint itself counts. The
    /// others are on their way, there or back. At most 1.
    present_part: f64,
}

impl EndpointRow {
    fn new(listed: &ListedEndpoint) -> Self {
        Self {
            name: listed.name.clone(),
            address: listed.address,
            domain: listed.domain,
            slots: u32::from(listed.slots),
            is_draining: listed.is_draining,
            own_running: 0,
            told_running: 0,
            others_running: 0,
            report: None,
            health: EndpointHealth::default(),
            busy_since: None,
            heard_at: None,
            is_misplaced: false,
            occupancy: None,
            average_load: 0.0,
            averaged_at: Duration::ZERO,
            present_part: 1.0,
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
            .map(|at| at.max(self.heard_at.unwrap_or_default()));
        since.is_some_and(|since| now >= since + SILENCE_LIMIT)
    }

    /// Whether it is there and well, as far as this instance knows.
    pub fn is_sound(&self, now: Duration) -> bool {
        !self.is_misplaced && self.health.is_usable(now) && !self.is_silent(now)
    }

    /// Whether nothing came from it from `since` to `now`, for longer than a slow endpoint takes.
    pub fn was_silent(&self, since: Duration, now: Duration) -> bool {
        let has_come = self.heard_at.is_some_and(|at| at >= since);
        !has_come && now >= since + SILENCE_LIMIT
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
    fn places(&self, now: Duration) -> Option<u32> {
        if let Some(report) = self.fresh_report(now).filter(|report| report.waiting > 0) {
            return Some(report.running.max(1));
        }
        let told = self.report.map(|(report, _)| report.slots);
        let slots = told.filter(|slots| *slots > 0).unwrap_or(self.slots);
        (slots > 0).then_some(slots)
    }

    /// Requests that it holds in relation to those that it can run at once.
    pub fn fullness(&self, now: Duration) -> f64 {
        f64::from(self.load(now)) / f64::from(self.places(now).unwrap_or(1))
    }

    /// Calls that end before the next one gets a place, as a part of its places; 0 while one is
    /// free.
    pub fn queue_part(&self, now: Duration) -> f64 {
        let Some(places) = self.places(now).map(f64::from) else {
            return 0.0;
        };
        let load = self.average(now);
        if load >= places {
            (load + 1.0 - places) / places
        } else {
            0.0
        }
    }

    /// Part of its places that are free.
    pub fn free_part(&self, now: Duration) -> f64 {
        let places = self.places(now).map_or(f64::INFINITY, f64::from);
        (1.0 - self.average(now) / places).max(0.0)
    }

    /// Requests that it probably holds: what it told counts the less, the more of these have ended.
    fn probable_load(&self, now: Duration) -> f64 {
        let known = f64::from(self.own_running + self.others_running);
        let known = known * self.present_part;
        let Some((report, at)) = self.report else {
            return known;
        };
        let unknown = f64::from(report.running + report.waiting) - known;
        let occupancy = self.occupancy.unwrap_or(REPORT_LIMIT);
        let age = now.saturating_sub(at).as_secs_f64();
        known + unknown.max(0.0) * (-age / occupancy.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
    }

    /// The load, averaged up to now.
    fn average(&self, now: Duration) -> f64 {
        let load = self.probable_load(now);
        // An endpoint that has just come fills faster than its average follows.
        let occupancy = self.occupancy.unwrap_or(AVERAGING_TIME);
        let span = AVERAGING_TIME.saturating_sub(occupancy);
        if span.is_zero() {
            return load;
        }
        let age = now.saturating_sub(self.averaged_at);
        let kept = (-age.as_secs_f64() / span.as_secs_f64()).exp();
        load + (self.average_load - load) * kept
    }

    fn note_present(&mut self, report: LoadReport) {
        let known = f64::from(self.own_running + self.others_running).max(1.0);
        let present = f64::from(report.running + report.waiting) / known;
        self.present_part += (present.min(1.0) - self.present_part) * AVERAGE_WEIGHT;
    }

    /// Brings the average up to date, before the load changes.
    fn update_average(&mut self, now: Duration) {
        self.average_load = self.average(now);
        self.averaged_at = now;
    }
}

/// Endpoints that a reading of the list changed, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// New ones.
    pub joined: Vec<String>,
    /// Those that are listed no more.
    pub left: Vec<String>,
    /// Those that drain now.
    pub draining: Vec<String>,
}

impl ListChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.left.is_empty() && self.draining.is_empty()
    }
}

/// Every endpoint that this instance knows.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: HashMap<EndpointId, EndpointRow>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
    /// Running requests that other instances reported, by instance.
    shares: BTreeMap<InstanceId, Vec<(EndpointId, u16)>>,
}

impl EndpointTable {
    /// Takes over a reading of the list. What is known of endpoints that stay is kept.
    pub fn replace(&mut self, listed: &[ListedEndpoint]) -> ListChange {
        let mut change = ListChange::default();
        let mut rows = HashMap::new();
        self.services.clear();
        for endpoint in listed {
            let id = endpoint.id();
            let mut row = match self.rows.remove(&id) {
                Some(row) if row.address == endpoint.address => row,
                _ => {
                    change.joined.push(endpoint.name.clone());
                    EndpointRow::new(endpoint)
                }
            };
            if endpoint.is_draining && !row.is_draining {
                change.draining.push(endpoint.name.clone());
            }
            row.is_draining = endpoint.is_draining;
            rows.insert(id, row);
            let service = self.services.entry(endpoint.service_id()).or_default();
            service.push(id);
        }
        let left = std::mem::replace(&mut self.rows, rows);
        change.left = left.into_values().map(|row| row.name).collect();
        self.sum_shares();
        change
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Every endpoint.
    pub fn rows(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.values()
    }

    /// An endpoint.
    pub fn row(&self, id: EndpointId) -> Option<&EndpointRow> {
        self.rows.get(&id)
    }

    /// The endpoints of a service.
    pub fn of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (EndpointId, &EndpointRow)> {
        let ids = self.services.get(&service).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.rows.get(id)?)))
    }

    /// A call goes to an endpoint.
    pub fn start(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.update_average(now);
            row.own_running += 1;
            row.busy_since.get_or_insert(now);
            row.health.start(now);
        }
    }

    /// A call has ended at an endpoint.
    pub fn finish(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.update_average(now);
            row.own_running = row.own_running.saturating_sub(1);
            if row.own_running == 0 {
                row.busy_since = None;
            }
        }
    }

    /// A call that ended well occupied a place of an endpoint for this long.
    pub fn note_occupancy(&mut self, id: EndpointId, time: Duration) {
        if let Some(row) = self.rows.get_mut(&id) {
            let average = row.occupancy.unwrap_or(time);
            let weighed = average.mul_f64(1.0 - AVERAGE_WEIGHT) + time.mul_f64(AVERAGE_WEIGHT);
            row.occupancy = Some(weighed);
        }
    }

    /// Average time for which a call occupies a place of an endpoint, or of its service while
    /// nothing is known of the endpoint.
    pub fn occupancy(&self, service: ServiceId, id: EndpointId) -> Option<Duration> {
        let own = self.rows.get(&id).and_then(|row| row.occupancy);
        own.or_else(|| self.mean_occupancy(service))
    }

    fn mean_occupancy(&self, service: ServiceId) -> Option<Duration> {
        let known = self.of_service(service);
        let known: Vec<Duration> = known.filter_map(|(_, row)| row.occupancy).collect();
        let count = u32::try_from(known.len()).ok().filter(|count| *count > 0)?;
        Some(known.iter().sum::<Duration>() / count)
    }

    /// Expected time until a call gets a place at an endpoint whose calls occupy one for so long.
    pub fn expected_wait(&self, now: Duration, id: EndpointId, occupancy: Duration) -> Duration {
        let part = self.rows.get(&id).map_or(0.0, |row| row.queue_part(now));
        occupancy.mul_f64(part)
    }

    /// Expected time between two places of a service that come free while it is full, when its calls
    /// occupy one for so long.
    pub fn place_interval(
        &self,
        now: Duration,
        service: ServiceId,
        occupancy: Duration,
    ) -> Duration {
        let sound = self.of_service(service);
        let sound = sound.filter(|(_, row)| row.standing(now) == Some(EndpointStanding::Sound));
        let places: u32 = sound.filter_map(|(_, row)| row.places(now)).sum();
        occupancy / places.max(1)
    }

    /// Something came from an endpoint.
    pub fn hear(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.heard_at = Some(now);
        }
    }

    /// Notes what a call told about an endpoint.
    pub fn note(&mut self, now: Duration, id: EndpointId, sign: CallSign) -> HealthChange {
        match self.rows.get_mut(&id) {
            Some(row) => row.health.note(now, sign),
            None => HealthChange::None,
        }
    }

    /// Notes what an endpoint told of itself.
    pub fn note_report(&mut self, now: Duration, id: EndpointId, report: LoadReport) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.update_average(now);
            row.note_present(report);
            row.report = Some((report, now));
        }
    }

    /// Another endpoint holds this one's address.
    pub fn note_misplaced(&mut self, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.is_misplaced = true;
        }
    }

    /// Whether the requests of this instance at an endpoint have changed so much that others should
    /// know at once.
    pub fn is_load_news(&self, id: EndpointId) -> bool {
        let row = self.rows.get(&id);
        row.is_some_and(|row| row.own_running.abs_diff(row.told_running) >= LOAD_NEWS)
    }

    /// Running requests of this instance, by endpoint, to tell others.
    pub fn tell_loads(&mut self) -> Vec<(EndpointId, u16)> {
        for row in self.rows.values_mut() {
            row.told_running = row.own_running;
        }
        let busy = self.rows.iter().filter(|(_, row)| row.own_running > 0);
        let mut loads: Vec<(EndpointId, u16)> = busy
            .map(|(id, row)| (*id, u16::try_from(row.own_running).unwrap_or(u16::MAX)))
            .collect();
        loads.sort_unstable();
        loads
    }

    /// Takes over the running requests that another instance reports; none when it is gone.
    pub fn set_share(
        &mut self,
        now: Duration,
        instance: InstanceId,
        loads: Vec<(EndpointId, u16)>,
    ) {
        for (id, running) in self.shares.remove(&instance).unwrap_or_default() {
            if let Some(row) = self.rows.get_mut(&id) {
                row.update_average(now);
                row.others_running -= u32::from(running);
            }
        }
        for (id, running) in &loads {
            if let Some(row) = self.rows.get_mut(id) {
                row.update_average(now);
                row.others_running += u32::from(*running);
            }
        }
        if !loads.is_empty() {
            self.shares.insert(instance, loads);
        }
    }

    fn sum_shares(&mut self) {
        for row in self.rows.values_mut() {
            row.others_running = 0;
        }
        for (id, running) in self.shares.values().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.others_running += u32::from(*running);
            }
        }
    }
}
