//! The latest statement of an endpoint on its limit, among answers of all instances.
//!
//! An answer was made some time between the sending of its call and its arrival. Of two answers
//! whose times overlap either may be the later one; then the stricter limit holds until an answer
//! that is later for certain.

use std::net::SocketAddrV4;
use std::time::Duration;

use wire::id::EndpointId;
use wire::statement::{CallRate, LimitNotice};

/// Bound on the time that a notice of another instance was under way. Subtracted from the time at
/// which its call was sent, which would seem later than it was.
const TRANSIT_LIMIT: Duration = Duration::from_millis(100);

/// What an answer states about the endpoint's limit, and when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitStatement {
    /// Rate of calls that the endpoint takes from all instances together; `None` for no limit.
    pub limit: Option<CallRate>,
    /// When the call was sent.
    pub sent_at: Duration,
    /// When the head of the answer arrived. At least `sent_at`.
    pub read_at: Duration,
}

impl LimitStatement {
    /// What a notice of another instance, which arrives at `now`, states.
    pub fn of_notice(now: Duration, notice: &LimitNotice) -> Self {
        let before = |age_ms: u32| now.saturating_sub(Duration::from_millis(age_ms.into()));
        Self {
            limit: notice.limit,
            sent_at: before(notice.sent_age_ms).saturating_sub(TRANSIT_LIMIT),
            read_at: before(notice.read_age_ms),
        }
    }

    /// The notice that tells other instances.
    pub fn notice(
        &self,
        now: Duration,
        endpoint: EndpointId,
        address: SocketAddrV4,
    ) -> LimitNotice {
        LimitNotice {
            endpoint,
            address,
            limit: self.limit,
            sent_age_ms: age_ms(now, self.sent_at),
            read_age_ms: age_ms(now, self.read_at),
        }
    }

    /// Takes over another statement if it is later, or may be later and is as strict. Returns
    /// whether the limit changed.
    pub fn update(&mut self, other: Self) -> bool {
        let is_later = other.sent_at >= self.read_at;
        let is_earlier = other.read_at <= self.sent_at;
        let before = self.limit;
        if is_later {
            *self = other;
        } else if !is_earlier && is_as_strict(other.limit, self.limit) {
            *self = Self {
                limit: other.limit,
                sent_at: self.sent_at.max(other.sent_at),
                read_at: self.read_at.max(other.read_at),
            };
        }
        self.limit != before
    }
}

fn is_as_strict(limit: Option<CallRate>, than: Option<CallRate>) -> bool {
    match (limit, than) {
        (Some(limit), Some(than)) => limit <= than,
        (Some(_), None) => true,
        (None, than) => than.is_none(),
    }
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX)
}
