//! The limit of one endpoint, and this instance's share of it: tokens, each the right to send one
//! call, that the keeper of the rates has handed out.

use std::collections::VecDeque;
use std::time::Duration;

use pace::bucket::{BucketSettings, TokenBucket};
use pace::limit::LimitStatement;
use pace::room::EndpointRoom;
use wire::statement::CallRate;

use crate::rate_keeper::KEPT_SHARE;

/// Time from a request for tokens after which they can't be used any more.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);
/// The same for tokens of a cold endpoint, whose bound holds in each second: the tokens of a longer
/// time, used at once, would exceed it.
const COLD_TOKEN_LIFETIME: Duration = Duration::from_millis(300);
/// Time whose calls an instance asks tokens for at once.
const LOT_TIME: Duration = Duration::from_millis(200);
/// Time over which the demand for an endpoint is averaged.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Time for which a keeper that did not answer is not asked again.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// Number of requests without answer from which on a keeper counts as silent.
const SILENT_MISSES: u32 = 2;
/// Least time between two announcements of other limits of one endpoint. That it begins or ends to
/// name one is announced at once.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of tokens in one request.
const MAX_LOT: u16 = 1000;

/// What this instance knows of the keeper and of the others that share the rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperView {
    /// Number of requests since the last answer that were not answered.
    misses: u32,
    /// Time since which the keeper counts as silent; `None` while it answers.
    silent_since: Option<Duration>,
    /// Time from which on the keeper is asked again.
    ask_at: Duration,
    /// Number of instances that share what the keeper does not hand out; at least 1.
    pub instances: usize,
    /// Time until which this instance may not know of restarts that others know of, so that each
    /// endpoint of a service with cold endpoints may be cold; zero if it knows.
    pub uninformed_until: Duration,
    /// Since when this instance hears fewer than half of the others; `None` while it hears more. It
    /// then goes on only at endpoints that have answered it without a longer break ever since.
    pub cut_since: Option<Duration>,
}

impl Default for KeeperView {
    fn default() -> Self {
        Self {
            misses: 0,
            silent_since: None,
            ask_at: Duration::ZERO,
            instances: 1,
            uninformed_until: Duration::ZERO,
            cut_since: None,
        }
    }
}

impl KeeperView {
    /// Whether this instance knows of the restarts that others know of.
    pub fn is_informed(&self, now: Duration) -> bool {
        now >= self.uninformed_until
    }

    /// Records that the keeper answered.
    pub fn note_answer(&mut self) {
        self.misses = 0;
        self.silent_since = None;
        self.ask_at = Duration::ZERO;
    }

    /// Records that a request was not answered. Both it and its repetition may have been lost, so
    /// the keeper counts as silent only after the next one.
    pub fn note_miss(&mut self, now: Duration) {
        self.misses += 1;
        if self.misses >= SILENT_MISSES {
            self.note_silence(now);
        }
    }

    /// Records that no keeper is known, or that the one that was asked is none.
    pub fn note_silence(&mut self, now: Duration) {
        self.silent_since.get_or_insert(now);
        self.ask_at = now + ASK_PAUSE;
    }
}

/// A rate that all instances share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedRate {
    /// The rate.
    pub rate: CallRate,
    /// Time from which on the share of what the keeper does not hand out fills.
    pub since: Duration,
    /// Whether the rate is that of a cold endpoint.
    pub is_cold: bool,
}

/// An announcement of a limit to the other instances.
#[derive(Clone, Copy, Debug)]
struct LimitAnnouncement {
    at: Duration,
    is_limited: bool,
}

/// The limit of one endpoint and this instance's share of it.
#[derive(Clone, Debug)]
pub struct EndpointLimit {
    /// The latest statement.
    statement: LimitStatement,
    /// When the latest limit ended; `None` if there was none.
    ended_at: Option<Duration>,
    /// When this instance last announced the limit, and whether there was one; `None` before.
    announced: Option<LimitAnnouncement>,
    /// Times at which the unused tokens expire, in ascending order.
    tokens: VecDeque<Duration>,
    /// Time until which the keeper has no token.
    empty_until: Duration,
    /// Tokens of this instance's share of what the keeper does not hand out. It fills only while
    /// the keeper is silent, as otherwise all instances could use theirs at once.
    reserve: TokenBucket,
    /// Calls per second of this instance that preferred the endpoint, at `demanded_at`.
    demand: f64,
    demanded_at: Duration,
}

impl EndpointLimit {
    /// Creates a row without a limit.
    pub fn new(now: Duration) -> Self {
        Self {
            statement: LimitStatement::default(),
            ended_at: None,
            announced: None,
            tokens: VecDeque::new(),
            empty_until: Duration::ZERO,
            reserve: TokenBucket::new(now),
            demand: 0.0,
            demanded_at: now,
        }
    }

    /// The latest statement.
    pub fn statement(&self) -> &LimitStatement {
        &self.statement
    }

    /// The limit; `None` for none.
    pub fn rate(&self) -> Option<CallRate> {
        self.statement.limit
    }

    /// Whether there is a limit, or has been one within `retention`.
    pub fn is_known(&self, now: Duration, retention: Duration) -> bool {
        let ended_at = self.ended_at;
        self.rate().is_some() || ended_at.is_some_and(|at| now < at + retention)
    }

