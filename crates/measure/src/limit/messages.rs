//! Messages between the gateways, and which of them keeps the rates.

use std::time::Duration;

use rand::RngExt;
use wire::id::EndpointId;
use wire::statement::{ColdNotice, LimitNotice, MAX_NOTICES, TokenAsk, TokenOutcome};

use super::replay::{ASK_WAITS, FleetEvent, LimitFleet, WaitingCall};

/// Share of the messages between gateways that are lost.
const MESSAGE_LOSS: f64 = 0.02;
/// Number of gateways that may keep the rates: those with a disk.
pub(super) const CORE_SIZE: usize = 3;
/// Time after which a keeper that is down or cut off is replaced.
const ELECTION_TIME: Duration = Duration::from_millis(700);
/// Time for which a keeper that is cut off goes on.
const CONFIRMATION_TIME: Duration = Duration::from_millis(400);
/// Time until all gateways know of a new keeper by its heartbeats.
const HEARTBEAT_TIME: Duration = Duration::from_millis(300);
/// Time for which a keeper that did not answer is not asked again.
const ASK_PAUSE: Duration = Duration::from_millis(400);
/// Interval at which a gateway repeats what it knows to one other.
const REPETITION_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of gateways that one tells of a change itself.
const MAX_RECIPIENTS: usize = 32;

/// A message from one gateway to another.
#[derive(Clone, Debug)]
pub(super) enum FleetMessage {
    /// What endpoints stated lately, and to how many gateways the receiver passes it on.
    Notices(Vec<LimitNotice>, usize),
    /// What is known of restarts, whether it is all, and to how many gateways the receiver passes it on.
    Cold(Vec<ColdNotice>, bool, usize),
    /// Asks for tokens, with what is known of cold endpoints.
    Ask(TokenAsk, Vec<ColdNotice>),
    /// The answer to a request for tokens.
    Reply(u64, TokenOutcome),
}

/// Which gateway keeps the rates.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KeeperElection {
    /// The latest keeper.
    pub(super) keeper: usize,
    /// Number of the election that made it keeper.
    pub(super) term: u64,
    /// Since when it is down or cut off; `None` while it is not.
    lost_since: Option<Duration>,
    /// The keeper before it.
    previous: usize,
    /// Time from which on all gateways know of it.
    known_at: Duration,
}

impl LimitFleet {
    /// Replaces a keeper that is down or cut off.
    pub(super) fn elect(&mut self) {
        let is_up = |number: usize| self.is_in_touch(number);
        let keeper = self.election.keeper;
        if is_up(keeper) {
            if self.election.lost_since.take().is_some() {
                self.election.previous = keeper;
                self.election.known_at = self.now;
            }
            return;
        }
        let since = *self.election.lost_since.get_or_insert(self.now);
        let core = self.gateways.len().min(CORE_SIZE);
        let others: Vec<usize> = (0..core)
            .filter(|number| self.is_in_touch(*number))
            .collect();
        let has_majority = others.len() * 2 > core;
        if self.now >= since + ELECTION_TIME && has_majority {
            self.election = KeeperElection {
                keeper: others[0],
                term: self.election.term + 1,
                lost_since: None,
                previous: keeper,
                known_at: self.now + HEARTBEAT_TIME,
            };
        }
    }

    /// The gateway that certainly keeps the rates.
    pub(super) fn confirmed_keeper(&self) -> Option<usize> {
        let keeper = self.election.keeper;
        let is_known = self.now >= self.election.known_at + ASK_PAUSE;
        (is_known && self.election.lost_since.is_none()).then_some(keeper)
    }

    /// The term in which a gateway keeps the rates.
    fn term_of(&self, number: usize) -> Option<u64> {
        let is_confirmed = self
            .election
            .lost_since
            .is_none_or(|since| self.now < since + CONFIRMATION_TIME);
        (self.election.keeper == number && is_confirmed).then_some(self.election.term)
    }

    /// Tells the others what is new, and repeats the rest to one after the other.
    pub(super) fn send_messages(&mut self) {
        for number in 0..self.gateways.len() {
            if self.gateways[number].down_until > self.now {
                continue;
            }
            for notice in std::mem::take(&mut self.gateways[number].gateway.news) {
                self.announce(number, notice);
            }
            for notice in std::mem::take(&mut self.gateways[number].gateway.cold_news) {
                self.announce_cold(number, notice);
            }
            let since_tick = (self.now + Duration::from_millis(7) * number as u32).as_millis();
            if since_tick.is_multiple_of(REPETITION_INTERVAL.as_millis()) {
                let slot = &mut self.gateways[number];
                slot.last_told += 1;
                let recipient = (number + slot.last_told) % self.gateways.len();
                self.repeat(number, recipient);
            }
        }
    }

    /// The others repeat what they know to a gateway that has just started.
    pub(super) fn greet(&mut self, newcomer: usize) {
        for sender in self.following(newcomer) {
            self.repeat(sender, newcomer);
        }
    }

    fn announce(&mut self, sender: usize, notice: LimitNotice) {
        let others = self.following(sender);
        let span = others.len().div_ceil(MAX_RECIPIENTS).max(1);
        for recipients in others.chunks(span) {
            let message = FleetMessage::Notices(vec![notice], recipients.len() - 1);
            self.send(sender, recipients[0], message);
        }
    }

    fn announce_cold(&mut self, sender: usize, notice: ColdNotice) {
        let others = self.following(sender);
        let span = others.len().div_ceil(MAX_RECIPIENTS).max(1);
        for recipients in others.chunks(span) {
            let message = FleetMessage::Cold(vec![notice], false, recipients.len() - 1);
            self.send(sender, recipients[0], message);
        }
    }

