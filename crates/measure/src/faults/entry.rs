//! An entry and its calls.

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

use crate::faults::agent::{ModelAgent, is_poison};
use crate::faults::network::{ConnectionEnds, FrameNetwork, FrameTarget};
use crate::faults::oracle::RunOracle;
use crate::faults::quorum::ControlQuorum;

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Retention that claims ask for.
const RETENTION: Duration = Duration::from_secs(15 * 60);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Chosen by the entry.
    pub request: RequestId,
    /// The caller's idempotency key.
    pub claim: Option<ClaimKey>,
    /// The work.
    pub fingerprint: FingerprintHash,
    /// Whether a second execution is harmless.
    pub is_idempotent: bool,
}

/// What the caller is told at the end.
#[derive(Clone, Debug)]
pub struct CallEnd {
    /// The request.
    pub asked: CallerRequest,
    /// Why it failed, or `None` when its answer is whole.
    pub fault: Option<Fault>,
}

/// A request under way.
struct OpenCall {
    asked: CallerRequest,
    ledger: CallLedger,
    /// The attempt under way. None before the first.
    sent: Option<SentAttempt>,
}

/// An attempt under way and the answer so far.
struct SentAttempt {
    ends: ConnectionEnds,
    /// Life of the agent that the attempt was sent to.
    submitted_to: u64,
    assembly: AnswerAssembly,
    /// Bytes that the caller has.
    delivered: usize,
}

/// What the entry shares with the rest of the world for one step.
pub struct EntryContext<'a> {
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
    /// Lives of the agents.
    pub agent_lives: &'a [u64],
    /// What callers are told in this step.
    pub ends: &'a mut Vec<CallEnd>,
}

/// One life of an entry after the other.
pub struct ModelEntry {
    index: usize,
    /// The entry's life.
    pub life: u64,
    calls: BTreeMap<RequestId, OpenCall>,
    /// Commands that control has not decided, in order.
    owed: VecDeque<ControlCommand>,
    /// Settings of this life.
    pub holder: SettingsHolder,
}

