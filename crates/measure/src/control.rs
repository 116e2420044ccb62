//! Control traffic of entries, agents and control instances, computed from encoded messages.
//!
//! Simulates the messages of a fleet of the given size: agent heartbeats paced by load, a member
//! digest for each entry, the service's mean load for each agent, entry heartbeats and settings
//! confirmations. Each message counts with its frame overhead at its sender and at its receiver.

use std::time::{Duration, Instant};

use argh::FromArgs;
use link::frame::FRAME_OVERHEAD_BYTES;
use member::{HeartbeatPacer, MemberSettings, MemberTable, PacerSettings};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::answer::EndpointLoad;
use wire::codec::encode;
use wire::id::{EndpointId, name_id};
use wire::member::{AgentHeartbeat, EndpointRecord, EndpointState, EntryHeartbeat, MemberDigest};
use wire::message::{LinkMessage, SettingsUpdate};

use crate::BoundVerdict;
use crate::policy::PolicyKind;

/// Largest accepted control traffic of an entry or an agent in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 1024.0;
/// Entries of a deployment of the target size.
const TARGET_ENTRIES: usize = 320;
/// Endpoints of a deployment of the target size.
const TARGET_ENDPOINTS: usize = 720;
/// Endpoints of each service.
const SERVICE_ENDPOINTS: usize = 80;
/// Control instances, over which the connections are spread evenly.
const CONTROL_INSTANCES: usize = 7;
/// Simulated time of the measurement, which follows a warm-up of the same length.
const MEASURED_TIME: Duration = Duration::from_secs(120);
/// Simulated time of one step.
const STEP_TIME: Duration = Duration::from_millis(100);
/// Steps between two heartbeats of an entry and between two settings confirmations.
const CONFIRM_STEPS: u64 = 10;
/// Mean load of an endpoint in requests, before the surge.
const MEAN_LOAD: f64 = 25.6;
/// Mean duration of a request.
const MEAN_DURATION: Duration = Duration::from_secs(8);
/// Requests that each endpoint serves per second; `--churn` counts restarts per 1,000 requests.
const REQUESTS_PER_ENDPOINT: f64 = 14_000.0 / 720.0;
/// Time from the restart of an endpoint until it serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// First incarnation, a Unix time in milliseconds.
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// measure the control traffic of entries, agents and control instances
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub(crate) struct ControlArgs {
    /// seed of the simulated load changes
    #[argh(option, default = "7")]
    pub(crate) seed: u64,
    /// random, least, rendezvous, warm or ideal: policy whose load information is sent
    #[argh(option, default = "PolicyKind::default()")]
    pub(crate) policy: PolicyKind,
    /// number of entries
    #[argh(option, default = "TARGET_ENTRIES")]
    pub(crate) entries: usize,
    /// number of endpoints, each with its agent
    #[argh(option, default = "TARGET_ENDPOINTS")]
    pub(crate) endpoints: usize,
    /// percent of the traffic that comes from one account; its surge begins after the warm-up
    #[argh(option, default = "0")]
    pub(crate) surge: u32,
    /// endpoint restarts with an empty cache per 1,000 requests
    #[argh(option, default = "0")]
    pub(crate) churn: u32,
}

/// Runs the measurement and prints its result.
pub(crate) fn run(args: &ControlArgs) -> BoundVerdict {
    let bytes = ControlRun::new(args, args.policy).measure();
    println!(
        "trial policy={} entry={:.0} agent_max={:.0} agent_mean={:.0} control={:.0}",
        args.policy, bytes.entry, bytes.agent_max, bytes.agent_mean, bytes.control
    );
    let (entries, endpoints) = (args.entries as f64, args.endpoints as f64);
    let total = bytes.entry * entries + bytes.agent_mean * endpoints;
    let worst = bytes.entry.max(bytes.agent_max);
    println!(
        "RESULT control policy={} seed={} entries={} endpoints={} surge={} churn={} \
         bytes_per_second_per_node_max={worst:.0} bytes_per_second_per_node_mean={:.0} \
         bytes_per_second_per_control={:.0}",
        args.policy,
        args.seed,
        args.entries,
        args.endpoints,
        args.surge,
        args.churn,
        total / (entries + endpoints),
        bytes.control,
    );
    BoundVerdict::of(worst <= MAX_BYTES_PER_SECOND)
}

