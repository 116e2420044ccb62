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
const MIN_DELAY: Duration = Duration::from_millis(20);
/// Upper bound of the delay of a digest; the receivers' delays are evenly spread below it.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// Failure domains, to which the entries are assigned in turn.
const DOMAINS: u64 = 4;

/// A digest in flight.
struct DigestFlight {
    sent: StepNumber,
    digest: Rc<MemberDigest>,
}

/// The member table of control and the views of entries.
pub(crate) struct ControlPlane {
    control: MemberTable,
    /// Each entry's view of the endpoints.
    pub(crate) entries: Vec<RouteTable>,
    /// Digests that have not reached all receivers yet, oldest first.
    in_flight: VecDeque<DigestFlight>,
    /// Sequence number of each agent's last heartbeat.
    sequences: Vec<u64>,
    pacers: Vec<HeartbeatPacer>,
    min_delay: StepNumber,
    max_delay: StepNumber,
}

impl ControlPlane {
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
        let mut control_plane = Self {
            control: MemberTable::new(MemberSettings::default()),
            entries,
            in_flight: VecDeque::new(),
            sequences: vec![0; fleet.endpoints.len()],
            pacers: vec![HeartbeatPacer::new(PacerSettings::default()); fleet.endpoints.len()],
            min_delay: sequence.steps(MIN_DELAY),
            max_delay: sequence.steps(MAX_DELAY),
        };
        for endpoint in 0..fleet.endpoints.len() {
            control_plane.send_heartbeat(fleet, endpoint, now);
        }
        let digest = control_plane.control.next_digest(now);
        for table in &mut control_plane.entries {
            table.observe_digest(&digest, now);
        }
        control_plane
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
            self.in_flight.push_back(DigestFlight { sent, digest });
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
        for flight in &self.in_flight {
            let age = step - flight.sent;
            let entries = self.entries.len();
            for (number, table) in self.entries.iter_mut().enumerate() {
                if age == delay_steps(number, entries, self.min_delay, self.max_delay) {
                    table.observe_digest(&flight.digest, now);
                }
            }
            let Some(mean) = service_mean(&flight.digest) else {
                continue;
            };
            let agents = fleet.endpoints.len();
            for (number, endpoint) in fleet.endpoints.iter_mut().enumerate() {
                if age == delay_steps(number, agents, self.min_delay, self.max_delay) {
                    endpoint.queue.observe_mean(mean, now);
                }
            }
        }
        while self
            .in_flight
            .front()
            .is_some_and(|flight| step - flight.sent >= self.max_delay)
        {
            self.in_flight.pop_front();
        }
    }
}

fn service_mean(digest: &MemberDigest) -> Option<&ServiceMean> {
    digest.means.iter().find(|mean| mean.service == SERVICE)
}

/// Returns the steps from sending a digest until it reaches receiver `number` of `count`.
fn delay_steps(number: usize, count: usize, min: StepNumber, max: StepNumber) -> StepNumber {
    min + (max - min) * number as StepNumber / count as StepNumber
}
