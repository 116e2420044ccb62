//! Which instances find the versions of processes, keep them over restarts, and tell them to those that
//! ask.
//!
//! A few instances with a disk keep the processes of a service at which streams begin that callers may
//! resume. The first of them that is live asks each endpoint for its report, and once more after a reading
//! of the list once the service has had several versions. Others ask the keepers when a stream depends on the version of an endpoint that is not certain.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use catalog::CatalogIndex;
use wire::gateway::GatewayDatagram;
use wire::id::{EndpointId, InstanceId, ServiceId, name_id};
use wire::process::{MAX_MESSAGE_PROCESSES, ProcessMessage, ProcessQuery, ProcessRecord};

use crate::origin::rank_instances;
use crate::report_schedule::{KnownSummary, ListedProcess, ReportCandidate};
use crate::row::EndpointStanding;
use crate::state::RelayState;
use crate::unsettled_origins::UnsettledProcess;
use crate::version_certainty::ProcessReport;

/// Number of instances that keep the processes of a service, as disks may be lost.
const PROCESS_KEEPERS: usize = 3;
/// Time for which an instance that is not live counts as a keeper of processes: it may come back with its
/// disk, but may also have left for good.
const KEEPER_RETENTION: Duration = Duration::from_secs(30);
/// Time after which the keepers are asked the same again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of questions that are remembered, so that they are not repeated too soon.
const MAX_ASKED: usize = 256;

impl RelayState {
    /// The instances among which the keepers of processes are: those with a disk that were live lately, or
    /// all that are live, if there is none.
    fn possible_keepers(&self) -> Vec<InstanceId> {
        let Some(peers) = self.peers.get() else {
            return Vec::new();
        };
        let own = self.settings.instance;
        let mut lately = peers.lately_live(KEEPER_RETENTION);
        lately.sort_unstable();
        let mut instances = peers.storing();
        instances.retain(|one| lately.binary_search(one).is_ok());
        if self.settings.origins.is_storing {
            instances.push(own);
        }
        if instances.is_empty() {
            instances = peers.instances();
            instances.push(own);
        }
        instances
    }

    /// The instances that keep the processes of a service, first to last.
    fn process_keepers(&self, service: ServiceId) -> Vec<InstanceId> {
        rank_instances(service, &self.possible_keepers(), PROCESS_KEEPERS)
    }

    /// The services at which streams begin that callers may resume, and of whose processes this instance is
    /// the first live keeper.
    fn kept_services(&self) -> BTreeSet<ServiceId> {
        let own = self.settings.instance;
        let possible = self.possible_keepers();
        if !possible.contains(&own) {
            return BTreeSet::new();
        }
        let mut live = self
            .peers
            .get()
            .map_or_else(Vec::new, |peers| peers.instances());
        live.sort_unstable();
        let is_kept = |service: &ServiceId| {
            let keepers = rank_instances(*service, &possible, PROCESS_KEEPERS);
            let mut keepers = keepers
                .iter()
                .filter(|one| **one == own || live.binary_search(one).is_ok());
            keepers.next() == Some(&own)
        };
        let services = self.resumable_services.borrow();
        services.iter().copied().filter(is_kept).collect()
    }

    /// Asks some endpoints for their reports whose process this instance is to find. Call a few times a
    /// second.
    pub fn find_processes(self: &Rc<Self>) {
        let now = self.now();
        let candidates = self.report_candidates(now);
        let mut schedule = self.report_schedule.borrow_mut();
        let due = schedule.choose(now, &candidates);
        let summary = schedule.take_summary();
        drop(schedule);
        for endpoint in due {
            self.metrics.count_process_report("asked");
            self.spawn_check(endpoint);
        }
        if let Some(summary) = summary {
            self.log_known(&summary);
        }
    }

    /// The endpoints whose process this instance is to find.
    fn report_candidates(&self, now: Duration) -> Vec<ReportCandidate> {
        let services = self.kept_services();
        let table = self.table.borrow();
        let rows = services
            .into_iter()
            .flat_map(|service| table.of_service(service));
        let candidates = rows.map(|(endpoint, row)| {
            let has_several = table.recorded.has_several(row.service);
            let may_ask = row.may_report(now) && row.is_sound(now);
            let need = table.versions.report_need(endpoint, has_several);
            ReportCandidate {
                endpoint,
                listed: ListedProcess::of(row),
                need: need.filter(|_| may_ask),
                has_reported: table.versions.has_reported(endpoint),
            }
        });
        candidates.collect()
    }

