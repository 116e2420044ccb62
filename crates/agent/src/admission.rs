//! Handling of an attempt from its submission to its start or refusal.

use std::rc::Rc;
use std::time::Instant;

use admit::{AdmitAction, AdmitRequest};
use claim::gate::GateVerdict;
use claim::{CancelVerdict, SubmitVerdict};
use fault::{Fault, FaultKind};
use link::LinkSender;
use tokio::time::{sleep_until, timeout};
use wire::LinkMessage;
use wire::answer::{AdmitNotice, AttemptKey, RefuseNotice, SubmitRequest};
use wire::command::{ControlCommand, ControlReply};
use wire::id::{FingerprintHash, ServiceId, name_id};

use crate::core::AgentCore;
use crate::run::run_attempt;
use crate::session::{AttemptSession, send_answer};

impl AgentCore {
    /// Handles an attempt submitted by an entry.
    pub fn submit(self: &Rc<Self>, submit: SubmitRequest, sender: LinkSender) {
        let key = submit.key;
        let verdict = self
            .attempts
            .borrow_mut()
            .submit(Instant::now(), key, submit.idempotent);
        match verdict {
            SubmitVerdict::Accepted { superseded } => {
                if let Some(earlier) = superseded {
                    let fault = FaultKind::Fenced.because("a later attempt replaced it");
                    self.cancel_attempt(earlier, fault);
                }
                self.open_session(submit, sender);
            }
            SubmitVerdict::Refuse(kind) => {
                let fault = kind.because("the attempt may not run here");
                let notice = RefuseNotice {
                    key,
                    fault,
                    load: self.load(),
                };
                let _ = sender.try_send(LinkMessage::Refused(notice));
            }
            SubmitVerdict::Duplicate(_) => log::debug!("agent: ignored a duplicate submission."),
        }
    }

    fn open_session(self: &Rc<Self>, submit: SubmitRequest, sender: LinkSender) {
        let (key, service) = (submit.key, submit.service);
        let fingerprint = submit.fingerprint;
        let session = Rc::new(AttemptSession::new(submit, self.load(), sender));
        self.sessions.borrow_mut().insert(key, Rc::clone(&session));
        actix_rt::spawn(send_answer(Rc::clone(self), session));
        let checked = self
            .check_lease()
            .and_then(|()| self.check_service(service));
        if let Err(fault) = checked {
            self.refuse_attempt(key, fault);
            return;
        }
        let verdict = self.gate.borrow().check(fingerprint);
        match verdict {
            GateVerdict::Run => self.offer(key),
            GateVerdict::Refuse => self.refuse_attempt(key, quarantine_fault()),
            GateVerdict::Alone => {
                actix_rt::spawn(request_permit(Rc::clone(self), key, fingerprint));
            }
        }
    }

    /// Checks that new work may start: settings are in force, and their lease has not lapsed if the
    /// service is set to refuse work without a valid lease.
    fn check_lease(&self) -> fault::Result<()> {
        let service = self.endpoint_settings().unwrap_or_default().service;
        self.holder.borrow().check_lease(&service, Instant::now())
    }

    /// Checks that the endpoint belongs to the service of a request. An entry may have sent it to the
    /// address that another agent had, or under settings that are no longer in force.
    fn check_service(&self, service: ServiceId) -> fault::Result<()> {
        let own = self.endpoint_settings().map(|own| name_id(&own.service));
        match own.is_none_or(|own| own == service) {
            true => Ok(()),
            false => Err(FaultKind::NoEndpoint.because("the endpoint belongs to another service")),
        }
    }

    fn offer(self: &Rc<Self>, key: AttemptKey) {
        let Some(session) = self.session(key) else {
            return;
        };
        let request = self.admit_request(&session.submit);
        let actions = self.queue.borrow_mut().offer(request, Instant::now());
        self.perform(actions);
        self.queue_changed.notify_one();
    }

