//! The bounded in-memory store of records and notices of one instance.
//!
//! Ordinary records and notable ones (refusals, failures, retries, notices) are kept in separate
//! ring buffers, so that a flood of successes can't evict a refusal. Above a set rate, ordinary
//! records are sampled by request id, so that the entry and the agent keep the same requests and
//! their records can be joined.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::id::RequestId;

use crate::filter::RecordFilter;
use crate::record::{DecisionRecord, NoticeRecord};

/// Capacities and sampling rate of a [`DecisionRing`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingSettings {
    /// Largest number of ordinary records.
    pub ordinary_capacity: usize,
    /// Largest number of notable records and notices.
    pub notable_capacity: usize,
    /// Ordinary records stored per second before sampling starts.
    pub full_rate: u32,
    /// Above the full rate, one in this many requests is stored; 0 counts as 1.
    pub sample_divisor: u32,
}

impl Default for RingSettings {
    fn default() -> Self {
        Self {
            ordinary_capacity: 2048,
            notable_capacity: 2048,
            full_rate: 50,
            sample_divisor: 16,
        }
    }
}

/// An event in a [`DecisionRing`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RingEvent {
    /// A decision about a request.
    Decision(Box<DecisionRecord>),
    /// Another event of interest to an operator.
    Notice(NoticeRecord),
}

/// An event with its sequence number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RingEntry {
    /// Sequence number: 1 for the first stored event, increasing by one with each.
    pub sequence: u64,
    /// The event.
    pub event: RingEvent,
}

/// Entries returned to a client that follows the ring.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RingBatch {
    /// Entries in order of their sequence numbers.
    pub entries: Vec<RingEntry>,
    /// Sequence number to pass to the next call of [`DecisionRing::follow`].
    pub next: u64,
}

/// The bounded store of records and notices of one instance.
///
/// Invariants: each buffer is sorted by sequence number and within its capacity; sequence numbers
/// are unique.
#[derive(Debug)]
pub struct DecisionRing {
    settings: RingSettings,
    ordinary: VecDeque<RingEntry>,
    notable: VecDeque<RingEntry>,
    /// Sequence number of the last stored event.
    last: u64,
    /// Wall clock second to which `stored` refers.
    second: u64,
    /// Ordinary records stored in `second`.
    stored: u32,
    /// Number of ordinary records dropped by sampling.
    sampled_out: u64,
}

impl DecisionRing {
    /// Creates an empty store.
    pub fn new(settings: RingSettings) -> Self {
        Self {
            settings,
            ordinary: VecDeque::new(),
            notable: VecDeque::new(),
            last: 0,
            second: 0,
            stored: 0,
            sampled_out: 0,
        }
    }

    /// Stores a record, unless sampling drops it. Returns whether it was stored.
    pub fn push(&mut self, record: DecisionRecord) -> bool {
        if record.is_notable() {
            self.store_notable(RingEvent::Decision(Box::new(record)));
            return true;
        }
        if !self.should_store(record.request, record.time) {
            self.sampled_out += 1;
            return false;
        }
        let entry = self.assign_sequence(RingEvent::Decision(Box::new(record)));
        push_bounded(&mut self.ordinary, entry, self.settings.ordinary_capacity);
        true
    }

    /// Stores a notice.
    pub fn push_notice(&mut self, record: NoticeRecord) {
        self.store_notable(RingEvent::Notice(record));
    }

    /// Returns the stored records of a request, oldest first.
    pub fn find(&self, request: RequestId) -> Vec<&DecisionRecord> {
        let entries = self.ordinary.iter().chain(&self.notable);
        let mut matching: Vec<(u64, &DecisionRecord)> = entries
            .filter_map(|entry| Some((entry.sequence, decision_of(entry)?)))
            .filter(|(_, record)| record.request == request)
            .collect();
        matching.sort_by_key(|(sequence, _)| *sequence);
        matching.into_iter().map(|(_, record)| record).collect()
    }

    /// Returns at most `limit` entries with a sequence number above `after` that match the filter,
    /// oldest first.
    pub fn follow(&self, after: u64, filter: &RecordFilter, limit: usize) -> RingBatch {
        let mut entries: Vec<&RingEntry> = entries_after(&self.ordinary, after)
            .chain(entries_after(&self.notable, after))
            .filter(|entry| filter.matches(&entry.event))
            .collect();
        entries.sort_by_key(|entry| entry.sequence);
        let is_truncated = entries.len() > limit;
        entries.truncate(limit);
        let next = match entries.last() {
            Some(entry) if is_truncated => entry.sequence,
            _ => self.last.max(after),
        };
        RingBatch {
            entries: entries.into_iter().cloned().collect(),
            next,
        }
    }

    /// Returns the last `count` decisions, newest first.
    pub fn last_decisions(&self, count: usize) -> Vec<&DecisionRecord> {
        let mut entries: Vec<&RingEntry> = self.ordinary.iter().chain(&self.notable).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.sequence));
        entries
            .into_iter()
            .filter_map(decision_of)
            .take(count)
            .collect()
    }

    /// Returns the sequence number of the last stored event.
    pub fn last_sequence(&self) -> u64 {
        self.last
    }

    /// Returns the number of ordinary records dropped by sampling.
    pub fn sampled_out(&self) -> u64 {
        self.sampled_out
    }

    /// Panics if an invariant is violated.
    pub fn verify(&self) {
        assert!(self.ordinary.len() <= self.settings.ordinary_capacity);
        assert!(self.notable.len() <= self.settings.notable_capacity);
        assert!(is_ascending(&self.ordinary, self.last));
        assert!(is_ascending(&self.notable, self.last));
    }

    fn should_store(&mut self, request: RequestId, time: Duration) -> bool {
        let second = time.as_secs();
        if second != self.second {
            self.second = second;
            self.stored = 0;
        }
        let divisor = RequestId::from(self.settings.sample_divisor.max(1));
        if self.stored >= self.settings.full_rate && !request.is_multiple_of(divisor) {
            return false;
        }
        self.stored = self.stored.saturating_add(1);
        true
    }

    fn store_notable(&mut self, event: RingEvent) {
        let entry = self.assign_sequence(event);
        push_bounded(&mut self.notable, entry, self.settings.notable_capacity);
    }

    fn assign_sequence(&mut self, event: RingEvent) -> RingEntry {
        self.last += 1;
        RingEntry {
            sequence: self.last,
            event,
        }
    }
}

fn push_bounded(ring: &mut VecDeque<RingEntry>, entry: RingEntry, capacity: usize) {
    if capacity == 0 {
        return;
    }
    if ring.len() >= capacity {
        ring.pop_front();
    }
    ring.push_back(entry);
}

fn entries_after(ring: &VecDeque<RingEntry>, after: u64) -> impl Iterator<Item = &RingEntry> {
    let start = ring.partition_point(|entry| entry.sequence <= after);
    ring.range(start..)
}

fn decision_of(entry: &RingEntry) -> Option<&DecisionRecord> {
    match &entry.event {
        RingEvent::Decision(record) => Some(record),
        RingEvent::Notice(_) => None,
    }
}

fn is_ascending(ring: &VecDeque<RingEntry>, last: u64) -> bool {
    let pairs = ring.iter().zip(ring.iter().skip(1));
    let mut ordered = pairs.map(|(left, right)| left.sequence < right.sequence);
    ordered.all(|is_ordered| is_ordered) && ring.back().is_none_or(|entry| entry.sequence <= last)
}
