//! The simulated cluster: entries, agents, the control quorum and the network.

use std::time::{Duration, Instant};

use fault::FaultKind;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::command::{ClaimKey, ControlCommand, ControlReply, SettingEdit, SettingsChange};

use crate::faults::agent::{AgentContext, SimulatedAgent, is_poison};
use crate::faults::entry::{CallEnd, CallerRequest, EntryContext, SimulatedEntry};
use crate::faults::network::{FrameNetwork, FrameTarget};
use crate::faults::oracle::{FaultCounts, RunOracle, WorkCounts};
use crate::faults::quorum::ControlQuorum;
use crate::faults::step::SimulationStep;

/// Number of entries.
const ENTRIES: usize = 3;
/// Number of agents, each with one endpoint.
const AGENTS: usize = 4;
/// Number of calls in progress at one entry from which on it gets no new requests.
const MAX_CALLS: usize = 12;
/// Most requests kept for resending; the oldest is dropped for a new one.
const MAX_RESENDS: usize = 24;
/// Exclusive upper bound of a short pause in milliseconds.
const MAX_PAUSE_MS: u64 = 400;
/// Longer than the retention of claims, the time limit of a suspect's trial and the age limit of a
/// frame.
const LONG_PAUSE: Duration = Duration::from_secs(20 * 60);
/// Steps between two checks of the invariants.
const CHECK_INTERVAL: u64 = 512;
/// Rounds after which calls and agents that are not idle count as lost.
const MAX_QUIESCE_ROUNDS: usize = 4_000;

/// A simulated cluster with fault injection.
pub struct FaultSimulation {
    rng: Pcg64Mcg,
    now: Instant,
    steps: u64,
    next_id: u64,
    entries: Vec<SimulatedEntry>,
    agents: Vec<SimulatedAgent>,
    network: FrameNetwork,
    quorum: ControlQuorum,
    oracle: RunOracle,
    /// Ended calls that their callers have not handled yet.
    call_ends: Vec<CallEnd>,
    /// Requests kept for resending, oldest first.
    resends: Vec<CallerRequest>,
}

