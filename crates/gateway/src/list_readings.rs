//! Which gateway reads the platform's endpoint list, and the active list.
//!
//! One gateway reads for all: the live one with the lowest id. If its readings stop, the others
//! take over, in the order of their ids. A reader sends the digest of the list and its latest
//! change, so that the size of the notice of an unchanged list does not depend on the list's
//! length.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use wire::codec;
use wire::gateway::{ListAge, ListNotice, ListedEndpoint, ReadingKey};
use wire::id::{EndpointId, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

/// Age of the latest reading at which the second gateway in order reads, in addition to two reading
/// intervals.
const TAKEOVER_AGE: Duration = Duration::from_millis(200);
/// Additional age for each further position in the order.
const TAKEOVER_STEP: Duration = Duration::from_millis(400);

/// What a gateway does on the notice of a reading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeAction {
    /// The list is the same as the active one.
    Unchanged,
    /// The notice leads from the active list to this one, which is now active.
    Apply(Vec<ListedEndpoint>),
    /// The notice does not continue from the active list: fetch the whole list from the reader.
    Fetch,
    /// The notice is older than the latest one of the same reader: ignore it.
    Stale,
}

/// The latest change of the list, as the reader publishes it.
#[derive(Clone, Debug, Default)]
struct ListChange {
    since: u64,
    changed: Vec<ListedEndpoint>,
    left: Vec<EndpointId>,
}

/// The active list of one gateway, and the latest reading of each other gateway.
#[derive(Debug, Default)]
pub struct ListReadings {
    /// The active list, by endpoint id.
    list: BTreeMap<EndpointId, ListedEndpoint>,
    /// Digest of the active list; 0 before the first.
    digest: u64,
    /// Change that led to the active list if this gateway read it, else empty.
    change: ListChange,
    /// The latest reading announced by each other gateway.
    readers: BTreeMap<InstanceId, ReadingKey>,
    /// When the active list was last read, confirmed or fetched.
    latest_at: Option<Duration>,
    /// When this gateway last started to read.
    attempted_at: Option<Duration>,
    /// Digest of the list of the latest reading whose age is known, and when that reading began.
    stated: Option<(u64, Duration)>,
}

impl ListReadings {
    /// Whether this gateway is due to read. `rank` is its position in the order of readers, from 0.
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

    /// Whether this gateway has had no list yet.
    pub fn is_empty(&self) -> bool {
        self.latest_at.is_none()
    }

    /// Digest of the active list; 0 before the first.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Records that this gateway starts to read.
    pub fn note_attempt(&mut self, now: Duration) {
        self.attempted_at = Some(now);
    }

    /// Records that a reading which began at `began_at` states the list with this digest.
    pub fn note_began(&mut self, digest: u64, began_at: Duration) {
        if self.stated.is_none_or(|(_, at)| began_at >= at) {
            self.stated = Some((digest, began_at));
        }
    }

    /// Records the age of another gateway's reading, if it has just arrived: after a gap, messages are
    /// received that are older than they say. `is_settled` tells that they no longer are.
    pub fn note_age(&mut self, now: Duration, age: &ListAge, is_settled: bool) {
        let age_time = Duration::from_millis(u64::from(age.age_ms));
        let began_at = now.checked_sub(age_time).filter(|_| is_settled);
        if let Some(began_at) = began_at {
            self.note_began(age.digest, began_at);
        }
    }

    /// When the latest reading began that is known to state the active list; `None` for none.
    pub fn stated_at(&self) -> Option<Duration> {
        let (digest, began_at) = self.stated?;
        (digest == self.digest).then_some(began_at)
    }

    /// The active list.
    pub fn list(&self) -> Vec<ListedEndpoint> {
        self.list.values().cloned().collect()
    }

    /// Activates this gateway's own reading and returns the notice for the other gateways.
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
            base_digest: self.change.since,
            changed: self.change.changed.clone(),
            removed: self.change.left.clone(),
        }
    }

    /// Handles another gateway's notice of its reading.
    pub fn handle_notice(
        &mut self,
        now: Duration,
        reader: InstanceId,
        notice: ListNotice,
    ) -> NoticeAction {
        let last = self.readers.get(&reader);
        let is_same_incarnation =
            last.is_some_and(|last| last.incarnation == notice.reading.incarnation);
        if is_same_incarnation && last.is_some_and(|last| notice.reading < *last) {
            return NoticeAction::Stale;
        }
        self.readers.insert(reader, notice.reading);
        if notice.digest == self.digest {
            self.latest_at = Some(now);
            return NoticeAction::Unchanged;
        }
        if notice.base_digest == 0 || notice.base_digest != self.digest {
            return NoticeAction::Fetch;
        }
        let mut list = self.list.clone();
        for id in &notice.removed {
            list.remove(id);
        }
        list.extend(by_id(notice.changed));
        match digest_of(&list) == notice.digest {
            true => NoticeAction::Apply(self.apply(now, list)),
            false => NoticeAction::Fetch,
        }
    }

    /// Activates a fetched list and returns it.
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

/// Resolves entries with the same id, which stem from pages that overlap or from another writer of
/// the list. An entry of a service that `is_known` goes before others, later entries before earlier
/// ones: without this, a foreign entry would hide the endpoint whose id it has.
pub fn without_duplicates(
    endpoints: Vec<ListedEndpoint>,
    is_known: impl Fn(&str) -> bool,
) -> Vec<ListedEndpoint> {
    let mut unique: BTreeMap<EndpointId, ListedEndpoint> = BTreeMap::new();
    for endpoint in endpoints {
        let held = unique.get(&endpoint.id());
        let is_hidden =
            held.is_some_and(|held| is_known(&held.service) && !is_known(&endpoint.service));
        if !is_hidden {
            unique.insert(endpoint.id(), endpoint);
        }
    }
    unique.into_values().collect()
}

fn by_id(endpoints: Vec<ListedEndpoint>) -> BTreeMap<EndpointId, ListedEndpoint> {
    let with_ids = endpoints
        .into_iter()
        .map(|endpoint| (endpoint.id(), endpoint));
    with_ids.collect()
}

fn digest_of(list: &BTreeMap<EndpointId, ListedEndpoint>) -> u64 {
    // Encoding a list does not fail. If it did, the digest of no bytes would differ from that of
    // every encoded list.
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
