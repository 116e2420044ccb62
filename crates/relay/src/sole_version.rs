//! The origin of a stream that no instance knows, where it can have only one.
//!
//! Load pattern: all instances are killed at once while streams run, and their callers come back.
//! The quorum's record of versions survives that. A version is not inferred from the list: it shows
//! what is in service now, not what was when the stream began.

use catalog::{RouteCatalog, RouteRule};
use wire::id::{ServiceId, name_id};
use wire::stream::StreamOrigin;
use wire::version_record::VersionRecord;
use xxhash_rust::xxh3::Xxh3;

use crate::state::RelayState;

/// Digest of the routes of streams: which requests they take, and which services these lead to.
pub fn routing_digest(catalog: &RouteCatalog) -> u64 {
    let mut hasher = Xxh3::new();
    for route in catalog.routes.iter().filter(|route| route.kind.is_stream()) {
        for part in [&route.host, &route.prefix] {
            hasher.update(part.as_bytes());
            hasher.update(&[0]);
        }
        hasher.update(&[u8::from(route.kind.is_repeatable())]);
        for share in route.services.iter().filter(|share| share.weight > 0) {
            hasher.update(&name_id(&share.service).to_le_bytes());
        }
    }
    hasher.digest()
}

/// The only service of a route; `None` if its requests are divided among several.
pub fn sole_service(route: &RouteRule) -> Option<ServiceId> {
    let mut shares = route.services.iter().filter(|share| share.weight > 0);
    let first = shares.next()?;
    shares.next().is_none().then(|| name_id(&first.service))
}

impl RelayState {
    /// Adds what the quorum has recorded. Returns whether anything is new.
    pub fn note_recorded(&self, record: &VersionRecord) -> bool {
        let mut table = self.table.borrow_mut();
        let before = table.recorded.clone();
        table.recorded.merge(record);
        let is_new = table.recorded != before;
        if is_new {
            // Streams of a service that has had one version so far may have to be stored.
            self.origin_store_due.notify_one();
        }
        is_new
    }

    /// The origin of a stream of a route's service that nobody knows: the only version at which
    /// streams of the service can have begun, if the quorum confirms it and the list agrees. `None`
    /// if it is not certain.
    pub async fn sole_origin(&self, service: ServiceId, routing: u64) -> Option<StreamOrigin> {
        let peers = self.peers.get()?;
        let record = peers.read_versions().await?;
        self.note_recorded(&record);
        let version = record.only_version(service, routing)?;
        let table = self.table.borrow();
        // The reading shows what started after the record was last completed.
        let is_watched = table.versions.has_watched();
        let mut rows = table.of_service(service);
        let is_listed = rows.all(|(_, row)| row.version_id == version);
        (is_watched && is_listed).then_some(StreamOrigin { service, version })
    }
}
