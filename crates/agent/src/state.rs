//! What the parts of the agent share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use link::control_client::ControlClient;
use settings::FleetSettings;
use settings::process::AgentSettings;
use tokio::sync::Notify;
use wire::answer::{AttemptKey, EndpointLoad};
use wire::id::{IncarnationNumber, name_id};
use wire::member::{AgentHeartbeat, EndpointRecord, EndpointState};

/// State of one agent, on one thread.
pub struct AgentState {
    /// The agent's file.
    pub settings: AgentSettings,
    /// This life of the agent.
    pub incarnation: IncarnationNumber,
    /// Settings in force.
    pub fleet: RefCell<Arc<FleetSettings>>,
    /// Connection to the control quorum.
    pub control: Rc<ControlClient>,
    /// Attempts under way, with the handle that cancels each.
    pub attempts: RefCell<HashMap<AttemptKey, Rc<Notify>>>,
    /// Whether the process is stopping.
    pub is_stopping: Cell<bool>,
    /// Heartbeats sent in this life.
    pub sequence: Cell<u64>,
}

impl AgentState {
    /// Load of the endpoint now.
    pub fn load(&self) -> EndpointLoad {
        let running = u32::try_from(self.attempts.borrow().len()).unwrap_or(u32::MAX);
        EndpointLoad { running, queued: 0 }
    }

    /// What the endpoint does with new work.
    pub fn endpoint_state(&self) -> EndpointState {
        let fleet = self.fleet.borrow();
        let endpoint = fleet.endpoints.get(&self.settings.endpoint);
        if self.is_stopping.get() || endpoint.is_none_or(|found| found.draining) {
            EndpointState::Draining
        } else {
            EndpointState::Serving
        }
    }

    /// The next heartbeat.
    pub fn heartbeat(&self) -> AgentHeartbeat {
        self.sequence.set(self.sequence.get() + 1);
        AgentHeartbeat {
            record: Some(self.record()),
            endpoint: name_id(&self.settings.endpoint),
            incarnation: self.incarnation,
            sequence: self.sequence.get(),
            state: self.endpoint_state(),
            load: self.load(),
            settings: self.fleet.borrow().version,
        }
    }

    fn record(&self) -> EndpointRecord {
        let fleet = self.fleet.borrow();
        let endpoint = fleet
            .endpoints
            .get(&self.settings.endpoint)
            .cloned()
            .unwrap_or_default();
        EndpointRecord {
            endpoint: name_id(&self.settings.endpoint),
            name: self.settings.endpoint.clone(),
            incarnation: self.incarnation,
            cache_epoch: self.incarnation,
            service: name_id(&endpoint.service),
            domain: name_id(&self.settings.instance.failure_domain),
            address: self.settings.link,
            weight: endpoint.weight,
        }
    }
}
