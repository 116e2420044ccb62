//! The software versions at which streams of each service can have begun, as the quorum records
//! them. Unlike the records of single streams, they survive a loss of all gateways.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{ServiceId, VersionId};

/// Values that something has had since the beginning of the record. Values are never taken back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedValue {
    /// Only this one.
    Only(u64),
    /// Several.
    Several,
}

impl RecordedValue {
    /// The values of both records together.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        match self == other {
            true => self,
            false => Self::Several,
        }
    }
}

/// Software versions by service, and the routing of streams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Software versions of the endpoints of each service.
    pub versions: BTreeMap<ServiceId, RecordedValue>,
    /// Digest of the routes of streams, which tells a route that led to another service; `None`
    /// before the first catalog.
    pub routing: Option<RecordedValue>,
}

impl VersionRecord {
    /// Adds a version of a service.
    pub fn add(&mut self, service: ServiceId, version: VersionId) {
        self.add_value(service, RecordedValue::Only(version));
    }

    fn add_value(&mut self, service: ServiceId, value: RecordedValue) {
        let known = self.versions.get(&service).copied();
        let merged = known.map_or(value, |known| known.merge(value));
        self.versions.insert(service, merged);
    }

    /// Adds the routing of a catalog.
    pub fn add_routing(&mut self, digest: u64) {
        let value = RecordedValue::Only(digest);
        self.routing = Some(self.routing.map_or(value, |known| known.merge(value)));
    }

    /// Adds what another record holds.
    pub fn merge(&mut self, other: &Self) {
        for (service, value) in &other.versions {
            self.add_value(*service, *value);
        }
        if let Some(value) = other.routing {
            self.routing = Some(self.routing.map_or(value, |known| known.merge(value)));
        }
    }

    /// Whether streams may begin at a version: the record holds it, or holds nothing of its service.
    pub fn allows(&self, service: ServiceId, version: VersionId) -> bool {
        match self.versions.get(&service) {
            Some(RecordedValue::Only(known)) => *known == version,
            Some(RecordedValue::Several) | None => true,
        }
    }

    /// The only version that a service has ever had; `None` if it has had several, or if nothing is
    /// recorded.
    pub fn only_known(&self, service: ServiceId) -> Option<VersionId> {
        match self.versions.get(&service)? {
            RecordedValue::Only(version) => Some(*version),
            RecordedValue::Several => None,
        }
    }

    /// Whether a service is known to have had several versions.
    pub fn has_several(&self, service: ServiceId) -> bool {
        self.versions.get(&service) == Some(&RecordedValue::Several)
    }

    /// The only version at which streams of a service can have begun, if the routing of streams has
    /// always been the one with this digest.
    pub fn only_version(&self, service: ServiceId, routing: u64) -> Option<VersionId> {
        let is_routing_same = self.routing == Some(RecordedValue::Only(routing));
        match self.versions.get(&service).filter(|_| is_routing_same)? {
            RecordedValue::Only(version) => Some(*version),
            RecordedValue::Several => None,
        }
    }
}
