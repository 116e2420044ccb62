//! Attempts to run a call, one endpoint after another, until one answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use claim::CallLedger;
use fault::{Fault, FaultKind, RunOutcome};
use route::{RetryBudget, RouteRequest, WarmLocation};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use watch::record::AttemptResult;
use wire::answer::{AnswerHead, EndpointLoad, SubmitRequest};
use wire::command::{ClaimKey, ClaimRequest, RecordedAnswer};
use wire::id::EndpointId;

use crate::attempt::{AttemptEvent, AttemptStream};
use crate::claims::{ClaimVerdict, claim_call, release_claim};
use crate::core::EntryCore;
use crate::intake::CallRequest;
use crate::loss::AgentRun;
use crate::trace::CallTrace;

/// Longest wait for the agent's reply to the cancellation of an attempt.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(500);

/// An answer of which the head has arrived.
pub struct StartedAnswer {
    /// The head.
    pub head: AnswerHead,
    /// The stream of the body.
    pub stream: AttemptStream,
    /// The location where the chat is cached after this answer.
    pub location: WarmLocation,
}

/// The result of a call that did not fail.
pub enum CallResult {
    /// An endpoint has started to answer.
    Started(Box<StartedAnswer>),
    /// The call ran before; holds its recorded answer.
    Recorded(RecordedAnswer),
}

/// How one round over the endpoints ended.
enum RoundEnd {
    Done(CallResult),
    /// No endpoint answered and none may be tried any more in this round; holds the last fault.
    Unanswered(Fault),
}

/// Result of one attempt up to the start of its answer.
enum AttemptEnd {
    Started(Box<StartedAnswer>),
    Refused(Fault),
    Failed(Fault),
}

/// The endpoint to which an attempt is sent.
#[derive(Clone, Copy)]
struct AttemptTarget {
    endpoint: EndpointId,
    address: SocketAddr,
    cache_epoch: u64,
}

/// One call and the attempts made for it.
pub struct CallDispatch<'a> {
    core: &'a Arc<EntryCore>,
    call: &'a CallRequest,
    trace: &'a mut CallTrace,
    ledger: CallLedger,
    /// Endpoints that refused or failed the call in this round.
    tried: Vec<EndpointId>,
    deadline: Instant,
}

impl<'a> CallDispatch<'a> {
    /// Prepares the dispatch of `call`; [`Self::run`] makes the attempts.
    pub fn new(core: &'a Arc<EntryCore>, call: &'a CallRequest, trace: &'a mut CallTrace) -> Self {
        let submit = &call.submit;
        let ledger = CallLedger::new(submit.key.request, submit.idempotent);
        let deadline = call.arrived + submit.deadline;
        Self {
            core,
            call,
            trace,
            ledger,
            tried: Vec::new(),
            deadline: deadline.into(),
        }
    }

    /// Sends the call to one endpoint after another until one answers. When a round ends without an
    /// answer and its last fault is transient, another one follows after a back-off delay, within
    /// the retry limits and the deadline.
    ///
    /// # Errors
    /// Why the call is not answered. The outcome of the fault holds for all attempts together.
    pub async fn run(mut self) -> fault::Result<CallResult> {
        self.core.selector.lock().budget.record_first_attempt();
        let mut round = 1;
        loop {
            let last = match self.run_round().await? {
                RoundEnd::Done(result) => return Ok(result),
                RoundEnd::Unanswered(fault) => fault,
            };
            let Some(wait) = self.next_round_delay(&last, round) else {
                return Err(self.ledger.final_fault(last));
            };
            sleep(wait).await;
            self.tried.clear();
            round += 1;
        }
    }

    /// Sends the call to one endpoint after another until one answers or none may be tried.
    async fn run_round(&mut self) -> fault::Result<RoundEnd> {
        let mut last = FaultKind::NoEndpoint.because("no endpoint can serve this now");
        while let Some(target) = self.choose() {
            if let Some(answer) = self.claim(target.endpoint).await? {
                return Ok(RoundEnd::Done(CallResult::Recorded(answer)));
            }
            match self.attempt(target).await {
                AttemptEnd::Started(started) => {
                    return Ok(RoundEnd::Done(CallResult::Started(started)));
                }
                AttemptEnd::Refused(fault) | AttemptEnd::Failed(fault) => last = fault,
            }
            self.tried.push(target.endpoint);
            if !self.may_retry(&last) {
                break;
            }
        }
        Ok(RoundEnd::Unanswered(last))
    }

