//! A simulated entry and its calls.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use bytes::Bytes;
use claim::{AnswerAssembly, AssemblyVerdict, CallLedger};
use fault::{Fault, FaultKind, RunOutcome};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use settings::SettingsHolder;
use wire::LinkMessage;
use wire::answer::{AttemptKey, CancelRequest, PriorityClass, RefuseNotice, SubmitRequest};
use wire::command::{ClaimKey, ClaimRequest, ControlCommand, ControlReply};
use wire::id::{FingerprintHash, RequestId};

use crate::faults::agent::{SimulatedAgent, is_poison};
use crate::faults::network::{ConnectionEnds, FrameNetwork, FrameTarget};
use crate::faults::oracle::RunOracle;
use crate::faults::quorum::ControlQuorum;

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Retention of claims and recorded answers.
const RETENTION: Duration = Duration::from_secs(15 * 60);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the request; a resend gets a new one.
    pub request: RequestId,
    /// The caller's idempotency key.
    pub claim: Option<ClaimKey>,
    /// Hash of the request's content.
    pub fingerprint: FingerprintHash,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
}

/// The result that a caller is told.
#[derive(Clone, Debug)]
pub struct CallEnd {
    /// The request.
    pub caller_request: CallerRequest,
    /// Why it failed, or `None` if its answer is complete.
    pub fault: Option<Fault>,
}

/// A call in progress.
struct OpenCall {
    caller_request: CallerRequest,
    ledger: CallLedger,
    /// The attempt in progress, or `None` before the first.
    sent: Option<SentAttempt>,
}

/// An attempt in progress and its answer so far.
struct SentAttempt {
    ends: ConnectionEnds,
    /// Incarnation of the agent that the attempt was submitted to; `ends` changes with reconnects.
    submitted_to: u64,
    assembly: AnswerAssembly,
    /// Bytes that were delivered to the caller.
    delivered: usize,
}

/// State of the simulation that an entry uses in one step.
pub struct EntryContext<'a> {
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
    /// Current incarnation of each agent.
    pub agent_incarnations: &'a [u64],
    /// Calls that ended in this step.
    pub call_ends: &'a mut Vec<CallEnd>,
}

/// An entry across its incarnations.
pub struct SimulatedEntry {
    index: usize,
    /// Current incarnation of the entry.
    pub incarnation: u64,
    calls: BTreeMap<RequestId, OpenCall>,
    /// Commands that control has not replied to yet, in order.
    pending_commands: VecDeque<ControlCommand>,
    /// Settings of this incarnation.
    pub holder: SettingsHolder,
}

