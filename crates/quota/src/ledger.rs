//! Ledger of the byte budget: who holds how many bytes, and who is evicted when it is exhausted.
//!
//! Load pattern: many clients send bodies of legal size, stop short of the end and keep their
//! connections open. Each is legal by itself; together they hold more than the machine has. The one
//! that holds the most for the longest without progress is evicted, not the one that arrives next.

use std::collections::HashMap;
use std::time::Duration;

/// Id of a holder of bytes.
pub type HolderId = u64;

/// Part of the budget that only small holders may use, as a divisor of the whole. Ordinary requests
/// are small and are admitted while large ones that are being served hold all the rest.
const SMALL_SHARE_DIVISOR: usize = 8;
/// Maximum number of bytes of a small holder.
const SMALL_HOLDER_BYTES: usize = 64 * 1024;

/// Answer of the ledger to a charge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChargeResult {
    /// The bytes are charged.
    Granted,
    /// The bytes are not charged. They may be once others have released theirs; these are to be
    /// evicted, if any.
    Exhausted(Vec<HolderId>),
    /// The holder itself was evicted.
    Evicted,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: usize,
    /// When the client last made progress.
    progress_at: Duration,
    /// Whether the client has done its part and waits for this system.
    is_pinned: bool,
    is_evicted: bool,
}

/// Ledger of the bytes that clients make a process hold.
#[derive(Debug)]
pub struct ByteLedger {
    capacity: usize,
    held: usize,
    holders: HashMap<HolderId, Holder>,
    next: HolderId,
}

impl ByteLedger {
    /// Creates a ledger of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            held: 0,
            holders: HashMap::new(),
            next: 0,
        }
    }

    /// Size of the budget in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Number of bytes that all holders hold.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Adds a holder of no bytes.
    pub fn add(&mut self, now: Duration) -> HolderId {
        self.next += 1;
        let holder = Holder {
            bytes: 0,
            progress_at: now,
            is_pinned: false,
            is_evicted: false,
        };
        self.holders.insert(self.next, holder);
        self.next
    }

    /// Removes a holder and releases its bytes.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.bytes;
        }
    }

    /// Charges bytes to a holder before they are read.
    pub fn charge(&mut self, now: Duration, id: HolderId, bytes: usize) -> ChargeResult {
        let Some(holder) = self.holders.get_mut(&id).filter(|held| !held.is_evicted) else {
            return ChargeResult::Evicted;
        };
        let is_small = holder.bytes + bytes <= SMALL_HOLDER_BYTES;
        let limit = match is_small {
            true => self.capacity,
            false => self.capacity - self.capacity / SMALL_SHARE_DIVISOR,
        };
        if self.held + bytes <= limit {
            holder.bytes += bytes;
            holder.progress_at = now;
            self.held += bytes;
            return ChargeResult::Granted;
        }
        let victims = self.select_victims(now, id, self.held + bytes - limit);
        if victims.contains(&id) {
            return ChargeResult::Evicted;
        }
        ChargeResult::Exhausted(victims)
    }

    /// Releases bytes of a holder.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let released = holder.bytes.min(bytes);
            holder.bytes -= released;
            self.held -= released;
        }
    }

    /// Records that the client of a holder made progress.
    pub fn note_progress(&mut self, now: Duration, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress_at = now;
        }
    }

    /// Sets whether a holder waits for this system, so that its lack of progress is not its
    /// client's. A pinned holder is not evicted.
    pub fn set_pinned(&mut self, now: Duration, id: HolderId, is_pinned: bool) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_pinned = is_pinned;
            holder.progress_at = now;
        }
    }

    /// Whether a holder was evicted.
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|held| held.is_evicted)
    }

    /// Marks holders as evicted until `lack` bytes will be released, by these and by those that
    /// were evicted before. The holder that asks is one of the candidates.
    fn select_victims(&mut self, now: Duration, asks: HolderId, lack: usize) -> Vec<HolderId> {
        let evicted = self.holders.values().filter(|held| held.is_evicted);
        let mut expected: usize = evicted.map(|held| held.bytes).sum();
        let mut victims = Vec::new();
        if expected >= lack {
            return victims;
        }
        let mut ranked: Vec<(u128, HolderId, usize)> = self
            .holders
            .iter()
            .filter(|(_, held)| !held.is_pinned && !held.is_evicted && held.bytes > 0)
            .map(|(id, held)| (weight(now, held), *id, held.bytes))
            .collect();
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        for (_, id, bytes) in ranked {
            if expected >= lack {
                break;
            }
            expected += bytes;
            victims.push(id);
            if id == asks {
                break;
            }
        }
        for id in &victims {
            if let Some(holder) = self.holders.get_mut(id) {
                holder.is_evicted = true;
            }
        }
        victims
    }
}

/// Bytes times the time without progress. The added millisecond orders holders that made progress
/// at the same time by their bytes.
fn weight(now: Duration, holder: &Holder) -> u128 {
    let stalled = now.saturating_sub(holder.progress_at).as_millis() + 1;
    holder.bytes as u128 * stalled
}
