//! A gateway with the decisions of crate `relay`, as its calls take them.

use std::time::Duration;

use relay::health::CallOutcome;
use relay::placement::{PlacementQuery, PlacementSettings, choose};
use relay::statement::EndpointStatement;
use relay::table::EndpointTable;
use wire::gateway::ListedEndpoint;
use wire::id::{EndpointId, name_id};

use super::endpoint::SERVICE;

/// A gateway.
pub struct SimulatedGateway {
    number: u64,
    table: EndpointTable,
}

impl SimulatedGateway {
    /// Creates a gateway that has just started and has read the list.
    pub fn new(number: u64, listed: &[ListedEndpoint]) -> Self {
        let mut table = EndpointTable::default();
        table.replace(listed);
        Self { number, table }
    }

    /// Chooses an endpoint for a call. Returns `None` if it is refused.
    pub fn choose(&self, now: Duration, shared_part: u64) -> Option<EndpointId> {
        let query = PlacementQuery {
            service: name_id(SERVICE),
            version: None,
            shared_part: Some(shared_part),
            instance: self.number,
            domain: 0,
            tried: &[],
            now,
        };
        choose(&PlacementSettings::default(), &self.table, &query)
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
        _statement: EndpointStatement,
    ) {
        let outcome = CallOutcome::Served(now.saturating_sub(sent_at));
        self.table.note(now, endpoint, outcome);
        self.table.note_activity(now, endpoint);
    }

    /// Records that an answer is complete.
    pub fn finish(&mut self, now: Duration, endpoint: EndpointId) {
        self.table.finish(now, endpoint);
    }
}
