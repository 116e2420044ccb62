//! Messages by which instances share the limits of endpoints: notices of what endpoints state, and
//! requests for tokens to the keeper of the rates.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use pace::statement::EndpointStatement;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::gateway::GatewayDatagram;
use wire::id::{EndpointId, InstanceId};
use wire::statement::{
    AskId, ColdNotice, LimitMessage, LimitNotice, MAX_COLD_WISHES, MAX_NOTICES, TokenAsk,
    TokenOutcome, TokenWish,
};

use crate::placement::token_wishes;
use crate::rate_keeper::TokenRequest;
use crate::state::RelayState;
use crate::statement_change::StatementChange;
use crate::table::EndpointTable;

/// How long the answer to a request for tokens is awaited, until it is sent again and then until it
/// is given up.
const ASK_WAITS: [Duration; 2] = [Duration::from_millis(35), Duration::from_millis(45)];
/// Maximum number of requests for tokens at once. Calls beyond it take what is open.
const MAX_ASKS: usize = 1024;
/// Maximum number of instances that one instance tells of a change itself. In larger fleets these
/// tell the others.
const MAX_RECIPIENTS: usize = 32;
/// Time for which it is repeated that an endpoint names no limit any more.
const END_RETENTION: Duration = Duration::from_secs(10);

/// The requests for tokens that are not answered.
#[derive(Debug, Default)]
pub struct PendingAsks {
    asks: HashMap<AskId, PendingAsk>,
}

#[derive(Debug)]
struct PendingAsk {
    asked_at: Duration,
    /// Notified of the answer.
    answered: oneshot::Sender<()>,
}

/// Guard of a request for tokens, which is forgotten when it is dropped. A late answer is ignored.
struct AskGuard<'a> {
    asks: &'a RefCell<PendingAsks>,
    id: AskId,
}

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.asks.borrow_mut().asks.remove(&self.id);
    }
}

impl RelayState {
    /// Records what an endpoint states in the head of an answer that has just arrived, to a call
    /// that was sent at `sent_at`, and tells the other instances of a change.
    pub fn note_statement(
        &self,
        endpoint: EndpointId,
        sent_at: Duration,
        statement: EndpointStatement,
    ) {
        self.count_statement(statement);
        self.log_rest(endpoint, statement);
        let now = self.now();
        let changes = self
            .table
            .borrow_mut()
            .note_statement(now, endpoint, sent_at, statement);
        for change in changes {
            self.log_statement(endpoint, change, false);
            if let StatementChange::Limit(_) = change {
                self.announce_limit(endpoint);
            }
        }
    }

    fn announce_limit(&self, endpoint: EndpointId) {
        let notice = self.table.borrow_mut().announce_limit(self.now(), endpoint);
        if let Some(notice) = notice {
            self.send_to_all(|forward| LimitMessage::Notices {
                notices: vec![notice],
                forward,
            });
        }
    }

    fn send_notices(&self, to: InstanceId, notices: Vec<LimitNotice>, forward: u16) {
        let message = LimitMessage::Notices { notices, forward };
        self.send_limit_message(to, message);
    }