impl SimulatedEntry {
    /// Creates the first incarnation of an entry.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            incarnation: 1,
            calls: BTreeMap::new(),
            pending_commands: VecDeque::new(),
            holder: SettingsHolder::default(),
        }
    }

    /// Accepts a request of a caller and sends its first attempt.
    pub fn begin(&mut self, context: &mut EntryContext, caller_request: CallerRequest) {
        context.oracle.work.requests += 1;
        let call = OpenCall {
            ledger: CallLedger::new(caller_request.request, caller_request.is_idempotent),
            caller_request,
            sent: None,
        };
        self.try_send(context, call);
    }

    /// Handles a frame from an agent.
    pub fn accept(&mut self, context: &mut EntryContext, message: LinkMessage) {
        match message {
            LinkMessage::Refused(notice) => self.accept_refusal(context, notice),
            LinkMessage::Head(head) => {
                self.feed(context, head.key, |assembly| assembly.accept_head(head));
            }
            LinkMessage::Chunk(chunk) => {
                self.feed(context, chunk.key, |assembly| assembly.accept_chunk(chunk));
            }
            LinkMessage::End(end) => {
                self.feed(context, end.key, |assembly| assembly.accept_end(&end));
            }
            _ => {}
        }
    }

    /// Resumes the answer of a call on a new connection, as after a link that fell silent.
    pub fn reconnect(&mut self, context: &mut EntryContext, request: RequestId) {
        let Some(sent) = self.calls.get_mut(&request).and_then(|c| c.sent.as_mut()) else {
            return;
        };
        sent.ends.agent_incarnation = context.agent_incarnations[sent.ends.agent];
        let resume = sent.assembly.resume_request();
        send(context, sent.ends, LinkMessage::Resume(resume));
        let ack = sent.assembly.repeat_ack();
        send(context, sent.ends, LinkMessage::Ack(ack));
    }

    /// Gives up the current attempt of a call because the connection to its agent is lost.
    pub fn lose_attempt(&mut self, context: &mut EntryContext, request: RequestId) {
        let Some(mut call) = self.calls.remove(&request) else {
            return;
        };
        let Some(sent) = &call.sent else { return };
        call.ledger.mark_lost(sent.assembly.key());
        self.retry_or_end(
            context,
            call,
            FaultKind::ConnectionLost.because("the agent is gone"),
        );
    }

    /// Cancels a call because its caller disconnected or its deadline passed.
    pub fn cancel_call(&mut self, context: &mut EntryContext, request: RequestId, kind: FaultKind) {
        let Some(call) = self.calls.remove(&request) else {
            return;
        };
        if let Some(sent) = &call.sent {
            let key = sent.assembly.key();
            let cancel = LinkMessage::Cancel(CancelRequest { key });
            send(context, sent.ends, cancel);
        }
        self.end(context, call, kind.because("the caller left"));
    }

    /// Proposes the pending commands in order, until one gets no reply.
    pub fn send_commands(&mut self, context: &mut EntryContext) {
        while let Some(command) = self.pending_commands.front() {
            if context.quorum.propose(context.rng, command).is_none() {
                return;
            }
            self.pending_commands.pop_front();
        }
    }

    /// Replaces the entry by a new incarnation, as after a crash of its process. Its callers get no
    /// result.
    pub fn restart(&mut self) {
        let (index, incarnation) = (self.index, self.incarnation + 1);
        *self = Self::new(index);
        self.incarnation = incarnation;
    }

    /// Returns a random call in progress.
    pub fn any_call(&self, rng: &mut Pcg64Mcg) -> Option<RequestId> {
        if self.calls.is_empty() {
            return None;
        }
        let index = rng.random_range(0..self.calls.len());
        self.calls.keys().nth(index).copied()
    }

    /// Whether `key` is the current attempt of a call in progress.
    pub fn awaits(&self, key: AttemptKey) -> bool {
        let call = self.calls.get(&key.request);
        call.is_some_and(|call| call.ledger.is_current(key))
    }

    /// Returns the ids of all calls in progress.
    pub fn requests(&self) -> Vec<RequestId> {
        self.calls.keys().copied().collect()
    }

    /// Whether the call's request crashes endpoints. Callers of such requests wait for the result
    /// and then send the request again.
    pub fn crashes_endpoints(&self, request: RequestId) -> bool {
        let call = self.calls.get(&request);
        call.is_some_and(|call| is_poison(call.caller_request.fingerprint))
    }

    /// Whether there are neither calls nor pending commands.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.pending_commands.is_empty()
    }

    /// Returns the number of violated invariants.
    pub fn count_violations(&self) -> u64 {
        let ledgers = self.calls.values().map(|call| call.ledger.verify());
        let sent = self.calls.values().filter_map(|call| call.sent.as_ref());
        let assemblies = sent.map(|sent| sent.assembly.verify());
        ledgers.chain(assemblies).filter(Result::is_err).count() as u64
    }

    /// Claims the request if it has an idempotency key, and sends its next attempt.
    fn try_send(&mut self, context: &mut EntryContext, mut call: OpenCall) {
        let agent = context
            .rng
            .random_range(0..context.agent_incarnations.len());
        if let Some(claim) = call.caller_request.claim.clone()
            && let Err(fault) = self.claim(context, &call, claim, agent)
        {
            if let Some(fault) = fault {
                self.end(context, call, fault);
            }
            return;
        }
        let Some(key) = call.ledger.open() else {
            let fault = FaultKind::Internal.because("no attempt may be sent");
            self.end(context, call, fault);
            return;
        };
        let ends = ConnectionEnds {
            entry: self.index,
            entry_incarnation: self.incarnation,
            agent,
            agent_incarnation: context.agent_incarnations[agent],
        };
        let submit = submit_request(key, &call.caller_request);
        send(context, ends, LinkMessage::Submit(Box::new(submit)));
        call.sent = Some(SentAttempt {
            ends,
            submitted_to: ends.agent_incarnation,
            assembly: AnswerAssembly::new(key),
            delivered: 0,
        });
        self.calls.insert(call.caller_request.request, call);
    }

    /// Claims the idempotency key for the next attempt of a call.
    ///
    /// # Errors
    /// The fault that ends the call, or `None` if the caller got the recorded answer.
    fn claim(
        &mut self,
        context: &mut EntryContext,
        call: &OpenCall,
        claim: ClaimKey,
        agent: usize,
    ) -> Result<(), Option<Fault>> {
        let attempt = call.ledger.next_key();
        let command = ControlCommand::ClaimRequest(ClaimRequest {
            claim: claim.clone(),
            fingerprint: call.caller_request.fingerprint,
            attempt,
            endpoint: SimulatedAgent::endpoint(agent),
            retention: RETENTION,
        });
        match context.quorum.propose(context.rng, &command) {
            Some(ControlReply::ClaimGranted) => Ok(()),
            Some(ControlReply::ClaimAnswered(answer)) => {
                context
                    .oracle
                    .replay(&claim, call.caller_request.fingerprint, &answer);
                context
                    .oracle
                    .record_outcome(call.caller_request.request, RunOutcome::Ran);
                Err(None)
            }
            Some(ControlReply::Refused(fault)) => Err(Some(fault)),
            _ => {
                // The claim may have been committed, but the attempt was never sent.
                self.finish_claim(&call.caller_request, attempt, RunOutcome::NotRun);
                Err(Some(
                    FaultKind::ControlUnreachable.because("no quorum answered"),
                ))
            }
        }
    }

    fn finish_claim(
        &mut self,
        caller_request: &CallerRequest,
        attempt: AttemptKey,
        outcome: RunOutcome,
    ) {
        if let Some(claim) = caller_request.claim.clone() {
            self.pending_commands
                .push_back(ControlCommand::FinishClaim {
                    claim,
                    attempt,
                    outcome,
                    answer: None,
                });
        }
    }

    fn accept_refusal(&mut self, context: &mut EntryContext, notice: RefuseNotice) {
        let Some(mut call) = self.calls.remove(&notice.key.request) else {
            return;
        };
        if !call.ledger.is_current(notice.key) {
            self.calls.insert(notice.key.request, call);
            return;
        }
        let outcome = notice.fault.outcome();
        call.ledger.close(notice.key, outcome);
        self.finish_claim(&call.caller_request, notice.key, outcome);
        if notice.fault.kind == FaultKind::ConnectionLost {
            self.report_lost(&call);
        }
        self.send_commands(context);
        self.retry_or_end(context, call, notice.fault);
    }

    /// Reports the request as a crash suspect if its agent restarted during the attempt. The
    /// endpoint may have crashed as well, and the agent's own report of running requests is lost
    /// with it.
    fn report_lost(&mut self, call: &OpenCall) {
        let Some(sent) = &call.sent else { return };
        if sent.ends.agent_incarnation == sent.submitted_to {
            return;
        }
        self.pending_commands
            .push_back(ControlCommand::ReportCrash {
                endpoint: SimulatedAgent::endpoint(sent.ends.agent),
                cache_epoch: sent.submitted_to,
                suspects: vec![call.caller_request.fingerprint],
            });
    }

    /// Passes a frame to the answer assembly of its call and handles the verdict.
    fn feed(
        &mut self,
        context: &mut EntryContext,
        key: AttemptKey,
        accept: impl FnOnce(&mut AnswerAssembly) -> AssemblyVerdict,
    ) {
        let Some(call) = self.calls.get_mut(&key.request) else {
            return;
        };
        let Some(sent) = call.sent.as_mut() else {
            return;
        };
        match accept(&mut sent.assembly) {
            AssemblyVerdict::Head(_) | AssemblyVerdict::Stale => {}
            AssemblyVerdict::Deliver(bytes) => deliver(context, sent, &bytes),
            AssemblyVerdict::Gap => {
                let resume = sent.assembly.resume_request();
                send(context, sent.ends, LinkMessage::Resume(resume));
            }
            AssemblyVerdict::Corrupt => context.oracle.counts.lost += 1,
            AssemblyVerdict::Complete(outcome) => {
                context.oracle.complete(sent.assembly.key(), sent.delivered);
                acknowledge(context, sent);
                self.complete(context, key, outcome);
            }
            AssemblyVerdict::Failed(outcome) => {
                if let Some(mut call) = self.calls.remove(&key.request) {
                    call.ledger.close(key, outcome);
                    let fault = FaultKind::EndpointFailed.because("the endpoint failed");
                    self.retry_or_end(context, call, fault);
                }
            }
        }
    }

    fn complete(&mut self, context: &mut EntryContext, key: AttemptKey, outcome: RunOutcome) {
        let Some(mut call) = self.calls.remove(&key.request) else {
            return;
        };
        call.ledger.close(key, outcome);
        if let Some(claim) = &call.caller_request.claim {
            context.oracle.settle(claim);
        }
        context
            .oracle
            .record_outcome(key.request, call.ledger.outcome());
        context.call_ends.push(CallEnd {
            caller_request: call.caller_request,
            fault: None,
        });
    }

    /// Sends another attempt if the ledger allows one, the request isn't quarantined, the answer
    /// has not started and attempts are left; ends the call otherwise.
    fn retry_or_end(&mut self, context: &mut EntryContext, mut call: OpenCall, fault: Fault) {
        let has_started = call
            .sent
            .as_ref()
            .is_some_and(|sent| sent.assembly.has_started());
        let attempts = call.ledger.next_key().attempt;
        let is_final = fault.kind == FaultKind::Quarantined;
        if has_started || is_final || attempts > MAX_ATTEMPTS || !call.ledger.may_send() {
            self.end(context, call, fault);
            return;
        }
        call.sent = None;
        self.try_send(context, call);
    }

    /// Ends a call with a fault.
    fn end(&mut self, context: &mut EntryContext, call: OpenCall, fault: Fault) {
        let fault = call.ledger.final_fault(fault);
        if fault.kind == FaultKind::Quarantined {
            context.oracle.work.quarantined += 1;
        }
        context
            .oracle
            .record_outcome(call.caller_request.request, fault.outcome());
        context.call_ends.push(CallEnd {
            caller_request: call.caller_request,
            fault: Some(fault),
        });
    }
}