impl ModelEntry {
    /// The first life of an entry.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            life: 1,
            calls: BTreeMap::new(),
            owed: VecDeque::new(),
            holder: SettingsHolder::default(),
        }
    }

    /// Takes a request of a caller.
    pub fn begin(&mut self, context: &mut EntryContext, asked: CallerRequest) {
        context.oracle.work.requests += 1;
        let call = OpenCall {
            ledger: CallLedger::new(asked.request, asked.is_idempotent),
            asked,
            sent: None,
        };
        self.try_send(context, call);
    }

    /// Takes a frame of an agent.
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

    /// Finds the connection of a call silent and resumes on a new one.
    pub fn reconnect(&mut self, context: &mut EntryContext, request: RequestId) {
        let Some(sent) = self.calls.get_mut(&request).and_then(|c| c.sent.as_mut()) else {
            return;
        };
        sent.ends.agent_life = context.agent_lives[sent.ends.agent];
        let resume = sent.assembly.resume_request();
        send(context, sent.ends, LinkMessage::Resume(resume));
        let ack = sent.assembly.repeat_ack();
        send(context, sent.ends, LinkMessage::Ack(ack));
    }

    /// Gives up waiting for the attempt of a call.
    pub fn lose(&mut self, context: &mut EntryContext, request: RequestId) {
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

    /// The caller leaves, or its deadline passes.
    pub fn leave(&mut self, context: &mut EntryContext, request: RequestId, kind: FaultKind) {
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

    /// Sends control what it is owed, as far as decisions come.
    pub fn pay(&mut self, context: &mut EntryContext) {
        while let Some(command) = self.owed.front() {
            if context.quorum.propose(context.rng, command).is_none() {
                return;
            }
            self.owed.pop_front();
        }
    }

    /// The entry's process dies and a new one starts. Its callers are told nothing.
    pub fn restart(&mut self) {
        let (index, life) = (self.index, self.life + 1);
        *self = Self::new(index);
        self.life = life;
    }

    /// Any call under way.
    pub fn any_call(&self, rng: &mut Pcg64Mcg) -> Option<RequestId> {
        if self.calls.is_empty() {
            return None;
        }
        let index = rng.random_range(0..self.calls.len());
        self.calls.keys().nth(index).copied()
    }

    /// Whether the entry waits for the answer of an attempt.
    pub fn awaits(&self, key: AttemptKey) -> bool {
        let call = self.calls.get(&key.request);
        call.is_some_and(|call| call.ledger.is_current(key))
    }

    /// Every call under way.
    pub fn requests(&self) -> Vec<RequestId> {
        self.calls.keys().copied().collect()
    }

    /// Whether the caller of a request that crashes endpoints waits and then sends it again.
    pub fn is_stubborn(&self, request: RequestId) -> bool {
        let call = self.calls.get(&request);
        call.is_some_and(|call| is_poison(call.asked.fingerprint))
    }

    /// Whether nothing is left to do.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.owed.is_empty()
    }

    /// Broken invariants.
    pub fn broken(&self) -> u64 {
        let ledgers = self.calls.values().map(|call| call.ledger.verify());
        let sent = self.calls.values().filter_map(|call| call.sent.as_ref());
        let assemblies = sent.map(|sent| sent.assembly.verify());
        ledgers.chain(assemblies).filter(Result::is_err).count() as u64
    }

    /// Claims the request if it has a key, and sends its next attempt.
    fn try_send(&mut self, context: &mut EntryContext, mut call: OpenCall) {
        let agent = context.rng.random_range(0..context.agent_lives.len());
        if let Some(claim) = call.asked.claim.clone()
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
            entry_life: self.life,
            agent,
            agent_life: context.agent_lives[agent],
        };
        let submit = submit_request(key, &call.asked);
        send(context, ends, LinkMessage::Submit(Box::new(submit)));
        call.sent = Some(SentAttempt {
            ends,
            submitted_to: ends.agent_life,
            assembly: AnswerAssembly::new(key),
            delivered: 0,
        });
        self.calls.insert(call.asked.request, call);
    }

    /// Claims the next attempt of a call.
    ///
    /// # Errors
    /// The fault to tell, or `None` when the caller has the recorded answer.
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
            fingerprint: call.asked.fingerprint,
            attempt,
            endpoint: ModelAgent::endpoint(agent),
            retention: RETENTION,
        });
        match context.quorum.propose(context.rng, &command) {
            Some(ControlReply::ClaimGranted) => Ok(()),
            Some(ControlReply::ClaimAnswered(answer)) => {
                context
                    .oracle
                    .replay(&claim, call.asked.fingerprint, &answer);
                context.oracle.tell(call.asked.request, RunOutcome::Ran);
                Err(None)
            }
            Some(ControlReply::Refused(fault)) => Err(Some(fault)),
            _ => {
                // The claim may be committed; the attempt was never sent.
                self.finish_claim(&call.asked, attempt, RunOutcome::NotRun);
                Err(Some(
                    FaultKind::ControlUnreachable.because("no quorum answered"),
                ))
            }
        }
    }

    fn finish_claim(&mut self, asked: &CallerRequest, attempt: AttemptKey, outcome: RunOutcome) {
        if let Some(claim) = asked.claim.clone() {
            self.owed.push_back(ControlCommand::FinishClaim {
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
        self.finish_claim(&call.asked, notice.key, outcome);
        if notice.fault.kind == FaultKind::ConnectionLost {
            self.report_lost(&call);
        }
        self.pay(context);
        self.retry_or_end(context, call, notice.fault);
    }

    /// The agent died with the attempt. Its endpoint may have died with it, and with it the report
    /// of what was running, so the entry reports what it had there.
    fn report_lost(&mut self, call: &OpenCall) {
        let Some(sent) = &call.sent else { return };
        if sent.ends.agent_life == sent.submitted_to {
            return;
        }
        self.owed.push_back(ControlCommand::ReportCrash {
            endpoint: ModelAgent::endpoint(sent.ends.agent),
            cache_epoch: sent.submitted_to,
            suspects: vec![call.asked.fingerprint],
        });
    }

    /// Gives a frame to the assembly of its call and acts on the verdict.
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
        if let Some(claim) = &call.asked.claim {
            context.oracle.settle(claim);
        }
        context.oracle.tell(key.request, call.ledger.outcome());
        context.ends.push(CallEnd {
            asked: call.asked,
            fault: None,
        });
    }

    /// Sends another attempt where that is harmless and nothing was delivered.
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

    /// Tells the caller of a failure.
    fn end(&mut self, context: &mut EntryContext, call: OpenCall, fault: Fault) {
        let fault = call.ledger.final_fault(fault);
        if fault.kind == FaultKind::Quarantined {
            context.oracle.work.quarantined += 1;
        }
        context.oracle.tell(call.asked.request, fault.outcome());
        context.ends.push(CallEnd {
            asked: call.asked,
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

/// The caller takes everything at once; every byte is acknowledged, as answers are short here.
fn acknowledge(context: &mut EntryContext, sent: &mut SentAttempt) {
    sent.assembly.consume(usize::MAX);
    let ack = wire::answer::AckNotice {
        key: sent.assembly.key(),
        offset: sent.delivered as u64,
    };
    send(context, sent.ends, LinkMessage::Ack(ack));
}

fn submit_request(key: AttemptKey, asked: &CallerRequest) -> SubmitRequest {
    SubmitRequest {
        key,
        account: asked.claim.as_ref().map_or(0, |claim| claim.account),
        service: 1,
        model: None,
        class: PriorityClass::Interactive,
        idempotent: asked.is_idempotent,
        claim: asked.claim.as_ref().map(|claim| claim.key.clone()),
        fingerprint: asked.fingerprint,
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
