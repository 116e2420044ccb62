//! State shared by the parts of a control instance.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use settings::process::ControlSettings;
use watch::ControlMetrics;
use wire::LinkMessage;
use wire::id::{FingerprintHash, SettingsVersion};
use wire::message::SettingsUpdate;

use crate::members::{MemberRegistry, PeerRecord};
use crate::quorum::ControlQuorum;
use crate::state::ControlState;

/// The part of the agreed state that is published to open connections.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PublishedState {
    version: SettingsVersion,
    suspects: Vec<FingerprintHash>,
    quarantined: Vec<FingerprintHash>,
}

impl PublishedState {
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
    /// Settings from the instance's settings file.
    pub settings: ControlSettings,
    /// The agreed state, as far as it is applied here.
    pub state: RefCell<ControlState>,
    /// What was last published to the open connections.
    pub published: RefCell<PublishedState>,
    /// Entries and agents known to this instance.
    pub members: MemberRegistry,
    /// Open connections of entries and agents.
    pub peers: RefCell<Vec<Rc<PeerRecord>>>,
    /// Metrics.
    pub metrics: Arc<ControlMetrics>,
    /// This instance's member of the control quorum.
    pub quorum: ControlQuorum,
}

impl ControlNode {
    /// An instance with empty state, before the log is applied.
    pub fn new(
        settings: ControlSettings,
        quorum: ControlQuorum,
        metrics: Arc<ControlMetrics>,
    ) -> Self {
        Self {
            settings,
            state: RefCell::default(),
            published: RefCell::default(),
            members: MemberRegistry::default(),
            peers: RefCell::default(),
            metrics,
            quorum,
        }
    }

    /// Sends the changes of the published state since the last call to every open connection.
    pub fn publish(&self) {
        let state = self.state.borrow();
        let before = self.published.replace(PublishedState::of(&state));
        let now = self.published.borrow();
        if now.version != before.version {
            let fleet = state.settings.resolved().unwrap_or_default();
            self.members.set_drained(&fleet);
            self.metrics.process.set_settings_version(now.version);
            self.broadcast(&LinkMessage::Settings(
                state.settings.update_since(before.version),
            ));
            self.broadcast(&LinkMessage::Settings(self.confirmation()));
        }
        if now.suspects != before.suspects {
            self.broadcast(&LinkMessage::Suspects(now.suspects.clone()));
        }
        if now.quarantined != before.quarantined {
            self.metrics.set_quarantined(now.quarantined.len());
            self.broadcast(&LinkMessage::Quarantine(now.quarantined.clone()));
        }
    }

    /// Messages for a new connection: settings, suspects, quarantined requests and members.
    pub fn greeting(&self) -> Vec<LinkMessage> {
        let state = self.state.borrow();
        vec![
            LinkMessage::Settings(state.settings.update_since(0)),
            LinkMessage::Settings(self.confirmation()),
            LinkMessage::Suspects(state.suspects.suspects()),
            LinkMessage::Quarantine(state.suspects.quarantined()),
            LinkMessage::Members(self.members.full_digest()),
        ]
    }

    /// The update that confirms the current settings version, which renews the settings lease of
    /// entries and agents.
    pub fn confirmation(&self) -> SettingsUpdate {
        SettingsUpdate::Confirmed {
            version: self.state.borrow().settings.version(),
        }
    }

    /// Sends a message to every open connection.
    pub fn broadcast(&self, message: &LinkMessage) {
        self.for_each_peer(|peer| {
            let _ = peer.sender.try_send(message.clone());
        });
    }

    /// Removes closed connections and calls `visit` for every open one.
    pub fn for_each_peer(&self, mut visit: impl FnMut(&PeerRecord)) {
        let mut peers = self.peers.borrow_mut();
        peers.retain(|peer| !peer.sender.is_closed());
        for peer in peers.iter() {
            visit(peer);
        }
    }
}
