//! Table of the listed endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::time::Duration;

use pace::cold::ColdRule;
use pace::room::EndpointRoom;
use pace::statement::EndpointStatement;
use wire::gateway::ListedEndpoint;
use wire::id::{DomainId, EndpointId, InstanceId, ServiceId, VersionId};
use wire::statement::{ColdNotice, LimitNotice, TokenOutcome};
use wire::version_record::VersionRecord;

use crate::endpoint_limit::KeeperView;
use crate::health::{CallOutcome, HealthChange};
use crate::load_report::LoadReport;
use crate::row::{EndpointRow, EndpointStanding};
use crate::statement_change::StatementChange;
use crate::version_certainty::VersionCertainty;

/// Names of the endpoints that a new list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListChange {
    /// Endpoints that are new, or have a new address or software version, each followed by `=` and its software
    /// version.
    pub joined: Vec<String>,
    /// Endpoints that are no longer listed.
    pub left: Vec<String>,
    /// Endpoints that began to drain.
    pub draining: Vec<String>,
}

impl ListChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.left.is_empty() && self.draining.is_empty()
    }
}

/// All endpoints of the latest list, with their load and health.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: HashMap<EndpointId, EndpointRow>,
    services: HashMap<ServiceId, Vec<EndpointId>>,
    /// Running requests by endpoint that each other instance announced last.
    instance_loads: BTreeMap<InstanceId, Vec<(EndpointId, u16)>>,
    /// Evacuated failure domains, for endpoints that are listed later.
    evacuated: BTreeSet<DomainId>,
    /// Whether the listed software versions are those of the present processes.
    pub versions: VersionCertainty,
    /// What the quorum has recorded of software versions.
    pub recorded: VersionRecord,
    /// What is known of the keeper of the rates that endpoints name.
    pub keeper: KeeperView,
    /// How long the endpoints of services are cold after a start.
    cold_rules: HashMap<ServiceId, ColdRule>,
}