    /// Takes over a statement if it is later. Returns whether the limit changed. Tokens of a higher
    /// limit are dropped.
    pub fn note(&mut self, statement: LimitStatement) -> bool {
        let before = self.rate();
        let is_changed = self.statement.update(statement);
        let has_fallen = match (before, self.rate()) {
            (Some(before), Some(after)) => after < before,
            (None, after) => after.is_some(),
            (Some(_), None) => false,
        };
        if before.is_some() && self.rate().is_none() {
            self.ended_at = Some(statement.read_at);
        }
        if has_fallen {
            self.drop_tokens(statement.read_at);
        } else if is_changed {
            self.note_risen();
        }
        is_changed
    }

    /// Whether a change of the limit is to be announced to the other instances. If so, records that
    /// it is. An endpoint may name another limit in each answer.
    pub fn begin_announcement(&mut self, now: Duration) -> bool {
        let is_limited = self.rate().is_some();
        let is_due = self.announced.is_none_or(|announced| {
            announced.is_limited != is_limited || now >= announced.at + ANNOUNCEMENT_INTERVAL
        });
        if is_due {
            let at = now;
            self.announced = Some(LimitAnnouncement { at, is_limited });
        }
        is_due
    }

    /// Whether calls may be sent. `share` is the rate in force, if there is one.
    pub fn room(&self, now: Duration, view: KeeperView, share: Option<SharedRate>) -> EndpointRoom {
        let Some(share) = share else {
            return EndpointRoom::Open;
        };
        if self.held(now) > 0 {
            return EndpointRoom::Open;
        }
        if now < self.empty_until {
            return EndpointRoom::Closed {
                until: self.empty_until,
            };
        }
        let Some(silent_since) = view.silent_since else {
            return EndpointRoom::Ask;
        };
        let next_in = self
            .reserve_since(silent_since.max(share.since))
            .next_in(now, reserve_settings(share.rate, view));
        if next_in.is_zero() {
            return EndpointRoom::Open;
        }
        if now >= view.ask_at {
            return EndpointRoom::Ask;
        }
        EndpointRoom::Closed {
            until: view.ask_at.min(now.saturating_add(next_in)),
        }
    }

    /// Takes a token for a call that is sent, if there is one.
    pub fn take_token(&mut self, now: Duration, view: KeeperView, share: Option<SharedRate>) {
        let Some(share) = share else {
            return;
        };
        self.drop_expired(now);
        let is_held = self.tokens.pop_front().is_some();
        if let Some(silent_since) = view.silent_since.filter(|_| !is_held) {
            self.reserve = self.reserve_since(silent_since.max(share.since));
            self.reserve
                .take(now, reserve_settings(share.rate, view), 1);
        }
    }

    /// Drops the tokens of a higher rate.
    pub fn drop_tokens(&mut self, now: Duration) {
        self.tokens.clear();
        self.reserve = TokenBucket::new(now);
    }

    /// Forgets that the keeper had no token, as a rate has risen or ended.
    pub fn note_risen(&mut self) {
        self.empty_until = Duration::ZERO;
    }

    /// Records that a call prefers the endpoint and needs a token. Returns how many tokens to ask
    /// for, so that the next calls find some.
    pub fn wanted_tokens(&mut self, now: Duration) -> u16 {
        let age = now.saturating_sub(self.demanded_at).as_secs_f64();
        let time = DEMAND_TIME.as_secs_f64();
        self.demand = self.demand * (-age / time).exp() + 1.0 / time;
        self.demanded_at = now;
        let lot = (self.demand * LOT_TIME.as_secs_f64()) as u16;
        lot.saturating_add(1).min(MAX_LOT)
    }

    /// Adds tokens that were asked for at `asked_at`.
    pub fn add_tokens(&mut self, asked_at: Duration, count: u16, is_cold: bool) {
        let lifetime = match is_cold {
            true => COLD_TOKEN_LIFETIME,
            false => TOKEN_LIFETIME,
        };
        let expires_at = asked_at + lifetime;
        let at = self.tokens.partition_point(|other| *other <= expires_at);
        for _ in 0..count {
            self.tokens.insert(at, expires_at);
        }
    }

    /// Records that the keeper, asked at `asked_at`, has a token only `next_in` after it was asked.
    /// A request that is sent that long after the first one finds it.
    pub fn note_shortage(&mut self, asked_at: Duration, next_in: Duration) {
        self.empty_until = self.empty_until.max(asked_at + next_in);
    }

    /// The reserve, if it has been filled since `silent_since` or later.
    fn reserve_since(&self, silent_since: Duration) -> TokenBucket {
        match self.reserve.filled_at() < silent_since {
            true => TokenBucket::new(silent_since),
            false => self.reserve,
        }
    }

    fn held(&self, now: Duration) -> usize {
        let expired = self.tokens.partition_point(|at| *at <= now);
        self.tokens.len() - expired
    }

    fn drop_expired(&mut self, now: Duration) {
        let expired = self.tokens.partition_point(|at| *at <= now);
        self.tokens.drain(..expired);
    }
}

fn reserve_settings(rate: CallRate, view: KeeperView) -> BucketSettings {
    let share = (1.0 - KEPT_SHARE) / view.instances.max(1) as f64;
    BucketSettings::of_share(rate, share)
}