    fn log_known(&self, summary: &KnownSummary) {
        let table = self.table.borrow();
        let rows = summary.endpoints.iter().filter_map(|id| table.row(*id));
        let names: Vec<&str> = rows.map(|row| row.name.as_str()).collect();
        log::info!(
            known = summary.count,
            endpoints = names.join(",").as_str(),
            since_listed_ms = summary.since_listed.as_millis() as u64,
            since_served_ms = summary.since_served.as_millis() as u64;
            "relay: processes of endpoints have become known"
        );
    }

    /// Records what an endpoint reported, and tells the other keepers if the version of its process has
    /// become known by it. A report counts only if the list has stated the same meanwhile.
    pub(crate) fn note_process_report(
        &self,
        endpoint: EndpointId,
        listed: ListedProcess,
        report: ProcessReport,
    ) {
        let now = self.now();
        let (found, is_changed) = {
            let mut table = self.table.borrow_mut();
            let row = table.row(endpoint);
            let row = row.filter(|row| listed == ListedProcess::of(row));
            let Some(service) = row.map(|row| row.service) else {
                return;
            };
            let has_several = table.recorded.has_several(service);
            let versions = &mut table.versions;
            let before = versions.standing(endpoint, listed.version);
            versions.note_start(endpoint, listed.version, report);
            let found = match has_several {
                true => versions.find_known(now, endpoint, service, listed.version),
                false => None,
            };
            let is_changed = versions.standing(endpoint, listed.version) != before;
            (found, is_changed)
        };
        if let Some(record) = found {
            self.metrics.count_process_report("known");
            let served = Duration::from_millis(u64::from(record.served_ms));
            let mut schedule = self.report_schedule.borrow_mut();
            schedule.note_known(now, endpoint, served);
            drop(schedule);
            self.tell_keepers(record);
        }
        self.settle_origins_at(&[endpoint]);
        if is_changed || found.is_some() {
            self.processes_changed.notify_waiters();
        }
    }

