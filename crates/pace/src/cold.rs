//! Whether an endpoint is cold: slow, and easily crashed, for some seconds after the start of its
//! process.
//!
//! A sign of a restart is anything that a restart may cause: a refused or broken connection, or the
//! end of an order not to use the endpoint. From a sign on the endpoint counts as cold until an
//! answer shows that its process runs, and then for the cold time of its service, as the process may
//! have started just before that answer. What the endpoint or the list states replaces the estimate.

use std::time::Duration;

use wire::statement::CallRate;

/// Time by which the list of endpoints lags behind their state, at most. What an older reading says
/// of a process that has answered since is about the process before it.
pub const LIST_LAG: Duration = Duration::from_secs(2);
/// Least time by which an answer must have begun before a sign of a restart, and gone on after it, to
/// show that there was no restart. Covers the transit of notices and bytes that were read late.
const REFUTATION_MARGIN: Duration = Duration::from_millis(250);

/// Bound on the time that a notice of another instance was under way, which makes what it tells seem
/// later than it was.
const TRANSIT_LIMIT: Duration = Duration::from_millis(100);

/// What the catalog says about the cold endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdRule {
    /// Time for which an endpoint is cold after a start. Above zero.
    pub start: Duration,
    /// Rate of calls that a cold endpoint tolerates from all instances together.
    pub rate: CallRate,
}

/// What is known of the latest restart of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdState {
    /// The latest sign of a restart; `None` if there was none, or an answer has refuted it.
    sign_at: Option<Duration>,
    /// When the earliest answer to a call that was sent after the sign arrived.
    answered_at: Option<Duration>,
    /// Until when the endpoint or the list states that it is cold, since the sign.
    stated_until: Option<Duration>,
    /// Whether the sign is that the endpoint is new in the list. Any statement of the list then counts.
    is_new: bool,
    /// Time up to which the process is known not to have restarted.
    refuted_until: Duration,
}

impl ColdState {
    /// The state of an endpoint that is new in the list at `now`.
    pub fn of_new(now: Duration) -> Self {
        Self {
            sign_at: Some(now),
            answered_at: Some(now),
            is_new: true,
            ..Self::default()
        }
    }

    /// Records a sign of a restart. Returns whether it is news: one that an answer has followed, or
    /// refuted, is none.
    pub fn note_sign(&mut self, at: Duration) -> bool {
        let latest = self.answered_at.max(self.sign_at);
        if latest.is_some_and(|latest| at <= latest) || at <= self.refuted_until {
            return false;
        }
        let is_news = self.sign_at.is_none() || self.answered_at.is_some();
        *self = Self {
            sign_at: Some(at),
            refuted_until: self.refuted_until,
            ..Self::default()
        };
        is_news
    }

    /// Records bytes of an answer that arrived at `now`. The call was sent at `sent_at`, and the
    /// process was known to run it from `since` on. Returns whether this is the first answer after a
    /// sign.
    pub fn note_answer(&mut self, sent_at: Duration, since: Duration, now: Duration) -> bool {
        let Some(sign_at) = self.sign_at else {
            return false;
        };
        if since + REFUTATION_MARGIN <= sign_at && sign_at + REFUTATION_MARGIN <= now {
            *self = Self {
                refuted_until: now.saturating_sub(REFUTATION_MARGIN),
                ..Self::default()
            };
            return false;
        }
        let is_first = self.answered_at.is_none() && sent_at >= sign_at;
        if is_first {
            self.answered_at = Some(now);
        }
        is_first
    }

    /// Records what the list says that was read at `read_at`. Ignored if it may be about a process
    /// before the latest restart.
    pub fn note_listed(&mut self, read_at: Duration, remaining: Duration) {
        let shown_at = read_at.saturating_sub(LIST_LAG);
        let until = read_at + remaining;
        let is_cold = !remaining.is_zero();
        match (self.sign_at, self.answered_at) {
            (None, _) if is_cold => self.stated_until = self.stated_until.max(Some(until)),
            (None, _) => {}
            (Some(_), Some(_)) if self.is_new => self.stated_until = Some(until),
            // While an endpoint is down, the list may go on to show it as it was before.
            (Some(sign_at), None) if is_cold && shown_at >= sign_at => {
                self.stated_until = self.stated_until.max(Some(until));
            }
            (Some(_), Some(answered_at)) if shown_at >= answered_at => {
                self.stated_until = Some(until);
            }
            (Some(_), _) => {}
        }
    }

    /// Records that the endpoint itself stated, in an answer to a call that was sent at `sent_at`,
    /// for how much longer it is cold. Returns whether the statement counts.
    pub fn note_stated(&mut self, now: Duration, sent_at: Duration, remaining: Duration) -> bool {
        let counts = self.sign_at.is_none_or(|sign_at| sent_at >= sign_at);
        let has_restarted = self.sign_at.is_some() || !remaining.is_zero();
        if counts && has_restarted {
            self.answered_at = self.answered_at.or(Some(now));
            self.stated_until = Some(now + remaining);
        }
        counts && has_restarted
    }

    /// Takes over what another instance knows. Returns whether it changes anything.
    pub fn merge(&mut self, other: &ColdKnowledge) -> bool {
        if other.sign_at.is_some_and(|at| at <= self.refuted_until) {
            return false;
        }
        let mut is_changed = other.sign_at.is_some_and(|at| self.note_sign(at));
        // An answer from before the sign that is known here is about the process before it.
        let counts = |at: &Duration| {
            self.sign_at
                .is_none_or(|sign_at| *at >= sign_at + TRANSIT_LIMIT)
        };
        let answered_at = other.answered_at.filter(counts);
        if self.sign_at.is_some() && self.answered_at.is_none() && answered_at.is_some() {
            self.answered_at = answered_at;
            is_changed = true;
        }
        let is_same_restart = self.sign_at.is_none() || answered_at.is_some();
        if is_same_restart && self.stated_until.is_none() && other.stated_until.is_some() {
            self.stated_until = other.stated_until;
            is_changed = true;
        }
        is_changed
    }

    /// What other instances are told.
    pub fn knowledge(&self) -> ColdKnowledge {
        ColdKnowledge {
            sign_at: self.sign_at,
            answered_at: self.answered_at,
            stated_until: self.stated_until,
        }
    }

    /// Time until which the endpoint counts as cold; `Duration::MAX` if it has not answered since a
    /// sign of a restart, `None` if it never was cold.
    pub fn until(&self, start: Duration) -> Option<Duration> {
        let estimate = || {
            let answered_at = self.answered_at;
            answered_at.map_or(Duration::MAX, |at| at + start)
        };
        self.stated_until
            .or_else(|| self.sign_at.map(|_| estimate()))
    }

    /// Since when the endpoint counts as cold; zero if this is not known.
    pub fn since(&self) -> Duration {
        self.sign_at.unwrap_or_default()
    }
}

/// What one instance knows of the latest restart of an endpoint, on its clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdKnowledge {
    /// The latest sign of a restart.
    pub sign_at: Option<Duration>,
    /// When the first answer after it arrived.
    pub answered_at: Option<Duration>,
    /// Until when the endpoint is cold, by its own statement or the list's.
    pub stated_until: Option<Duration>,
}
