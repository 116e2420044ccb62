//! Notices between the gateways.

use std::time::Duration;

use rand::RngExt;
use relay::crash::SuspectKind;
use wire::gateway::CrashNotice;

use super::{PoisonFleet, STEP};

/// Delay of a message between gateways.
const MESSAGE_DELAY: Duration = Duration::from_millis(5);
/// Interval of the regular work of a gateway.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the messages between gateways that are lost.
const MESSAGE_LOSS: f64 = 0.02;

/// Kinds of notices.
const KINDS: [SuspectKind; 2] = [SuspectKind::Request, SuspectKind::Part];

/// A notice on its way from one gateway to another.
#[derive(Clone, Debug)]
pub(super) struct NoticeInFlight {
    arrives_at: Duration,
    sender: usize,
    recipient: usize,
    kind: SuspectKind,
    notice: CrashNotice,
}

impl PoisonFleet {
    pub(super) fn deliver_messages(&mut self) {
        let now = self.now;
        let due = self
            .messages
            .extract_if(.., |message| message.arrives_at <= now);
        let due: Vec<NoticeInFlight> = due.collect();
        for message in due {
            let slot = &mut self.gateways[message.recipient];
            if slot.down_until > now || slot.cut_until > now {
                continue;
            }
            let kind = message.kind;
            if let Some(reply) = slot.gateway.receive(now, kind, &message.notice) {
                self.send(message.recipient, message.sender, kind, reply);
            }
        }
    }

    pub(super) fn send_messages(&mut self) {
        for sender in 0..self.gateways.len() {
            let slot = &mut self.gateways[sender];
            if slot.down_until > self.now {
                continue;
            }
            if slot.down_until + STEP > self.now && slot.starts > 0 {
                self.greet(sender);
            }
            let since_tick = (self.now + STEP * sender as u32).as_millis();
            if since_tick.is_multiple_of(TICK_INTERVAL.as_millis()) {
                self.tick(sender);
            }
            for kind in KINDS {
                self.announce(sender, kind);
            }
        }
    }

    fn announce(&mut self, sender: usize, kind: SuspectKind) {
        while let Some(notice) = self.gateways[sender].gateway.next_notice(self.now, kind) {
            for recipient in (0..self.gateways.len()).filter(|recipient| *recipient != sender) {
                self.send(sender, recipient, kind, notice.clone());
            }
        }
    }

    /// The others repeat what they know to a gateway that has just started.
    fn greet(&mut self, newcomer: usize) {
        for sender in (0..self.gateways.len()).filter(|sender| *sender != newcomer) {
            let slot = &mut self.gateways[sender];
            if slot.down_until > self.now {
                continue;
            }
            self.repeat(sender, newcomer);
        }
    }

    /// The regular work of a gateway.
    fn tick(&mut self, number: usize) {
        let count = self.gateways.len();
        let slot = &mut self.gateways[number];
        slot.gateway.expire(self.now);
        slot.last_told = (slot.last_told + 1) % count;
        let recipient = slot.last_told;
        self.repeat(number, recipient);
    }

    fn repeat(&mut self, sender: usize, recipient: usize) {
        for kind in KINDS {
            let gateway = &mut self.gateways[sender].gateway;
            if let Some(notice) = gateway.next_repetition(self.now, kind) {
                self.send(sender, recipient, kind, notice);
            }
        }
    }

    fn send(&mut self, sender: usize, recipient: usize, kind: SuspectKind, notice: CrashNotice) {
        let is_cut = self.gateways[sender].cut_until > self.now;
        if !is_cut && !self.rng.random_bool(MESSAGE_LOSS) {
            self.messages.push(NoticeInFlight {
                arrives_at: self.now + MESSAGE_DELAY,
                sender,
                recipient,
                kind,
                notice,
            });
        }
    }
}
