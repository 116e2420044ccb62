//! Readings of the list: who reads, and what is in force.
//!
//! One gateway reads for all: the live one with the lowest id. The others take over, one after the
//! other, when its readings stay out. Readers tell the digest of the list and its latest change, so
//! that an unchanged list costs next to nothing, however long it is.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::codec;
use wire::gateway::{ListNotice, ListedEndpoint, ReadingKey};
use wire::id::{EndpointId, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

/// Age of the latest reading, beside two intervals, at which the next gateway takes over.
const TAKEOVER_AGE: Duration = Duration::from_millis(200);
/// Further age for each gateway before this one.
const TAKEOVER_STEP: Duration = Duration::from_millis(400);

/// What a gateway does with a notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeAction {
    /// The list is the one that is obeyed already.
    Unchanged,
    /// Obey this list.
    Apply(Vec<ListedEndpoint>),
    /// Ask the reader for the whole list.
    Fetch,
    /// An older reading of the same reader.
    Stale,
}

/// The latest change of the list.
#[derive(Clone, Debug, Default)]
struct ListChange {
    since: u64,
    changed: Vec<ListedEndpoint>,
    left: Vec<EndpointId>,
}

/// The readings of all gateways, as one of them sees them.
#[derive(Debug, Default)]
pub struct ListReadings {
    /// The list in force, by endpoint.
    list: BTreeMap<EndpointId, ListedEndpoint>,
    /// Digest of the list; 0 before the first.
    digest: u64,
    /// How the list became what it is, if this gateway read it.
    change: ListChange,
    /// The latest reading of each reader.
    readers: BTreeMap<InstanceId, ReadingKey>,
    /// When the latest reading came.
    latest_at: Option<Duration>,
    /// When this gateway tried to read last.
    attempted_at: Option<Duration>,
}

impl ListReadings {
    /// Whether this gateway, the `rank`th of the live ones, reads now.
    pub fn is_due(&self, now: Duration, interval: Duration, rank: usize) -> bool {
        let since = |at: Option<Duration>| at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        if since(self.attempted_at) < interval {
            return false;
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let max_age = match rank {
            0 => interval,
            _ => 2 * interval + TAKEOVER_AGE + TAKEOVER_STEP.saturating_mul(rank - 1),
        };
        match self.latest_at {
            Some(_) => since(self.latest_at) >= max_age,
            None => rank == 0 || now >= max_age,
        }
    }

    /// Whether no reading has come yet.
    pub fn is_empty(&self) -> bool {
        self.latest_at.is_none()
    }

    /// Digest of the list in force; 0 before the first.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// This gateway begins to read.
    pub fn note_attempt(&mut self, now: Duration) {
        self.attempted_at = Some(now);
    }

    /// The list in force.
    pub fn list(&self) -> Vec<ListedEndpoint> {
        self.list.values().cloned().collect()
    }

    /// Takes in an own reading, and returns what is told of it.
    pub fn record_own(
        &mut self,
        now: Duration,
        reading: ReadingKey,
        endpoints: Vec<ListedEndpoint>,
    ) -> ListNotice {
        let list = by_id(endpoints);
        let digest = digest_of(&list);
        if digest != self.digest {
            self.change = change_between(self.digest, &self.list, &list);
            self.list = list;
            self.digest = digest;
        }
        self.latest_at = Some(now);
        ListNotice {
            reading,
            digest,
            since: self.change.since,
            changed: self.change.changed.clone(),
            left: self.change.left.clone(),
        }
    }

    /// Takes in what another gateway tells of its reading.
    pub fn handle_notice(
        &mut self,
        now: Duration,
        reader: InstanceId,
        notice: ListNotice,
    ) -> NoticeAction {
        let last = self.readers.get(&reader);
        let is_same_life = last.is_some_and(|last| last.incarnation == notice.reading.incarnation);
        if is_same_life && last.is_some_and(|last| notice.reading < *last) {
            return NoticeAction::Stale;
        }
        self.readers.insert(reader, notice.reading);
        if notice.digest == self.digest {
            self.latest_at = Some(now);
            return NoticeAction::Unchanged;
        }
        if notice.since == 0 || notice.since != self.digest {
            return NoticeAction::Fetch;
        }
        let mut list = self.list.clone();
        for id in &notice.left {
            list.remove(id);
        }
        list.extend(by_id(notice.changed));
        match digest_of(&list) == notice.digest {
            true => NoticeAction::Apply(self.apply(now, list)),
            false => NoticeAction::Fetch,
        }
    }

    /// Takes in a whole list that was fetched.
    pub fn replace_list(
        &mut self,
        now: Duration,
        endpoints: Vec<ListedEndpoint>,
    ) -> Vec<ListedEndpoint> {
        self.apply(now, by_id(endpoints))
    }

    fn apply(
        &mut self,
        now: Duration,
        list: BTreeMap<EndpointId, ListedEndpoint>,
    ) -> Vec<ListedEndpoint> {
        self.digest = digest_of(&list);
        self.list = list;
        self.change = ListChange::default();
        self.latest_at = Some(now);
        self.list()
    }
}

fn by_id(endpoints: Vec<ListedEndpoint>) -> BTreeMap<EndpointId, ListedEndpoint> {
    let with_ids = endpoints
        .into_iter()
        .map(|endpoint| (endpoint.id(), endpoint));
    with_ids.collect()
}

fn digest_of(list: &BTreeMap<EndpointId, ListedEndpoint>) -> u64 {
    // A list that can't be encoded never matches another, so it is fetched whole.
    let bytes = codec::encode_state(list).unwrap_or_default();
    xxh3_64(&bytes)
}

fn change_between(
    since: u64,
    old: &BTreeMap<EndpointId, ListedEndpoint>,
    new: &BTreeMap<EndpointId, ListedEndpoint>,
) -> ListChange {
    let is_changed =
        |(id, endpoint): &(&EndpointId, &ListedEndpoint)| old.get(id) != Some(endpoint);
    let changed = new.iter().filter(is_changed);
    let kept: BTreeSet<&EndpointId> = new.keys().collect();
    let left = old.keys().filter(|id| !kept.contains(id));
    ListChange {
        since,
        changed: changed.map(|(_, endpoint)| endpoint.clone()).collect(),
        left: left.copied().collect(),
    }
}