    fn repeat_cold(&mut self, sender: usize, recipient: usize) {
        let table = &self.gateways[sender].gateway.table;
        let is_whole = table.keeper.is_informed(self.now) && table.keeper.cut_since.is_none();
        let notices = table.cold_notices(self.now);
        let count = notices.len().div_ceil(MAX_NOTICES).max(1);
        for part in 0..count {
            let part_of = notices.iter().skip(part * MAX_NOTICES).take(MAX_NOTICES);
            let is_whole = is_whole && part + 1 == count;
            let message = FleetMessage::Cold(part_of.copied().collect(), is_whole, 0);
            self.send(sender, recipient, message);
        }
    }

    pub(super) fn repeat(&mut self, sender: usize, recipient: usize) {
        if sender != recipient && self.has_cold() {
            self.repeat_cold(sender, recipient);
        }
        let notices = self.gateways[sender].gateway.repetition(self.now);
        for notices in notices.chunks(MAX_NOTICES).filter(|_| sender != recipient) {
            self.send(
                sender,
                recipient,
                FleetMessage::Notices(notices.to_vec(), 0),
            );
        }
    }

    /// The other gateways that are up, from the one that follows.
    fn following(&self, number: usize) -> Vec<usize> {
        let count = self.gateways.len();
        let others = (1..count).map(|step| (number + step) % count);
        let up = others.filter(|other| self.gateways[*other].down_until <= self.now);
        up.collect()
    }

    pub(super) fn send(&mut self, sender: usize, recipient: usize, message: FleetMessage) {
        self.datagrams += 1;
        let is_cut = self.gateways[sender].cut_until > self.now;
        if !is_cut && !self.rng.random_bool(MESSAGE_LOSS) {
            let transit = self.transit();
            self.plan(transit, FleetEvent::Message(sender, recipient, message));
        }
    }

    pub(super) fn receive(&mut self, sender: usize, recipient: usize, message: FleetMessage) {
        let now = self.now;
        if !self.is_in_touch(recipient) {
            return;
        }
        match message {
            FleetMessage::Notices(notices, forward) => {
                let gateway = &mut self.gateways[recipient].gateway;
                let is_new = |notice: &LimitNotice| gateway.note_told(now, notice);
                let new: Vec<LimitNotice> = notices.into_iter().filter(is_new).collect();
                let others = self.following(recipient);
                for other in others.into_iter().take(forward).filter(|_| !new.is_empty()) {
                    self.send(recipient, other, FleetMessage::Notices(new.clone(), 0));
                }
            }
            FleetMessage::Cold(notices, is_whole, forward) => {
                let gateway = &mut self.gateways[recipient].gateway;
                let new = gateway.note_told_cold(now, notices, is_whole);
                let others = self.following(recipient);
                for other in others.into_iter().take(forward).filter(|_| !new.is_empty()) {
                    self.send(recipient, other, FleetMessage::Cold(new.clone(), false, 0));
                }
            }
            FleetMessage::Ask(ask, cold) => {
                let term = self.term_of(recipient);
                let gateway = &mut self.gateways[recipient].gateway;
                let known: Vec<EndpointId> = cold.iter().map(|notice| notice.endpoint).collect();
                gateway.note_told_cold(now, cold, false);
                let outcome = gateway.answer(now, term, &ask, &known);
                self.send(recipient, sender, FleetMessage::Reply(ask.id, outcome));
            }
            FleetMessage::Reply(id, outcome) => {
                if let Some(call) = self.waiting.remove(&id) {
                    self.end_ask(call, &outcome);
                }
            }
        }
    }

    /// Sends the request of a call to the keeper.
    pub(super) fn ask_keeper(&mut self, call: WaitingCall, ask: TokenAsk) {
        let election = &self.election;
        let keeper = match self.now < election.known_at && election.keeper != call.gateway {
            true => election.previous,
            false => election.keeper,
        };
        if keeper == call.gateway {
            let term = self.term_of(keeper);
            let outcome = self.gateways[keeper]
                .gateway
                .answer(self.now, term, &ask, &[]);
            self.end_ask(call, &outcome);
            return;
        }
        let gateway = call.gateway;
        let cold = self.gateways[gateway]
            .gateway
            .cold_notices_of(self.now, &ask);
        self.waiting.insert(ask.id, call);
        let [repeat_after, give_up_after] = ASK_WAITS;
        self.plan(
            repeat_after,
            FleetEvent::AskRepeats(ask.id, keeper, ask.clone(), cold.clone()),
        );
        self.plan(give_up_after, FleetEvent::AskExpires(ask.id));
        self.send(gateway, keeper, FleetMessage::Ask(ask, cold));
    }

    fn end_ask(&mut self, call: WaitingCall, outcome: &TokenOutcome) {
        let now = self.now;
        if let Some(gateway) = self.waiting_gateway(&call) {
            gateway.table.note_tokens(now, call.asked_at, outcome);
            self.place(call);
        }
    }

    /// Ends a request for tokens that was not answered.
    pub(super) fn expire_ask(&mut self, id: u64) {
        let now = self.now;
        let Some(call) = self.waiting.remove(&id) else {
            return;
        };
        if let Some(gateway) = self.waiting_gateway(&call) {
            gateway.table.keeper.note_miss(now);
            self.place(call);
        }
    }

    /// Whether a gateway is up and not cut off.
    pub(super) fn is_in_touch(&self, number: usize) -> bool {
        let slot = &self.gateways[number];
        slot.down_until <= self.now && slot.cut_until <= self.now
    }
}
