//! One attempt to run a call and the stream of its answer, across connections.
//!
//! When the connection to the agent ends, the stream resumes on a new one at the offset reached.
//! When frames are missing, the agent is asked to resend them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use claim::{AnswerAssembly, AssemblyVerdict};
use fault::{Fault, FaultKind, RunOutcome};
use link::LinkSender;
use tokio::time::sleep;
use wire::LinkMessage;
use wire::answer::{
    AnswerHead, AttemptKey, CancelRequest, EndpointLoad, RefuseNotice, SubmitRequest,
};

use crate::core::EntryCore;
use crate::loss::{AgentRun, report_if_restarted};
use crate::pool::{StreamEvent, StreamReceiver};

/// Number of times that the entry tries to resume a stream before the attempt fails.
const RESUME_ATTEMPTS: u32 = 12;
/// Delay after a failed attempt to resume a stream.
const RESUME_PAUSE: Duration = Duration::from_millis(250);

/// An event in the course of an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// The agent admitted the attempt; reports the endpoint's load.
    Admitted(EndpointLoad),
    /// The endpoint sent the head of its answer.
    Head(Box<AnswerHead>),
    /// The next bytes of the answer.
    Bytes(Bytes),
    /// The answer is complete; reports the endpoint's load.
    Complete(EndpointLoad),
    /// The agent refused or ended the attempt.
    Refused(Box<RefuseNotice>),
    /// The attempt failed: the endpoint failed, or its answer is corrupt or cannot be resumed.
    Failed(Fault),
}

impl AttemptEvent {
    /// Whether the attempt failed because the agent no longer knows it or is gone.
    fn is_loss(&self) -> bool {
        match self {
            Self::Refused(notice) => notice.fault.kind == FaultKind::ConnectionLost,
            Self::Failed(fault) => fault.kind == FaultKind::ConnectionLost,
            _ => false,
        }
    }
}

/// One attempt that was sent to an agent.
pub struct AttemptStream {
    core: Arc<EntryCore>,
    run: AgentRun,
    address: SocketAddr,
    sender: LinkSender,
    events: StreamReceiver,
    assembly: AnswerAssembly,
    /// Whether the attempt has ended, so that no event follows and nothing has to be cancelled.
    is_over: bool,
    /// Whether the connection to the agent was lost and the stream has not been resumed.
    is_resuming: bool,
}

impl AttemptStream {
    /// Sends `submit` to the agent at `address`, which runs it as `run`.
    ///
    /// # Errors
    /// `NoEndpoint` when no connection can be opened, or when the open one ended before the attempt
    /// was sent.
    pub async fn send(
        core: &Arc<EntryCore>,
        address: SocketAddr,
        run: AgentRun,
        submit: SubmitRequest,
    ) -> fault::Result<Self> {
        let (key, pool) = (submit.key, &core.pool);
        let sender = pool.sender(address).await.map_err(|error| {
            FaultKind::NoEndpoint.because(format!("the agent is unreachable: {error}"))
        })?;
        let events = pool.open_stream(key, address);
        let mut stream = Self {
            core: Arc::clone(core),
            run,
            address,
            sender,
            events,
            assembly: AnswerAssembly::new(key),
            is_over: false,
            is_resuming: false,
        };
        let submitted = stream
            .sender
            .send(LinkMessage::Submit(Box::new(submit)))
            .await;
        if submitted.is_err() {
            stream.is_over = true;
            return Err(FaultKind::NoEndpoint.because("the connection to the agent ended"));
        }
        Ok(stream)
    }

    /// The key of the attempt.
    pub fn key(&self) -> AttemptKey {
        self.assembly.key()
    }

    /// Reports the request if the agent is out of reach and turns out to have restarted. For an
    /// attempt that is given up.
    pub fn give_up(&self) {
        if self.is_resuming {
            report_if_restarted(&self.core, self.run);
        }
    }

