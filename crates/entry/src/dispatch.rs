//! Attempts to run a request until an endpoint answers.

use std::net::SocketAddr;

use fault::{Fault, FaultKind, RunOutcome};
use wire::LinkMessage;
use wire::answer::{AnswerHead, SubmitRequest};

use crate::answer::AnswerStream;
use crate::core::EntryCore;
use crate::pool::StreamEvent;

/// Attempts for one request at most.
const MAX_ATTEMPTS: u32 = 3;

/// The head of an answer, and the stream behind it.
pub struct StartedAnswer {
    /// The head.
    pub head: AnswerHead,
    /// The rest.
    pub stream: AnswerStream,
}

/// Runs a request on one endpoint after the other until one answers.
///
/// # Errors
/// The last refusal, or the first failure after which another attempt could run the work twice.
pub async fn dispatch(core: &EntryCore, mut submit: SubmitRequest) -> fault::Result<StartedAnswer> {
    let candidates = core.members().candidates(submit.service);
    let mut last = FaultKind::NoEndpoint.because("no endpoint serves this");
    for record in candidates.iter().take(MAX_ATTEMPTS as usize) {
        submit.key.attempt += 1;
        match attempt(core, &submit, record.address).await {
            Ok(started) => return Ok(started),
            Err(fault) if may_retry(&fault, &submit) => last = fault,
            Err(fault) => return Err(fault),
        }
        submit.hops = submit.hops.saturating_add(1);
    }
    Err(last)
}

fn may_retry(fault: &Fault, submit: &SubmitRequest) -> bool {
    let is_harmless = fault.outcome() == RunOutcome::NotRun || submit.idempotent;
    is_harmless && fault.kind.answer().status >= 500
}

async fn attempt(
    core: &EntryCore,
    submit: &SubmitRequest,
    address: SocketAddr,
) -> fault::Result<StartedAnswer> {
    let sender = core.pool.sender(address).await.map_err(|error| {
        FaultKind::NoEndpoint.because(format!("the agent is unreachable: {error}"))
    })?;
    let mut events = core.pool.open_stream(submit.key, address);
    let sent = sender
        .send(LinkMessage::Submit(Box::new(submit.clone())))
        .await;
    let result = match sent {
        Ok(()) => wait_for_head(&mut events).await,
        Err(_) => Err(FaultKind::ConnectionLost.because("the agent is gone")),
    };
    match result {
        Ok(head) => {
            let stream = AnswerStream::new(&head, core.pool.clone(), sender, events);
            Ok(StartedAnswer { head, stream })
        }
        Err(fault) => {
            core.pool.close_stream(submit.key);
            Err(fault)
        }
    }
}

async fn wait_for_head(events: &mut crate::pool::StreamReceiver) -> fault::Result<AnswerHead> {
    loop {
        match events.recv().await {
            Some(StreamEvent::Message(message)) => match *message {
                LinkMessage::Head(head) => return Ok(head),
                LinkMessage::Refused(notice) => return Err(notice.fault),
                _ => {}
            },
            _ => return Err(FaultKind::ConnectionLost.because("the agent is gone")),
        }
    }
}
