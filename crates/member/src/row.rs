//! The record of one member, and the state derived from it.

use std::time::Instant;

use wire::answer::EndpointLoad;
use wire::id::SettingsVersion;
use wire::member::{EndpointRecord, EndpointState};

use crate::flap::FlapRecord;

/// State of a member as control sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// Its lease is valid and it serves.
    Live,
    /// Its agent, the platform or an operator reported that it is leaving.
    Leaving,
    /// Its agent reports that the endpoint is down.
    Unhealthy,
    /// Its lease has expired.
    Expired,
    /// It failed too often recently.
    Damped,
}

impl MemberState {
    /// The state that digests report to entries.
    pub fn endpoint_state(self) -> EndpointState {
        match self {
            Self::Live => EndpointState::Serving,
            Self::Leaving => EndpointState::Draining,
            Self::Unhealthy | Self::Expired | Self::Damped => EndpointState::Down,
        }
    }
}

/// One member of a [`MemberTable`](crate::MemberTable).
#[derive(Clone, Debug)]
pub struct MemberRow {
    /// The endpoint as its agent described it.
    pub record: EndpointRecord,
    /// Sequence number of the last heartbeat of this incarnation.
    pub(crate) sequence: u64,
    /// State in the last heartbeat.
    pub(crate) reported: EndpointState,
    /// Load in the last heartbeat.
    pub load: EndpointLoad,
    /// Version of the settings that the agent uses.
    pub settings: SettingsVersion,
    /// When the lease expires unless another heartbeat arrives.
    pub lease_until: Instant,
    /// Whether the platform reported that this incarnation is leaving.
    pub(crate) is_listed_leaving: bool,
    /// Whether an operator drains the endpoint.
    pub(crate) is_drained: bool,
    pub(crate) flaps: FlapRecord,
    /// State as of the last update.
    pub state: MemberState,
    /// State and load in the last digest that contained this member; `None` if none did.
    pub(crate) sent: Option<SentSample>,
    /// Whether the record changed since the last digest.
    pub(crate) is_record_changed: bool,
}

/// State and load of a member as a digest reported them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SentSample {
    pub(crate) state: EndpointState,
    pub(crate) load: EndpointLoad,
}

impl MemberRow {
    /// The state at `now` without regard to damping.
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