    /// Sends a message to all other instances, in large fleets through some that pass it on. `message`
    /// takes the number of instances to which the receiver does.
    pub(crate) fn send_to_all(&self, message: impl Fn(u16) -> LimitMessage) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let instances = following(self.settings.instance, &peers.instances());
        let span = instances.len().div_ceil(MAX_RECIPIENTS).max(1);
        for recipients in instances.chunks(span) {
            let forward = u16::try_from(recipients.len() - 1).unwrap_or(u16::MAX);
            self.send_limit_message(recipients[0], message(forward));
        }
    }

    pub(crate) fn send_limit_message(&self, to: InstanceId, message: LimitMessage) {
        if let Some(peers) = self.peers.get() {
            self.metrics.count_limit_message(kind_of(&message));
            peers.send(to, &GatewayDatagram::Limit(message));
        }
    }

    /// Tells another instance of all limits, and of those that ended lately.
    pub fn repeat_limits_to(&self, to: InstanceId) {
        let notices = self.table.borrow().limit_notices(self.now(), END_RETENTION);
        for notices in notices.chunks(MAX_NOTICES) {
            self.send_notices(to, notices.to_vec(), 0);
        }
        self.repeat_cold_to(to);
    }

    /// Handles a message of another instance.
    pub fn handle_limit_message(&self, from: InstanceId, message: LimitMessage) {
        match message {
            LimitMessage::Notices { notices, forward } => self.note_notices(notices, forward),
            LimitMessage::Ask(ask) => {
                let id = ask.id;
                let outcome = self.keep_rates(&ask, &[]);
                self.send_limit_message(from, LimitMessage::Reply { id, outcome });
            }
            LimitMessage::Reply { id, outcome } => self.note_reply(id, &outcome),
            LimitMessage::Cold {
                notices,
                is_whole,
                forward,
            } => self.note_cold_notices(notices, is_whole, forward),
            LimitMessage::ColdAsk { ask, notices } => {
                let cold: Vec<EndpointId> = notices.iter().map(|notice| notice.endpoint).collect();
                self.note_cold_notices(notices, false, 0);
                let id = ask.id;
                let outcome = self.keep_rates(&ask, &cold);
                self.send_limit_message(from, LimitMessage::Reply { id, outcome });
            }
        }
    }

    fn note_notices(&self, notices: Vec<LimitNotice>, forward: u16) {
        let is_new = |notice: &LimitNotice| self.note_told(notice);
        let new: Vec<LimitNotice> = notices.into_iter().filter(is_new).collect();
        if !new.is_empty() && forward > 0 {
            self.pass_on(forward, |forward| LimitMessage::Notices {
                notices: new.clone(),
                forward,
            });
        }
    }

    /// Sends a message to the next `count` instances, which do not pass it on.
    pub(crate) fn pass_on(&self, count: u16, message: impl Fn(u16) -> LimitMessage) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let instances = following(self.settings.instance, &peers.instances());
        for instance in instances.into_iter().take(count.into()) {
            self.send_limit_message(instance, message(0));
        }
    }

    /// Records what another instance was told. Returns whether it changes anything.
    fn note_told(&self, notice: &LimitNotice) -> bool {
        let now = self.now();
        let change = self.table.borrow_mut().note_told(now, notice);
        if let Some(change) = change {
            self.log_statement(notice.endpoint, change, true);
        }
        change.is_some()
    }

    /// Asks the keeper of the rates for a token of the first of these endpoints that has one, and
    /// waits for the answer for a limited time. Records the result in the table.
    pub async fn ask_for_token(&self, endpoints: &[EndpointId]) {
        let asked_at = self.now();
        let wishes = token_wishes(&mut self.table.borrow_mut(), asked_at, endpoints);
        let ask = TokenAsk {
            id: rand::random(),
            wishes,
        };
        let keeper = self
            .peers
            .get()
            .map_or(Some(self.settings.instance), |peers| peers.keeper());
        match keeper {
            None => self.table.borrow_mut().keeper.note_silence(asked_at),
            Some(keeper) if keeper == self.settings.instance => {
                let outcome = self.keep_rates(&ask, &[]);
                self.table
                    .borrow_mut()
                    .note_tokens(self.now(), asked_at, &outcome);
            }
            Some(keeper) => self.ask_instance(keeper, ask, asked_at).await,
        }
    }

    /// The message that asks for tokens: with what is known of the cold endpoints, if there are any.
    fn ask_message(&self, ask: TokenAsk) -> LimitMessage {
        let now = self.now();
        let table = self.table.borrow();
        let wishes = ask.wishes.iter().take(MAX_COLD_WISHES);
        let notices = wishes.filter_map(|wish| table.cold_notice(now, wish.notice.endpoint));
        let notices: Vec<ColdNotice> = notices.collect();
        if notices.is_empty() {
            return LimitMessage::Ask(ask);
        }
        let mut ask = ask;
        ask.wishes.truncate(MAX_COLD_WISHES);
        LimitMessage::ColdAsk { ask, notices }
    }

    async fn ask_instance(&self, keeper: InstanceId, ask: TokenAsk, asked_at: Duration) {
        let id = ask.id;
        let (answered, mut answer) = oneshot::channel();
        {
            let mut pending = self.pending_asks.borrow_mut();
            if pending.asks.len() >= MAX_ASKS {
                return;
            }
            pending.asks.insert(id, PendingAsk { asked_at, answered });
        }
        let _guard = AskGuard {
            asks: &self.pending_asks,
            id,
        };
        for wait in ASK_WAITS {
            self.send_limit_message(keeper, self.ask_message(ask.clone()));
            if timeout(wait, &mut answer).await.is_ok() {
                return;
            }
        }
        self.metrics.count_limit_message("unanswered");
        self.table.borrow_mut().keeper.note_miss(self.now());
    }

    fn note_reply(&self, id: AskId, outcome: &TokenOutcome) {
        let pending = self.pending_asks.borrow_mut().asks.remove(&id);
        let Some(PendingAsk { asked_at, answered }) = pending else {
            return;
        };
        let mut table = self.table.borrow_mut();
        table.note_tokens(self.now(), asked_at, outcome);
        // Sending fails if the call has stopped waiting; other calls use the tokens.
        let _ = answered.send(());
    }

    /// Answers a request for tokens, whose sender takes the endpoints `cold` for cold.
    fn keep_rates(&self, ask: &TokenAsk, cold: &[EndpointId]) -> TokenOutcome {
        let term = self
            .peers
            .get()
            .map_or(Some(0), |peers| peers.keeper_term());
        let mut keeper = self.rate_keeper.borrow_mut();
        keeper.set_term(term);
        if term.is_none() {
            return TokenOutcome::NotKeeper;
        }
        for wish in &ask.wishes {
            self.note_told(&wish.notice);
        }
        let table = self.table.borrow();
        let now = self.now();
        let requests = ask.wishes.iter();
        let requests = requests.map(|wish| token_request(now, &table, wish, cold));
        let requests: Vec<TokenRequest> = requests.collect();
        keeper.hand_out(now, &requests)
    }
}

