//! Reports about ended attempts: claims, decision records, metrics.

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fault::{Fault, RunOutcome};
use watch::DecisionRecord;
use watch::record::{AgentDecision, DecisionPart};
use wire::command::{ControlCommand, RecordedAnswer};
use wire::id::name_id;

use crate::core::AgentCore;
use crate::session::AttemptSession;

impl AgentCore {
    /// Largest answer body, in bytes, that is recorded to answer retries of this request.
    pub fn recorded_limit(&self, session: &AttemptSession) -> usize {
        let fleet = self.shared.fleet.load();
        let account = self.account_name(session.submit.account);
        let service = self.endpoint_settings().unwrap_or_default().service;
        let policy = fleet.request_policy(&account, &service);
        usize::try_from(policy.max_recorded_bytes).unwrap_or(usize::MAX)
    }

    /// Reports the outcome of an attempt that holds a claim to control, retrying until control has
    /// decided. Does nothing for an attempt without a claim.
    pub fn record_claim(
        self: &Rc<Self>,
        session: &AttemptSession,
        outcome: RunOutcome,
        answer: Option<RecordedAnswer>,
    ) {
        let Some(claim) = session.claim() else { return };
        let command = ControlCommand::FinishClaim {
            claim,
            attempt: session.key(),
            outcome,
            answer,
        };
        let core = Rc::clone(self);
        core.pending_claim_records
            .set(core.pending_claim_records.get() + 1);
        actix_rt::spawn(async move {
            core.control.propose_until_decided(command).await;
            core.pending_claim_records
                .set(core.pending_claim_records.get() - 1);
        });
    }

    /// Tells the suspect gate that a run ended without a crash of the endpoint. If the request is a
    /// suspect, reports it to control: as cleared if it ran, or else its trial as dropped.
    pub fn release_gate(self: &Rc<Self>, session: &AttemptSession, outcome: RunOutcome) {
        let fingerprint = session.submit.fingerprint;
        let is_suspect = self.gate.borrow_mut().ended(fingerprint);
        if !is_suspect {
            return;
        }
        let command = match outcome {
            RunOutcome::Ran => ControlCommand::ClearSuspect { fingerprint },
            RunOutcome::NotRun | RunOutcome::Unknown => ControlCommand::DropTrial {
                fingerprint,
                attempt: session.key(),
            },
        };
        let core = Rc::clone(self);
        actix_rt::spawn(async move {
            core.control.propose_until_decided(command).await;
        });
    }

    /// Updates the metrics and adds a decision record at the end of a run.
    pub fn report_end(&self, session: &AttemptSession, fault: Option<&Fault>) {
        if let Some(fault) = fault {
            self.shared.metrics.record_failed(fault.kind);
        }
        self.push_decision(session, fault);
    }

    /// Updates the metrics and adds a decision record for a refusal.
    pub fn report_refusal(&self, session: &AttemptSession, fault: &Fault) {
        self.shared.metrics.record_refused(fault.kind);
        self.push_decision(session, Some(fault));
    }

    fn push_decision(&self, session: &AttemptSession, fault: Option<&Fault>) {
        let fleet = self.shared.fleet.load();
        let service = self.endpoint_settings().unwrap_or_default().service;
        let submit = &session.submit;
        let request = self.admit_request(submit);
        let limit = self.queue.borrow().load_limit(&request, Instant::now());
        let part = AgentDecision {
            endpoint: self.shared.settings.endpoint.clone(),
            attempt: submit.key.attempt,
            load: session.load_at_arrival,
            load_limit: limit.unwrap_or(0),
            queue_wait: session.queue_wait(),
            cached_tokens: session.cached_tokens(),
        };
        let models = fleet.services.get(&service).map(|found| &found.models);
        let model = submit
            .model
            .and_then(|id| models?.keys().find(|name| name_id(name) == id).cloned());
        self.shared.decisions().push(DecisionRecord {
            request: submit.key.request,
            time: wall_time(),
            instance: self.shared.settings.instance.name.clone(),
            account: self.account_name(submit.account),
            service,
            model,
            class: submit.class,
            part: DecisionPart::Agent(part),
            outcome: fault.map_or(RunOutcome::Ran, Fault::outcome),
            fault: fault.map(|fault| fault.kind),
            total: session.arrived_at.elapsed(),
        });
    }
}

fn wall_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
