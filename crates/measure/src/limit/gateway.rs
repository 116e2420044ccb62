//! A gateway with the decisions of crate `relay`, as its calls take them.

use std::collections::HashMap;
use std::time::Duration;

use pace::cold::{ColdRule, LIST_LAG};
use pace::statement::EndpointStatement;
use relay::health::CallOutcome;
use relay::limit_sharing::token_request;
use relay::placement::{PlacementQuery, PlacementSettings, choose, endpoints_to_ask, token_wishes};
use relay::rate_keeper::{KeeperTerm, RateKeeper, TokenRequest};
use relay::statement_change::StatementChange;
use relay::table::EndpointTable;
use wire::gateway::ListedEndpoint;
use wire::id::{EndpointId, name_id};
use wire::statement::{ColdNotice, LimitNotice, MAX_COLD_WISHES, TokenAsk, TokenOutcome};

use super::endpoint::SERVICE;

/// Time for which it is repeated that an endpoint names no limit any more.
const END_RETENTION: Duration = Duration::from_secs(10);

/// A gateway.
pub struct SimulatedGateway {
    number: u64,
    /// Its endpoints.
    pub table: EndpointTable,
    /// Hands out tokens while this gateway keeps the rates.
    pub keeper: RateKeeper,
    /// What is to be told to the other gateways.
    pub news: Vec<LimitNotice>,
    /// What is to be told of restarts of endpoints.
    pub cold_news: Vec<ColdNotice>,
}

impl SimulatedGateway {
    /// Creates a gateway of `instances` that has just started and has read the list.
    pub fn new(number: u64, instances: usize, listed: &[ListedEndpoint]) -> Self {
        let mut table = EndpointTable::default();
        table.replace(listed);
        table.keeper.instances = instances;
        Self {
            number,
            table,
            keeper: RateKeeper::default(),
            news: Vec::new(),
            cold_news: Vec::new(),
        }
    }

    /// Sets that endpoints are cold for `start` after a start, and whether this gateway started with
    /// the whole fleet, at `now`.
    pub fn set_cold_rule(&mut self, now: Duration, rule: ColdRule, is_first_start: bool) {
        let rules = HashMap::from([(name_id(SERVICE), rule)]);
        self.table.set_cold_rules(rules);
        self.table.keeper.uninformed_until = match is_first_start {
            true => Duration::ZERO,
            false => now + rule.start + LIST_LAG,
        };
    }

    /// Records that an endpoint could not be reached or broke a connection.
    pub fn note_break(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.note(now, endpoint, CallOutcome::Broken);
        if self.table.note_maybe_cold(now, endpoint) {
            self.cold_news.extend(self.table.cold_notice(now, endpoint));
        }
    }

    /// Records what another gateway knows of restarts. Returns what is new.
    pub fn note_told_cold(
        &mut self,
        now: Duration,
        notices: Vec<ColdNotice>,
        is_whole: bool,
    ) -> Vec<ColdNotice> {
        if is_whole && self.table.keeper.cut_since.is_none() {
            self.table.keeper.uninformed_until = Duration::ZERO;
        }
        let notices = notices.into_iter();
        let new = notices.filter(|notice| self.table.note_told_cold(now, notice));
        new.collect()
    }

    /// Records that this gateway notices that it hears none, or most, of the others.
    pub fn set_cut(&mut self, now: Duration, is_cut: bool, rule: ColdRule) {
        self.table.keeper.cut_since = is_cut.then_some(now);
        self.table.keeper.uninformed_until = now + rule.start + LIST_LAG;
    }

    /// What a request for tokens tells of cold endpoints.
    pub fn cold_notices_of(&self, now: Duration, ask: &TokenAsk) -> Vec<ColdNotice> {
        let wishes = ask.wishes.iter().take(MAX_COLD_WISHES);
        wishes
            .filter_map(|wish| self.table.cold_notice(now, wish.notice.endpoint))
            .collect()
    }

    fn query<'a>(
        &self,
        now: Duration,
        shared_part: u64,
        tried: &'a [EndpointId],
    ) -> PlacementQuery<'a> {
        PlacementQuery {
            service: name_id(SERVICE),
            version: None,
            endpoint: None,
            domains: None,
            shared_part: Some(shared_part),
            instance: self.number,
            domain: 0,
            tried,
            is_resumable: false,
            may_ask: false,
            now,
        }
    }

    /// Chooses an open endpoint for a call. Returns `None` if it is refused.
    pub fn choose(
        &self,
        now: Duration,
        shared_part: u64,
        tried: &[EndpointId],
    ) -> Option<EndpointId> {
        let query = self.query(now, shared_part, tried);
        choose(&PlacementSettings::default(), &self.table, &query)
    }

    /// The request for tokens before a call is placed; `None` if none is due.
    pub fn ask(
        &mut self,
        now: Duration,
        shared_part: u64,
        tried: &[EndpointId],
        id: u64,
    ) -> Option<TokenAsk> {
        if !self.table.has_limit(now, name_id(SERVICE)) {
            return None;
        }
        let query = self.query(now, shared_part, tried);
        let endpoints = endpoints_to_ask(&PlacementSettings::default(), &self.table, &query);
        let wishes = token_wishes(&mut self.table, now, &endpoints);
        (!wishes.is_empty()).then_some(TokenAsk { id, wishes })
    }

    /// Answers a request for tokens, whose sender takes the endpoints `cold` for cold, as the keeper in
    /// `term`.
    pub fn answer(
        &mut self,
        now: Duration,
        term: Option<KeeperTerm>,
        ask: &TokenAsk,
        cold: &[EndpointId],
    ) -> TokenOutcome {
        self.keeper.set_term(term);
        if term.is_none() {
            return TokenOutcome::NotKeeper;
        }
        for wish in &ask.wishes {
            self.table.note_told(now, &wish.notice);
        }
        let requests = ask
            .wishes
            .iter()
            .map(|wish| token_request(now, &self.table, wish, cold));
        let requests: Vec<TokenRequest> = requests.collect();
        self.keeper.hand_out(now, &requests)
    }

    /// Records that a call is sent to an endpoint.
    pub fn start(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.start(now, endpoint);
    }

    /// Records that the head of an answer arrived.
    pub fn note_head(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        sent_at: Duration,
        statement: EndpointStatement,
    ) {
        let outcome = CallOutcome::Served(now.saturating_sub(sent_at));
        self.table.note(now, endpoint, outcome);
        if self.table.note_answer(now, endpoint, sent_at, now) {
            self.cold_news.extend(self.table.cold_notice(now, endpoint));
        }
        self.table.note_activity(now, endpoint);
        let table = &mut self.table;
        let changes = table.note_statement(now, endpoint, sent_at, statement);
        let is_limit = |change: &StatementChange| matches!(change, StatementChange::Limit(_));
        if changes.iter().any(is_limit) {
            self.news.extend(self.table.announce_limit(now, endpoint));
        }
    }

    /// Records what another gateway was told. Returns whether it is new.
    pub fn note_told(&mut self, now: Duration, notice: &LimitNotice) -> bool {
        self.table.note_told(now, notice).is_some()
    }

    /// What is repeated to one other gateway after the other.
    pub fn repetition(&self, now: Duration) -> Vec<LimitNotice> {
        self.table.limit_notices(now, END_RETENTION)
    }

    /// Records that an answer is complete.
    pub fn finish(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.finish(now, endpoint);
    }
}
