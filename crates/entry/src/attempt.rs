//! One attempt and its frames, across connections.
//!
//! When the connection ends, the attempt goes on over a new one from where it is. When frames are
//! missing, the agent is asked to send them again.

use std::net::SocketAddr;
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

use crate::pool::{LinkPool, StreamEvent, StreamReceiver};

/// Connections that are tried before a running attempt is given up.
const RESUME_TRIES: u32 = 12;
/// Pause between two of them.
const RESUME_PAUSE: Duration = Duration::from_millis(250);

/// What happened to an attempt.
#[derive(Debug)]
pub enum AttemptEvent {
    /// The agent admitted it.
    Admitted(EndpointLoad),
    /// The endpoint began to answer.
    Head(Box<AnswerHead>),
    /// Bytes of the answer.
    Bytes(Bytes),
    /// The answer is whole.
    Complete(EndpointLoad),
    /// The agent ended it.
    Refused(Box<RefuseNotice>),
    /// It can't be brought to an end.
    Failed(Fault),
}

/// One attempt that was sent to an agent.
pub struct AttemptStream {
    pool: LinkPool,
    address: SocketAddr,
    sender: LinkSender,
    events: StreamReceiver,
    assembly: AnswerAssembly,
    /// Whether nothing more will come.
    is_over: bool,
}

impl AttemptStream {
    /// Sends `submit` to the agent at `address`.
    ///
    /// # Errors
    /// `NoEndpoint` when there is no connection; the attempt was not sent then.
    pub async fn send(
        pool: &LinkPool,
        address: SocketAddr,
        submit: SubmitRequest,
    ) -> fault::Result<Self> {
        let key = submit.key;
        let sender = pool.sender(address).await.map_err(|error| {
            FaultKind::NoEndpoint.because(format!("the agent is unreachable: {error}"))
        })?;
        let events = pool.open_stream(key, address);
        let mut stream = Self {
            pool: pool.clone(),
            address,
            sender,
            events,
            assembly: AnswerAssembly::new(key),
            is_over: false,
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

    /// The attempt.
    pub fn key(&self) -> AttemptKey {
        self.assembly.key()
    }

    /// What happens next. After `Complete`, `Refused` or `Failed` nothing does.
    pub async fn next_event(&mut self) -> AttemptEvent {
        loop {
            let step = match self.events.recv().await {
                Some(StreamEvent::Message(message)) => self.accept(*message).await,
                Some(StreamEvent::LinkLost) | None => self.resume().await,
            };
            if let Some(event) = step {
                self.is_over = matches!(
                    event,
                    AttemptEvent::Complete(_) | AttemptEvent::Refused(_) | AttemptEvent::Failed(_)
                );
                return event;
            }
        }
    }

    /// Tells the agent that the caller's connection took `bytes` more bytes.
    pub fn acknowledge(&mut self, bytes: usize) {
        self.assembly.take(bytes);
        if let Some(ack) = self.assembly.ack_due() {
            let _ = self.sender.try_send(LinkMessage::Ack(ack));
        }
    }

    /// Asks the agent to stop the attempt.
    pub fn cancel(&self) {
        let cancel = CancelRequest { key: self.key() };
        let _ = self.sender.try_send(LinkMessage::Cancel(cancel));
    }

    async fn accept(&mut self, message: LinkMessage) -> Option<AttemptEvent> {
        let (verdict, load) = match message {
            LinkMessage::Admitted(notice) => return Some(AttemptEvent::Admitted(notice.load)),
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

    /// Continues on a new connection, or on the same one after a gap.
    async fn resume(&mut self) -> Option<AttemptEvent> {
        for _ in 0..RESUME_TRIES {
            if let Ok(sender) = self.pool.sender(self.address).await {
                self.sender = sender;
                self.pool.attach_stream(self.key());
                let resume = LinkMessage::Resume(self.assembly.resume_request());
                let ack = LinkMessage::Ack(self.assembly.repeat_ack());
                let is_sent = self.sender.send(resume).await.is_ok();
                if is_sent && self.sender.send(ack).await.is_ok() {
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
        self.pool.close_stream(self.key());
        if !self.is_over {
            self.cancel();
        }
    }
}

fn midway_fault(outcome: RunOutcome) -> Fault {
    let message = format!("the endpoint failed midway; outcome {outcome}");
    FaultKind::EndpointFailed.because(message)
}
