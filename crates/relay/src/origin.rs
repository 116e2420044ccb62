//! Origins of streams: which service and software version sent the first event of a stream that its
//! caller may resume at this or another instance.
//!
//! The instance that begins a stream records its origin and tells [`KEEPERS`] others before the
//! first event leaves. An instance to which a caller returns and that has no record asks the
//! instances that are most likely to have one.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use wire::id::{InstanceId, StreamId};
use wire::stream::{OriginClaim, OriginNotice};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of other instances that are told of a stream when it begins.
pub const KEEPERS: usize = 3;
/// Number of other instances that are asked for an unknown stream. More than [`KEEPERS`], as some
/// of these may have been lost or replaced since the stream began.
pub const ASKED_INSTANCES: usize = 2 * KEEPERS;
/// Time for which a record is kept after its caller stops waiting.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Settings of the table of origins.
#[derive(Clone, Debug, PartialEq)]
pub struct OriginSettings {
    /// Maximum number of records. If there are more, those that expire first are dropped.
    pub max_streams: usize,
}

impl Default for OriginSettings {
    fn default() -> Self {
        Self {
            max_streams: 32 * 1024,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OriginRecord {
    claim: OriginClaim,
    expires_at: Duration,
}

/// The origins of streams that this instance knows.
#[derive(Debug, Default)]
pub struct OriginTable {
    settings: OriginSettings,
    records: HashMap<StreamId, OriginRecord>,
    /// The same records by expiry, first to expire first.
    by_expiry: BTreeSet<(Duration, StreamId)>,
}

impl OriginTable {
    /// An empty table.
    pub fn new(settings: OriginSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records the origin of a stream. A known origin is never replaced: another claim makes the
    /// origin disputed. The later expiry holds.
    pub fn note(&mut self, now: Duration, notice: OriginNotice) {
        self.expire(now);
        let lifetime = Duration::from_millis(u64::from(notice.lifetime_ms));
        let mut record = OriginRecord {
            claim: notice.claim,
            expires_at: now + lifetime + EXPIRY_MARGIN,
        };
        if let Some(known) = self.records.remove(&notice.stream) {
            self.by_expiry.remove(&(known.expires_at, notice.stream));
            record.expires_at = record.expires_at.max(known.expires_at);
            if known.claim != notice.claim {
                record.claim = OriginClaim::Disputed;
            }
        }
        self.records.insert(notice.stream, record);
        self.by_expiry.insert((record.expires_at, notice.stream));
        if self.records.len() > self.settings.max_streams {
            self.drop_first();
        }
    }

    /// The origin of a stream; `None` if this instance has no record of it.
    pub fn find(&self, now: Duration, stream: StreamId) -> Option<OriginClaim> {
        let record = self.records.get(&stream)?;
        (now < record.expires_at).then_some(record.claim)
    }

    /// What to tell another instance of a stream; `None` if this instance has no record of it.
    pub fn notice_of(&self, now: Duration, stream: StreamId) -> Option<OriginNotice> {
        let record = self.records.get(&stream)?;
        let kept = record.expires_at.checked_sub(now)?;
        Some(OriginNotice {
            stream,
            claim: record.claim,
            lifetime_ms: whole_millis(kept.saturating_sub(EXPIRY_MARGIN)),
        })
    }

    /// What to tell an instance that has lost its records: of the `most` streams that expire last,
    /// those that it is a keeper of among `instances`.
    pub fn notices_for(
        &self,
        now: Duration,
        keeper: InstanceId,
        instances: &[InstanceId],
        most: usize,
    ) -> Vec<OriginNotice> {
        let latest = self.by_expiry.iter().rev().take(most);
        let kept = latest
            .filter(|(_, stream)| rank_instances(*stream, instances, KEEPERS).contains(&keeper));
        kept.filter_map(|(_, stream)| self.notice_of(now, *stream))
            .collect()
    }

    fn expire(&mut self, now: Duration) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.records.remove(&stream);
        }
    }
}

/// The `count` instances that rank first for a stream, by rendezvous hashing. Instances with
/// slightly different views of the fleet thus choose mostly the same ones.
pub fn rank_instances(stream: StreamId, instances: &[InstanceId], count: usize) -> Vec<InstanceId> {
    let mut ranked: Vec<InstanceId> = instances.to_vec();
    ranked.sort_by_cached_key(|instance| xxh3_64_with_seed(&instance.to_le_bytes(), stream));
    ranked.truncate(count);
    ranked
}

/// A time in whole milliseconds, limited to what a notice can hold.
pub fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
