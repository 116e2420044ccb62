//! A gateway with the decisions of crate `relay`, as its calls take them.

use std::rc::Rc;
use std::time::Duration;

use relay::crash::{CrashTracker, LostRun, SuspectKind};
use relay::health::CallOutcome;
use relay::placement::{PlacementQuery, PlacementSettings, choose};
use relay::table::EndpointTable;
use wire::gateway::{CrashNotice, ListedEndpoint};
use wire::id::{EndpointId, name_id};

use super::call::SimulatedCall;
use super::endpoint::SERVICE;

/// A run of a call at an endpoint.
#[derive(Clone, Debug)]
pub struct CallRun {
    /// The call.
    pub call: SimulatedCall,
    /// The endpoint, by the name under which it was called.
    pub endpoint: EndpointId,
    /// When the call was sent.
    pub sent_at: Duration,
    /// When the endpoint last sent bytes for it, or else when the call was sent.
    pub alive_at: Duration,
}

/// A gateway.
pub struct SimulatedGateway {
    number: u64,
    table: EndpointTable,
    crashes: CrashTracker,
}

impl SimulatedGateway {
    /// Creates a gateway that has just started and has read the list. `seed` must differ between
    /// starts.
    pub fn new(number: u64, seed: u64, listed: &[ListedEndpoint]) -> Self {
        let mut gateway = Self {
            number,
            table: EndpointTable::default(),
            crashes: CrashTracker::new(seed),
        };
        gateway.set_list(listed);
        gateway
    }

    /// Applies a new list.
    pub fn set_list(&mut self, listed: &[ListedEndpoint]) {
        self.table.replace(listed);
    }

    /// Records that a call arrived. Returns whether it is refused as suspected.
    pub fn is_refused(&mut self, now: Duration, call: &SimulatedCall) -> bool {
        let crashes = &mut self.crashes;
        crashes.note_call(name_id(SERVICE), &call.parts);
        let refused_for = crashes.refused_for(now, call.fingerprint, &call.parts);
        refused_for.is_some()
    }

    /// Chooses an endpoint that the call has not tried.
    pub fn choose(
        &self,
        now: Duration,
        shared_part: u64,
        tried: &[EndpointId],
    ) -> Option<EndpointId> {
        let query = PlacementQuery {
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
        };
        choose(&PlacementSettings::default(), &self.table, &query)
    }

    /// Records that a call is sent to an endpoint.
    pub fn start(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.start(now, endpoint);
    }

    /// Records that a call could not connect to an endpoint.
    pub fn note_unreachable(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.note(now, endpoint, CallOutcome::Broken);
        self.crashes.note_down(now, endpoint);
    }

    /// Records that another endpoint answered a call at the address of `endpoint`.
    pub fn note_misdirected(&mut self, now: Duration, endpoint: EndpointId) {
        self.crashes.note_down(now, endpoint);
        self.table.note_misplaced(endpoint);
    }

    /// Records that the head of an answer arrived.
    pub fn note_head(&mut self, now: Duration, run: &CallRun) {
        self.crashes.note_alive(run.endpoint, run.sent_at);
        let outcome = CallOutcome::Served(now.saturating_sub(run.sent_at));
        self.table.note(now, run.endpoint, outcome);
    }

    /// Records that an answer is complete.
    pub fn note_served(&mut self, now: Duration, run: &CallRun) {
        self.table.finish(now, run.endpoint);
        self.crashes.note_served(now, run.call.fingerprint);
        self.crashes.note_parts_served(now, &run.call.parts);
    }

    /// Records that the connection broke during a run. Returns whether the endpoint is to be
    /// checked.
    pub fn note_broken(&mut self, now: Duration, run: &CallRun) -> bool {
        self.table.finish(now, run.endpoint);
        self.table.note(now, run.endpoint, CallOutcome::Broken);
        self.note_lost(now, run);
        self.crashes.start_check(run.endpoint)
    }

    /// Records that the caller disconnected during a run.
    pub fn note_abandoned(&mut self, now: Duration, run: &CallRun) {
        self.table.finish(now, run.endpoint);
        self.note_lost(now, run);
    }

    fn note_lost(&mut self, now: Duration, run: &CallRun) {
        let lost = LostRun {
            fingerprint: run.call.fingerprint,
            parts: Rc::clone(&run.call.parts),
            endpoint: run.endpoint,
            alive_at: run.alive_at,
        };
        self.crashes.note_lost(now, lost);
    }

    /// Records the result of a check.
    pub fn end_check(&mut self, now: Duration, endpoint: EndpointId, is_up: bool) {
        if !is_up {
            self.crashes.note_down(now, endpoint);
        }
        self.crashes.end_check(endpoint);
    }

    /// Drops what is too old to matter.
    pub fn expire(&mut self, now: Duration) {
        self.crashes.expire(now);
    }

    /// The next notice to all other gateways.
    pub fn next_notice(&mut self, now: Duration, kind: SuspectKind) -> Option<CrashNotice> {
        self.crashes.take_notice(now, kind)
    }

    /// What is repeated to one other gateway after the other.
    pub fn next_repetition(&mut self, now: Duration, kind: SuspectKind) -> Option<CrashNotice> {
        self.crashes.next_repetition(now, kind)
    }

    /// Handles a notice of another gateway. Returns the reply.
    pub fn receive(
        &mut self,
        now: Duration,
        kind: SuspectKind,
        notice: &CrashNotice,
    ) -> Option<CrashNotice> {
        self.crashes.note_notice(now, kind, notice)
    }
}
