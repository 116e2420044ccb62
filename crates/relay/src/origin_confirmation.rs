//! Telling keepers of origins of streams until those with a disk confirm that they hold them.

use std::rc::Rc;

use tokio::time::timeout;
use wire::gateway::{GatewayDatagram, address_of};
use wire::id::InstanceId;
use wire::stream::{NoticeDigest, OriginNotice, StreamMessage};

use crate::origin::is_stored_claim;
use crate::state::RelayState;
use crate::unconfirmed_origins::FirstNotice;

/// What becomes of a notice to a keeper with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoticeEnd {
    /// The keeper has confirmed it.
    Confirmed,
    /// It is told again.
    Repeated,
    /// It is not told again, though it was not confirmed.
    GivenUp,
}

impl NoticeEnd {
    /// Label for the metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Repeated => "repeated",
            Self::GivenUp => "given-up",
        }
    }
}

/// Tells keepers again what they have not confirmed, until the process ends.
pub async fn repeat_origins(state: Rc<RelayState>) {
    loop {
        let due_at = state.unconfirmed.borrow().due_at();
        let changed = state.repeat_due.notified();
        match due_at {
            Some(due_at) => {
                let wait = due_at.saturating_sub(state.now());
                let _ = timeout(wait, changed).await;
            }
            None => changed.await,
        }
        state.repeat_due_origins();
    }
}

impl RelayState {
    /// Tells the keepers of a stream of its origin. Those with a disk are told again until they confirm
    /// what they store.
    pub(crate) fn tell_origin(&self, notice: OriginNotice) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let ranking = self.rank_live(notice.request);
        let is_stored = is_stored_claim(notice.claim, |service| self.is_stored(service));
        let storing = match is_stored {
            true => ranking.storing_keepers(),
            false => Vec::new(),
        };
        for keeper in ranking.keepers() {
            let first = match storing.contains(&keeper) {
                true => self.track_notice(keeper, notice),
                false => FirstNotice::Plain,
            };
            let message = match first {
                FirstNotice::Plain => StreamMessage::Origins(vec![notice]),
                FirstNotice::Tracked => StreamMessage::Tracked(vec![notice]),
            };
            peers.send(keeper, &GatewayDatagram::Stream(message));
        }
    }

    fn track_notice(&self, keeper: InstanceId, notice: OriginNotice) -> FirstNotice {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let before = unconfirmed.due_at();
        let first = unconfirmed.tell(self.now(), keeper, notice);
        if unconfirmed.due_at() != before {
            self.repeat_due.notify_one();
        }
        first
    }

    /// Confirms notices that another instance has told.
    pub(crate) fn confirm_origins(&self, from: InstanceId, notices: &[OriginNotice]) {
        if let Some(peers) = self.peers.get() {
            let digests = notices.iter().map(OriginNotice::digest).collect();
            let message = StreamMessage::Held(digests);
            peers.send(from, &GatewayDatagram::Stream(message));
        }
    }

    /// Records that a keeper holds these notices.
    pub(crate) fn note_held(&self, keeper: InstanceId, digests: &[NoticeDigest]) {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let confirmed = unconfirmed.confirm(self.now(), keeper, digests);
        self.count_notices(NoticeEnd::Confirmed, confirmed.notices);
        if confirmed.was_silent {
            log::info!(peer = address_of(keeper).to_string().as_str(); "relay: keeper of streams confirms again");
            self.repeat_due.notify_one();
        }
    }

    /// Records that an instance has become live.
    pub(crate) fn note_keeper_live(&self, instance: InstanceId) {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        unconfirmed.note_live(self.now(), instance);
        self.repeat_due.notify_one();
    }

    fn repeat_due_origins(&self) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let live = peers.instances();
        let due = self.unconfirmed.borrow_mut().take_due(self.now(), &live);
        for (keeper, notices) in due.messages {
            self.count_notices(NoticeEnd::Repeated, notices.len() as u64);
            let message = StreamMessage::Tracked(notices);
            peers.send(keeper, &GatewayDatagram::Stream(message));
        }
        self.count_notices(NoticeEnd::GivenUp, due.given_up);
        for (keeper, waiting) in due.silent {
            let peer = address_of(keeper).to_string();
            log::warn!(peer = peer.as_str(), waiting = waiting; "relay: keeper of streams confirms nothing");
        }
    }

    fn count_notices(&self, end: NoticeEnd, count: u64) {
        self.metrics.count_origin_notices(end.label(), count);
    }
}