/// Control traffic in bytes per second, sent and received.
#[derive(Clone, Copy, Debug)]
struct ControlBytes {
    /// Traffic of each entry.
    entry: f64,
    /// Traffic of the agent with the most traffic.
    agent_max: f64,
    /// Mean traffic of an agent.
    agent_mean: f64,
    /// Traffic of each control instance.
    control: f64,
}

/// A simulated agent and the load of its endpoint.
struct AgentRun {
    record: EndpointRecord,
    load: u32,
    state: EndpointState,
    serves_at: Option<Instant>,
    sequence: u64,
    pacer: HeartbeatPacer,
    /// Bytes sent and received.
    bytes: u64,
}

struct ControlRun<'a> {
    args: &'a ControlArgs,
    policy: PolicyKind,
    agents: Vec<AgentRun>,
    table: MemberTable,
    rng: Pcg64Mcg,
    start: Instant,
    /// Bytes sent and received by each entry.
    entry_bytes: u64,
    /// Size of a settings confirmation with its frame overhead.
    confirmation_bytes: u64,
    /// Size of an entry heartbeat with its frame overhead.
    entry_heartbeat_bytes: u64,
}

impl<'a> ControlRun<'a> {
    fn new(args: &'a ControlArgs, policy: PolicyKind) -> Self {
        let load_bytes_per_second = match policy {
            PolicyKind::Random | PolicyKind::Rendezvous => 0,
            PolicyKind::Least | PolicyKind::Ideal => u32::MAX,
            PolicyKind::Warm => MemberSettings::default().load_bytes_per_second,
        };
        let settings = MemberSettings {
            load_bytes_per_second,
            ..MemberSettings::default()
        };
        let confirmation = SettingsUpdate::Confirmed { version: 100_000 };
        Self {
            args,
            policy,
            agents: (0..args.endpoints).map(new_agent).collect(),
            table: MemberTable::new(settings),
            rng: Pcg64Mcg::new(u128::from(args.seed)),
            start: Instant::now(),
            entry_bytes: 0,
            confirmation_bytes: frame_bytes(&LinkMessage::Settings(confirmation)),
            entry_heartbeat_bytes: frame_bytes(&entry_heartbeat()),
        }
    }

    fn measure(mut self) -> ControlBytes {
        let steps = (MEASURED_TIME.as_secs_f64() / STEP_TIME.as_secs_f64()) as u64;
        for step in 0..steps {
            self.step(step, 1.0);
        }
        self.entry_bytes = 0;
        for agent in &mut self.agents {
            agent.bytes = 0;
        }
        // The surging account's traffic is added to that of the other accounts.
        let load_factor = 100.0 / (100.0 - f64::from(self.args.surge.min(99)));
        for step in steps..2 * steps {
            self.step(step, load_factor);
        }
        self.result()
    }

    fn result(&self) -> ControlBytes {
        let seconds = MEASURED_TIME.as_secs_f64();
        let agents = self.agents.iter().map(|agent| agent.bytes);
        let agent_sum: u64 = agents.clone().sum();
        let all = agent_sum + self.entry_bytes * self.args.entries as u64;
        ControlBytes {
            entry: self.entry_bytes as f64 / seconds,
            agent_max: agents.max().unwrap_or(0) as f64 / seconds,
            agent_mean: agent_sum as f64 / seconds / self.args.endpoints.max(1) as f64,
            control: all as f64 / seconds / CONTROL_INSTANCES as f64,
        }
    }

    fn step(&mut self, step: u64, load_factor: f64) {
        let now = self.start + STEP_TIME * step as u32;
        for index in 0..self.agents.len() {
            self.change_load(index, load_factor, now);
            self.send_heartbeat(index, now);
        }
        if self.table.is_digest_due(now) {
            self.table.tick(now);
            let digest = self.table.next_digest(now);
            self.send_digest(&digest);
        }
        if step.is_multiple_of(CONFIRM_STEPS) {
            self.entry_bytes += self.confirmation_bytes + self.entry_heartbeat_bytes;
            for agent in &mut self.agents {
                agent.bytes += self.confirmation_bytes;
            }
        }
    }

