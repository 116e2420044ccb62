//! Which prefixes the endpoint's cache is believed to hold.
//!
//! Cache events of engines come late and with gaps, so the agent goes by the requests that it
//! started. Memory is bounded: two generations of hashes, of which the older one is dropped when
//! the younger one is full, which approximates least recently used.

use std::collections::HashSet;

use wire::id::PrefixHash;

/// Hashes of a generation by default; at one for each 16 tokens of a cache of a million tokens.
pub const DEFAULT_GENERATION_SIZE: usize = 64 * 1024;

/// Prefixes that were used of late.
#[derive(Clone, Debug)]
pub struct WarmSet {
    /// Largest size of `young`.
    generation_size: usize,
    young: HashSet<PrefixHash>,
    old: HashSet<PrefixHash>,
}

impl Default for WarmSet {
    fn default() -> Self {
        Self::new(DEFAULT_GENERATION_SIZE)
    }
}

impl WarmSet {
    /// An empty set that remembers between one and two times `generation` prefixes.
    pub fn new(generation_size: usize) -> Self {
        Self {
            generation_size: generation_size.max(1),
            young: HashSet::new(),
            old: HashSet::new(),
        }
    }

    /// Records that the endpoint processed a prompt with these prefixes.
    pub fn record(&mut self, prefixes: &[PrefixHash]) {
        for prefix in prefixes {
            if self.young.len() >= self.generation_size {
                self.old = std::mem::take(&mut self.young);
            }
            self.young.insert(*prefix);
        }
    }

    /// Number of leading `prefixes`, which run from short to long, that are believed held.
    pub fn match_depth(&self, prefixes: &[PrefixHash]) -> usize {
        let is_held = |prefix: &PrefixHash| self.contains(*prefix);
        // Hashes are chained, so a held one implies all shorter ones.
        prefixes
            .iter()
            .rposition(is_held)
            .map_or(0, |index| index + 1)
    }

    /// Whether `prefix` is believed held.
    pub fn contains(&self, prefix: PrefixHash) -> bool {
        self.young.contains(&prefix) || self.old.contains(&prefix)
    }

    /// Takes in that the engine dropped a prefix.
    pub fn remove(&mut self, prefix: PrefixHash) {
        self.young.remove(&prefix);
        self.old.remove(&prefix);
    }

    /// Takes in that the endpoint restarted cold.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }
}
