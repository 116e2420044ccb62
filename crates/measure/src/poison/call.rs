//! What the callers send.

use std::rc::Rc;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::id::FingerprintHash;

use super::pattern::PoisonScope;

/// Fingerprint of the request that crashes endpoints.
const POISON_REQUEST: FingerprintHash = 1;
/// Id of the prompt part that crashes endpoints.
const POISON_PART: u64 = 1;
/// Number of requests that are sent again and again, beside those that are sent once.
const POPULAR_REQUESTS: u64 = 20;
/// One in this many calls is one of these.
const POPULAR_ONE_IN: u64 = 10;
/// Number of prompts that begin alike: one for each kind of request.
const FIRST_PARTS: u64 = 3;
/// Numbers of different second parts: of documents that are read often and seldom, and of chats.
const SECOND_PARTS: [u64; 3] = [40, 800, 1 << 40];

/// A call, as far as the decisions depend on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimulatedCall {
    /// What the call is.
    pub fingerprint: FingerprintHash,
    /// The shared parts of its prompt.
    pub parts: Rc<[u64]>,
    /// Whether it crashes each endpoint that runs it.
    pub is_poison: bool,
    /// How often it was sent before.
    pub sent_before: u32,
}

impl SimulatedCall {
    /// A call that does no harm.
    pub fn harmless(rng: &mut Pcg64Mcg) -> Self {
        let fingerprint = match rng.random_range(0..POPULAR_ONE_IN) {
            0 => POISON_REQUEST + 1 + rng.random_range(0..POPULAR_REQUESTS),
            _ => rng.random_range(1 << 32..u64::MAX),
        };
        Self {
            fingerprint,
            parts: harmless_parts(rng).into(),
            is_poison: false,
            sent_before: 0,
        }
    }

    /// A call that crashes endpoints.
    pub fn poison(scope: PoisonScope, rng: &mut Pcg64Mcg) -> Self {
        let mut parts = harmless_parts(rng);
        let fingerprint = match scope {
            PoisonScope::Request => POISON_REQUEST,
            PoisonScope::PromptPart => {
                let place = rng.random_range(1..=parts.len());
                parts.insert(place, POISON_PART);
                rng.random_range(1 << 32..u64::MAX)
            }
        };
        Self {
            fingerprint,
            parts: parts.into(),
            is_poison: true,
            sent_before: 0,
        }
    }

    /// The part by which endpoints are ranked.
    pub fn ranking_part(&self) -> u64 {
        self.parts.last().copied().unwrap_or_default()
    }
}

/// The shared parts of a prompt that does no harm.
fn harmless_parts(rng: &mut Pcg64Mcg) -> Vec<u64> {
    let first = 2 + rng.random_range(0..FIRST_PARTS);
    let kind = rng.random_range(0..SECOND_PARTS.len());
    let second = rng.random_range(0..SECOND_PARTS[kind]);
    vec![first, (kind as u64 + 1) << 48 | second]
}
