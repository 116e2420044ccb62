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
            others_running: 0,
            report: None,
            health: EndpointHealth::default(),
            busy_since: None,
            heard_at: None,
            is_misplaced: false,
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
        let fresh = self
            .report
            .filter(|(_, at)| now.saturating_sub(*at) <= REPORT_LIMIT);
        fresh.map_or(known, |(report, _)| {
            known.max(report.running + report.waiting)
        })
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
            row.own_running += 1;
            row.busy_since.get_or_insert(now);
            row.health.start(now);
        }
    }

    /// A call has ended at an endpoint.
    pub fn finish(&mut self, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.own_running = row.own_running.saturating_sub(1);
            if row.own_running == 0 {
                row.busy_since = None;
            }
        }
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
            row.report = Some((report, now));
        }
    }

    /// Another endpoint holds this one's address.
    pub fn note_misplaced(&mut self, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.is_misplaced = true;
        }
    }

    /// Running requests of this instance, by endpoint.
    pub fn own_loads(&self) -> Vec<(EndpointId, u16)> {
        let busy = self.rows.iter().filter(|(_, row)| row.own_running > 0);
        let mut loads: Vec<(EndpointId, u16)> = busy
            .map(|(id, row)| (*id, u16::try_from(row.own_running).unwrap_or(u16::MAX)))
            .collect();
        loads.sort_unstable();
        loads
    }

    /// Takes over the running requests that another instance reports; none when it is gone.
    pub fn set_share(&mut self, instance: InstanceId, loads: Vec<(EndpointId, u16)>) {
        if loads.is_empty() {
            self.shares.remove(&instance);
        } else {
            self.shares.insert(instance, loads);
        }
        self.sum_shares();
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
