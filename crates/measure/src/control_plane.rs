//! The control plane of a simulated fleet: agents' heartbeats, and member digests that reach
//! entries and agents with a delay.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use member::{HeartbeatPacer, MemberSettings, MemberTable, PacerSettings};
use route::{RouteSettings, RouteTable};
use wire::member::{AgentHeartbeat, MemberDigest, ServiceMean};

use crate::fleet::{Fleet, SERVICE};
use crate::workload::{RequestSequence, StepNumber};

/// Delay of a digest to the first receiver.
const MIN_LAG: Duration = Duration::from_millis(20);
/// Delay of a digest to the last receiver.
const MAX_LAG: Duration = Duration::from_millis(250);
/// Failure domains, to which the entries are assigned in turn.
const DOMAINS: u64 = 4;

/// A digest in flight.
struct DigestPost {
    sent: StepNumber,
    digest: Rc<MemberDigest>,
}

/// The member table of control and the views of entries.
pub(crate) struct ViewPlane {
    control: MemberTable,
    /// Each entry's view of the endpoints.
    pub(crate) entries: Vec<RouteTable>,
    /// Digests that have not reached all receivers yet, oldest first.
    posts: VecDeque<DigestPost>,
    /// Sequence number of each agent's last heartbeat.
    sequences: Vec<u64>,
    pacers: Vec<HeartbeatPacer>,
    min_lag: StepNumber,
    max_lag: StepNumber,
}

impl ViewPlane {
    /// Creates views in which all endpoints are known and idle.
    pub(crate) fn new(fleet: &Fleet, sequence: &RequestSequence, now: Instant) -> Self {
        let entries = (0..sequence.settings.entries as u64)
            .map(|number| {
                RouteTable::new(RouteSettings {
                    domain: number % DOMAINS,
                    ..RouteSettings::default()
                })
            })
            .collect();
        let mut plane = Self {
            control: MemberTable::new(MemberSettings::default()),
            entries,
            posts: VecDeque::new(),
            sequences: vec![0; fleet.endpoints.len()],
            pacers: vec![HeartbeatPacer::new(PacerSettings::default()); fleet.endpoints.len()],
            min_lag: sequence.steps(MIN_LAG),
            max_lag: sequence.steps(MAX_LAG),
        };
        for endpoint in 0..fleet.endpoints.len() {
            plane.send_heartbeat(fleet, endpoint, now);
        }
        let digest = plane.control.next_digest(now);
        for table in &mut plane.entries {
            table.observe_digest(&digest, now);
        }
        plane
    }

    /// Sends the heartbeats and digests that are due at `step`, and delivers digests.
    pub(crate) fn advance(&mut self, fleet: &mut Fleet, step: StepNumber) {
        let now = fleet.time(step);
        for endpoint in 0..fleet.endpoints.len() {
            let queue = &fleet.endpoints[endpoint].queue;
            if self.pacers[endpoint].is_due(queue.load(), queue.state(), now) {
                self.send_heartbeat(fleet, endpoint, now);
            }
        }
        if self.control.is_digest_due(now) {
            self.control.tick(now);
            let digest = Rc::new(self.control.next_digest(now));
            let sent = step;
            self.posts.push_back(DigestPost { sent, digest });
        }
        self.deliver(fleet, step);
    }

    fn send_heartbeat(&mut self, fleet: &Fleet, endpoint: usize, now: Instant) {
        let found = &fleet.endpoints[endpoint];
        self.sequences[endpoint] += 1;
        let heartbeat = AgentHeartbeat {
            record: Some(found.record.clone()),
            endpoint: found.record.endpoint,
            incarnation: found.record.incarnation,
            sequence: self.sequences[endpoint],
            state: found.queue.state(),
            load: found.load(),
            settings: 1,
        };
        self.control.observe_heartbeat(&heartbeat, now);
        self.pacers[endpoint].record_sent(found.load(), found.queue.state(), now);
    }

    fn deliver(&mut self, fleet: &mut Fleet, step: StepNumber) {
        let now = fleet.time(step);
        for post in &self.posts {
            let age = step - post.sent;
            let entries = self.entries.len();
            for (number, table) in self.entries.iter_mut().enumerate() {
                if age == lag(number, entries, self.min_lag, self.max_lag) {
                    table.observe_digest(&post.digest, now);
                }
            }
            let Some(mean) = service_mean(&post.digest) else {
                continue;
            };
            let agents = fleet.endpoints.len();
            for (number, endpoint) in fleet.endpoints.iter_mut().enumerate() {
                if age == lag(number, agents, self.min_lag, self.max_lag) {
                    endpoint.queue.observe_mean(mean, now);
                }
            }
        }
        while self
            .posts
            .front()
            .is_some_and(|post| step - post.sent >= self.max_lag)
        {
            self.posts.pop_front();
        }
    }
}

fn service_mean(digest: &MemberDigest) -> Option<&ServiceMean> {
    digest.means.iter().find(|mean| mean.service == SERVICE)
}

/// Returns the steps from sending a digest until it reaches receiver `number` of `count`.
fn lag(number: usize, count: usize, min: StepNumber, max: StepNumber) -> StepNumber {
    min + (max - min) * number as StepNumber / count as StepNumber
}
