//! Prefix cache of one endpoint: limited in tokens, with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};

use crate::workload::{AccountNumber, ChatNumber};

/// Key of a cache item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CacheKey {
    /// The prompt that all requests of an account share.
    Prompt(AccountNumber),
    /// The text of a chat after the account's prompt.
    Chat(ChatNumber),
}

#[derive(Clone, Copy, Debug)]
struct CacheItem {
    tokens: u32,
    used_at: u64,
}

/// Simulated prefix cache of one endpoint.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixCache {
    capacity: u64,
    /// Sum of the items' tokens, at most `capacity` between calls.
    tokens: u64,
    items: HashMap<CacheKey, CacheItem>,
    /// Keys by `used_at`, one for each item.
    order: BTreeMap<u64, CacheKey>,
    uses: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Returns the number of tokens cached under `key`, 0 if there is no such item.
    pub(crate) fn tokens(&self, key: CacheKey) -> u32 {
        self.items.get(&key).map_or(0, |item| item.tokens)
    }

    /// Inserts or replaces an item as the most recently used, and evicts items while the capacity
    /// is exceeded.
    pub(crate) fn put(&mut self, key: CacheKey, tokens: u32) {
        self.remove(key);
        self.uses += 1;
        let item = CacheItem {
            tokens,
            used_at: self.uses,
        };
        self.items.insert(key, item);
        self.order.insert(self.uses, key);
        self.tokens += u64::from(tokens);
        while self.tokens > self.capacity {
            let Some((_, oldest)) = self.order.first_key_value() else {
                return;
            };
            self.remove(*oldest);
        }
    }

    fn remove(&mut self, key: CacheKey) {
        if let Some(item) = self.items.remove(&key) {
            self.order.remove(&item.used_at);
            self.tokens -= u64::from(item.tokens);
        }
    }
}
