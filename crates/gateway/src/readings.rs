//! Readings of the list: who reads, and what is in force.
//!
//! One gateway reads for all: the live one with the lowest id. The others take over, one after the
//! other, when its readings stay out.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::gateway::{ListPart, ListedEndpoint, ReadingKey};
use wire::id::InstanceId;

/// Age of the latest reading, beside two intervals, at which the next gateway takes over.
const TAKEOVER_AGE: Duration = Duration::from_millis(200);
/// Further age for each gateway before this one.
const TAKEOVER_STEP: Duration = Duration::from_millis(400);

/// Parts of one reading that have arrived.
#[derive(Debug, Default)]
struct PartialReading {
    key: ReadingKey,
    parts: BTreeMap<u16, Vec<ListedEndpoint>>,
}

/// The readings of all gateways, as one of them sees them.
#[derive(Debug, Default)]
pub struct ReadingBoard {
    /// The reading that arrives, by reader.
    arriving: BTreeMap<InstanceId, PartialReading>,
    /// When the latest whole reading came.
    latest_at: Option<Duration>,
    /// When this gateway tried to read last.
    tried_at: Option<Duration>,
}

impl ReadingBoard {
    /// Whether this gateway, the `rank`th of the live ones, reads now.
    pub fn is_due(&self, now: Duration, interval: Duration, rank: usize) -> bool {
        let since = |at: Option<Duration>| at.map_or(Duration::MAX, |at| now.saturating_sub(at));
        if since(self.tried_at) < interval {
            return false;
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let patience = match rank {
            0 => interval,
            _ => 2 * interval + TAKEOVER_AGE + TAKEOVER_STEP.saturating_mul(rank - 1),
        };
        match self.latest_at {
            Some(_) => since(self.latest_at) >= patience,
            None => rank == 0 || now >= patience,
        }
    }

    /// This gateway begins to read.
    pub fn note_try(&mut self, now: Duration) {
        self.tried_at = Some(now);
    }

    /// This gateway has a whole reading.
    pub fn note_own(&mut self, now: Duration) {
        self.latest_at = Some(now);
    }

    /// Takes in a part of another gateway's reading; returns the reading once it is whole.
    pub fn take_part(
        &mut self,
        now: Duration,
        reader: InstanceId,
        part: ListPart,
    ) -> Option<Vec<ListedEndpoint>> {
        let reading = self.arriving.entry(reader).or_default();
        let is_same_life = reading.key.incarnation == part.reading.incarnation;
        if is_same_life && part.reading < reading.key {
            return None;
        }
        if part.reading != reading.key {
            *reading = PartialReading {
                key: part.reading,
                parts: BTreeMap::new(),
            };
        }
        reading.parts.insert(part.part, part.endpoints);
        if reading.parts.len() < usize::from(part.parts) {
            return None;
        }
        let whole = std::mem::take(&mut reading.parts);
        self.latest_at = Some(now);
        Some(whole.into_values().flatten().collect())
    }
}
