//! What is known of one member, and the state that follows.

use std::time::Instant;

use wire::answer::EndpointLoad;
use wire::id::SettingsVersion;
use wire::member::{EndpointRecord, EndpointState};

use crate::flap::FlapRecord;

/// State of a member as control sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Its heartbeats are in time and it serves.
    Live,
    /// Itself, the platform or an operator said that it is leaving.
    Leaving,
    /// Its agent finds its endpoint unusable.
    Unhealthy,
    /// Its lease lapsed.
    Expired,
    /// It came and went too often of late.
    Damped,
}

impl MemberState {
    /// What entries are told.
    pub fn endpoint_state(self) -> EndpointState {
        match self {
            Self::Live => EndpointState::Serving,
            Self::Leaving => EndpointState::Draining,
            Self::Unhealthy | Self::Expired | Self::Damped => EndpointState::Down,
        }
    }
}

/// What is known of one member.
#[derive(Clone, Debug)]
pub struct MemberRow {
    /// Its record.
    pub record: EndpointRecord,
    /// Sequence of the last heartbeat of this incarnation.
    pub(crate) sequence: u64,
    /// What its agent said last.
    pub(crate) reported: EndpointState,
    /// Load as its agent said last.
    pub load: EndpointLoad,
    /// Settings in force at the agent.
    pub settings: SettingsVersion,
    /// When its lease lapses unless a heartbeat comes.
    pub lease_until: Instant,
    /// The platform said that this incarnation is leaving.
    pub(crate) is_listed_leaving: bool,
    /// An operator drains it.
    pub(crate) is_drained: bool,
    pub(crate) flaps: FlapRecord,
    /// State that was derived last.
    pub state: MemberState,
    /// What the last digest said of it; `None` when no digest named it.
    pub(crate) sent: Option<SentSample>,
    /// Whether the record changed since the last digest.
    pub(crate) is_record_changed: bool,
}

/// What a digest said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentSample {
    pub(crate) state: EndpointState,
    pub(crate) load: EndpointLoad,
}

impl MemberRow {
    /// Derives the state, except for damping.
    pub(crate) fn undamped_state(&self, now: Instant) -> MemberState {
        if now >= self.lease_until {
            return MemberState::Expired;
        }
        if self.reported == EndpointState::Down {
            return MemberState::Unhealthy;
        }
        let is_leaving = self.reported == EndpointState::Draining;
        if is_leaving || self.is_listed_leaving || self.is_drained {
            return MemberState::Leaving;
        }
        MemberState::Live
    }

    pub(crate) fn sample(&self) -> SentSample {
        SentSample {
            state: self.state.endpoint_state(),
            load: self.load,
        }
    }
}
