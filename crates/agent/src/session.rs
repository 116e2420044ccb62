//! Transfer of one attempt's answer to the entry.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use claim::ReplayBuffer;
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

/// Flow-control window: bytes of an answer that may be unacknowledged.
const WINDOW_BYTES: usize = 256 * 1024;
/// Time for which an answer is kept after its end, so that an entry that lost its connection can
/// resume it.
const RETENTION_AFTER_END: Duration = Duration::from_secs(30);
/// Time for which an attempt waits for its entry to reconnect.
const DISCONNECTED_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time without an acknowledgement while the flow-control window is full.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// One attempt that is queued, running or recently ended.
pub struct AttemptSession {
    /// The request as the entry submitted it.
    pub submit: SubmitRequest,
    /// Time of arrival.
    pub arrived_at: Instant,
    /// Load of the endpoint at the time of arrival.
    pub load_at_arrival: EndpointLoad,
    /// Time of the start at the endpoint.
    started_at: Cell<Option<Instant>>,
    cached_tokens: Cell<u32>,
    has_head: Cell<bool>,
    /// The refusal that the entry was sent instead of an answer.
    refusal: RefCell<Option<RefuseNotice>>,
    tail: RefCell<ReplayBuffer>,
    /// Connection to the entry, while there is one.
    sender: RefCell<Option<LinkSender>>,
    /// Notified when there is something to send, a new connection, or the session is closed.
    changed: Notify,
    /// Notified when the entry acknowledged bytes.
    acknowledged: Notify,
    /// Notified when the run is asked to stop.
    stop_requested: Notify,
    /// Reason why the run is asked to stop.
    stop_fault: RefCell<Option<Fault>>,
    is_closed: Cell<bool>,
}

impl AttemptSession {
    /// Creates the session of an attempt that arrived just now over the connection of `sender`.
    pub fn new(submit: SubmitRequest, load: EndpointLoad, sender: LinkSender) -> Self {
        Self {
            tail: RefCell::new(ReplayBuffer::new(submit.key, WINDOW_BYTES)),
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

    /// Key of the attempt.
    pub fn key(&self) -> AttemptKey {
        self.submit.key
    }

    /// The claim that the attempt holds, if any.
    pub fn claim(&self) -> Option<ClaimKey> {
        let key = self.submit.claim.clone()?;
        Some(ClaimKey {
            account: self.submit.account,
            key,
        })
    }

    /// Records the start of the attempt at the endpoint.
    pub fn mark_started(&self) {
        self.started_at.set(Some(Instant::now()));
    }

    /// Time from the arrival to the start, or to now if the attempt has not started.
    pub fn queue_wait(&self) -> Duration {
        self.started_at.get().unwrap_or_else(Instant::now) - self.arrived_at
    }

    /// Prompt tokens that the endpoint found in its cache.
    pub fn cached_tokens(&self) -> u32 {
        self.cached_tokens.get()
    }

    /// Whether the head of the endpoint's answer has arrived.
    pub fn has_head(&self) -> bool {
        self.has_head.get()
    }

    /// Whether the entry was sent a refusal or has acknowledged the whole answer.
    pub fn is_delivered(&self) -> bool {
        self.refusal.borrow().is_some() || self.tail.borrow().is_acknowledged()
    }

    /// Adds the head of the answer.
    pub fn push_head(&self, head: AnswerHead) {
        self.has_head.set(true);
        self.cached_tokens.set(head.cached_tokens);
        self.tail.borrow_mut().set_head(head);
        self.changed.notify_one();
    }

    /// Adds bytes to the body of the answer.
    pub fn push_bytes(&self, bytes: Bytes) {
        self.tail.borrow_mut().push(bytes);
        self.changed.notify_one();
    }

    /// Ends the answer with `outcome`.
    pub fn push_end(&self, outcome: RunOutcome) {
        self.tail.borrow_mut().finish(outcome);
        self.changed.notify_one();
    }

    /// Waits until the flow-control window has room, so that more can be read from the endpoint.
    ///
    /// # Errors
    /// `SlowCaller` if nothing is acknowledged within `STALL_TIMEOUT`.
    pub async fn wait_for_room(&self) -> fault::Result<()> {
        while self.tail.borrow().room() == 0 {
            let woken = timeout(STALL_TIMEOUT, self.acknowledged.notified()).await;
            woken.map_err(|_| FaultKind::SlowCaller.because("the caller takes no more bytes"))?;
        }
        Ok(())
    }

    /// Records that the entry has received all bytes before `offset`.
    pub fn ack(&self, offset: u64) {
        self.tail.borrow_mut().ack(offset);
        self.acknowledged.notify_one();
        self.changed.notify_one();
    }

    /// Continues the answer on a new connection.
    ///
    /// # Errors
    /// The bytes at the requested offset are not available.
    pub fn resume(&self, request: &ResumeRequest, sender: LinkSender) -> claim::replay::Result<()> {
        self.tail.borrow_mut().resume(request)?;
        *self.sender.borrow_mut() = Some(sender);
        // The refusal may have been lost with the previous connection.
        if let Some(notice) = self.refusal.borrow().clone() {
            self.send_notice(LinkMessage::Refused(notice));
        }
        self.changed.notify_one();
        Ok(())
    }

    /// Sends a message that is not part of the answer, if the entry is connected.
    pub fn send_notice(&self, message: LinkMessage) {
        if let Some(sender) = self.sender.borrow().as_ref() {
            // If the connection is lost, the entry resumes, and a refusal is then sent again.
            let _ = sender.try_send(message);
        }
    }

    /// Detaches the entry, as nobody will read the answer any more. The run continues to its end
    /// without flow control.
    pub fn detach(&self) {
        self.tail.borrow_mut().detach();
        self.acknowledged.notify_one();
    }

    /// Asks the run to stop. The first fault given is the reason.
    pub fn stop(&self, fault: Fault) {
        self.stop_fault.borrow_mut().get_or_insert(fault);
        self.stop_requested.notify_one();
    }

    /// Waits until the run is asked to stop, and returns the reason.
    pub async fn wait_for_stop(&self) -> Fault {
        loop {
            if let Some(fault) = self.stop_fault.borrow().clone() {
                return fault;
            }
            self.stop_requested.notified().await;
        }
    }

    /// Closes the session, which ends [`send_answer`].
    pub fn close(&self) {
        self.is_closed.set(true);
        self.changed.notify_one();
    }
}

/// Sends the answer of a session to the entry until the session is closed.
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
                // After a failed send, the connection is found closed in the next iteration.
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

/// Waits until the entry has resumed. After [`DISCONNECTED_TIMEOUT`] an idempotent attempt is
/// cancelled; any other continues without the entry, as it must not be interrupted.
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
    /// Removes the session of an ended attempt after `RETENTION_AFTER_END`.
    pub fn retire_session(self: &Rc<Self>, key: AttemptKey) {
        let core = Rc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(RETENTION_AFTER_END).await;
            if let Some(session) = core.sessions.borrow_mut().remove(&key) {
                session.close();
            }
        });
    }

    /// Notifies the entry that an attempt was refused, or failed without an answer.
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