fn deliver(context: &mut EntryContext, sent: &mut SentAttempt, bytes: &Bytes) {
    context
        .oracle
        .deliver(sent.assembly.key(), sent.delivered, bytes);
    sent.delivered += bytes.len();
    acknowledge(context, sent);
}

/// Consumes and acknowledges all delivered bytes; the simulated callers read without delay.
fn acknowledge(context: &mut EntryContext, sent: &mut SentAttempt) {
    sent.assembly.consume(usize::MAX);
    let ack = wire::answer::AckNotice {
        key: sent.assembly.key(),
        offset: sent.delivered as u64,
    };
    send(context, sent.ends, LinkMessage::Ack(ack));
}

fn submit_request(key: AttemptKey, caller_request: &CallerRequest) -> SubmitRequest {
    SubmitRequest {
        key,
        account: caller_request
            .claim
            .as_ref()
            .map_or(0, |claim| claim.account),
        service: 1,
        model: None,
        class: PriorityClass::Interactive,
        idempotent: caller_request.is_idempotent,
        claim: caller_request.claim.as_ref().map(|claim| claim.key.clone()),
        fingerprint: caller_request.fingerprint,
        prefixes: Vec::new(),
        prompt_tokens: 0,
        deadline: Duration::from_secs(60),
        hops: 0,
        method: String::new(),
        path: String::new(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

fn send(context: &mut EntryContext, ends: ConnectionEnds, message: LinkMessage) {
    let now = context.now;
    context.network.send(now, ends, FrameTarget::Agent, message);
}
