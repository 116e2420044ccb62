//! What the parts of a control instance share.

use std::cell::RefCell;
use std::collections::BTreeMap;

use link::LinkSender;
use settings::process::ControlSettings;
use wire::LinkMessage;
use wire::id::{EndpointId, FingerprintHash, ServiceId, SettingsVersion};
use wire::member::{AgentHeartbeat, EndpointState, LoadSample, MemberDigest, ServiceMean};
use wire::message::SettingsUpdate;

use crate::quorum::ControlQuorum;
use crate::state::ControlState;

/// What the open connections were last told of the agreed state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Published {
    version: SettingsVersion,
    suspects: Vec<FingerprintHash>,
    quarantined: Vec<FingerprintHash>,
}

impl Published {
    fn of(state: &ControlState) -> Self {
        Self {
            version: state.settings.version(),
            suspects: state.suspects.suspects(),
            quarantined: state.suspects.quarantined(),
        }
    }
}

/// State of one control instance, on one thread.
pub struct ControlNode {
    /// The instance's file.
    pub settings: ControlSettings,
    /// The agreed state as far as it is known here.
    pub state: RefCell<ControlState>,
    /// What the open connections were last told.
    pub published: RefCell<Published>,
    /// Last heartbeat of each endpoint.
    pub endpoints: RefCell<BTreeMap<EndpointId, AgentHeartbeat>>,
    /// Open connections of entries and agents.
    pub peers: RefCell<Vec<LinkSender>>,
    /// This instance's member of the control quorum.
    pub quorum: ControlQuorum,
}

impl ControlNode {
    /// An instance that knows nothing yet.
    pub fn new(settings: ControlSettings, quorum: ControlQuorum) -> Self {
        Self {
            settings,
            state: RefCell::default(),
            published: RefCell::default(),
            endpoints: RefCell::default(),
            peers: RefCell::default(),
            quorum,
        }
    }

    /// Sends what the last applied commands changed to every open connection.
    pub fn publish(&self) {
        let state = self.state.borrow();
        let before = self.published.replace(Published::of(&state));
        let now = self.published.borrow();
        if now.version != before.version {
            self.broadcast(&LinkMessage::Settings(
                state.settings.update_since(before.version),
            ));
            self.broadcast(&LinkMessage::Settings(self.confirmation()));
        }
        if now.suspects != before.suspects {
            self.broadcast(&LinkMessage::Suspects(now.suspects.clone()));
        }
        if now.quarantined != before.quarantined {
            self.broadcast(&LinkMessage::Quarantine(now.quarantined.clone()));
        }
    }

    /// What a new connection needs to know: settings, lists and members.
    pub fn greeting(&self) -> Vec<LinkMessage> {
        let state = self.state.borrow();
        vec![
            LinkMessage::Settings(state.settings.update_since(0)),
            LinkMessage::Settings(self.confirmation()),
            LinkMessage::Suspects(state.suspects.suspects()),
            LinkMessage::Quarantine(state.suspects.quarantined()),
            LinkMessage::Members(self.digest()),
        ]
    }

    /// The version in force, as confirmed by the quorum.
    pub fn confirmation(&self) -> SettingsUpdate {
        SettingsUpdate::Confirmed {
            version: self.state.borrow().settings.version(),
        }
    }

    /// Everything known of the endpoints.
    pub fn digest(&self) -> MemberDigest {
        let endpoints = self.endpoints.borrow();
        let records = endpoints
            .values()
            .filter_map(|beat| beat.record.clone())
            .collect();
        let loads = endpoints.values().map(sample).collect();
        MemberDigest {
            records,
            gone: Vec::new(),
            loads,
            means: self.means(),
        }
    }

    /// Takes the heartbeat of an agent, which may have come by way of another instance.
    pub fn note_heartbeat(&self, beat: AgentHeartbeat) {
        self.endpoints.borrow_mut().insert(beat.endpoint, beat);
    }

    /// Sends a message to every open connection.
    pub fn broadcast(&self, message: &LinkMessage) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|peer| !peer.is_closed());
        for peer in peers.iter() {
            let _ = peer.try_send(message.clone());
        }
    }

    fn means(&self) -> Vec<ServiceMean> {
        let mut means: BTreeMap<ServiceId, ServiceMean> = BTreeMap::new();
        for beat in self.endpoints.borrow().values() {
            let Some(record) = &beat.record else { continue };
            if beat.state != EndpointState::Serving {
                continue;
            }
            let service = record.service;
            let empty = ServiceMean {
                service,
                load: 0,
                weight: 0,
                absent: 0,
            };
            let mean = means.entry(service).or_insert(empty);
            mean.load += u64::from(beat.load.total());
            mean.weight += u64::from(record.weight);
        }
        means.into_values().collect()
    }
}

fn sample(beat: &AgentHeartbeat) -> LoadSample {
    LoadSample {
        endpoint: beat.endpoint,
        incarnation: beat.incarnation,
        state: beat.state,
        load: beat.load,
    }
}
