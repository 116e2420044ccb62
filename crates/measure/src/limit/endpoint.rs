//! Simulated endpoints, which name limits, ask for rest, or leave.

use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use pace::statement::{EndpointStatement, StatedValue};
use wire::gateway::ListedEndpoint;
use wire::statement::CallRate;

use super::window::CallWindow;

/// Service of all endpoints.
pub const SERVICE: &str = "chat";
/// Slots of an endpoint, more than its calls ever take.
const SLOTS: u16 = 64;
/// Time after an instance passed on an answer with a limit, from which on its calls count.
const TOLD_TIME: Duration = Duration::from_millis(500);

/// Time that an overloaded endpoint asks for.
const REST_TIME: Duration = Duration::from_secs(3);
/// Time after such an answer from which on calls count.
const REST_SLACK: Duration = Duration::from_millis(500);
/// Calls that may count in a time of rest.
const REST_CALLS: u32 = 2;
/// Time after an instance was told that an endpoint leaves, from which on no call that arrives at
/// the instance may be sent there.
const LEAVE_SLACK: Duration = Duration::from_secs(3);

/// A time of rest that was asked of an instance.
#[derive(Clone, Copy, Debug)]
struct AskedRest {
    asked_at: Duration,
    /// Number of calls that counted.
    calls: u32,
}

/// A crash of an endpoint's process and the start that follows it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRestart {
    /// When it crashed.
    pub crashed_at: Duration,
    /// When it started again, cold.
    pub started_at: Duration,
}

/// An endpoint.
#[derive(Debug)]
pub struct SimulatedEndpoint {
    number: usize,
    /// Rate that it takes, in calls per second; `None` for no limit.
    pub limit: Option<f64>,
    /// Since when it turns calls away and asks for rest; `None` while it does not.
    pub overloaded_since: Option<Duration>,
    /// Whether it says that it leaves.
    pub is_leaving: bool,
    /// When each instance was first told of the limit, since it started.
    told_at: HashMap<usize, Duration>,
    /// Rests that were asked of each instance, since it started.
    rests: HashMap<usize, Vec<AskedRest>>,
    /// When each instance was first told that the endpoint leaves, since it started.
    left_at: HashMap<usize, Duration>,
    /// Calls beyond the allowed ones of an instance in a time of rest.
    pub rest_breaches: u32,
    /// Calls of an instance that arrived at it long after it was told that the endpoint leaves.
    pub leave_breaches: u32,
    /// Starts of its process, and the crashes before them.
    pub restarts: Vec<EndpointRestart>,
    /// Calls of the last second that reached it while it was cold.
    pub cold_calls: VecDeque<Duration>,
    /// Number of all calls that reached it while it was cold.
    pub cold_calls_total: u32,
    /// Windows of a second with more calls than a cold endpoint bears.
    pub cold_breaches: u32,
    /// Largest number of calls in a second while it was cold.
    pub most_cold_calls: u32,
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
            overloaded_since: None,
            is_leaving: false,
            told_at: HashMap::new(),
            rests: HashMap::new(),
            left_at: HashMap::new(),
            rest_breaches: 0,
            leave_breaches: 0,
            restarts: Vec::new(),
            cold_calls: VecDeque::new(),
            cold_calls_total: 0,
            cold_breaches: 0,
            most_cold_calls: 0,
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

    /// Takes a call that arrived at an instance at `arrived_at`. Returns what the head of the answer
    /// states. A call is turned away if that is a rest.
    pub fn take_call(
        &mut self,
        now: Duration,
        instance: usize,
        arrived_at: Duration,
    ) -> EndpointStatement {
        self.check_limit(now, instance);
        self.check_rests(now, instance);
        self.check_leaving(now, instance, arrived_at);
        let mut statement = EndpointStatement::default();
        if let Some(limit) = self.limit {
            self.limited_calls += 1;
            let rate = CallRate::from_per_second(limit);
            statement.limit = rate.map_or(StatedValue::Unreadable, StatedValue::Stated);
        }
        if self.overloaded_since.is_some() {
            let rests = self.rests.entry(instance).or_default();
            rests.push(AskedRest {
                asked_at: now,
                calls: 0,
            });
            statement.rest = StatedValue::Stated(REST_TIME);
        }
        if self.is_leaving {
            statement.is_leaving = StatedValue::Stated(true);
        }
        statement
    }

    fn check_limit(&mut self, now: Duration, instance: usize) {
        if self.limit.is_some() {
            let told_at = *self.told_at.entry(instance).or_insert(now);
            if now >= told_at + TOLD_TIME {
                self.window.note_arrival(now);
            }
        }
    }

    fn check_rests(&mut self, now: Duration, instance: usize) {
        let rests = self.rests.entry(instance).or_default();
        rests.retain(|rest| now < rest.asked_at + REST_TIME);
        for rest in rests
            .iter_mut()
            .filter(|rest| now >= rest.asked_at + REST_SLACK)
        {
            rest.calls += 1;
            self.rest_breaches += u32::from(rest.calls > REST_CALLS);
        }
    }

    fn check_leaving(&mut self, now: Duration, instance: usize, arrived_at: Duration) {
        if self.is_leaving {
            let left_at = *self.left_at.entry(instance).or_insert(now);
            self.leave_breaches += u32::from(arrived_at > left_at + LEAVE_SLACK);
        }
    }

    /// Records that an instance has restarted, which has forgotten what it was told.
    pub fn forget(&mut self, instance: usize) {
        self.told_at.remove(&instance);
        self.rests.remove(&instance);
        self.left_at.remove(&instance);
    }
}
