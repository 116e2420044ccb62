//! Bucket of tokens that fills at a rate.

use std::time::Duration;

use wire::statement::CallRate;

/// Time of a rate whose tokens are kept while none are used.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Number of tokens that are kept at least. With a single one, the rate would be lost while that one
/// waits for a call.
const MIN_BURST: f64 = 2.0;
/// The same for a cold endpoint. Its bound holds in each second, and tokens that were granted within
/// their lifetime may be used at once.
const COLD_BURST_TIME: Duration = Duration::from_millis(250);
/// Lowest rate of a limit, in calls per second. Without any call, no answer of an endpoint could end
/// its limit.
const MIN_RATE: f64 = 0.2;

/// Rate and size of a [`TokenBucket`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketSettings {
    /// Tokens per second.
    pub rate: f64,
    /// Largest number of tokens that the bucket holds; at least 1.
    pub size: f64,
}

impl BucketSettings {
    /// The bucket of an endpoint's limit, for all calls to it or a large share of them.
    pub fn of_limit(limit: CallRate, share: f64) -> Self {
        let rate = Self::of_share(limit, share).rate.max(MIN_RATE);
        Self {
            rate,
            size: (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST),
        }
    }

    /// The bucket of a cold endpoint, for all calls to it or a large share of them.
    pub fn of_cold(rate: CallRate, share: f64) -> Self {
        let rate = Self::of_share(rate, share).rate.max(MIN_RATE);
        Self {
            rate,
            size: (rate * COLD_BURST_TIME.as_secs_f64()).max(MIN_BURST),
        }
    }

    /// A bucket that holds one token, for a small share of a limit.
    pub fn of_share(limit: CallRate, share: f64) -> Self {
        Self {
            rate: limit.per_second() * share,
            size: 1.0,
        }
    }
}

/// Bucket of tokens. A new one is empty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// When it was last filled.
    pub fn filled_at(&self) -> Duration {
        self.filled_at
    }

    /// Number of whole tokens at `now`.
    pub fn count(&self, now: Duration, settings: BucketSettings) -> u16 {
        self.tokens_at(now, settings) as u16
    }

    /// Takes at most `count` tokens. Returns how many.
    pub fn take(&mut self, now: Duration, settings: BucketSettings, count: u16) -> u16 {
        self.tokens = self.tokens_at(now, settings);
        self.filled_at = self.filled_at.max(now);
        let taken = (self.tokens as u16).min(count);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Time until there is a whole token; `Duration::MAX` if the bucket does not fill.
    pub fn next_in(&self, now: Duration, settings: BucketSettings) -> Duration {
        let missing = (1.0 - self.tokens_at(now, settings)).max(0.0);
        Duration::try_from_secs_f64(missing / settings.rate).unwrap_or(Duration::MAX)
    }

    fn tokens_at(&self, now: Duration, settings: BucketSettings) -> f64 {
        let time = now.saturating_sub(self.filled_at).as_secs_f64();
        (self.tokens + settings.rate * time).min(settings.size)
    }
}
