//! Weighted rendezvous hashing, which orders the endpoints for one chat.
//!
//! The hash of chat and endpoint gives an exponential variate, which is divided by the endpoint's
//! weight; the endpoint with the smallest quotient comes first. The order does not depend on the
//! order in which endpoints are listed, and adding or removing an endpoint moves only the chats
//! that prefer it.

use wire::id::{AccountId, EndpointId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests with the same key prefer the same endpoints. Normally identifies one chat of one
/// client account.
pub type AffinityKey = u64;

/// Multiplier that mixes the endpoint id before it is combined with the affinity key.
const ENDPOINT_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// First multiplier of the SplitMix64 finalizer.
const MIX_FACTOR_A: u64 = 0xbf58_476d_1ce4_e5b9;
/// Second multiplier of the SplitMix64 finalizer.
const MIX_FACTOR_B: u64 = 0x94d0_49bb_1331_11eb;
/// Number of distinct values of a uniform draw: 2^53.
const DRAW_RANGE: f64 = 9_007_199_254_740_992.0;

/// The affinity key of a chat.
pub fn chat_key(account: AccountId, chat: &str) -> AffinityKey {
    xxh3_64_with_seed(chat.as_bytes(), account)
}

/// One endpoint in the order of preference.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreferenceRank {
    /// Row of the endpoint in the caller's table.
    pub row: u32,
    /// Exponential variate divided by the weight; smaller is preferred.
    pub distance: f64,
}

/// At most `LENGTH` endpoints: the most preferred ones, nearest first.
#[derive(Clone, Debug)]
pub struct PreferenceList<const LENGTH: usize> {
    /// Sorted by distance; the first `count` are in use.
    ranks: [PreferenceRank; LENGTH],
    count: usize,
}

impl<const LENGTH: usize> Default for PreferenceList<LENGTH> {
    fn default() -> Self {
        let unused = PreferenceRank {
            row: u32::MAX,
            distance: f64::INFINITY,
        };
        Self {
            ranks: [unused; LENGTH],
            count: 0,
        }
    }
}

impl<const LENGTH: usize> PreferenceList<LENGTH> {
    /// Inserts an endpoint, unless the list is full of nearer ones.
    pub fn offer(&mut self, key: AffinityKey, endpoint: EndpointId, weight: u32, row: u32) {
        let draw = uniform_draw(key, endpoint);
        let weight = f64::from(weight.max(1));
        // -ln(draw) >= 1 - draw, so most endpoints are rejected without computing the logarithm.
        let worst = self.ranks[LENGTH - 1].distance;
        if (1.0 - draw) / weight >= worst {
            return;
        }
        let distance = -draw.ln() / weight;
        if distance < worst {
            self.insert(PreferenceRank { row, distance });
        }
    }

    /// The endpoints found so far, nearest first.
    pub fn ranks(&self) -> &[PreferenceRank] {
        &self.ranks[..self.count]
    }

    fn insert(&mut self, rank: PreferenceRank) {
        let position = self
            .ranks
            .partition_point(|held| held.distance <= rank.distance);
        self.ranks[position..].rotate_right(1);
        self.ranks[position] = rank;
        self.count = (self.count + 1).min(LENGTH);
    }
}

/// A uniform draw from (0, 1], derived from the arguments alone: equal in every process.
fn uniform_draw(key: AffinityKey, endpoint: EndpointId) -> f64 {
    let mut bits = key ^ endpoint.wrapping_mul(ENDPOINT_FACTOR);
    bits = (bits ^ (bits >> 30)).wrapping_mul(MIX_FACTOR_A);
    bits = (bits ^ (bits >> 27)).wrapping_mul(MIX_FACTOR_B);
    bits ^= bits >> 31;
    ((bits >> 11) + 1) as f64 / DRAW_RANGE
}