    fn tell_keepers(&self, record: ProcessRecord) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let message = ProcessMessage::Known(vec![record]);
        let message = GatewayDatagram::Processes(message);
        let own = self.settings.instance;
        let keepers = self.process_keepers(record.service);
        for keeper in keepers.into_iter().filter(|keeper| *keeper != own) {
            peers.send(keeper, &message);
        }
    }

    /// Asks the keepers for processes of a version, and first for that of `endpoint`.
    pub(crate) fn ask_for_processes(&self, query: ProcessQuery) {
        let keepers = self.process_keepers(query.service);
        self.ask_keepers(&keepers, query);
    }

    /// Asks a keeper for processes of each service at which streams begin that callers may resume, while
    /// none is known here at which one can begin. Another keeper each time, as they all would tell the
    /// same. Call a few times a second.
    pub fn ask_for_lasting(&self) {
        let now = self.now();
        let services: Vec<ServiceId> = {
            let table = self.table.borrow();
            let resumable = self.resumable_services.borrow();
            let services = resumable.iter().copied().filter(|service| {
                let has_versions = table.recorded.only_known(*service).is_none();
                let mut rows = table.of_service(*service);
                let lasts = rows.any(|(id, row)| {
                    let is_sound = row.standing(now) == Some(EndpointStanding::Sound);
                    is_sound && table.versions.lasts(id, row.version_id)
                });
                has_versions && !lasts
            });
            services.collect()
        };
        let turn = now.as_millis() / ASK_INTERVAL.as_millis();
        for service in services {
            let keepers = self.process_keepers(service);
            let turn = turn as usize % keepers.len().max(1);
            let query = ProcessQuery {
                service,
                version: None,
                endpoint: None,
            };
            self.ask_keepers(keepers.get(turn..=turn).unwrap_or_default(), query);
        }
    }

    /// Asks instances for processes, unless the same was asked a moment ago.
    fn ask_keepers(&self, keepers: &[InstanceId], query: ProcessQuery) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let now = self.now();
        let mut asked = self.asked_processes.borrow_mut();
        asked.retain(|_, at| now < *at + ASK_INTERVAL);
        if asked.len() >= MAX_ASKED || asked.contains_key(&query) {
            return;
        }
        asked.insert(query, now);
        let own = self.settings.instance;
        let message = GatewayDatagram::Processes(ProcessMessage::Query(query));
        for keeper in keepers.iter().filter(|keeper| **keeper != own) {
            peers.send(*keeper, &message);
        }
    }

    /// Finds out which version the process has that began a stream: it may be a known one, and may crash
    /// before the list states it.
    pub(crate) fn find_process_of(self: &Rc<Self>, stream: UnsettledProcess) {
        let UnsettledProcess {
            endpoint,
            service,
            start,
        } = stream;
        {
            let table = self.table.borrow();
            if table.recorded.only_known(service).is_some() {
                return;
            }
        }
        self.ask_for_processes(ProcessQuery {
            service,
            version: None,
            endpoint: Some(endpoint),
        });
        if start.is_none() {
            self.check_processes(&[endpoint]);
        }
    }

    /// Goes on finding out the versions of the processes that began streams which are not settled. Call a
    /// few times a second.
    pub fn find_unsettled(self: &Rc<Self>) {
        let processes = self.unsettled.borrow().processes(self.now());
        for process in processes {
            self.find_process_of(process);
        }
    }

    /// Handles a message of another instance.
    pub fn handle_process_message(&self, from: InstanceId, message: ProcessMessage) {
        match message {
            ProcessMessage::Known(records) => self.note_processes(records),
            ProcessMessage::Query(query) => {
                let now = self.now();
                let records = self.table.borrow().versions.known.answer(now, from, query);
                if let Some(peers) = self.peers.get().filter(|_| !records.is_empty()) {
                    let message = ProcessMessage::Known(records);
                    peers.send(from, &GatewayDatagram::Processes(message));
                }
            }
        }
    }

    /// Takes over processes that another instance, or the store of this one, knows.
    pub fn note_processes(&self, records: impl IntoIterator<Item = ProcessRecord>) {
        let now = self.now();
        let mut changed = Vec::new();
        {
            let mut table = self.table.borrow_mut();
            for record in records {
                if table.versions.known.note_told(now, record) {
                    changed.push(record.endpoint);
                }
                let listed = table.row(record.endpoint).map(|row| row.version_id);
                if let Some(listed) = listed {
                    table.versions.note_known(record.endpoint, listed);
                }
            }
        }
        if !changed.is_empty() {
            self.settle_origins_at(&changed);
            self.processes_changed.notify_waiters();
        }
    }

    /// Number of changes of the known processes so far.
    pub fn process_revision(&self) -> u64 {
        self.table.borrow().versions.known.revision()
    }

    /// All processes that this instance knows.
    pub fn known_processes(&self) -> Vec<ProcessRecord> {
        self.table.borrow().versions.known.records(self.now())
    }

    /// Tells an instance that has become live of the processes that it is a keeper of.
    pub fn repeat_processes_to(&self, instance: InstanceId) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let mut records = self.table.borrow().versions.known.records(self.now());
        let services: BTreeSet<ServiceId> = records.iter().map(|record| record.service).collect();
        let own = self.settings.instance;
        let is_kept = |service: &ServiceId| {
            let keepers = self.process_keepers(*service);
            keepers.contains(&instance) && keepers.contains(&own)
        };
        let kept: BTreeSet<ServiceId> = services.into_iter().filter(is_kept).collect();
        records.retain(|record| kept.contains(&record.service));
        for records in records.chunks(MAX_MESSAGE_PROCESSES) {
            let message = ProcessMessage::Known(records.to_vec());
            peers.send(instance, &GatewayDatagram::Processes(message));
        }
    }
}

/// The services at which streams begin that callers may resume.
pub(crate) fn resumable_services(index: &CatalogIndex) -> BTreeSet<ServiceId> {
    let routes = index.catalog().routes.iter();
    let resumable = routes.filter(|route| route.kind.is_stream() && route.kind.is_repeatable());
    let shares = resumable.flat_map(|route| &route.services);
    shares.map(|share| name_id(&share.service)).collect()
}
