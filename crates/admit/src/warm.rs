//! Estimate of the prompt prefixes in the endpoint's cache.
//!
//! Cache events from inference engines arrive late and with gaps, so the estimate is based on the
//! requests that the agent started. Memory is bounded by keeping two generations of hashes: when
//! the young one is full, it replaces the old one. This approximates least-recently-used eviction.

use std::collections::HashSet;

use wire::id::PrefixHash;

/// Default number of hashes in a generation: one per 16 tokens of a cache of a million tokens.
pub const DEFAULT_GENERATION_SIZE: usize = 64 * 1024;

/// Hashes of recently used prefixes.
#[derive(Clone, Debug)]
pub struct WarmSet {
    /// Maximum number of hashes in `young`.
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
    /// Creates an empty set that keeps between one and two times `generation_size` hashes once it
    /// has filled up.
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

    /// Number of leading entries of `prefixes`, which are ordered from short to long, that are
    /// estimated to be cached.
    pub fn match_depth(&self, prefixes: &[PrefixHash]) -> usize {
        let is_cached = |prefix: &PrefixHash| self.contains(*prefix);
        // The hashes are chained, so a cached prefix implies that all shorter ones are cached.
        prefixes
            .iter()
            .rposition(is_cached)
            .map_or(0, |index| index + 1)
    }

    /// Whether `prefix` is estimated to be cached.
    pub fn contains(&self, prefix: PrefixHash) -> bool {
        self.young.contains(&prefix) || self.old.contains(&prefix)
    }

    /// Removes a prefix that the engine evicted.
    pub fn remove(&mut self, prefix: PrefixHash) {
        self.young.remove(&prefix);
        self.old.remove(&prefix);
    }

    /// Removes all prefixes, after the endpoint restarted with an empty cache.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }
}
