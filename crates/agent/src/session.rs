//! The answer of one attempt on its way to the entry.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use claim::AnswerTail;
use fault::{Fault, FaultKind, RunOutcome};
use link::LinkSender;
use tokio::sync::Notify;
use tokio::time::timeout;
use wire::LinkMessage;
use wire::answer::{
    AnswerHead, AttemptKey, EndpointLoad, RefuseNotice, ResumeRequest, SubmitRequest,
};
use wire::command::ClaimKey;

use crate::core::AgentCore;

/// Bytes of an answer that may be unacknowledged.
const WINDOW_BYTES: usize = 256 * 1024;
/// How long an answer is kept after its end, for an entry that lost the end.
const RETENTION_AFTER_END: Duration = Duration::from_secs(30);
/// How long a running attempt goes on without a connection to its entry.
const DISCONNECTED_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a caller may take nothing while its answer waits.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// One attempt that is queued, running, or has ended a moment ago.
pub struct AttemptSession {
    /// What was submitted.
    pub submit: SubmitRequest,
    /// When it arrived.
    pub arrived_at: Instant,
    /// Load of the endpoint when it arrived.
    pub load_at_arrival: EndpointLoad,
    /// When it started at the endpoint.
    started_at: Cell<Option<Instant>>,
    cached_tokens: Cell<u32>,
    has_head: Cell<bool>,
    /// What the entry was told instead of an answer.
    refusal: RefCell<Option<RefuseNotice>>,
    tail: RefCell<AnswerTail>,
    /// Connection of the entry, while there is one.
    sender: RefCell<Option<LinkSender>>,
    /// Told when there is something to send, or a new connection.
    changed: Notify,
    /// Told when bytes were acknowledged.
    acknowledged: Notify,
    /// Told when the attempt has to stop.
    stop_requested: Notify,
    /// Why it has to stop.
    stop_fault: RefCell<Option<Fault>>,
    is_closed: Cell<bool>,
}

impl AttemptSession {
    /// A session whose entry is connected by `sender`.
    pub fn new(submit: SubmitRequest, load: EndpointLoad, sender: LinkSender) -> Self {
        Self {
            tail: RefCell::new(AnswerTail::new(submit.key, WINDOW_BYTES)),
            submit,
            arrived_at: Instant::now(),
            load_at_arrival: load,
            started_at: Cell::new(None),
            cached_tokens: Cell::new(0),
            has_head: Cell::new(false),
            refusal: RefCell::default(),
            sender: RefCell::new(Some(sender)),
            changed: Notify::new(),
            acknowledged: Notify::new(),
            stop_requested: Notify::new(),
            stop_fault: RefCell::default(),
            is_closed: Cell::new(false),
        }
    }

    /// The attempt.
    pub fn key(&self) -> AttemptKey {
        self.submit.key
    }

    /// The claim that the attempt holds.
    pub fn claim(&self) -> Option<ClaimKey> {
        let key = self.submit.claim.clone()?;
        Some(ClaimKey {
            account: self.submit.account,
            key,
        })
    }

    /// Takes in that the endpoint has the request.
    pub fn mark_started(&self) {
        self.started_at.set(Some(Instant::now()));
    }

    /// Time that the attempt waited, or has waited so far.
    pub fn queue_wait(&self) -> Duration {
        self.started_at.get().unwrap_or_else(Instant::now) - self.arrived_at
    }

    /// Prompt tokens that the endpoint found in its cache.
    pub fn cached_tokens(&self) -> u32 {
        self.cached_tokens.get()
    }

    /// Whether the endpoint began to answer.
    pub fn has_head(&self) -> bool {
        self.has_head.get()
    }

    /// Whether the entry has everything that there is to tell.
    pub fn is_delivered(&self) -> bool {
        self.refusal.borrow().is_some() || self.tail.borrow().is_acknowledged()
    }

    /// Takes the head of the answer.
    pub fn push_head(&self, head: AnswerHead) {
        self.has_head.set(true);
        self.cached_tokens.set(head.cached_tokens);
        self.tail.borrow_mut().set_head(head);
        self.changed.notify_one();
    }

    /// Takes bytes of the answer.
    pub fn push_bytes(&self, bytes: Bytes) {
        self.tail.borrow_mut().push(bytes);
        self.changed.notify_one();
    }

    /// Ends the answer.
    pub fn push_end(&self, outcome: RunOutcome) {
        self.tail.borrow_mut().finish(outcome);
        self.changed.notify_one();
    }

