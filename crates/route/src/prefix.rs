//! Index of the endpoints that hold long prompt prefixes shared by many chats.
//!
//! Engines report cache events late and incompletely, so the index is approximate: a digest
//! replaces all known prefixes of its endpoint, and a new cache epoch removes them.

use std::collections::HashMap;

use wire::id::{EndpointId, PrefixHash};
use wire::member::WarmDigest;

/// Largest number of prefixes kept for one endpoint.
pub const MAX_PREFIXES_PER_ENDPOINT: usize = 64;

#[derive(Clone, Debug, Default)]
struct HeldPrefixes {
    cache_epoch: u64,
    prefixes: Vec<PrefixHash>,
}

/// The endpoints that hold the longest known prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrefixHolders<'a> {
    /// Length of the prefix in blocks.
    pub depth: usize,
    /// The endpoints, sorted.
    pub endpoints: &'a [EndpointId],
}

/// Shared prefixes by endpoint. Memory is linear in endpoints and independent of the number of
/// chats.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    held: HashMap<EndpointId, HeldPrefixes>,
    /// Inverse of `held`: endpoints by prefix. Each list is sorted and not empty.
    holders: HashMap<PrefixHash, Vec<EndpointId>>,
}

impl PrefixTable {
    /// Replaces the known prefixes of an endpoint by those of the digest. A digest of an earlier
    /// cache epoch is ignored.
    pub fn observe(&mut self, digest: &WarmDigest) {
        let is_newer = |held: &HeldPrefixes| digest.cache_epoch < held.cache_epoch;
        if self.held.get(&digest.endpoint).is_some_and(is_newer) {
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

    /// Removes all known prefixes of `endpoint`.
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

    /// Removes the known prefixes of `endpoint` if they belong to an epoch before `cache_epoch`.
    pub fn drop_earlier_epochs(&mut self, endpoint: EndpointId, cache_epoch: u64) {
        let is_earlier = |held: &HeldPrefixes| held.cache_epoch < cache_epoch;
        if self.held.get(&endpoint).is_some_and(is_earlier) {
            self.remove(endpoint);
        }
    }

    /// The endpoints that hold the longest known prefix among `prefixes`, which are ordered from
    /// short to long.
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