/// The request of a wish. The limit is that of the table, or that of the wish if the endpoint is not
/// listed here. An endpoint that either side takes for cold has the rate of a cold one.
pub fn token_request(
    now: Duration,
    table: &EndpointTable,
    wish: &TokenWish,
    cold: &[EndpointId],
) -> TokenRequest {
    let notice = &wish.notice;
    let row = table.row(notice.endpoint);
    let row = row.filter(|row| row.address == notice.address);
    let share = row.and_then(|row| match cold.contains(&notice.endpoint) {
        true => row.rate_if(true),
        false => row.shared_rate(now, table.keeper),
    });
    TokenRequest {
        endpoint: notice.endpoint,
        limit: row.map_or(notice.limit, |_| share.map(|share| share.rate)),
        is_cold: share.is_some_and(|share| share.is_cold),
        count: wish.count,
    }
}

/// The other instances in the cyclic order of ids, from the one that follows `own`.
fn following(own: InstanceId, instances: &[InstanceId]) -> Vec<InstanceId> {
    let mut instances = instances.to_vec();
    instances.sort_unstable();
    let first = instances.partition_point(|instance| *instance < own);
    instances.rotate_left(first);
    instances
}

fn kind_of(message: &LimitMessage) -> &'static str {
    match message {
        LimitMessage::Notices { .. } => "notices",
        LimitMessage::Ask(_) => "ask",
        LimitMessage::Reply { .. } => "reply",
        LimitMessage::Cold { .. } => "cold",
        LimitMessage::ColdAsk { .. } => "ask",
    }
}