    /// Waits for the next event. No event follows `Complete`, `Refused` or `Failed`. A request that
    /// is lost is reported if its agent has restarted.
    pub async fn next_event(&mut self) -> AttemptEvent {
        loop {
            let step = match self.events.recv().await {
                Some(StreamEvent::Message(message)) => self.accept(*message).await,
                Some(StreamEvent::LinkLost) | None => self.resume().await,
            };
            if let Some(event) = step {
                if event.is_loss() {
                    report_if_restarted(&self.core, self.run);
                }
                self.is_over = matches!(
                    event,
                    AttemptEvent::Complete(_) | AttemptEvent::Refused(_) | AttemptEvent::Failed(_)
                );
                return event;
            }
        }
    }

    /// Counts `bytes` more bytes as consumed by the caller's connection, and sends an
    /// acknowledgement to the agent when one is due.
    pub fn acknowledge(&mut self, bytes: usize) {
        self.assembly.consume(bytes);
        if let Some(ack) = self.assembly.ack_due() {
            let _ = self.sender.try_send(LinkMessage::Ack(ack));
        }
    }

    /// Asks the agent to cancel the attempt.
    pub fn cancel(&self) {
        let cancel = CancelRequest { key: self.key() };
        let _ = self.sender.try_send(LinkMessage::Cancel(cancel));
    }

    async fn accept(&mut self, message: LinkMessage) -> Option<AttemptEvent> {
        let (verdict, load) = match message {
            LinkMessage::Admitted(notice) => {
                self.run.admitted_by = Some(notice.incarnation);
                return Some(AttemptEvent::Admitted(notice.load));
            }
            LinkMessage::Refused(notice) => return Some(AttemptEvent::Refused(Box::new(notice))),
            LinkMessage::Head(head) => (self.assembly.accept_head(head), None),
            LinkMessage::Chunk(chunk) => (self.assembly.accept_chunk(chunk), None),
            LinkMessage::End(end) => (self.assembly.accept_end(&end), Some(end.load)),
            _ => return None,
        };
        match verdict {
            AssemblyVerdict::Head(head) => Some(AttemptEvent::Head(head)),
            AssemblyVerdict::Deliver(bytes) => Some(AttemptEvent::Bytes(bytes)),
            AssemblyVerdict::Complete(_) => {
                self.acknowledge(0);
                Some(AttemptEvent::Complete(load.unwrap_or_default()))
            }
            AssemblyVerdict::Failed(outcome) => Some(AttemptEvent::Failed(midway_fault(outcome))),
            AssemblyVerdict::Corrupt => Some(AttemptEvent::Failed(
                FaultKind::ConnectionLost.because("the answer arrived damaged"),
            )),
            AssemblyVerdict::Stale => None,
            AssemblyVerdict::Gap => self.resume().await,
        }
    }

    /// Resumes the stream on a new connection, or on the same one after a gap. Returns `None` when
    /// it is resumed.
    async fn resume(&mut self) -> Option<AttemptEvent> {
        self.is_resuming = true;
        for _ in 0..RESUME_ATTEMPTS {
            if let Ok(sender) = self.core.pool.sender(self.address).await {
                self.sender = sender;
                self.core.pool.attach_stream(self.key());
                let resume = LinkMessage::Resume(self.assembly.resume_request());
                let ack = LinkMessage::Ack(self.assembly.repeat_ack());
                let is_sent = self.sender.send(resume).await.is_ok();
                if is_sent && self.sender.send(ack).await.is_ok() {
                    self.is_resuming = false;
                    return None;
                }
            }
            sleep(RESUME_PAUSE).await;
        }
        let message = "the agent is gone and its answer can't be continued";
        Some(AttemptEvent::Failed(
            FaultKind::ConnectionLost.because(message),
        ))
    }
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        self.core.pool.close_stream(self.key());
        if !self.is_over {
            self.cancel();
        }
    }
}

fn midway_fault(outcome: RunOutcome) -> Fault {
    let message = format!("the endpoint failed midway; outcome {outcome}");
    FaultKind::EndpointFailed.because(message)
}
