//! Processes of endpoints whose software version is known, by the start that they state.
//!
//! Load pattern: all instances lose power and forget which process the list stated at each endpoint,
//! while the endpoints run on; callers come back before the list can state it again. A process that
//! states the start of a known one is that process, so its version holds without a reading.

use std::collections::HashMap;
use std::time::Duration;

use wire::id::{EndpointId, InstanceId, VersionId};
use wire::process::{MAX_MESSAGE_PROCESSES, ProcessQuery, ProcessRecord, ProcessStart};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::origin::whole_millis;

/// Maximum number of processes. Those that were noted first are dropped.
const MAX_PROCESSES: usize = 4096;
/// Time for which the process of an endpoint is kept that is not listed: a list may lack it for a while.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);

/// A process whose software version is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownProcess {
    /// The process, as it was told or found.
    record: ProcessRecord,
    /// Since when the process has certainly served.
    pub since: Duration,
    /// When it was noted.
    noted_at: Duration,
    /// Whether it was told with several versions, so that none is known.
    is_disputed: bool,
}

impl KnownProcess {
    /// When the process started, as it states it.
    pub fn start(&self) -> ProcessStart {
        self.record.start
    }

    /// Its software version.
    pub fn version(&self) -> VersionId {
        self.record.version
    }
}

/// The latest known process of each endpoint.
#[derive(Clone, Debug, Default)]
pub struct KnownProcesses {
    processes: HashMap<EndpointId, KnownProcess>,
    /// Number of changes so far, by which the owner of a store sees that it has to be written.
    revision: u64,
}

impl KnownProcesses {
    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a process that another instance or the store tells of. A process that started earlier
    /// than the known one is over. Returns whether anything changed.
    pub fn note_told(&mut self, now: Duration, record: ProcessRecord) -> bool {
        let known = self.processes.get(&record.endpoint);
        match known.is_some_and(|known| known.start() > record.start) {
            true => false,
            false => self.note(now, record),
        }
    }

    /// Records a process that this instance has found. Returns whether anything changed.
    pub fn note(&mut self, now: Duration, record: ProcessRecord) -> bool {
        let served = Duration::from_millis(u64::from(record.served_ms));
        let mut process = KnownProcess {
            record,
            since: now.saturating_sub(served),
            noted_at: now,
            is_disputed: false,
        };
        let known = self.processes.get(&record.endpoint).copied();
        let known = known.filter(|known| known.start() == record.start);
        if let Some(known) = known {
            process.since = process.since.min(known.since);
            process.is_disputed = known.is_disputed || known.version() != record.version;
        }
        self.processes.insert(record.endpoint, process);
        self.drop_first();
        let is_changed = known.is_none_or(|known| known.is_disputed != process.is_disputed);
        self.revision += u64::from(is_changed);
        is_changed
    }

    fn drop_first(&mut self) {
        if self.processes.len() <= MAX_PROCESSES {
            return;
        }
        let first = self.processes.iter();
        let first = first.min_by_key(|(endpoint, process)| (process.noted_at, **endpoint));
        if let Some(endpoint) = first.map(|(endpoint, _)| *endpoint) {
            self.processes.remove(&endpoint);
        }
    }

    /// The latest known process of an endpoint.
    pub fn get(&self, endpoint: EndpointId) -> Option<KnownProcess> {
        let process = self.processes.get(&endpoint).copied();
        process.filter(|process| !process.is_disputed)
    }

    /// The process of an endpoint that states `start`, if it is the known one.
    pub fn stating(&self, endpoint: EndpointId, start: ProcessStart) -> Option<KnownProcess> {
        self.get(endpoint)
            .filter(|process| process.start() == start)
    }

    /// All known processes, as they are told and stored.
    pub fn records(&self, now: Duration) -> Vec<ProcessRecord> {
        let records = self.processes.values();
        let records = records.filter(|process| !process.is_disputed);
        records.map(|process| record_at(now, process)).collect()
    }

    /// What to tell an instance that asks: the endpoint that it names first, and others of the version, or
    /// of any if it names neither. These differ between instances so that not all go to the same ones.
    pub fn answer(
        &self,
        now: Duration,
        asker: InstanceId,
        query: ProcessQuery,
    ) -> Vec<ProcessRecord> {
        let matching = self.processes.iter().filter(|(endpoint, process)| {
            let is_named = query.endpoint == Some(**endpoint);
            let is_version = match query.version {
                Some(version) => process.version() == version,
                None => query.endpoint.is_none(),
            };
            !process.is_disputed
                && process.record.service == query.service
                && (is_named || is_version)
        });
        let mut found: Vec<_> = matching.collect();
        let rank = |endpoint: EndpointId| xxh3_64_with_seed(&endpoint.to_le_bytes(), asker);
        found.sort_by_cached_key(|(endpoint, _)| {
            (query.endpoint != Some(**endpoint), rank(**endpoint))
        });
        found.truncate(MAX_MESSAGE_PROCESSES);
        let records = found.into_iter();
        records
            .map(|(_, process)| record_at(now, process))
            .collect()
    }

    /// Drops the processes of endpoints that are not listed any more.
    pub fn retain_listed(&mut self, now: Duration, is_listed: impl Fn(EndpointId) -> bool) {
        self.processes.retain(|endpoint, process| {
            is_listed(*endpoint) || now < process.noted_at + UNLISTED_RETENTION
        });
    }
}

fn record_at(now: Duration, process: &KnownProcess) -> ProcessRecord {
    ProcessRecord {
        served_ms: whole_millis(now.saturating_sub(process.since)),
        ..process.record
    }
}
