//! The decision record and the metrics of a call.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fault::{Fault, FaultKind, RunOutcome};
use route::{Exclusion, RouteDecision, RouteTable};
use watch::entry::{AnswerSample, GapObserver};
use watch::record::{
    AttemptRecord, AttemptResult, CandidateRecord, DecisionPart, DecisionRecord, EntryDecision,
    ExclusionKind, MAX_ATTEMPTS, MAX_CANDIDATES,
};
use wire::answer::{AnswerHead, AttemptKey, PriorityClass};
use wire::id::{EndpointId, RequestId};

use crate::core::EntryCore;
use crate::intake::CallRequest;

/// The properties of a parsed call that its decision record and metrics contain.
#[derive(Clone, Debug, Default)]
struct CallProperties {
    account: String,
    service: String,
    model: Option<String>,
    class: PriorityClass,
    prompt_tokens: u32,
}

/// Collects the decision record and the metrics of one call. They are recorded when the trace is
/// dropped.
pub struct CallTrace {
    core: Arc<EntryCore>,
    request: RequestId,
    arrived: Instant,
    properties: CallProperties,
    decision: EntryDecision,
    queue_wait: Option<Duration>,
    cached_tokens: u32,
    first_token: Option<Duration>,
    last_part: Option<Instant>,
    gaps: Option<GapObserver>,
    /// How the call ended. `None` when the trace is dropped earlier, because the caller left.
    end: Option<(RunOutcome, Option<FaultKind>)>,
}

impl CallTrace {
    /// A trace without the properties of the call, which [`Self::identify`] records.
    pub fn new(core: Arc<EntryCore>, request: RequestId) -> Self {
        Self {
            core,
            request,
            arrived: Instant::now(),
            properties: CallProperties::default(),
            decision: EntryDecision::default(),
            queue_wait: None,
            cached_tokens: 0,
            first_token: None,
            last_part: None,
            gaps: None,
            end: None,
        }
    }

    /// Records the account, service, model, class and prompt length of the parsed call.
    pub fn identify(&mut self, call: &CallRequest) {
        self.arrived = call.arrived;
        self.properties = CallProperties {
            account: call.account.clone(),
            service: call.service.clone(),
            model: call.model.clone(),
            class: call.submit.class,
            prompt_tokens: call.submit.prompt_tokens,
        };
        self.gaps = Some(
            self.core
                .metrics
                .gap_observer(&call.account, call.submit.class),
        );
    }

    /// Records a selection. Its candidates replace those of the previous one.
    pub fn record_choice(&mut self, choice: &RouteDecision, table: &RouteTable) {
        let kept = choice.candidates.iter().take(MAX_CANDIDATES);
        self.decision.candidates = kept
            .map(|candidate| {
                let record = table.record(candidate.endpoint);
                CandidateRecord {
                    endpoint: record.map_or_else(String::new, |found| found.name.clone()),
                    domain: record.map_or_else(String::new, |found| found.domain_name.clone()),
                    load: table.load(candidate.endpoint).unwrap_or_default(),
                    warm_tokens: candidate.warm_tokens,
                    excluded: candidate.exclusion.map(exclusion_kind),
                }
            })
            .collect();
        let kept = u32::try_from(self.decision.candidates.len()).unwrap_or(u32::MAX);
        self.decision.omitted = choice.known.saturating_sub(kept);
        self.decision.mean_load = choice.mean;
        self.decision.choice = choice
            .endpoint
            .map(|endpoint| endpoint_name(table, endpoint));
    }

    /// Records the result of an attempt; `None` when it was answered.
    pub fn record_attempt(
        &mut self,
        key: AttemptKey,
        endpoint: EndpointId,
        result: Option<AttemptResult>,
    ) {
        if matches!(result, Some(AttemptResult::Refused(_))) {
            self.decision.hops = self.decision.hops.saturating_add(1);
        }
        if self.decision.attempts.len() < MAX_ATTEMPTS {
            let name = endpoint_name(&self.core.selector.lock().table, endpoint);
            self.decision.attempts.push(AttemptRecord {
                attempt: key.attempt,
                endpoint: name,
                result: result.unwrap_or(AttemptResult::Answered),
            });
        }
    }

    /// Records the head of the answer.
    pub fn record_head(&mut self, head: &AnswerHead) {
        self.queue_wait = Some(head.queue_wait);
        self.cached_tokens = head.cached_tokens;
    }

    /// Records the time of the first part of the answer's body, or the gap before a later part.
    pub fn record_part(&mut self) {
        let now = Instant::now();
        match self.last_part.replace(now) {
            None => self.first_token = Some(now - self.arrived),
            Some(last) => {
                if let Some(gaps) = &self.gaps {
                    gaps.observe(now - last);
                }
            }
        }
    }

    /// Records that the call ended with a complete answer.
    pub fn finish(&mut self) {
        self.end = Some((RunOutcome::Ran, None));
    }

    /// Records that the call ended with a fault.
    pub fn fail(&mut self, fault: &Fault) {
        self.core.metrics.record_fault(fault.kind);
        self.end = Some((fault.outcome(), Some(fault.kind)));
    }
}

impl Drop for CallTrace {
    fn drop(&mut self) {
        let (outcome, fault) = self
            .end
            .unwrap_or((RunOutcome::Unknown, Some(FaultKind::Cancelled)));
        let total = self.arrived.elapsed();
        let properties = std::mem::take(&mut self.properties);
        if !properties.service.is_empty() {
            self.core.metrics.record(&AnswerSample {
                account: &properties.account,
                service: &properties.service,
                model: properties.model.as_deref(),
                class: properties.class,
                outcome,
                fault,
                first_token: self.first_token,
                queue_wait: self.queue_wait,
                total,
                prompt_tokens: properties.prompt_tokens,
                cached_tokens: self.cached_tokens,
                attempts: u32::try_from(self.decision.attempts.len()).unwrap_or(u32::MAX),
            });
        }
        let mut decision = std::mem::take(&mut self.decision);
        decision.first_token = self.first_token.unwrap_or_default();
        self.core.decisions().push(DecisionRecord {
            request: self.request,
            time: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            instance: self.core.settings.instance.name.clone(),
            account: properties.account,
            service: properties.service,
            model: properties.model,
            class: properties.class,
            part: DecisionPart::Entry(decision),
            outcome,
            fault,
            total,
        });
    }
}

fn endpoint_name(table: &RouteTable, endpoint: EndpointId) -> String {
    table
        .record(endpoint)
        .map_or_else(|| format!("{endpoint:016x}"), |found| found.name.clone())
}

fn exclusion_kind(exclusion: Exclusion) -> ExclusionKind {
    match exclusion {
        Exclusion::Leaving => ExclusionKind::Leaving,
        Exclusion::Joining => ExclusionKind::Joining,
        Exclusion::Down | Exclusion::Unknown => ExclusionKind::Down,
        Exclusion::Suspect => ExclusionKind::Failed,
        Exclusion::Tried => ExclusionKind::Refused,
        Exclusion::Loaded => ExclusionKind::AboveAim,
        Exclusion::Misplaced => ExclusionKind::NotPlaced,
        Exclusion::Cold => ExclusionKind::RankedLower,
    }
}
