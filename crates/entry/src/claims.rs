//! Claims of non-idempotent calls at the control quorum.

use std::sync::Arc;
use std::time::Duration;

use fault::{Fault, FaultKind, RunOutcome};
use tokio::time::sleep;
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, ClaimRequest, ControlCommand, ControlReply, RecordedAnswer};

use crate::core::EntryCore;

/// Times that a claim is given back before its retention has to end it.
const RELEASE_TRIES: u32 = 30;
/// Pause between two of them.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);

/// What the quorum says to a claim.
pub enum ClaimVerdict {
    /// The attempt may be sent.
    Granted,
    /// The call ran before; this is its answer.
    Answered(RecordedAnswer),
}

/// Claims a call for one attempt.
///
/// # Errors
/// The call may not be sent. A claim that may have been granted is given back.
pub async fn claim_call(
    core: &Arc<EntryCore>,
    request: ClaimRequest,
) -> fault::Result<ClaimVerdict> {
    let (claim, attempt) = (request.claim.clone(), request.attempt);
    match core
        .proposals
        .propose(ControlCommand::ClaimRequest(request))
        .await
    {
        Ok(ControlReply::ClaimGranted) => Ok(ClaimVerdict::Granted),
        Ok(ControlReply::ClaimAnswered(answer)) => Ok(ClaimVerdict::Answered(answer)),
        Ok(ControlReply::Refused(fault)) => Err(fault),
        Ok(other) => Err(unexpected(&other)),
        Err(fault) => {
            actix_rt::spawn(release_claim(Arc::clone(core), claim, attempt));
            Err(fault)
        }
    }
}

/// Gives back the claim of an attempt that has not run and never will.
pub async fn release_claim(core: Arc<EntryCore>, claim: ClaimKey, attempt: AttemptKey) {
    for _ in 0..RELEASE_TRIES {
        let command = ControlCommand::FinishClaim {
            claim: claim.clone(),
            attempt,
            outcome: RunOutcome::NotRun,
            answer: None,
        };
        if core.proposals.propose(command).await.is_ok() {
            return;
        }
        sleep(RELEASE_PAUSE).await;
    }
    log::warn!("entry: a claim could not be given back.");
}

fn unexpected(reply: &ControlReply) -> Fault {
    FaultKind::ControlUnreachable.because(format!("control gave another answer: {reply:?}"))
}