    /// Simulates arrivals, ends of requests and restarts at one endpoint.
    fn change_load(&mut self, index: usize, load_factor: f64, now: Instant) {
        let step = STEP_TIME.as_secs_f64();
        let end_probability = step / MEAN_DURATION.as_secs_f64();
        let restart_rate = f64::from(self.args.churn) / 1000.0 * REQUESTS_PER_ENDPOINT;
        let is_restarting = self.rng.random_bool((restart_rate * step).min(1.0));
        let agent = &mut self.agents[index];
        if agent.serves_at.is_some_and(|at| now >= at) {
            agent.serves_at = None;
            agent.state = EndpointState::Serving;
        }
        if is_restarting && agent.state == EndpointState::Serving {
            agent.state = EndpointState::Down;
            agent.load = 0;
            agent.record.cache_epoch += 1;
            agent.serves_at = Some(now + RESTART_TIME);
        }
        if agent.state != EndpointState::Serving {
            return;
        }
        let ended = (0..agent.load).filter(|_| self.rng.random_bool(end_probability));
        agent.load -= ended.count() as u32;
        let arrivals = MEAN_LOAD * load_factor * end_probability;
        let whole = arrivals.floor();
        agent.load += whole as u32 + u32::from(self.rng.random_bool(arrivals - whole));
    }

    fn send_heartbeat(&mut self, index: usize, now: Instant) {
        let agent = &mut self.agents[index];
        let load = EndpointLoad {
            running: agent.load.min(crate::workload::SLOTS),
            queued: agent.load.saturating_sub(crate::workload::SLOTS),
        };
        if !agent.pacer.is_due(load, agent.state, now) {
            return;
        }
        agent.pacer.record_sent(load, agent.state, now);
        agent.sequence += 1;
        let known = self.table.get(agent.record.endpoint);
        let is_new = known.is_none_or(|row| row.record != agent.record);
        let heartbeat = AgentHeartbeat {
            record: is_new.then(|| agent.record.clone()),
            endpoint: agent.record.endpoint,
            incarnation: agent.record.incarnation,
            sequence: agent.sequence,
            state: agent.state,
            load,
            settings: 100_000,
        };
        self.table.observe_heartbeat(&heartbeat, now);
        let bytes = frame_bytes(&LinkMessage::AgentHeartbeat(heartbeat));
        agent.bytes += bytes;
        if self.policy == PolicyKind::Ideal {
            self.entry_bytes += bytes;
        }
    }

    fn send_digest(&mut self, digest: &MemberDigest) {
        self.entry_bytes += frame_bytes(&LinkMessage::Members(digest.clone()));
        for agent in &mut self.agents {
            let digest = MemberTable::agent_digest(&digest.means, agent.record.service);
            if !digest.means.is_empty() {
                agent.bytes += frame_bytes(&LinkMessage::Members(digest));
            }
        }
    }
}

fn frame_bytes(message: &LinkMessage) -> u64 {
    let encoded = encode(message).expect("control messages are below the limit");
    (encoded.len() + FRAME_OVERHEAD_BYTES) as u64
}

fn new_agent(number: usize) -> AgentRun {
    let name = format!("runner-{number}");
    let endpoint: EndpointId = name_id(&name);
    let service = number / SERVICE_ENDPOINTS;
    AgentRun {
        record: EndpointRecord {
            endpoint,
            name,
            incarnation: FIRST_INCARNATION + number as u64,
            cache_epoch: FIRST_INCARNATION,
            service: name_id(&format!("service-{service}")),
            domain: name_id(&format!("domain-{}", number % 4)),
            domain_name: format!("domain-{}", number % 4),
            address: ([10, 0, 0, 1], 9000).into(),
            weight: 8,
        },
        load: MEAN_LOAD as u32,
        state: EndpointState::Serving,
        serves_at: None,
        sequence: 0,
        pacer: HeartbeatPacer::new(PacerSettings::default()),
        bytes: 0,
    }
}

fn entry_heartbeat() -> LinkMessage {
    LinkMessage::EntryHeartbeat(EntryHeartbeat {
        instance: name_id("entry-1"),
        name: "entry-1".to_owned(),
        domain_name: "domain".to_owned(),
        incarnation: FIRST_INCARNATION,
        settings: 100_000,
    })
}