    /// Builds the queue's request for a submitted attempt, with the limits of its account.
    pub fn admit_request(&self, submit: &SubmitRequest) -> AdmitRequest {
        let fleet = self.shared.fleet.load();
        let account = self.account_name(submit.account);
        let service = self.endpoint_settings().unwrap_or_default().service;
        let policy = fleet.request_policy(&account, &service);
        AdmitRequest {
            key: submit.key,
            account: submit.account,
            class: submit.class,
            deadline: Instant::now() + submit.deadline,
            hops: submit.hops,
            is_warm: self.is_warm(submit),
            share: policy.share,
            rate_per_second: policy.rate_per_second,
            concurrency: policy.concurrency,
        }
    }

    /// Whether the endpoint's cache is estimated to hold more than half of the prompt's prefixes.
    fn is_warm(&self, submit: &SubmitRequest) -> bool {
        let match_depth = self.warm_prefixes.borrow().match_depth(&submit.prefixes);
        match_depth > submit.prefixes.len() / 2
    }

    /// Performs the actions that the queue returned.
    pub fn perform(self: &Rc<Self>, actions: Vec<AdmitAction>) {
        for action in actions {
            match action {
                AdmitAction::Queue(key) => self.notify_admitted(key),
                AdmitAction::Start(key) => self.gated.borrow_mut().push_back(key),
                AdmitAction::Refuse { key, fault } => self.refuse_attempt(key, fault),
            }
        }
        self.start_gated();
    }

    /// Starts the attempts that the queue has started and the suspect gate allows. The others stay
    /// in `gated`, or are refused if they are quarantined.
    pub fn start_gated(self: &Rc<Self>) {
        let gated = std::mem::take(&mut *self.gated.borrow_mut());
        for key in gated {
            let Some(session) = self.session(key) else {
                continue;
            };
            let fingerprint = session.submit.fingerprint;
            let (verdict, may_start) = {
                let gate = self.gate.borrow();
                (gate.check(fingerprint), gate.may_start(key, fingerprint))
            };
            if verdict == GateVerdict::Refuse {
                self.refuse_started(key, quarantine_fault());
            } else if may_start {
                self.start_attempt(key, &session);
            } else {
                self.gated.borrow_mut().push_back(key);
            }
        }
    }

    fn start_attempt(self: &Rc<Self>, key: AttemptKey, session: &Rc<AttemptSession>) {
        if !self.attempts.borrow_mut().start(key) {
            // Cancelled or fenced while the gate held it back.
            self.free_slot(key);
            return;
        }
        self.gate
            .borrow_mut()
            .started(key, session.submit.fingerprint);
        session.mark_started();
        self.warm_prefixes
            .borrow_mut()
            .record(&session.submit.prefixes);
        self.notify_admitted(key);
        let account = self.account_name(session.submit.account);
        let wait = session.queue_wait();
        self.shared.metrics.record_admitted(&account);
        self.shared
            .metrics
            .record_started(&account, session.submit.class, wait);
        actix_rt::spawn(run_attempt(Rc::clone(self), Rc::clone(session)));
    }

    fn notify_admitted(&self, key: AttemptKey) {
        if let Some(session) = self.session(key) {
            let notice = AdmitNotice {
                key,
                load: self.load(),
                incarnation: self.incarnation(),
            };
            session.send_notice(LinkMessage::Admitted(notice));
        }
    }

    /// Refuses an attempt that has not started; it has not run and never will.
    pub fn refuse_attempt(self: &Rc<Self>, key: AttemptKey, fault: Fault) {
        if !self
            .attempts
            .borrow_mut()
            .refuse(Instant::now(), key, fault.kind)
        {
            return;
        }
        self.drop_waiting(key, fault);
    }

    /// Refuses an attempt that the queue has started and the gate holds back, and frees its slot.
    fn refuse_started(self: &Rc<Self>, key: AttemptKey, fault: Fault) {
        self.refuse_attempt(key, fault);
        self.free_slot(key);
    }

