//! Which evacuations a gateway obeys, and which other gateways it tells of them.
//!
//! Load pattern: an order must reach hundreds of gateways in well below a second while datagrams are
//! lost, and no gateway may send more in a larger fleet.

use std::time::Duration;

use wire::gateway::{EvacuationNotice, EvacuationState};
use wire::id::InstanceId;

use crate::directory::GatewayDirectory;

/// Live gateways to which the evacuations are announced in each round. With 3, a gateway hears of a
/// revision that it missed within about a third of a second, for 12 datagrams a second.
const ROUND_NOTICES: usize = 3;
/// Shortest time between two rounds: a little less than the regular interval between heartbeats.
/// Heartbeats that are sent early have no round of their own.
const ROUND_INTERVAL: Duration = Duration::from_millis(240);

/// What a gateway does about an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoticeReaction {
    /// It knows nothing newer, and neither does the sender.
    None,
    /// Obey these evacuations.
    Obey(EvacuationState),
    /// Fetch the sender's evacuations, which did not fit into a datagram.
    Fetch,
    /// Tell the sender, whose evacuations are older.
    Answer,
}

/// The evacuations that one gateway obeys, and whom it told last.
#[derive(Clone, Debug)]
pub struct EvacuationSpread {
    /// The newest evacuations that this gateway knows to be committed by a quorum.
    state: EvacuationState,
    /// After a restart: the state by all entries of the recovered log, of which the last ones may not
    /// be committed. `None` once it is known which are.
    recovered: Option<EvacuationState>,
    /// When the last round began.
    round_at: Duration,
    /// The gateway that the last round told last.
    told_last: InstanceId,
}

impl EvacuationSpread {
    /// The state of the gateway `own`, which knows of no evacuations.
    pub fn new(own: InstanceId) -> Self {
        Self {
            state: EvacuationState::default(),
            recovered: None,
            round_at: Duration::ZERO,
            told_last: own,
        }
    }

    /// The newest evacuations that this gateway knows to be committed by a quorum.
    pub fn state(&self) -> &EvacuationState {
        &self.state
    }

    /// Sets the state by all entries of the recovered log. Its domains get no calls until it is known
    /// which entries are committed: an acknowledged order may be among them.
    pub fn recover(&mut self, recovered: EvacuationState) {
        self.recovered = (recovered.revision > self.state.revision).then_some(recovered);
    }

    /// Records that all recovered entries that are committed were applied. Returns whether this was
    /// not known before.
    pub fn settle(&mut self) -> bool {
        self.recovered.take().is_some()
    }

    /// Whether recovered orders may be committed that are not applied yet.
    pub fn is_unsettled(&self) -> bool {
        self.recovered.is_some()
    }

    /// Names of the failure domains to which no calls are sent.
    pub fn excluded_domains(&self) -> impl Iterator<Item = &str> {
        let recovered = self.recovered.iter().flat_map(|state| &state.domains);
        let domains = self.state.domains.iter().chain(recovered);
        domains.map(|domain| domain.name.as_str())
    }

    /// Takes over evacuations that a quorum has committed. Returns those that were obeyed before;
    /// `None` if they are not newer, and nothing changes.
    pub fn take_over(&mut self, state: EvacuationState) -> Option<EvacuationState> {
        let is_newer = state.revision > self.state.revision;
        let recovered = self.recovered.take();
        self.recovered = recovered.filter(|recovered| recovered.revision > state.revision);
        is_newer.then(|| std::mem::replace(&mut self.state, state))
    }

    /// What to do about an announcement of another gateway.
    pub fn react(&self, notice: EvacuationNotice) -> NoticeReaction {
        let EvacuationNotice { revision, domains } = notice;
        match revision.cmp(&self.state.revision) {
            std::cmp::Ordering::Less => NoticeReaction::Answer,
            std::cmp::Ordering::Equal => NoticeReaction::None,
            std::cmp::Ordering::Greater => match domains {
                Some(domains) => NoticeReaction::Obey(EvacuationState { revision, domains }),
                None => NoticeReaction::Fetch,
            },
        }
    }

    /// The live gateways to tell in the next round, in turn; none if no round is due, or if there
    /// never were any evacuations.
    pub fn next_round(&mut self, now: Duration, directory: &GatewayDirectory) -> Vec<InstanceId> {
        if self.state.revision == 0 || now < self.round_at + ROUND_INTERVAL {
            return Vec::new();
        }
        self.round_at = now;
        let mut told = Vec::new();
        while let Some(next) = directory.next_live(now, self.told_last) {
            if told.len() == ROUND_NOTICES || told.contains(&next) {
                break;
            }
            self.told_last = next;
            told.push(next);
        }
        told
    }
}