impl EndpointTable {
    /// Replaces the list. Endpoints that stay at their address, with the same software, keep their
    /// load and health.
    pub fn replace(&mut self, listed: &[ListedEndpoint]) -> ListChange {
        let mut change = ListChange::default();
        let mut rows = HashMap::new();
        self.services.clear();
        for endpoint in listed {
            let id = endpoint.id();
            let mut row = match self.rows.remove(&id) {
                Some(row) if row.is_same(endpoint) => row,
                _ => {
                    change.joined.push(joined_text(endpoint));
                    let mut row = EndpointRow::new(endpoint);
                    row.is_evacuated = self.evacuated.contains(&row.domain);
                    row.set_cold_rule(self.cold_rules.get(&row.service).copied());
                    row
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

    /// Sets the evacuated failure domains.
    pub fn set_evacuated(&mut self, now: Duration, domains: &BTreeSet<DomainId>) {
        self.evacuated.clone_from(domains);
        for row in self.rows.values_mut() {
            row.set_evacuated(now, domains.contains(&row.domain));
        }
    }

    /// Whether an endpoint is listed and all endpoints are in evacuated failure domains.
    pub fn is_all_evacuated(&self) -> bool {
        !self.rows.is_empty() && self.rows.values().all(|row| row.is_evacuated)
    }

    /// Whether an endpoint of this failure domain is listed.
    pub fn has_domain(&self, domain: DomainId) -> bool {
        self.rows.values().any(|row| row.domain == domain)
    }

    /// Sets how long the endpoints of services are cold after a start; services that are left out
    /// have no cold endpoints.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceId, ColdRule>) {
        for row in self.rows.values_mut() {
            row.set_cold_rule(rules.get(&row.service).copied());
        }
        self.cold_rules = rules;
    }

    /// Whether any service has endpoints that are cold after a start.
    pub fn has_cold_rules(&self) -> bool {
        !self.cold_rules.is_empty()
    }

    /// The longest time for which endpoints are cold after a start; `None` if none ever is.
    pub fn longest_cold_start(&self) -> Option<Duration> {
        self.cold_rules.values().map(|rule| rule.start).max()
    }

    /// Replaces the list as [`Self::replace`] does. Endpoints that are new in it count as cold,
    /// except in the first list.
    pub fn replace_at(&mut self, now: Duration, listed: &[ListedEndpoint]) -> ListChange {
        let is_first = self.rows.is_empty();
        let before: HashMap<EndpointId, (SocketAddrV4, VersionId)> = self
            .rows
            .iter()
            .map(|(id, row)| (*id, (row.address, row.version_id)))
            .collect();
        let change = self.replace(listed);
        for (id, row) in self.rows.iter_mut().filter(|_| !is_first) {
            if before.get(id) != Some(&(row.address, row.version_id)) {
                row.note_new(now);
                self.versions.note_replaced(*id);
            }
        }
        let rows = &self.rows;
        self.versions
            .retain_listed(now, |endpoint| rows.contains_key(&endpoint));
        change
    }

    /// Records that an endpoint may have become cold. Returns whether this is new.
    pub fn note_maybe_cold(&mut self, now: Duration, id: EndpointId) -> bool {
        let row = self.rows.get_mut(&id);
        row.is_some_and(|row| row.note_maybe_cold(now))
    }

    /// Records bytes of an answer to a call that was sent at `sent_at`, whose head arrived at
    /// `since`. Returns whether it is the first answer after a sign of a restart.
    pub fn note_answer(
        &mut self,
        now: Duration,
        id: EndpointId,
        sent_at: Duration,
        since: Duration,
    ) -> bool {
        let row = self.rows.get_mut(&id);
        row.is_some_and(|row| row.note_answer(now, sent_at, since))
    }

    /// Records what another instance knows of the latest restart of an endpoint. Returns whether
    /// this is new.
    pub fn note_told_cold(&mut self, now: Duration, notice: &ColdNotice) -> bool {
        let row = self.rows.get_mut(&notice.endpoint);
        row.is_some_and(|row| row.note_told_cold(now, notice))
    }

    /// What other instances are told of the latest restart of an endpoint, if it is cold.
    pub fn cold_notice(&self, now: Duration, id: EndpointId) -> Option<ColdNotice> {
        self.rows.get(&id)?.cold_notice(now, id)
    }

    /// What other instances are told of all cold endpoints.
    pub fn cold_notices(&self, now: Duration) -> Vec<ColdNotice> {
        let rows = self.rows.iter();
        rows.filter_map(|(id, row)| row.cold_notice(now, *id))
            .collect()
    }

    /// Whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over all endpoints.
    pub fn rows(&self) -> impl Iterator<Item = &EndpointRow> {
        self.rows.values()
    }

    /// Looks up an endpoint.
    pub fn row(&self, id: EndpointId) -> Option<&EndpointRow> {
        self.rows.get(&id)
    }

    /// Looks up an endpoint to change it.
    pub fn row_mut(&mut self, id: EndpointId) -> Option<&mut EndpointRow> {
        self.rows.get_mut(&id)
    }

    /// Iterates over the services that have listed endpoints.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> {
        self.services.keys().copied()
    }

    /// Iterates over the endpoints of a service.
    pub fn of_service(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = (EndpointId, &EndpointRow)> {
        let ids = self.services.get(&service).into_iter().flatten();
        ids.filter_map(|id| Some((*id, self.rows.get(id)?)))
    }

    /// Records that a call of this instance is sent to an endpoint.
    pub fn start(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.start(now, self.keeper);
        }
    }

    /// Records that a call of this instance has ended at an endpoint.
    pub fn finish(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.finish(now);
        }
    }

    /// Records the time for which a successful call held a slot of an endpoint.
    pub fn note_holding_time(&mut self, id: EndpointId, time: Duration) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_holding_time(time);
        }
    }

    /// Average time for which a call holds a slot of an endpoint, or the mean over its service if
    /// it is not known for the endpoint. `None` if it is known for no endpoint of the service.
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

    /// Expected time until a call gets a slot at an endpoint whose calls hold one for
    /// `holding_time` at the usual speed.
    pub fn expected_wait(&self, now: Duration, id: EndpointId, holding_time: Duration) -> Duration {
        let row = self.rows.get(&id);
        row.map_or(Duration::ZERO, |row| row.expected_wait(now, holding_time))
    }

    /// Expected time between two slots becoming free while all slots of a service are taken, if its
    /// calls hold one for `holding_time`.
    pub fn slot_interval(
        &self,
        now: Duration,
        service: ServiceId,
        holding_time: Duration,
    ) -> Duration {
        holding_time / self.capacity(now, service).max(1)
    }

    /// Number of requests that the sound endpoints of a service can run concurrently.
    pub fn capacity(&self, now: Duration, service: ServiceId) -> u32 {
        let sound = self.of_service(service);
        let sound = sound.filter(|(_, row)| row.standing(now) == Some(EndpointStanding::Sound));
        sound.filter_map(|(_, row)| row.capacity(now)).sum()
    }

    /// Records that bytes arrived from an endpoint.
    pub fn note_activity(&mut self, now: Duration, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_activity(now);
        }
    }

    /// Records the outcome of a call in the health of its endpoint.
    pub fn note(&mut self, now: Duration, id: EndpointId, outcome: CallOutcome) -> HealthChange {
        match self.rows.get_mut(&id) {
            Some(row) => row.health.note(now, outcome),
            None => HealthChange::None,
        }
    }

    /// Whether the statements of an endpoint allow that calls are sent to it.
    pub fn room(&self, now: Duration, row: &EndpointRow) -> EndpointRoom {
        row.room(now, self.keeper)
    }

    /// Records what an endpoint states in the head of an answer that has just arrived, to a call
    /// that was sent at `sent_at`. Returns what changed.
    pub fn note_statement(
        &mut self,
        now: Duration,
        id: EndpointId,
        sent_at: Duration,
        statement: EndpointStatement,
    ) -> Vec<StatementChange> {
        match self.rows.get_mut(&id) {
            Some(row) => row.note_statement(now, sent_at, statement),
            None => Vec::new(),
        }
    }

    /// The endpoints whose health checks are due, which begin now.
    pub fn begin_leave_checks(&mut self, now: Duration) -> Vec<EndpointId> {
        let instances = self.keeper.instances;
        let rows = self.rows.iter_mut();
        let due = rows.filter_map(|(id, row)| {
            let is_due = row.begin_leave_check(now, instances);
            is_due.then_some(*id)
        });
        due.collect()
    }

    /// Records what another instance was told. Returns what changed.
    pub fn note_told(&mut self, now: Duration, notice: &LimitNotice) -> Option<StatementChange> {
        let row = self.rows.get_mut(&notice.endpoint)?;
        row.note_told(now, notice)
    }

    /// The notice of what an endpoint last stated.
    pub fn notice(&self, now: Duration, id: EndpointId) -> Option<LimitNotice> {
        let row = self.rows.get(&id)?;
        let statement = row.limit.statement();
        Some(statement.notice(now, id, row.address))
    }

    /// The notice to the other instances of a limit that has changed; `None` if none is due.
    pub fn announce_limit(&mut self, now: Duration, id: EndpointId) -> Option<LimitNotice> {
        let row = self.rows.get_mut(&id)?;
        match row.limit.begin_announcement(now) {
            true => self.notice(now, id),
            false => None,
        }
    }

    /// Notices of what endpoints stated on their limits, without those that have named none for
    /// longer than `retention`.
    pub fn limit_notices(&self, now: Duration, retention: Duration) -> Vec<LimitNotice> {
        let is_known = |row: &EndpointRow| row.limit.is_known(now, retention);
        let known = self.rows.iter().filter(|(_, row)| is_known(row));
        let notices = known.map(|(id, row)| row.limit.statement().notice(now, *id, row.address));
        notices.collect()
    }

    /// Whether calls of a service need tokens only because this instance does not know which
    /// endpoints are cold.
    pub fn needs_keeper(&self, now: Duration, service: ServiceId) -> bool {
        !self.keeper.is_informed(now) && self.cold_rules.contains_key(&service)
    }

    /// Whether an endpoint of a service names a limit or is cold.
    pub fn has_limit(&self, now: Duration, service: ServiceId) -> bool {
        let mut rows = self.of_service(service);
        rows.any(|(_, row)| row.shared_rate(now, self.keeper).is_some())
    }

    /// Records the answer of the keeper to a request that was sent at `asked_at`.
    pub fn note_tokens(&mut self, now: Duration, asked_at: Duration, outcome: &TokenOutcome) {
        let TokenOutcome::Kept { lot, shortages } = outcome else {
            self.keeper.note_silence(now);
            return;
        };
        self.keeper.note_answer();
        for shortage in shortages {
            if let Some(row) = self.rows.get_mut(&shortage.endpoint) {
                let next_in = Duration::from_millis(shortage.next_ms.into());
                row.limit.note_shortage(asked_at, next_in);
            }
        }
        let lot = lot.and_then(|lot| Some((lot, self.rows.get_mut(&lot.endpoint)?)));
        if let Some((lot, row)) = lot {
            let share = row.shared_rate(now, self.keeper);
            let is_cold = share.is_some_and(|share| share.is_cold);
            row.limit.add_tokens(asked_at, lot.count, is_cold);
        }
    }

    /// Records the load that an endpoint reported.
    pub fn note_report(&mut self, now: Duration, id: EndpointId, report: LoadReport) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_report(now, report);
        }
    }

    /// Records that another endpoint has taken over the address of this one.
    pub fn note_misplaced(&mut self, id: EndpointId) {
        if let Some(row) = self.rows.get_mut(&id) {
            row.note_misplaced();
        }
    }

    /// Whether this instance's requests at an endpoint have changed so much since the last
    /// announcement that a new one is due at once.
    pub fn is_announcement_due(&self, id: EndpointId) -> bool {
        self.rows
            .get(&id)
            .is_some_and(EndpointRow::is_announcement_due)
    }

    /// Returns this instance's running requests by endpoint, and records them as announced to other
    /// instances.
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

    /// Replaces the running requests that another instance announced. An empty list removes the
    /// instance.
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
            row.reset_others();
        }
        for (id, running) in self.instance_loads.values().flatten() {
            if let Some(row) = self.rows.get_mut(id) {
                row.add_others(*running);
            }
        }
    }
}

fn joined_text(endpoint: &ListedEndpoint) -> String {
    format!("{}={}", endpoint.name, endpoint.version)
}