    /// Frees the slot of an attempt, and starts the requests that waited for it.
    pub fn free_slot(self: &Rc<Self>, key: AttemptKey) {
        let actions = self.queue.borrow_mut().finish(key, Instant::now());
        self.perform(actions);
        self.queue_changed.notify_one();
    }

    /// Removes the session of an attempt that was refused or cancelled before it started, and
    /// notifies the entry.
    fn drop_waiting(self: &Rc<Self>, key: AttemptKey, fault: Fault) {
        let Some(session) = self.sessions.borrow_mut().remove(&key) else {
            return;
        };
        session.close();
        let fingerprint = session.submit.fingerprint;
        if self.gate.borrow_mut().drop_permit(key, fingerprint) {
            actix_rt::spawn(drop_trial(Rc::clone(self), key, fingerprint));
        }
        self.report_refusal(&session, &fault);
        self.notify_refusal(&session, fault);
    }

    /// Cancels an attempt. A running attempt is stopped only if it is idempotent; otherwise it
    /// continues, so that its answer can be recorded.
    pub fn cancel_attempt(self: &Rc<Self>, key: AttemptKey, fault: Fault) {
        let verdict = self.attempts.borrow_mut().cancel(Instant::now(), key);
        match verdict {
            CancelVerdict::NotRun => {
                self.queue.borrow_mut().cancel(key);
                self.drop_waiting(
                    key,
                    FaultKind::Cancelled.because("cancelled before it started"),
                );
                self.free_slot(key);
            }
            CancelVerdict::Stop => {
                if let Some(session) = self.session(key) {
                    if session.submit.idempotent {
                        session.stop(fault);
                    } else {
                        session.detach();
                    }
                }
            }
            CancelVerdict::Ended(_) | CancelVerdict::Lost => {}
        }
    }
}

/// Requests control's permit to run a suspect, then offers the attempt to the queue.
async fn request_permit(core: Rc<AgentCore>, key: AttemptKey, fingerprint: FingerprintHash) {
    let endpoint = core.endpoint;
    let command = ControlCommand::TrySuspect {
        fingerprint,
        endpoint,
        attempt: key,
    };
    match core.control.propose(command).await {
        Ok(ControlReply::Recorded) => {
            if core.session(key).is_some() {
                core.gate.borrow_mut().permit(key, fingerprint);
                core.offer(key);
            } else {
                drop_trial(core, key, fingerprint).await;
            }
        }
        Ok(ControlReply::Refused(fault)) | Err(fault) => core.refuse_attempt(key, fault),
        Ok(other) => {
            let message = format!("control gave another answer: {other:?}");
            core.refuse_attempt(key, FaultKind::ControlUnreachable.because(message));
        }
    }
}

/// Returns the unused permit of a suspect to control.
async fn drop_trial(core: Rc<AgentCore>, attempt: AttemptKey, fingerprint: FingerprintHash) {
    core.control
        .propose_until_decided(ControlCommand::DropTrial {
            fingerprint,
            attempt,
        })
        .await;
}

/// Refuses waiting attempts when their deadline passes. Runs until the process ends.
pub async fn watch_deadlines(core: Rc<AgentCore>) {
    loop {
        let wake = core.queue.borrow().next_wake(Instant::now());
        let changed = core.queue_changed.notified();
        match wake {
            None => changed.await,
            Some(at) => {
                let until = at.saturating_duration_since(Instant::now());
                if timeout(until, changed).await.is_ok() {
                    continue;
                }
                sleep_until(at.into()).await;
                let actions = core.queue.borrow_mut().tick(Instant::now());
                core.perform(actions);
            }
        }
    }
}

fn quarantine_fault() -> Fault {
    FaultKind::Quarantined.because("this request crashed endpoints and is quarantined")
}
