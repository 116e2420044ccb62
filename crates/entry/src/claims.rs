//! Claims of non-idempotent calls at the control quorum.

use std::sync::Arc;
use std::time::Duration;

use fault::{Fault, FaultKind, RunOutcome};
use tokio::time::sleep;
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, ClaimRequest, ControlCommand, ControlReply, RecordedAnswer};

use crate::core::EntryCore;

/// Number of times that the entry tries to release a claim before it leaves it to expire at the end
/// of its retention.
const RELEASE_ATTEMPTS: u32 = 30;
/// Delay after a failed attempt to release a claim.
const RELEASE_PAUSE: Duration = Duration::from_secs(1);

/// The quorum's decision on a claim.
pub enum ClaimVerdict {
    /// The attempt may be sent.
    Granted,
    /// The call ran before; holds its recorded answer.
    Answered(RecordedAnswer),
}

/// Claims a call for one attempt, which may be sent only once the claim is granted.
///
/// # Errors
/// Why the call may not be sent. If no decision arrived, the claim may have been granted and is
/// released.
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

/// Releases the claim of an attempt that has not run and never will.
pub async fn release_claim(core: Arc<EntryCore>, claim: ClaimKey, attempt: AttemptKey) {
    for _ in 0..RELEASE_ATTEMPTS {
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
    log::warn!("entry: a claim was not released; it is held until its retention ends.");
}

fn unexpected(reply: &ControlReply) -> Fault {
    FaultKind::ControlUnreachable.because(format!("control gave another answer: {reply:?}"))
}