impl FaultSimulation {
    /// Creates an idle cluster.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::new(u128::from(seed) << 1 | 1),
            now: Instant::now(),
            steps: 0,
            next_id: 0,
            entries: (0..ENTRIES).map(SimulatedEntry::new).collect(),
            agents: (0..AGENTS).map(SimulatedAgent::new).collect(),
            network: FrameNetwork::default(),
            quorum: ControlQuorum::default(),
            oracle: RunOracle::default(),
            call_ends: Vec::new(),
            resends: Vec::new(),
        }
    }

    /// Returns the violations so far.
    pub fn counts(&self) -> FaultCounts {
        self.oracle.counts
    }

    /// Returns the activity so far.
    pub fn work(&self) -> WorkCounts {
        self.oracle.work
    }

    /// Simulates one step, drawn by weight.
    pub fn step(&mut self) {
        let step = SimulationStep::draw(&mut self.rng);
        self.apply(step);
    }

    /// Simulates the given step.
    pub fn apply(&mut self, step: SimulationStep) {
        self.steps += 1;
        match step {
            SimulationStep::SendRequest => self.send_request(),
            SimulationStep::Deliver => self.deliver(false),
            SimulationStep::RunEndpoint => self.with_any_agent(|agent, context| {
                agent.update_gate(context.quorum);
                agent.run_endpoint(context);
            }),
            SimulationStep::SendCommands => {
                self.with_any_agent(SimulatedAgent::send_commands);
                self.with_any_entry(SimulatedEntry::send_commands);
            }
            SimulationStep::Reconnect => self.with_any_call(|entry, context, request| {
                entry.reconnect(context, request);
            }),
            SimulationStep::LoseReaders => {
                let index = self.rng.random_range(0..AGENTS);
                self.lose_readers(index);
            }
            SimulationStep::LoseAttempt => self.with_any_call(|entry, context, request| {
                // A second attempt of a request that crashes endpoints may run before the
                // first crash is known. The bound on crashes holds only for callers that
                // wait for the result.
                if !entry.crashes_endpoints(request) {
                    entry.lose_attempt(context, request);
                }
            }),
            SimulationStep::Disconnect => self.with_any_call(|entry, context, request| {
                if !entry.crashes_endpoints(request) {
                    entry.cancel_call(context, request, FaultKind::Cancelled);
                }
            }),
            SimulationStep::ShortPause => {
                let pause = Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS));
                self.advance_clock(pause, false);
            }
            SimulationStep::CommitDuplicate => self.quorum.commit_duplicate(&mut self.rng),
            SimulationStep::Settings => self.change_settings(),
            SimulationStep::CrashEndpoint => {
                self.with_any_agent(SimulatedAgent::crash_endpoint);
            }
            SimulationStep::RestartAgent => {
                self.with_any_agent(|agent, context| agent.restart(context.quorum));
            }
            SimulationStep::RestartEntry => self.restart_entry(),
            SimulationStep::Partition => self.quorum.toggle_partition(&mut self.rng),
            SimulationStep::RestartControl => self.quorum.restart(&mut self.rng),
            SimulationStep::Drain => {
                self.with_any_agent(SimulatedAgent::toggle_drain);
            }
            SimulationStep::LongPause => self.long_pause(),
        }
        self.handle_call_ends();
        if self.steps.is_multiple_of(CHECK_INTERVAL) {
            self.check();
        }
    }

    /// Stops injecting faults and runs until the cluster is idle. Calls, agents and claims that
    /// don't end count as lost.
    pub fn quiesce(&mut self) {
        self.quorum.end_partition();
        for agent in &mut self.agents {
            agent.undrain();
        }
        for _ in 0..MAX_QUIESCE_ROUNDS {
            if self.is_idle() {
                break;
            }
            self.fault_free_round();
        }
        let open: usize = self
            .entries
            .iter()
            .map(|entry| entry.requests().len())
            .sum();
        let busy = self.agents.iter().filter(|agent| !agent.is_idle()).count();
        self.oracle.counts.lost += (open + busy) as u64;
        self.check();
        self.advance_clock(LONG_PAUSE, true);
        self.oracle.counts.lost += self.quorum.held_claims() as u64;
    }

    fn is_idle(&self) -> bool {
        let entries = self.entries.iter().all(SimulatedEntry::is_idle);
        entries && self.agents.iter().all(SimulatedAgent::is_idle) && self.network.is_empty()
    }

    fn fault_free_round(&mut self) {
        while !self.network.is_empty() {
            self.deliver(true);
        }
        for index in 0..AGENTS {
            self.lose_readers(index);
            self.with_agent(index, |agent, context| {
                agent.update_gate(context.quorum);
                agent.run_endpoint(context);
                agent.send_commands(context);
            });
        }
        for index in 0..ENTRIES {
            for request in self.entries[index].requests() {
                self.with_entry(index, |entry, context| entry.reconnect(context, request));
            }
            self.with_entry(index, SimulatedEntry::send_commands);
        }
        self.call_ends.clear();
    }

    fn send_request(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        if self.entries[index].requests().len() >= MAX_CALLS {
            return;
        }
        let is_resend = !self.resends.is_empty() && self.rng.random_bool(0.4);
        let caller_request = match is_resend {
            true => self.draw_resend(),
            false => self.new_request(),
        };
        if caller_request.claim.is_some() && !is_resend {
            // Callers also resend before they have an answer.
            self.keep_for_resend(&caller_request);
        }
        self.with_entry(index, |entry, context| entry.begin(context, caller_request));
    }

    fn new_request(&mut self) -> CallerRequest {
        self.next_id += 1;
        let id = self.next_id;
        let is_idempotent = self.rng.random_bool(0.5);
        let has_key = !is_idempotent && self.rng.random_bool(0.75);
        let claim = has_key.then(|| ClaimKey {
            account: id % 3,
            key: format!("order-{id}"),
        });
        CallerRequest {
            request: u128::from(id),
            claim,
            fingerprint: id,
            is_idempotent,
        }
    }

    /// Draws a request to resend, sometimes with other content under the same key.
    fn draw_resend(&mut self) -> CallerRequest {
        let index = self.rng.random_range(0..self.resends.len());
        let mut caller_request = match self.resends[index].claim {
            Some(_) => self.resends[index].clone(),
            None => self.resends.swap_remove(index),
        };
        self.next_id += 1;
        caller_request.request = u128::from(self.next_id);
        if caller_request.claim.is_some() && self.rng.random_bool(0.1) {
            caller_request.fingerprint = self.next_id;
        }
        caller_request
    }

    fn keep_for_resend(&mut self, caller_request: &CallerRequest) {
        if self.resends.len() >= MAX_RESENDS {
            self.resends.remove(0);
        }
        self.resends.push(caller_request.clone());
    }

    /// Handles ended calls: a failed request that crashes endpoints and has no idempotency key is
    /// kept for resending, unless it was quarantined or cancelled.
    fn handle_call_ends(&mut self) {
        for end in std::mem::take(&mut self.call_ends) {
            let Some(fault) = end.fault else { continue };
            let crashes_endpoints = is_poison(end.caller_request.fingerprint);
            let is_final = matches!(fault.kind, FaultKind::Quarantined | FaultKind::Cancelled);
            if crashes_endpoints && end.caller_request.claim.is_none() && !is_final {
                self.keep_for_resend(&end.caller_request);
            }
        }
    }

    fn deliver(&mut self, is_fault_free: bool) {
        let Some(flight) = self.network.take(self.now, &mut self.rng, is_fault_free) else {
            return;
        };
        let ends = flight.ends;
        let is_current = self.entries[ends.entry].incarnation == ends.entry_incarnation
            && self.agents[ends.agent].incarnation == ends.agent_incarnation;
        if !is_current {
            return;
        }
        match flight.target {
            FrameTarget::Agent => self.with_agent(ends.agent, |agent, context| {
                agent.accept(context, ends, flight.message);
            }),
            FrameTarget::Entry => self.with_entry(ends.entry, |entry, context| {
                entry.accept(context, flight.message);
            }),
        }
    }

    fn advance_clock(&mut self, time: Duration, is_long: bool) {
        self.now += time;
        self.quorum.advance_clock(time, is_long);
        if is_long {
            self.network.clear();
            // Kept requests without a key crash endpoints. Their callers don't resend them after
            // a long pause.
            self.resends
                .retain(|caller_request| caller_request.claim.is_some());
        }
        for agent in &mut self.agents {
            agent.expire_runs(self.now);
        }
    }

    /// Advances the clock beyond every deadline. All calls end, and all frames are dropped.
    fn long_pause(&mut self) {
        for index in 0..ENTRIES {
            for request in self.entries[index].requests() {
                self.with_entry(index, |entry, context| {
                    entry.cancel_call(context, request, FaultKind::DeadlinePassed);
                });
            }
        }
        self.call_ends.clear();
        self.advance_clock(LONG_PAUSE, true);
    }

    fn restart_entry(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        self.entries[index].restart();
    }

    /// Proposes a settings change twice, sometimes on an outdated base, and checks that both
    /// replies agree. Then updates an entry.
    fn change_settings(&mut self) {
        let version = self.quorum.version();
        let base = version.saturating_sub(self.rng.random_range(0..2));
        self.next_id += 1;
        let command = ControlCommand::ChangeSettings(SettingsChange {
            change_id: format!("change-{}", self.next_id),
            base,
            operator: "maen".to_owned(),
            edits: vec![SettingEdit {
                path: "queue_limit".to_owned(),
                value: Some(self.rng.random_range(1..500).to_string()),
            }],
        });
        let first = self.quorum.propose(&mut self.rng, &command);
        let second = self.quorum.propose(&mut self.rng, &command);
        if let (Some(first), Some(second)) = (first, second) {
            self.oracle.counts.reverted += u64::from(first != second);
            if let ControlReply::SettingsAccepted(accepted) = first {
                self.oracle.counts.reverted += u64::from(self.quorum.version() < accepted);
            }
        }
        self.update_holder();
    }

    /// Sends an entry the settings update of a random instance, which may be outdated, and checks
    /// that its version doesn't decrease.
    fn update_holder(&mut self) {
        let index = self.rng.random_range(0..ENTRIES);
        let holder = &mut self.entries[index].holder;
        let before = holder.version();
        let held = self.rng.random_range(0..=before);
        let update = self.quorum.update(&mut self.rng, held);
        let confirmed = wire::message::SettingsUpdate::Confirmed {
            version: self.quorum.version(),
        };
        for update in [update, confirmed] {
            let _ = holder.apply(&update, self.now);
        }
        self.oracle.counts.reverted += u64::from(holder.version() < before);
    }

    fn check(&mut self) {
        let entries: u64 = self
            .entries
            .iter()
            .map(SimulatedEntry::count_violations)
            .sum();
        let agents: u64 = self
            .agents
            .iter()
            .map(SimulatedAgent::count_violations)
            .sum();
        self.oracle.counts.reverted += entries + agents + self.quorum.count_divergences();
    }

    fn lose_readers(&mut self, index: usize) {
        let entries = std::mem::take(&mut self.entries);
        self.with_agent(index, |agent, context| {
            agent.lose_readers(context, |ends, key| {
                let entry = &entries[ends.entry];
                entry.incarnation == ends.entry_incarnation && entry.awaits(key)
            });
        });
        self.entries = entries;
    }

    fn with_any_agent(&mut self, act: impl FnOnce(&mut SimulatedAgent, &mut AgentContext)) {
        let index = self.rng.random_range(0..AGENTS);
        self.with_agent(index, act);
    }

    fn with_agent(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut SimulatedAgent, &mut AgentContext),
    ) {
        let mut context = AgentContext {
            now: self.now,
            rng: &mut self.rng,
            network: &mut self.network,
            quorum: &mut self.quorum,
            oracle: &mut self.oracle,
        };
        act(&mut self.agents[index], &mut context);
    }

    fn with_any_entry(&mut self, act: impl FnOnce(&mut SimulatedEntry, &mut EntryContext)) {
        let index = self.rng.random_range(0..ENTRIES);
        self.with_entry(index, act);
    }

    fn with_entry(
        &mut self,
        index: usize,
        act: impl FnOnce(&mut SimulatedEntry, &mut EntryContext),
    ) {
        let incarnations: Vec<u64> = self.agents.iter().map(|agent| agent.incarnation).collect();
        let mut context = EntryContext {
            now: self.now,
            rng: &mut self.rng,
            network: &mut self.network,
            quorum: &mut self.quorum,
            oracle: &mut self.oracle,
            agent_incarnations: &incarnations,
            call_ends: &mut self.call_ends,
        };
        act(&mut self.entries[index], &mut context);
    }

    fn with_any_call(&mut self, act: impl FnOnce(&mut SimulatedEntry, &mut EntryContext, u128)) {
        let index = self.rng.random_range(0..ENTRIES);
        let Some(request) = self.entries[index].any_call(&mut self.rng) else {
            return;
        };
        self.with_entry(index, |entry, context| act(entry, context, request));
    }
}
