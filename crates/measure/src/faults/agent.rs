//! An agent and its endpoint.

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

/// Window of an answer's tail in bytes.
const WINDOW_BYTES: usize = 64;
/// Share of submitted requests that are refused for load.
const OVERLOAD_SHARE: f64 = 0.05;
/// Every so many fingerprints belongs to a request that crashes its endpoint.
const POISON_EVERY: FingerprintHash = 64;

/// Whether the request crashes each endpoint that runs it.
pub fn is_poison(fingerprint: FingerprintHash) -> bool {
    fingerprint.is_multiple_of(POISON_EVERY)
}

/// An attempt as the agent knows it.
pub(super) struct AgentRun {
    pub(super) fingerprint: FingerprintHash,
    pub(super) is_idempotent: bool,
    pub(super) claim: Option<ClaimKey>,
    pub(super) ends: ConnectionEnds,
    pub(super) tail: ReplayBuffer,
    /// Bytes that the endpoint has yielded.
    pub(super) yielded: usize,
}

/// What the agent shares with the rest of the world for one step.
pub struct AgentContext<'a> {
    /// The monotonic clock.
    pub now: Instant,
    /// The generator of the steps.
    pub rng: &'a mut Pcg64Mcg,
    /// Frames on their way.
    pub network: &'a mut FrameNetwork,
    /// Control.
    pub quorum: &'a mut ControlQuorum,
    /// What must never happen.
    pub oracle: &'a mut RunOracle,
}

/// One life of an agent after the other, and its endpoint.
pub struct ModelAgent {
    /// Index of the agent; its endpoint's id is one more.
    pub(super) index: usize,
    /// The agent's life.
    pub life: u64,
    /// The endpoint's life.
    pub(super) epoch: u64,
    pub(super) table: AttemptTable,
    pub(super) gate: SuspectGate,
    pub(super) runs: BTreeMap<AttemptKey, AgentRun>,
    pub(super) queue: VecDeque<AttemptKey>,
    pub(super) running: Vec<AttemptKey>,
    /// Commands that control has not decided, in order.
    pub(super) owed: VecDeque<ControlCommand>,
    /// Attempts whose failure is told once the crash is recorded.
    pub(super) failed: Vec<AttemptKey>,
    pub(super) is_draining: bool,
}

