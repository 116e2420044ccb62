//! Which endpoints hold long prefixes that many chats share.
//!
//! Engines report cache events late and with gaps, so the knowledge is a guess: a digest replaces
//! what was known of its endpoint, and a new cache epoch clears it.

use std::collections::HashMap;

use wire::id::{EndpointId, PrefixHash};
use wire::member::WarmDigest;

/// Prefixes that are kept for one endpoint.
pub const MAX_PREFIXES_PER_ENDPOINT: usize = 64;

#[derive(Clone, Debug, Default)]
struct HeldPrefixes {
    cache_epoch: u64,
    prefixes: Vec<PrefixHash>,
}

/// The endpoints that hold the longest known prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolders<'a> {
    /// Number of leading blocks that they hold.
    pub depth: usize,
    /// The endpoints, sorted.
    pub endpoints: &'a [EndpointId],
}

/// Shared prefixes by endpoint. Linear in endpoints, independent of the number of chats.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    held: HashMap<EndpointId, HeldPrefixes>,
    /// Inverse of `held`; the lists are sorted and not empty.
    holders: HashMap<PrefixHash, Vec<EndpointId>>,
}

impl PrefixTable {
    /// Takes a digest in. One of an older cache epoch is ignored.
    pub fn observe(&mut self, digest: &WarmDigest) {
        let is_older = |held: &HeldPrefixes| digest.cache_epoch < held.cache_epoch;
        if self.held.get(&digest.endpoint).is_some_and(is_older) {
            return;
        }
        self.remove(digest.endpoint);
        let kept = digest.prefixes.iter().take(MAX_PREFIXES_PER_ENDPOINT);
        let prefixes: Vec<PrefixHash> = kept.copied().collect();
        for prefix in &prefixes {
            let endpoints = self.holders.entry(*prefix).or_default();
            if let Err(position) = endpoints.binary_search(&digest.endpoint) {
                endpoints.insert(position, digest.endpoint);
            }
        }
        let held = HeldPrefixes {
            cache_epoch: digest.cache_epoch,
            prefixes,
        };
        self.held.insert(digest.endpoint, held);
    }

    /// Forgets what `endpoint` holds.
    pub fn remove(&mut self, endpoint: EndpointId) {
        let Some(held) = self.held.remove(&endpoint) else {
            return;
        };
        for prefix in held.prefixes {
            let Some(endpoints) = self.holders.get_mut(&prefix) else {
                continue;
            };
            endpoints.retain(|holder| *holder != endpoint);
            if endpoints.is_empty() {
                self.holders.remove(&prefix);
            }
        }
    }

    /// Forgets what `endpoint` held in another life of its cache than `cache_epoch`.
    pub fn drop_earlier_epochs(&mut self, endpoint: EndpointId, cache_epoch: u64) {
        let is_earlier = |held: &HeldPrefixes| held.cache_epoch < cache_epoch;
        if self.held.get(&endpoint).is_some_and(is_earlier) {
            self.remove(endpoint);
        }
    }

    /// The endpoints that hold the longest known one of `prefixes`, which run from short to long.
    pub fn holders(&self, prefixes: &[PrefixHash]) -> Option<PrefixHolders<'_>> {
        let found = prefixes.iter().enumerate().rev();
        let mut found = found.filter_map(|(index, hash)| Some((index, self.holders.get(hash)?)));
        let (index, endpoints) = found.next()?;
        Some(PrefixHolders {
            depth: index + 1,
            endpoints,
        })
    }
}
