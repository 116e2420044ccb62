//! Simulated endpoints.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use relay::statement::{EndpointStatement, StatedValue};
use wire::gateway::ListedEndpoint;
use wire::statement::CallRate;

use super::window::CallWindow;

/// Service of all endpoints.
pub const SERVICE: &str = "chat";
/// Slots of an endpoint, more than its calls ever take.
const SLOTS: u16 = 64;
/// Time after an instance passed on an answer with a limit, from which on its calls count.
const TOLD_TIME: Duration = Duration::from_millis(500);

/// An endpoint.
#[derive(Debug)]
pub struct SimulatedEndpoint {
    number: usize,
    /// Rate that it takes, in calls per second; `None` for no limit.
    pub limit: Option<f64>,
    /// When each instance was first told of the limit, since it started.
    told_at: HashMap<usize, Duration>,
    /// Calls that reached it.
    pub window: CallWindow,
    /// Calls that reached it while it named a limit.
    pub limited_calls: u32,
    /// Calls that its limits would have allowed.
    pub allowed_calls: f64,
}

impl SimulatedEndpoint {
    /// Creates an endpoint without a limit.
    pub fn new(number: usize) -> Self {
        Self {
            number,
            limit: None,
            told_at: HashMap::new(),
            window: CallWindow::default(),
            limited_calls: 0,
            allowed_calls: 0.0,
        }
    }

    /// Its entry of the endpoint list.
    pub fn listed(&self) -> ListedEndpoint {
        ListedEndpoint {
            name: format!("e{}", self.number),
            service: SERVICE.to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, self.number as u16 + 1),
            domain: 0,
            slots: SLOTS,
            is_draining: false,
            version: "v1".to_owned(),
        }
    }

    /// Sets the limit from `now` on.
    pub fn set_limit(&mut self, now: Duration, limit: Option<f64>) {
        self.limit = limit;
        self.window.set_limit(now, limit);
        if limit.is_none() {
            self.told_at.clear();
        }
    }

    /// Takes a call of an instance. Returns what the head of the answer states.
    pub fn take_call(&mut self, now: Duration, instance: usize) -> EndpointStatement {
        let told_at = self.told_at.get(&instance);
        if told_at.is_some_and(|at| now >= *at + TOLD_TIME) {
            self.window.note_arrival(now);
        }
        let Some(limit) = self.limit else {
            return EndpointStatement::default();
        };
        self.limited_calls += 1;
        self.told_at.entry(instance).or_insert(now);
        let rate = CallRate::from_per_second(limit);
        EndpointStatement {
            limit: rate.map_or(StatedValue::Unreadable, StatedValue::Stated),
            ..EndpointStatement::default()
        }
    }

    /// Records that an instance has restarted, which has forgotten what it was told.
    pub fn forget(&mut self, instance: usize) {
        self.told_at.remove(&instance);
    }
}