    /// Delay before the next round, or `None` when the call fails without another one.
    fn next_round_delay(&self, last: &Fault, round: u8) -> Option<Duration> {
        let mut selector = self.core.selector.lock();
        if !is_transient(last.kind)
            || round >= selector.budget.max_rounds()
            || !self.ledger.may_send()
        {
            return None;
        }
        let wait = selector.backoff_after(u32::from(round), last.retry_after);
        let has_time = Instant::now() + wait < self.deadline;
        (has_time && selector.try_next_round(last.kind)).then_some(wait)
    }

    fn choose(&mut self) -> Option<AttemptTarget> {
        let submit = &self.call.submit;
        let request = RouteRequest {
            service: submit.service,
            model: submit.model,
            affinity: self.call.affinity,
            hint: &self.call.hint,
            prefixes: &submit.prefixes,
            tried: &self.tried,
            limits: self.call.policy.load_limits(),
        };
        let mut selector = self.core.selector.lock();
        let decision = selector.choose(&request);
        self.trace.record_choice(&decision, &selector.table);
        let record = selector.table.record(decision.endpoint?)?;
        Some(AttemptTarget {
            endpoint: record.endpoint,
            address: record.address,
            cache_epoch: record.cache_epoch,
        })
    }

    /// Claims the call if it is non-idempotent and has an idempotency key. Returns the recorded
    /// answer if the call ran before.
    async fn claim(&mut self, endpoint: EndpointId) -> fault::Result<Option<RecordedAnswer>> {
        let Some(claim) = self.claim_key() else {
            return Ok(None);
        };
        let request = ClaimRequest {
            claim,
            fingerprint: self.call.submit.fingerprint,
            attempt: self.ledger.next_key(),
            endpoint,
            retention: self.call.policy.retention,
        };
        match claim_call(self.core, request).await {
            Ok(ClaimVerdict::Granted) => Ok(None),
            Ok(ClaimVerdict::Answered(answer)) => {
                self.core.selector.lock().table.remove_pending(endpoint);
                Ok(Some(answer))
            }
            Err(fault) => {
                self.core.selector.lock().table.remove_pending(endpoint);
                Err(self.ledger.final_fault(fault))
            }
        }
    }

    fn claim_key(&self) -> Option<ClaimKey> {
        let key = self.call.submit.claim.clone()?;
        Some(ClaimKey {
            account: self.call.submit.account,
            key,
        })
    }

    async fn attempt(&mut self, target: AttemptTarget) -> AttemptEnd {
        let Some(key) = self.ledger.open() else {
            return AttemptEnd::Failed(FaultKind::OutcomeUnknown.because("the call may have run"));
        };
        let submit = SubmitRequest {
            key,
            deadline: self.deadline.saturating_duration_since(Instant::now()),
            hops: u8::try_from(self.tried.len()).unwrap_or(u8::MAX),
            ..self.call.submit.clone()
        };
        let run = AgentRun {
            fingerprint: submit.fingerprint,
            endpoint: target.endpoint,
            cache_epoch: target.cache_epoch,
            admitted_by: None,
        };
        let sent = AttemptStream::send(self.core, target.address, run, submit).await;
        let end = match sent {
            Ok(stream) => self.await_head(target, stream).await,
            Err(fault) => {
                self.core
                    .selector
                    .lock()
                    .table
                    .observe_failure(target.endpoint, Instant::now().into());
                AttemptEnd::Refused(fault)
            }
        };
        self.record_attempt_end(target, key, &end);
        end
    }

    fn record_attempt_end(
        &mut self,
        target: AttemptTarget,
        key: wire::answer::AttemptKey,
        end: &AttemptEnd,
    ) {
        match end {
            AttemptEnd::Started(_) => {
                self.ledger.close(key, RunOutcome::Ran);
                self.trace.record_attempt(key, target.endpoint, None);
            }
            AttemptEnd::Refused(fault) => {
                self.ledger.close(key, fault.outcome());
                let result = AttemptResult::Refused(fault.kind);
                self.trace
                    .record_attempt(key, target.endpoint, Some(result));
                self.release_if_not_run(key, fault);
            }
            AttemptEnd::Failed(fault) => {
                self.ledger.mark_lost(key);
                let result = AttemptResult::Failed(fault.kind);
                self.trace
                    .record_attempt(key, target.endpoint, Some(result));
            }
        }
    }

    fn release_if_not_run(&self, key: wire::answer::AttemptKey, fault: &Fault) {
        if fault.outcome() != RunOutcome::NotRun {
            return;
        }
        if let Some(claim) = self.claim_key() {
            actix_rt::spawn(release_claim(Arc::clone(self.core), claim, key));
        }
    }

