//! A simulated agent and its endpoint.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use claim::attempts::AttemptState;
use claim::{
    AttemptLimits, AttemptTable, CancelVerdict, GateVerdict, ReplayBuffer, ResumeVerdict,
    SubmitVerdict, SuspectGate,
};
use fault::{FaultKind, RunOutcome};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::LinkMessage;
use wire::answer::{AdmitNotice, AttemptKey, EndpointLoad, RefuseNotice, SubmitRequest};
use wire::command::{ClaimKey, ControlCommand, ControlReply, RecordedAnswer};
use wire::id::FingerprintHash;

use crate::faults::network::{ConnectionEnds, FrameNetwork, FrameTarget};
use crate::faults::oracle::{RunOracle, answer_of};
use crate::faults::quorum::ControlQuorum;

/// Window of a replay buffer: limit of an answer's unacknowledged bytes.
const WINDOW_BYTES: usize = 64;
/// Probability that a submitted request is refused as overloaded.
const OVERLOAD_PROBABILITY: f64 = 0.05;
/// Fingerprints that are multiples of this belong to requests that crash their endpoint.
const POISON_INTERVAL: FingerprintHash = 64;

/// Whether requests with this fingerprint crash each endpoint that runs them.
pub fn is_poison(fingerprint: FingerprintHash) -> bool {
    fingerprint.is_multiple_of(POISON_INTERVAL)
}

/// An attempt at the agent.
pub(super) struct AgentRun {
    pub(super) fingerprint: FingerprintHash,
    pub(super) is_idempotent: bool,
    pub(super) claim: Option<ClaimKey>,
    pub(super) ends: ConnectionEnds,
    pub(super) replay_buffer: ReplayBuffer,
    /// Bytes of the answer that the endpoint has produced.
    pub(super) produced: usize,
}

/// State of the simulation that an agent uses in one step.
pub struct AgentContext<'a> {
    /// Current simulated time.
    pub now: Instant,
    /// Random number generator of the simulation.
    pub rng: &'a mut Pcg64Mcg,
    /// Frames in flight.
    pub network: &'a mut FrameNetwork,
    /// The control quorum.
    pub quorum: &'a mut ControlQuorum,
    /// Counter of violations.
    pub oracle: &'a mut RunOracle,
}

/// An agent across its incarnations, and its endpoint.
pub struct SimulatedAgent {
    /// Index of the agent; the id of its endpoint is the index plus 1.
    pub(super) index: usize,
    /// Current incarnation of the agent.
    pub incarnation: u64,
    /// Cache epoch of the endpoint, which a crash of the endpoint or a restart of the agent
    /// increments.
    pub(super) cache_epoch: u64,
    pub(super) table: AttemptTable,
    pub(super) gate: SuspectGate,
    pub(super) runs: BTreeMap<AttemptKey, AgentRun>,
    pub(super) queue: VecDeque<AttemptKey>,
    pub(super) running: Vec<AttemptKey>,
    /// Commands that control has not replied to yet, in order.
    pub(super) pending_commands: VecDeque<ControlCommand>,
    /// Attempts that failed in a crash. Their entries are told after control has recorded the
    /// crash.
    pub(super) failed: Vec<AttemptKey>,
    pub(super) is_draining: bool,
}

