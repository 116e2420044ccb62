//! The one instance that hands out the rates which endpoints name, in small lots.
//!
//! Which instance keeps the rates is agreed by the quorum: its leader, and only for as long as a
//! majority has confirmed it. So the tokens of an endpoint come from one bucket whatever instances
//! believe of the membership, and a keeper that is cut off hands out none.

use std::collections::HashMap;
use std::time::Duration;

use pace::bucket::{BucketSettings, TokenBucket};
use wire::id::EndpointId;
use wire::statement::{CallRate, TokenLot, TokenOutcome, TokenShortage};

/// Share of a rate that the keeper hands out. The rest is for instances that do not reach it.
pub const KEPT_SHARE: f64 = 0.95;
/// Time after which the bucket of an endpoint is dropped if nobody asks for its tokens.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of buckets. Endpoints beyond it get no calls.
const MAX_BUCKETS: usize = 4096;

/// Number of a term of the keeper; other terms have other keepers.
pub type KeeperTerm = u64;

/// Tokens of an endpoint that an instance asks for, with the limit in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its limit; `None` for none.
    pub limit: Option<CallRate>,
    /// Whether the limit is the rate of a cold endpoint.
    pub is_cold: bool,
    /// Number of tokens; at least 1.
    pub count: u16,
}

/// Bucket of one endpoint, and when it was last asked for.
#[derive(Clone, Copy, Debug)]
struct KeptBucket {
    bucket: TokenBucket,
    asked_at: Duration,
}

/// Hands out tokens while this instance keeps the rates.
#[derive(Debug, Default)]
pub struct RateKeeper {
    /// The term in which this instance keeps the rates; `None` while it does not.
    term: Option<KeeperTerm>,
    buckets: HashMap<EndpointId, KeptBucket>,
}

impl RateKeeper {
    /// Sets the term in which this instance keeps the rates. The buckets of a new term are empty,
    /// as tokens of the term before it may still be in use.
    pub fn set_term(&mut self, term: Option<KeeperTerm>) {
        if term.is_some() && term != self.term {
            self.buckets.clear();
            self.term = term;
        }
    }

    /// Hands out tokens of the first endpoint that has any.
    pub fn hand_out(&mut self, now: Duration, requests: &[TokenRequest]) -> TokenOutcome {
        self.drop_unused(now);
        let mut shortages = Vec::new();
        for request in requests {
            let count = self.take(now, request);
            if count > 0 {
                let lot = Some(TokenLot {
                    endpoint: request.endpoint,
                    count,
                });
                return TokenOutcome::Kept { lot, shortages };
            }
            shortages.push(TokenShortage {
                endpoint: request.endpoint,
                next_ms: self.next_ms(now, request),
            });
        }
        TokenOutcome::Kept {
            lot: None,
            shortages,
        }
    }

    /// Number of tokens of an endpoint that are left.
    pub fn count(&self, now: Duration, endpoint: EndpointId, limit: CallRate) -> u16 {
        let kept = self.buckets.get(&endpoint);
        kept.map_or(0, |kept| {
            kept.bucket.count(now, bucket_settings(limit, false))
        })
    }

    fn take(&mut self, now: Duration, request: &TokenRequest) -> u16 {
        let Some(limit) = request.limit else {
            return request.count;
        };
        let is_full = self.buckets.len() >= MAX_BUCKETS;
        if is_full && !self.buckets.contains_key(&request.endpoint) {
            return 0;
        }
        let kept = self.buckets.entry(request.endpoint);
        let kept = kept.or_insert_with(|| KeptBucket {
            bucket: TokenBucket::new(now),
            asked_at: now,
        });
        kept.asked_at = now;
        let settings = bucket_settings(limit, request.is_cold);
        kept.bucket.take(now, settings, request.count)
    }

    fn next_ms(&self, now: Duration, request: &TokenRequest) -> u32 {
        let kept = self.buckets.get(&request.endpoint);
        let next_in = kept.zip(request.limit).map(|(kept, limit)| {
            let settings = bucket_settings(limit, request.is_cold);
            kept.bucket.next_in(now, settings)
        });
        let next_in = next_in.unwrap_or(RETENTION_TIME).min(RETENTION_TIME);
        next_in.as_millis() as u32 + 1
    }

    fn drop_unused(&mut self, now: Duration) {
        if self.buckets.len() >= MAX_BUCKETS {
            let is_used = |kept: &KeptBucket| now < kept.asked_at + RETENTION_TIME;
            self.buckets.retain(|_, kept| is_used(kept));
        }
    }
}

fn bucket_settings(limit: CallRate, is_cold: bool) -> BucketSettings {
    match is_cold {
        true => BucketSettings::of_cold(limit, KEPT_SHARE),
        false => BucketSettings::of_limit(limit, KEPT_SHARE),
    }
}