    async fn await_head(&mut self, target: AttemptTarget, mut stream: AttemptStream) -> AttemptEnd {
        let mut is_pending = true;
        loop {
            let Ok(event) = timeout_at(self.deadline, stream.next_event()).await else {
                return self.cancel_at_deadline(target, stream, is_pending).await;
            };
            match event {
                AttemptEvent::Admitted(load) => {
                    self.observe_reply(target.endpoint, load, is_pending);
                    is_pending = false;
                }
                AttemptEvent::Head(head) => {
                    let location = self.warm_location(target, &head);
                    let started = StartedAnswer {
                        head: *head,
                        stream,
                        location,
                    };
                    return AttemptEnd::Started(Box::new(started));
                }
                AttemptEvent::Refused(notice) => {
                    let now = Instant::now().into();
                    let mut selector = self.core.selector.lock();
                    let (kind, load) = (notice.fault.kind, notice.load);
                    selector
                        .table
                        .observe_refusal(target.endpoint, kind, load, now);
                    return AttemptEnd::Refused(notice.fault);
                }
                AttemptEvent::Failed(fault) => {
                    let now = Instant::now().into();
                    self.core
                        .selector
                        .lock()
                        .table
                        .observe_failure(target.endpoint, now);
                    return AttemptEnd::Failed(fault);
                }
                AttemptEvent::Bytes(_) | AttemptEvent::Complete(_) => {
                    debug_assert!(false, "the body arrived before the head");
                }
            }
        }
    }

    /// Cancels an attempt whose deadline passed, and waits for the agent's reply to learn whether
    /// it ran.
    async fn cancel_at_deadline(
        &self,
        target: AttemptTarget,
        mut stream: AttemptStream,
        is_pending: bool,
    ) -> AttemptEnd {
        stream.cancel();
        stream.give_up();
        let last = timeout(CANCEL_TIMEOUT, stream.next_event()).await;
        if is_pending {
            self.core
                .selector
                .lock()
                .table
                .remove_pending(target.endpoint);
        }
        match last {
            Ok(AttemptEvent::Refused(notice)) if notice.fault.outcome() == RunOutcome::NotRun => {
                let message = "the deadline passed before the request started";
                AttemptEnd::Refused(FaultKind::DeadlineUnmet.because(message))
            }
            _ => {
                let message = "the deadline passed before the answer began";
                AttemptEnd::Failed(FaultKind::DeadlinePassed.because(message))
            }
        }
    }

    fn observe_reply(&self, endpoint: EndpointId, load: EndpointLoad, is_pending: bool) {
        let now = Instant::now().into();
        let mut selector = self.core.selector.lock();
        if is_pending {
            selector.table.observe_reply(endpoint, load, now);
        } else {
            selector.table.observe_load(endpoint, load, now);
        }
    }

    fn warm_location(&self, target: AttemptTarget, head: &AnswerHead) -> WarmLocation {
        WarmLocation {
            endpoint: target.endpoint,
            cache_epoch: target.cache_epoch,
            tokens: self.call.submit.prompt_tokens.max(head.cached_tokens),
        }
    }

    /// Whether the call may be sent to another endpoint after `fault`. Takes a retry or a redirect
    /// from the budget if so.
    fn may_retry(&self, fault: &Fault) -> bool {
        let mut selector = self.core.selector.lock();
        let has_hops = self.tried.len() <= usize::from(selector.budget.max_hops());
        let has_time = Instant::now() < self.deadline;
        is_transient(fault.kind)
            && has_hops
            && has_time
            && self.ledger.may_send()
            && spend_budget(&mut selector.budget, fault.kind)
    }
}

/// Takes the next attempt from the matching budget: a redirect after a refusal, which ran nothing,
/// or a retry otherwise. Returns false if the budget is exhausted.
fn spend_budget(budget: &mut RetryBudget, kind: FaultKind) -> bool {
    match kind {
        FaultKind::Overloaded | FaultKind::Draining | FaultKind::NoEndpoint => {
            budget.try_redirect()
        }
        _ => budget.try_retry(),
    }
}

/// Whether another endpoint, or the same one later, may serve a call that failed with this kind.
fn is_transient(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::Overloaded
            | FaultKind::Draining
            | FaultKind::NoEndpoint
            | FaultKind::SettingsStale
            | FaultKind::EndpointFailed
            | FaultKind::ConnectionLost
    )
}