impl ModelAgent {
    /// The first life of an agent.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            life: 1,
            epoch: 1,
            table: AttemptTable::new(1, AttemptLimits::default()),
            gate: SuspectGate::default(),
            runs: BTreeMap::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            owed: VecDeque::new(),
            failed: Vec::new(),
            is_draining: false,
        }
    }

    /// Id of the endpoint.
    pub fn endpoint(index: usize) -> u64 {
        index as u64 + 1
    }

    /// Takes a frame of an entry.
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
                    run.tail.ack(ack.offset);
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
                        if run.tail.resume(&resume).is_err() {
                            refuse(context, ends, resume.key, FaultKind::ConnectionLost);
                        }
                        self.pump(context, resume.key);
                    }
                }
            }
            _ => {}
        }
    }

    /// Lets the endpoint start or go on with something.
    pub fn work(&mut self, context: &mut AgentContext) {
        if self.running.is_empty() || context.rng.random_bool(0.4) {
            self.start_next(context);
        }
        if !self.running.is_empty() {
            let index = context.rng.random_range(0..self.running.len());
            let key = self.running[index];
            self.advance(context, key);
        }
    }

    /// Sends control what it is owed, as far as decisions come.
    pub fn pay(&mut self, context: &mut AgentContext) {
        while let Some(command) = self.owed.front().cloned() {
            let Some(reply) = context.quorum.propose(context.rng, &command) else {
                return;
            };
            self.owed.pop_front();
            if let ControlCommand::ReportCrash { .. } = command {
                debug_assert_eq!(reply, ControlReply::Recorded);
                self.take_lists(context.quorum);
                self.gate.report_recorded();
                self.tell_failed(context);
            }
        }
    }

    /// Finds that the entries of some running attempts are gone, or wait for them no more.
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

    /// Takes control's lists.
    pub fn take_lists(&mut self, quorum: &ControlQuorum) {
        let (suspects, quarantined) = quorum.lists();
        self.gate.set_suspects(&suspects);
        self.gate.set_quarantined(&quarantined);
    }

    /// The agent's process dies and a new one starts. Its endpoint goes on alone.
    pub fn restart(&mut self, quorum: &ControlQuorum) {
        let (index, life, epoch) = (self.index, self.life + 1, self.epoch + 1);
        *self = Self::new(index);
        self.life = life;
        self.epoch = epoch;
        self.table = AttemptTable::new(life, AttemptLimits::default());
        let endpoint = Self::endpoint(index);
        self.owed
            .push_back(ControlCommand::AbandonClaims { endpoint });
        self.take_lists(quorum);
    }

    /// The endpoint dies with everything that it runs.
    pub fn crash_endpoint(&mut self, context: &mut AgentContext) {
        let keys = self.table.fail_running(context.now);
        let runs = keys.iter().filter_map(|key| self.runs.get(key));
        let suspects: Vec<FingerprintHash> = runs.map(|run| run.fingerprint).collect();
        self.gate.crashed(&suspects);
        self.running.clear();
        self.owed.push_back(ControlCommand::ReportCrash {
            endpoint: Self::endpoint(self.index),
            cache_epoch: self.epoch,
            suspects,
        });
        self.epoch += 1;
        for key in keys {
            self.finish_claim(key, RunOutcome::Unknown);
            self.failed.push(key);
        }
    }

    /// Begins to drain, or takes work again.
    pub fn toggle_drain(&mut self, context: &mut AgentContext) {
        self.is_draining = !self.is_draining;
        if self.is_draining {
            for key in self.table.refuse_queued(context.now, FaultKind::Draining) {
                self.settle_refused(context, key, FaultKind::Draining);
            }
            self.queue.clear();
        }
    }

    /// Takes work again.
    pub fn undrain(&mut self) {
        self.is_draining = false;
    }

    /// Forgets what the attempt table forgot.
    pub fn forget(&mut self, now: Instant) {
        self.table.evict_expired(now);
        let table = &self.table;
        self.runs.retain(|key, _| table.get(*key).is_some());
    }

    /// Broken invariants.
    pub fn broken(&self) -> u64 {
        let tails = self.runs.values().filter(|run| run.tail.verify().is_err());
        let machines = [self.table.verify(), self.gate.verify()];
        let broken = machines.iter().filter(|verdict| verdict.is_err()).count();
        (tails.count() + broken) as u64
    }

    /// Whether nothing is left to do.
    pub fn is_idle(&self) -> bool {
        let waiting = self.table.in_state(AttemptState::Queued).count();
        waiting + self.running.len() + self.owed.len() + self.failed.len() == 0
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
            tail: ReplayBuffer::new(key, WINDOW_BYTES),
            yielded: 0,
        };
        self.runs.insert(key, run);
        let refusal = if self.is_draining {
            Some(FaultKind::Draining)
        } else if self.gate.check(submit.fingerprint) == GateVerdict::Refuse {
            Some(FaultKind::Quarantined)
        } else {
            let is_full = context.rng.random_bool(OVERLOAD_SHARE);
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
            incarnation: self.life,
        };
        reply(context, ends, LinkMessage::Admitted(notice));
    }

    fn cancel(&mut self, context: &mut AgentContext, ends: ConnectionEnds, key: AttemptKey) {
        match self.table.cancel(context.now, key) {
            CancelVerdict::NotRun => self.settle_refused(context, key, FaultKind::Cancelled),
            CancelVerdict::Lost => refuse(context, ends, key, FaultKind::ConnectionLost),
            CancelVerdict::Stop => self.stop(context, key),
            CancelVerdict::Ended(_) => {}
        }
    }

    /// Stops a running attempt, unless its answer is to be recorded.
    fn stop(&mut self, context: &mut AgentContext, key: AttemptKey) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        if run.claim.is_some() {
            run.tail.detach();
            return;
        }
        let fingerprint = run.fingerprint;
        run.tail.finish(RunOutcome::Unknown);
        self.running.retain(|other| *other != key);
        self.table.end(context.now, key, RunOutcome::Unknown);
        if self.gate.ended(fingerprint) {
            // A stopped run shows nothing about crashes, so it clears nobody.
            self.owed.push_back(ControlCommand::DropTrial {
                fingerprint,
                attempt: key,
            });
        }
        self.pump(context, key);
    }

    pub(super) fn finish_claim(&mut self, key: AttemptKey, outcome: RunOutcome) {
        let claim = self.runs.get(&key).and_then(|run| run.claim.clone());
        let answer = (outcome == RunOutcome::Ran).then(|| RecordedAnswer {
            status: 200,
            headers: Vec::new(),
            body: Some(answer_of(key)),
        });
        if let Some(claim) = claim {
            self.owed.push_back(ControlCommand::FinishClaim {
                claim,
                attempt: key,
                outcome,
                answer,
            });
        }
    }

    /// Refuses an attempt that waits; nothing is said if it does not.
    pub(super) fn refuse_queued(
        &mut self,
        context: &mut AgentContext,
        key: AttemptKey,
        kind: FaultKind,
    ) {
        if self.table.refuse(context.now, key, kind) {
            self.settle_refused(context, key, kind);
        }
    }

    /// Tells entry and control of an attempt that was refused.
    fn settle_refused(&mut self, context: &mut AgentContext, key: AttemptKey, kind: FaultKind) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        let (ends, fingerprint) = (run.ends, run.fingerprint);
        if self.gate.drop_permit(key, fingerprint) {
            self.owed.push_back(ControlCommand::DropTrial {
                fingerprint,
                attempt: key,
            });
        }
        self.finish_claim(key, RunOutcome::NotRun);
        refuse(context, ends, key, kind);
    }

    /// Tells the failure of attempts whose crash is recorded.
    fn tell_failed(&mut self, context: &mut AgentContext) {
        for key in std::mem::take(&mut self.failed) {
            if let Some(run) = self.runs.get_mut(&key) {
                run.tail.finish(RunOutcome::Unknown);
                self.pump(context, key);
            }
        }
    }

    /// Sends what the answer has for its connection.
    pub(super) fn pump(&mut self, context: &mut AgentContext, key: AttemptKey) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let ends = run.ends;
        while let Some(message) = run.tail.next_message(EndpointLoad::default()) {
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
