//! What the parts of the entry share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use arc_swap::ArcSwap;
use settings::FleetSettings;
use settings::process::EntrySettings;
use wire::id::{EndpointId, IncarnationNumber, ServiceId};
use wire::member::{EndpointRecord, EndpointState, LoadSample, MemberDigest};

use crate::pool::LinkPool;

/// State of one entry, shared by its threads.
pub struct EntryCore {
    /// The entry's file.
    pub settings: EntrySettings,
    /// This life of the entry.
    pub incarnation: IncarnationNumber,
    /// Settings in force.
    pub fleet: ArcSwap<FleetSettings>,
    /// Connections to agents.
    pub pool: LinkPool,
    members: Mutex<MemberView>,
}

/// What the entry knows of the endpoints.
#[derive(Default)]
pub struct MemberView {
    /// Records by endpoint.
    pub records: BTreeMap<EndpointId, EndpointRecord>,
    /// Last load by endpoint.
    pub loads: BTreeMap<EndpointId, LoadSample>,
}

impl EntryCore {
    /// A core without settings and members.
    pub fn new(settings: EntrySettings, incarnation: IncarnationNumber, pool: LinkPool) -> Self {
        Self {
            settings,
            incarnation,
            fleet: ArcSwap::default(),
            pool,
            members: Mutex::default(),
        }
    }

    /// The view of the endpoints.
    pub fn members(&self) -> MutexGuard<'_, MemberView> {
        self.members
            .lock()
            .expect("no thread panics while it holds the view")
    }
}

impl MemberView {
    /// Takes over a digest.
    pub fn apply(&mut self, digest: MemberDigest) {
        for record in digest.records {
            self.records.insert(record.endpoint, record);
        }
        for endpoint in digest.gone {
            self.records.remove(&endpoint);
            self.loads.remove(&endpoint);
        }
        for sample in digest.loads {
            self.loads.insert(sample.endpoint, sample);
        }
    }

    /// Serving endpoints of a service, least loaded first.
    pub fn candidates(&self, service: ServiceId) -> Vec<EndpointRecord> {
        let mut found: Vec<&EndpointRecord> = self
            .records
            .values()
            .filter(|record| self.is_candidate(record, service))
            .collect();
        found.sort_by_key(|record| self.load_of(record.endpoint));
        found.into_iter().cloned().collect()
    }

    fn is_candidate(&self, record: &EndpointRecord, service: ServiceId) -> bool {
        let sample = self.loads.get(&record.endpoint);
        record.service == service
            && sample.is_some_and(|sample| sample.state == EndpointState::Serving)
    }

    fn load_of(&self, endpoint: EndpointId) -> u32 {
        self.loads
            .get(&endpoint)
            .map_or(0, |sample| sample.load.total())
    }
}
