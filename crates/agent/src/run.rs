//! Execution of one attempt at the endpoint.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use fault::{Fault, FaultKind, RunOutcome};
use tokio::task::yield_now;
use tokio::time::timeout;
use wire::answer::AnswerHead;
use wire::command::RecordedAnswer;

use crate::body::BodyCheck;
use crate::client::{self, EndpointAnswer, SendFault};
use crate::core::AgentCore;
use crate::endpoint;
use crate::session::AttemptSession;

/// Longest pause between two chunks of an event stream, after which the endpoint counts as failed.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How a run ended.
enum RunEnd {
    /// The answer is complete.
    Complete(RecordedAnswer),
    /// The request was not sent.
    NotSent(Fault),
    /// The answer is missing or broke off; the endpoint may have crashed.
    Broken(Fault),
    /// The agent stopped the run.
    Stopped(Fault),
}

impl RunEnd {
    /// Whether the run may have ended because the endpoint crashed. One that was stopped, by its
    /// deadline for example, only if the endpoint fails its health checks: it may hang.
    fn may_be_crash(&self, core: &AgentCore) -> bool {
        match self {
            Self::Broken(_) => true,
            Self::Stopped(_) => !core.is_endpoint_up.get(),
            Self::Complete(_) | Self::NotSent(_) => false,
        }
    }

    fn outcome(&self) -> RunOutcome {
        match self {
            Self::Complete(_) => RunOutcome::Ran,
            Self::NotSent(_) => RunOutcome::NotRun,
            Self::Broken(_) | Self::Stopped(_) => RunOutcome::Unknown,
        }
    }
}

/// Runs an attempt that was started, and forwards its answer to the session.
pub async fn run_attempt(core: Rc<AgentCore>, session: Rc<AttemptSession>) {
    let cache_epoch = core.cache_epoch.get();
    let end = tokio::select! {
        end = call_endpoint(&core, &session) => end,
        fault = session.wait_for_stop() => RunEnd::Stopped(fault),
    };
    if end.may_be_crash(&core) && !endpoint::is_alive(&core).await {
        core.handle_endpoint_crash(cache_epoch);
    }
    if let RunEnd::Broken(_) = end {
        core.wait_for_crash_reports().await;
    }
    finish_run(&core, &session, end, cache_epoch);
}

/// Records the end of a run in the attempt table, the suspect gate and the queue, then reports it
/// to control and the entry.
fn finish_run(core: &Rc<AgentCore>, session: &Rc<AttemptSession>, end: RunEnd, cache_epoch: u64) {
    let (key, outcome) = (session.key(), end.outcome());
    core.attempts.borrow_mut().end(Instant::now(), key, outcome);
    if core.cache_epoch.get() == cache_epoch {
        core.release_gate(session, outcome);
    }
    core.free_slot(key);
    match end {
        RunEnd::Complete(answer) => {
            core.record_claim(session, outcome, Some(answer));
            core.report_end(session, None);
            session.push_end(outcome);
        }
        RunEnd::NotSent(fault) | RunEnd::Broken(fault) | RunEnd::Stopped(fault) => {
            core.record_claim(session, outcome, None);
            core.report_end(session, Some(&fault));
            if session.has_head() {
                session.push_end(outcome);
            } else {
                core.notify_refusal(session, fault);
            }
        }
    }
    core.retire_session(key);
}

async fn call_endpoint(core: &Rc<AgentCore>, session: &Rc<AttemptSession>) -> RunEnd {
    let mut answer = match client::send(core, &session.submit).await {
        Ok(answer) => answer,
        Err(SendFault::NotSent(fault)) => return RunEnd::NotSent(fault),
        Err(SendFault::Broken(fault)) => return RunEnd::Broken(fault),
    };
    let mut check = BodyCheck::new(&session.submit, answer.status(), answer.headers());
    let states_end = answer.states_end() || check.shows_end();
    let head = AnswerHead {
        key: session.key(),
        status: answer.status().as_u16(),
        headers: answer.forwarded_headers(states_end),
        cached_tokens: answer.cached_tokens(),
        queue_wait: session.queue_wait(),
    };
    session.push_head(head.clone());
    core.shared
        .metrics
        .record_tokens(session.submit.prompt_tokens, head.cached_tokens);
    match forward_body(core, session, &mut answer, &mut check).await {
        Ok(body) => {
            answer.release(core);
            RunEnd::Complete(RecordedAnswer {
                status: head.status,
                headers: head.headers,
                body,
            })
        }
        Err(fault) if fault.kind == FaultKind::SlowCaller => RunEnd::Stopped(fault),
        Err(fault) => RunEnd::Broken(fault),
    }
}

/// Forwards the body to the session. Returns it too if the request has a claim and the body is
/// small enough to be recorded.
async fn forward_body(
    core: &AgentCore,
    session: &AttemptSession,
    answer: &mut EndpointAnswer,
    check: &mut BodyCheck,
) -> fault::Result<Option<Bytes>> {
    let limit = if session.submit.claim.is_some() {
        core.recorded_limit(session)
    } else {
        0
    };
    let is_stream = client::is_event_stream(answer.headers());
    let mut recorded = Some(BytesMut::new());
    let mut is_first = true;
    while let Some(chunk) = next_chunk(answer, is_stream).await? {
        check.push(&chunk);
        if recorded
            .as_ref()
            .is_some_and(|buffer| buffer.len() + chunk.len() > limit)
        {
            recorded = None;
        }
        if let Some(buffer) = &mut recorded {
            buffer.extend_from_slice(&chunk);
        }
        session.push_bytes(chunk);
        if is_first {
            // Lets the first chunk be sent before the next ones are read, even if they have
            // already arrived.
            is_first = false;
            yield_now().await;
        }
        session.wait_for_room().await?;
    }
    check.finish()?;
    Ok(recorded.map(BytesMut::freeze))
}

async fn next_chunk(answer: &mut EndpointAnswer, is_stream: bool) -> fault::Result<Option<Bytes>> {
    if !is_stream {
        return answer.next_chunk().await;
    }
    let waited = timeout(STREAM_IDLE_TIMEOUT, answer.next_chunk()).await;
    waited.map_err(|_| FaultKind::EndpointFailed.because("the endpoint's stream is silent"))?
}