    /// Waits until the entry has taken enough for more to be read from the endpoint.
    ///
    /// # Errors
    /// `SlowCaller` when nothing is taken for too long.
    pub async fn wait_for_room(&self) -> fault::Result<()> {
        while self.tail.borrow().room() == 0 {
            let woken = timeout(STALL_TIMEOUT, self.acknowledged.notified()).await;
            woken.map_err(|_| FaultKind::SlowCaller.because("the caller takes no more bytes"))?;
        }
        Ok(())
    }

    /// Takes an acknowledgement in.
    pub fn ack(&self, offset: u64) {
        self.tail.borrow_mut().ack(offset);
        self.acknowledged.notify_one();
        self.changed.notify_one();
    }

    /// Goes on over a new connection.
    ///
    /// # Errors
    /// The bytes that the entry needs are gone.
    pub fn resume(&self, request: &ResumeRequest, sender: LinkSender) -> claim::tail::Result<()> {
        self.tail.borrow_mut().resume(request)?;
        *self.sender.borrow_mut() = Some(sender);
        // A refusal may have been lost with the connection before.
        if let Some(notice) = self.refusal.borrow().clone() {
            self.send_notice(LinkMessage::Refused(notice));
        }
        self.changed.notify_one();
        Ok(())
    }

    /// Sends a message that is no part of the answer.
    pub fn send_notice(&self, message: LinkMessage) {
        if let Some(sender) = self.sender.borrow().as_ref() {
            // A connection that is gone is resumed, and the agent then repeats what it said.
            let _ = sender.try_send(message);
        }
    }

    /// Nobody will read the answer any more: the run goes on to its end without a window.
    pub fn detach(&self) {
        self.tail.borrow_mut().detach();
        self.acknowledged.notify_one();
    }

    /// Asks the run to stop.
    pub fn stop(&self, fault: Fault) {
        self.stop_fault.borrow_mut().get_or_insert(fault);
        self.stop_requested.notify_one();
    }

    /// Waits until the run has to stop. Returns why.
    pub async fn wait_for_stop(&self) -> Fault {
        loop {
            if let Some(fault) = self.stop_fault.borrow().clone() {
                return fault;
            }
            self.stop_requested.notified().await;
        }
    }

    /// Lets the session go.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.changed.notify_one();
    }
}

/// Sends the answer of a session until it is closed.
pub async fn send_answer(core: Rc<AgentCore>, session: Rc<AttemptSession>) {
    while !session.is_closed.get() {
        let sender = session.sender.borrow().clone();
        let is_open = sender.as_ref().is_some_and(|sender| !sender.is_closed());
        let Some(sender) = sender.filter(|_| is_open) else {
            wait_for_connection(&core, &session).await;
            continue;
        };
        let message = session.tail.borrow_mut().next_message(core.load());
        match message {
            Some(message) => {
                // A failed send shows as a closed connection above.
                let _ = sender.send(message).await;
            }
            None => {
                tokio::select! {
                    () = session.changed.notified() => {}
                    () = sender.closed() => {}
                }
            }
        }
    }
}

/// Waits until the entry has resumed. A run whose entry stays away is stopped, unless the endpoint
/// must not be interrupted.
async fn wait_for_connection(core: &Rc<AgentCore>, session: &Rc<AttemptSession>) {
    *session.sender.borrow_mut() = None;
    if timeout(DISCONNECTED_TIMEOUT, session.changed.notified())
        .await
        .is_ok()
    {
        return;
    }
    if session.sender.borrow().is_some() {
        return;
    }
    if session.submit.idempotent {
        let message = "the entry is gone";
        core.cancel_attempt(session.key(), FaultKind::ConnectionLost.because(message));
        session.close();
    } else {
        session.detach();
    }
}

impl AgentCore {
    /// Keeps the session of an ended attempt for a while, then lets it go.
    pub fn retire_session(self: &Rc<Self>, key: AttemptKey) {
        let core = Rc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(RETENTION_AFTER_END).await;
            if let Some(session) = core.sessions.borrow_mut().remove(&key) {
                session.close();
            }
        });
    }

    /// Tells the entry that an attempt was refused or failed.
    pub fn notify_refusal(&self, session: &AttemptSession, fault: Fault) {
        let notice = RefuseNotice {
            key: session.key(),
            fault,
            load: self.load(),
        };
        *session.refusal.borrow_mut() = Some(notice.clone());
        session.send_notice(LinkMessage::Refused(notice));
    }
}
