//! The endpoints of the list.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use wire::gateway::ListedEndpoint;
use wire::id::{EndpointId, InstanceId, ServiceId};

use crate::call::LoadReport;
use crate::health::{CallOutcome, HealthChange};
use crate::row::{EndpointRow, EndpointStanding};

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
    instance_loads: BTreeMap<InstanceId, Vec<(EndpointId, u16)>>,
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
        self.sum_instance_loads();
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
            row.start(now);
        }
    }

    /// A call has ended at an endpoint.
    pub fn finish(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.finish(now);
        }
    }

    /// A call that ended well occupied a place of an endpoint for this long.
    pub fn note_holding_time(&mut self, id: EndpointId, time: Duration) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_holding_time(time);
        }
    }

    /// Average time for which a call occupies a place of an endpoint, or of its service while
    /// nothing is known of the endpoint.
    pub fn holding_time(&self, service: ServiceId, id: EndpointId) -> Option<Duration> {
        let own = self.rows.get(&id).and_then(|row| row.holding_time);
        own.or_else(|| self.mean_holding_time(service))
    }

    fn mean_holding_time(&self, service: ServiceId) -> Option<Duration> {
        let known = self.of_service(service);
        let known: Vec<Duration> = known.filter_map(|(_, row)| row.holding_time).collect();
        let count = u32::try_from(known.len()).ok().filter(|count| *count > 0)?;
        Some(known.iter().sum::<Duration>() / count)
    }

    /// Expected time until a call gets a place at an endpoint whose calls occupy one for so long.
    pub fn expected_wait(&self, now: Duration, id: EndpointId, holding_time: Duration) -> Duration {
        let queue_ratio = self.rows.get(&id).map_or(0.0, |row| row.queue_ratio(now));
        holding_time.mul_f64(queue_ratio)
    }

    /// Expected time between two places of a service that come free while it is full, when its calls
    /// occupy one for so long.
    pub fn slot_interval(
        &self,
        now: Duration,
        service: ServiceId,
        holding_time: Duration,
    ) -> Duration {
        let sound = self.of_service(service);
        let sound = sound.filter(|(_, row)| row.standing(now) == Some(EndpointStanding::Sound));
        let capacity: u32 = sound.filter_map(|(_, row)| row.capacity(now)).sum();
        holding_time / capacity.max(1)
    }

    /// Something came from an endpoint.
    pub fn note_activity(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_activity(now);
        }
    }

    /// Notes what a call told about an endpoint.
    pub fn note(&mut self, now: Duration, id: EndpointId, outcome: CallOutcome) -> HealthChange {
        match self.rows.get_mut(&id) {
            Some(row) => row.health.note(now, outcome),
            None => HealthChange::None,
        }
    }

    /// Notes what an endpoint told of itself.
    pub fn note_report(&mut self, now: Duration, id: EndpointId, report: LoadReport) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_report(now, report);
        }
    }

    /// Another endpoint holds this one's address.
    pub fn note_misplaced(&mut self, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_misplaced();
        }
    }

    /// Whether the requests of this instance at an endpoint have changed so much that others should
    /// know at once.
    pub fn is_announcement_due(&self, id: EndpointId) -> bool {
        self.rows
            .get(&id)
            .is_some_and(EndpointRow::is_announcement_due)
    }

    /// Running requests of this instance, by endpoint, to tell others.
    pub fn announce_loads(&mut self) -> Vec<(EndpointId, u16)> {
        let loads = self
            .rows
            .iter_mut()
            .map(|(id, row)| (*id, row.announce_load()));
        let busy = loads.filter(|(_, running)| *running > 0);
        let mut loads: Vec<(EndpointId, u16)> = busy
            .map(|(id, running)| (id, u16::try_from(running).unwrap_or(u16::MAX)))
            .collect();
        loads.sort_unstable();
        loads
    }

    /// Takes over the running requests that another instance reports; none when it is gone.
    pub fn set_instance_loads(
        &mut self,
        now: Duration,
        instance: InstanceId,
        loads: Vec<(EndpointId, u16)>,
    ) {
        for (id, before) in self.instance_loads.remove(&instance).unwrap_or_default() {
            if let Some(row) = self.rows.get_mut(&id) {
                row.update_average(now);
                row.remove_others(before);
            }
        }
        for (id, after) in &loads {
            if let Some(row) = self.rows.get_mut(id) {
                row.update_average(now);
                row.add_others(*after);
            }
        }
        if !loads.is_empty() {
            self.instance_loads.insert(instance, loads);
        }
    }

    fn sum_instance_loads(&mut self) {
        for row in self.rows.values_mut() {
            row.forget_others();
        }
        for (id, running) in self.instance_loads.values().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.add_others(*running);
            }
        }
    }
}
