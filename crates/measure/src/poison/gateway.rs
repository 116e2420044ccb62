//! A gateway with the decisions of crate `relay`, as its calls take them.

use std::time::Duration;

use relay::crash::CrashTracker;
use relay::health::CallOutcome;
use relay::placement::{PlacementQuery, PlacementSettings, choose};
use relay::table::EndpointTable;
use wire::gateway::{CrashReport, ListedEndpoint};
use wire::id::{EndpointId, FingerprintHash, name_id};

use super::endpoint::SERVICE;

/// Interval of the messages to all other gateways.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A run of a call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct CallRun {
    /// What the call is.
    pub fingerprint: FingerprintHash,
    /// The endpoint, by the name under which it was called.
    pub endpoint: EndpointId,
    /// When the call was sent.
    pub sent_at: Duration,
}

/// What one gateway tells the others of crashes.
pub type CrashMessage = Vec<CrashReport>;

/// A gateway.
pub struct SimulatedGateway {
    number: u64,
    table: EndpointTable,
    crashes: CrashTracker,
}

impl SimulatedGateway {
    /// Creates a gateway that has just started and has read the list.
    pub fn new(number: u64, listed: &[ListedEndpoint]) -> Self {
        let mut gateway = Self {
            number,
            table: EndpointTable::default(),
            crashes: CrashTracker::default(),
        };
        gateway.set_list(listed);
        gateway
    }

    /// Applies a new list.
    pub fn set_list(&mut self, listed: &[ListedEndpoint]) {
        self.table.replace(listed);
    }

    /// Whether a call is refused as suspected.
    pub fn is_blocked(&self, now: Duration, fingerprint: FingerprintHash) -> bool {
        self.crashes.is_blocked(now, fingerprint)
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
            shared_part: Some(shared_part),
            instance: self.number,
            domain: 0,
            tried,
            now,
        };
        choose(&PlacementSettings::default(), &self.table, &query)
    }

    /// Records that a call is sent to an endpoint.
    pub fn start(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.start(now, endpoint);
    }

    /// Records that an endpoint could not be reached.
    pub fn note_unreachable(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.note(now, endpoint, CallOutcome::Broken);
        self.crashes.confirm(now, endpoint);
    }

    /// Records that another endpoint answered a call at the address of `endpoint`.
    pub fn note_misdirected(&mut self, now: Duration, endpoint: EndpointId) {
        self.crashes.clear(endpoint, now);
        self.table.note_misplaced(endpoint);
    }

    /// Records that the head of an answer arrived.
    pub fn note_head(&mut self, now: Duration, run: CallRun) {
        self.crashes.clear(run.endpoint, run.sent_at);
        let outcome = CallOutcome::Served(now.saturating_sub(run.sent_at));
        self.table.note(now, run.endpoint, outcome);
    }

    /// Records that an answer is complete.
    pub fn note_served(&mut self, now: Duration, run: CallRun) {
        self.table.finish(now, run.endpoint);
    }

    /// Records that the connection broke during a run.
    pub fn note_broken(&mut self, now: Duration, run: CallRun) {
        self.table.finish(now, run.endpoint);
        self.table.note(now, run.endpoint, CallOutcome::Broken);
        let report = CrashReport {
            fingerprint: run.fingerprint,
            endpoint: run.endpoint,
        };
        self.crashes.note_break(now, report);
    }

    /// Records that the caller disconnected during a run.
    pub fn note_abandoned(&mut self, now: Duration, run: CallRun) {
        self.table.finish(now, run.endpoint);
    }

    /// The next message to all other gateways.
    pub fn next_message(&mut self, now: Duration) -> CrashMessage {
        self.crashes.reports_to_announce(now)
    }

    /// Handles a message of another gateway.
    pub fn receive(&mut self, now: Duration, message: &CrashMessage) {
        for report in message {
            self.crashes.note(now, *report);
        }
    }
}
