//! Execution of attempts by an agent's endpoint.

use std::time::Instant;

use claim::GateVerdict;
use claim::attempts::AttemptState;
use fault::{FaultKind, RunOutcome};
use rand::RngExt;
use wire::answer::{AnswerHead, AttemptKey};
use wire::command::{ControlCommand, ControlReply};
use wire::id::FingerprintHash;

use crate::faults::agent::{AgentContext, SimulatedAgent, is_poison};
use crate::faults::oracle::answer_of;

/// Requests that the endpoint runs at once.
const SLOTS: usize = 4;
/// Most answer bytes that an endpoint produces in one step.
const MAX_PRODUCED_BYTES: usize = 40;

impl SimulatedAgent {
    /// Starts the first queued attempt if the gate permits it and a slot is free.
    pub(super) fn start_next(&mut self, context: &mut AgentContext) {
        let Some(key) = self.queue.front().copied() else {
            return;
        };
        let Some(run) = self.runs.get(&key) else {
            self.queue.pop_front();
            return;
        };
        let fingerprint = run.fingerprint;
        if self.table.get(key) != Some(AttemptState::Queued) {
            self.queue.pop_front();
            return;
        }
        match self.gate.check(fingerprint) {
            GateVerdict::Refuse => {
                self.queue.pop_front();
                self.refuse_queued(context, key, FaultKind::Quarantined);
                return;
            }
            GateVerdict::Alone if !self.gate.has_permit(key, fingerprint) => {
                self.ask_permit(context, key, fingerprint);
                return;
            }
            _ => {}
        }
        let is_full = self.running.len() >= SLOTS;
        if is_full || !self.gate.may_start(key, fingerprint) || !self.table.start(key) {
            return;
        }
        self.queue.pop_front();
        self.start(context, key, fingerprint);
    }

    fn start(&mut self, context: &mut AgentContext, key: AttemptKey, fingerprint: FingerprintHash) {
        self.gate.started(key, fingerprint);
        self.running.push(key);
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        context
            .oracle
            .start(key, fingerprint, run.is_idempotent, run.claim.as_ref());
        run.replay_buffer.set_head(AnswerHead {
            key,
            status: 200,
            headers: Vec::new(),
            cached_tokens: 0,
            queue_wait: std::time::Duration::ZERO,
        });
        if is_poison(fingerprint) {
            context.oracle.crash(fingerprint);
            self.crash_endpoint(context);
            return;
        }
        self.send_ready_frames(context, key);
    }

    fn ask_permit(
        &mut self,
        context: &mut AgentContext,
        key: AttemptKey,
        fingerprint: FingerprintHash,
    ) {
        let command = ControlCommand::TrySuspect {
            fingerprint,
            endpoint: Self::endpoint(self.index),
            attempt: key,
        };
        match context.quorum.propose(context.rng, &command) {
            Some(ControlReply::Recorded) => self.gate.permit(key, fingerprint),
            Some(ControlReply::Refused(fault)) => {
                self.queue.pop_front();
                self.refuse_queued(context, key, fault.kind);
            }
            _ => {}
        }
    }

    /// Produces the next bytes of an answer, or ends it after the last one.
    pub(super) fn advance(&mut self, context: &mut AgentContext, key: AttemptKey) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let answer = answer_of(key);
        if run.produced < answer.len() {
            let most = run.replay_buffer.room().min(MAX_PRODUCED_BYTES);
            if most == 0 {
                return;
            }
            let size = context.rng.random_range(1..=most);
            let end = answer.len().min(run.produced + size);
            run.replay_buffer.push(answer.slice(run.produced..end));
            run.produced = end;
        } else {
            self.end(context.now, key);
        }
        self.send_ready_frames(context, key);
    }

    /// Ends a completed attempt.
    fn end(&mut self, now: Instant, key: AttemptKey) {
        let Some(run) = self.runs.get_mut(&key) else {
            return;
        };
        let fingerprint = run.fingerprint;
        run.replay_buffer.finish(RunOutcome::Ran);
        self.running.retain(|other| *other != key);
        self.table.end(now, key, RunOutcome::Ran);
        if self.gate.ended(fingerprint) {
            self.pending_commands
                .push_back(ControlCommand::ClearSuspect { fingerprint });
        }
        self.finish_claim(key, RunOutcome::Ran);
    }
}