impl SimulatedAgent {
    /// Creates the first incarnation of an agent.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            incarnation: 1,
            cache_epoch: 1,
            table: AttemptTable::new(1, AttemptLimits::default()),
            gate: SuspectGate::default(),
            runs: BTreeMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            pending_commands: VecDeque::new(),
            failed: Vec::new(),
            is_draining: false,
        }
    }

    /// Returns the id of the endpoint of the agent with this index.
    pub fn endpoint(index: usize) -> u64 {
        index as u64 + 1
    }

    /// Handles a frame from an entry.
    pub fn accept(
        &mut self,
        context: &mut AgentContext,
        ends: ConnectionEnds,
        message: LinkMessage,
    ) {
        match message {
            LinkMessage::Submit(submit) => self.submit(context, ends, *submit),
            LinkMessage::Cancel(cancel) => self.cancel(context, ends, cancel.key),
            LinkMessage::Ack(ack) => {
                if let Some(run) = self.runs.get_mut(&ack.key) {
                    run.replay_buffer.ack(ack.offset);
                }
            }
            LinkMessage::Resume(resume) => {
                let verdict = self.table.resume(context.now, resume.key);
                let run = self.runs.get_mut(&resume.key);
                match (verdict, run) {
                    (ResumeVerdict::Refused(kind), _) => refuse(context, ends, resume.key, kind),
                    (ResumeVerdict::Lost, _) | (_, None) => {
                        refuse(context, ends, resume.key, FaultKind::ConnectionLost);
                    }
                    (_, Some(run)) => {
                        run.ends = ends;
                        if run.replay_buffer.resume(&resume).is_err() {
                            refuse(context, ends, resume.key, FaultKind::ConnectionLost);
                        }
                        self.send_ready_frames(context, resume.key);
                    }
                }
            }
            _ => {}
        }
    }

    /// May start a queued attempt at the endpoint, then continues a random running one.
    pub fn run_endpoint(&mut self, context: &mut AgentContext) {
        if self.running.is_empty() || context.rng.random_bool(0.4) {
            self.start_next(context);
        }
        if !self.running.is_empty() {
            let index = context.rng.random_range(0..self.running.len());
            let key = self.running[index];
            self.advance(context, key);
        }
    }

    /// Proposes the pending commands in order, until one gets no reply.
    pub fn send_commands(&mut self, context: &mut AgentContext) {
        while let Some(command) = self.pending_commands.front().cloned() {
            let Some(reply) = context.quorum.propose(context.rng, &command) else {
                return;
            };
            self.pending_commands.pop_front();
            if let ControlCommand::ReportCrash { .. } = command {
                debug_assert_eq!(reply, ControlReply::Recorded);
                self.update_gate(context.quorum);
                self.gate.report_recorded();
                self.report_failed(context);
            }
        }
    }

    /// Stops the running attempts for which `is_read` is false: their entry restarted or no longer
    /// waits for them.
    pub fn lose_readers(
        &mut self,
        context: &mut AgentContext,
        is_read: impl Fn(ConnectionEnds, AttemptKey) -> bool,
    ) {
        for key in self.running.clone() {
            let ends = self.runs.get(&key).map(|run| run.ends);
            if ends.is_some_and(|ends| !is_read(ends, key)) {
                self.stop(context, key);
            }
        }
    }

    /// Updates the gate with control's lists of suspects and quarantined requests.
    pub fn update_gate(&mut self, quorum: &ControlQuorum) {
        let (suspects, quarantined) = quorum.suspect_lists();
        self.gate.set_suspects(&suspects);
        self.gate.set_quarantined(&quarantined);
    }

    /// Replaces the agent by a new incarnation, as after a crash of its process. The new one first
    /// abandons the claims of its predecessor, whose running work is not simulated any further.
    pub fn restart(&mut self, quorum: &ControlQuorum) {
        let (index, incarnation, cache_epoch) =
            (self.index, self.incarnation + 1, self.cache_epoch + 1);
        *self = Self::new(index);
        self.incarnation = incarnation;
        self.cache_epoch = cache_epoch;
        self.table = AttemptTable::new(incarnation, AttemptLimits::default());
        let endpoint = Self::endpoint(index);
        self.pending_commands
            .push_back(ControlCommand::AbandonClaims { endpoint });
        self.update_gate(quorum);
    }

    /// Crashes the endpoint. Its running attempts fail.
    pub fn crash_endpoint(&mut self, context: &mut AgentContext) {
        let keys = self.table.fail_running(context.now);
        let runs = keys.iter().filter_map(|key| self.runs.get(key));
        let suspects: Vec<FingerprintHash> = runs.map(|run| run.fingerprint).collect();
        self.gate.crashed(&suspects);
        self.running.clear();
        self.pending_commands
            .push_back(ControlCommand::ReportCrash {
                endpoint: Self::endpoint(self.index),
                cache_epoch: self.cache_epoch,
                suspects,
            });
        self.cache_epoch += 1;
        for key in keys {
            self.finish_claim(key, RunOutcome::Unknown);
            self.failed.push(key);
        }
    }

    /// Starts draining, which refuses all queued attempts, or stops it.
    pub fn toggle_drain(&mut self, context: &mut AgentContext) {
        self.is_draining = !self.is_draining;
        if self.is_draining {
            for key in self.table.refuse_queued(context.now, FaultKind::Draining) {
                self.report_refused(context, key, FaultKind::Draining);
            }
            self.queue.clear();
        }
    }

    /// Stops draining.
    pub fn undrain(&mut self) {
        self.is_draining = false;
    }

    /// Evicts expired attempts from the attempt table and drops their runs.
    pub fn expire_runs(&mut self, now: Instant) {
        self.table.evict_expired(now);
        let table = &self.table;
        self.runs.retain(|key, _| table.get(*key).is_some());
    }

    /// Returns the number of violated invariants.
    pub fn count_violations(&self) -> u64 {
        let replay_buffers = self
            .runs
            .values()
            .filter(|run| run.replay_buffer.verify().is_err());
        let machines = [self.table.verify(), self.gate.verify()];
        let broken = machines.iter().filter(|verdict| verdict.is_err()).count();
        (replay_buffers.count() + broken) as u64
    }

    /// Whether there are no queued or running attempts, pending commands or unreported failures.
    pub fn is_idle(&self) -> bool {
        let waiting = self.table.in_state(AttemptState::Queued).count();
        waiting + self.running.len() + self.pending_commands.len() + self.failed.len() == 0
    }

    fn submit(&mut self, context: &mut AgentContext, ends: ConnectionEnds, submit: SubmitRequest) {
        let key = submit.key;
        match self.table.submit(context.now, key, submit.idempotent) {
            SubmitVerdict::Accepted { superseded } => {
                if let Some(earlier) = superseded {
                    self.stop(context, earlier);
                }
                self.admit(context, ends, submit);
            }
            SubmitVerdict::Duplicate(AttemptState::Refused(kind)) | SubmitVerdict::Refuse(kind) => {
                refuse(context, ends, key, kind);
            }
            SubmitVerdict::Duplicate(_) => {}
        }
    }

    fn admit(&mut self, context: &mut AgentContext, ends: ConnectionEnds, submit: SubmitRequest) {
        let key = submit.key;
        let run = AgentRun {
            fingerprint: submit.fingerprint,
            is_idempotent: submit.idempotent,
            claim: submit.claim.map(|key| ClaimKey {
                account: submit.account,
                key,
            }),
            ends,
            replay_buffer: ReplayBuffer::new(key, WINDOW_BYTES),
            produced: 0,
        };
        self.runs.insert(key, run);
        let refusal = if self.is_draining {
            Some(FaultKind::Draining)
        } else if self.gate.check(submit.fingerprint) == GateVerdict::Refuse {
            Some(FaultKind::Quarantined)
        } else {
            let is_full = context.rng.random_bool(OVERLOAD_PROBABILITY);
            is_full.then_some(FaultKind::Overloaded)
        };
        if let Some(kind) = refusal {
            self.refuse_queued(context, key, kind);
            return;
        }
        self.queue.push_back(key);
        let notice = AdmitNotice {
            key,
            load: EndpointLoad::default(),
            incarnation: self.incarnation,
        };
        reply(context, ends, LinkMessage::Admitted(notice));
    }

    fn cancel(&mut self, context: &mut AgentContext, ends: ConnectionEnds, key: AttemptKey) {
        match self.table.cancel(context.now, key) {
            CancelVerdict::NotRun => self.report_refused(context, key, FaultKind::Cancelled),
            CancelVerdict::Lost => refuse(context, ends, key, FaultKind::ConnectionLost),
            CancelVerdict::Stop => self.stop(context, key),
            CancelVerdict::Ended(_) => {}
        }
    }

    /// Stops a running attempt. An attempt with a claim goes on without a reader, because its
    /// answer is recorded.
    fn stop(&mut self, context: &mut AgentContext, key: AttemptKey) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.claim.is_some() {
            run.replay_buffer.detach();
            return;
        }
        let fingerprint = run.fingerprint;
        run.replay_buffer.finish(RunOutcome::Unknown);
        self.running.retain(|other| *other != key);
        self.table.end(context.now, key, RunOutcome::Unknown);
        if self.gate.ended(fingerprint) {
            // A stopped run is no evidence that the request is harmless, so the suspect isn't
            // cleared.
            self.pending_commands.push_back(ControlCommand::DropTrial {
                fingerprint,
                attempt: key,
            });
        }
        self.send_ready_frames(context, key);
    }

    pub(super) fn finish_claim(&mut self, key: AttemptKey, outcome: RunOutcome) {
        let claim = self.runs.get(&key).and_then(|run| run.claim.clone());
        let answer = (outcome == RunOutcome::Ran).then(|| RecordedAnswer {
            status: 200,
            headers: Vec::new(),
            body: Some(answer_of(key)),
        });
        if let Some(claim) = claim {
            self.pending_commands
                .push_back(ControlCommand::FinishClaim {
                    claim,
                    attempt: key,
                    outcome,
                    answer,
                });
        }
    }

    /// Refuses an attempt if it is still queued.
    pub(super) fn refuse_queued(
        &mut self,
        context: &mut AgentContext,
        key: AttemptKey,
        kind: FaultKind,
    ) {
        if self.table.refuse(context.now, key, kind) {
            self.report_refused(context, key, kind);
        }
    }

    /// Reports a refused attempt to its entry and to control.
    fn report_refused(&mut self, context: &mut AgentContext, key: AttemptKey, kind: FaultKind) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let (ends, fingerprint) = (run.ends, run.fingerprint);
        if self.gate.drop_permit(key, fingerprint) {
            self.pending_commands.push_back(ControlCommand::DropTrial {
                fingerprint,
                attempt: key,
            });
        }
        self.finish_claim(key, RunOutcome::NotRun);
        refuse(context, ends, key, kind);
    }

    /// Ends the answers of failed attempts after control has recorded the crash.
    fn report_failed(&mut self, context: &mut AgentContext) {
        for key in std::mem::take(&mut self.failed) {
            if let Some(run) = self.runs.get_mut(&key) {
                run.replay_buffer.finish(RunOutcome::Unknown);
                self.send_ready_frames(context, key);
            }
        }
    }

    /// Sends all frames of an answer that are ready.
    pub(super) fn send_ready_frames(&mut self, context: &mut AgentContext, key: AttemptKey) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let ends = run.ends;
        while let Some(message) = run.replay_buffer.next_message(EndpointLoad::default()) {
            reply(context, ends, message);
        }
    }
}

fn refuse(context: &mut AgentContext, ends: ConnectionEnds, key: AttemptKey, kind: FaultKind) {
    let notice = RefuseNotice {
        key,
        fault: kind.because("refused"),
        load: EndpointLoad::default(),
    };
    reply(context, ends, LinkMessage::Refused(notice));
}

fn reply(context: &mut AgentContext, ends: ConnectionEnds, message: LinkMessage) {
    let now = context.now;
    context.network.send(now, ends, FrameTarget::Entry, message);
}
