//! Proposal of commands: at this instance if it leads, else at the leader. Every command to the
//! quorum takes this path.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fault::{Fault, FaultKind};
use replica::ReplicaError;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use wire::codec::{self, MAX_MESSAGE_BYTES};
use wire::command::{ControlCommand, ControlReply, StampedCommand};
use wire::id::InstanceId;

use crate::node::ControlNode;
use crate::quorum::{ATTEMPT_TIMEOUT, ControlQuorum, TICK_INTERVAL, no_quorum};

/// Pause before a proposal is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a proposal is not retried any more.
const DECISION_TIMEOUT: Duration = Duration::from_millis(2500);

/// Maximum size of an encoded command. Its log entry must fit into a message between instances.
const MAX_COMMAND_BYTES: usize = MAX_MESSAGE_BYTES / 2;

/// Outcome of one attempt to commit a command. Every command may safely be proposed again.
enum ProposalOutcome {
    Decided(ControlReply),
    /// The attempt has no effect.
    Refused(Fault),
    /// The attempt may be committed, also later.
    Unconfirmed(Fault),
}

impl ControlNode {
    /// Proposes a command and waits until it is committed and applied, here or at the leader.
    pub async fn propose(&self, command: ControlCommand) -> ControlReply {
        match self.propose_repeatedly(&command).await {
            ProposalOutcome::Decided(reply) => reply,
            ProposalOutcome::Refused(fault) | ProposalOutcome::Unconfirmed(fault) => {
                ControlReply::Refused(fault)
            }
        }
    }

    /// Like [`Self::propose`], for operators: a change that may be committed after the reply is refused
    /// with [`FaultKind::ChangeUnconfirmed`].
    pub async fn propose_change(&self, command: ControlCommand) -> ControlReply {
        match self.propose_repeatedly(&command).await {
            ProposalOutcome::Decided(reply) => reply,
            ProposalOutcome::Refused(fault) => ControlReply::Refused(fault),
            ProposalOutcome::Unconfirmed(fault) => {
                ControlReply::Refused(FaultKind::ChangeUnconfirmed.because(fault.message))
            }
        }
    }

    /// Answers a proposal that another control instance forwarded. It is not forwarded again.
    pub async fn propose_as_leader(&self, command: ControlCommand) -> ControlReply {
        match self.propose_locally(&command).await {
            ProposalOutcome::Decided(reply) => reply,
            ProposalOutcome::Refused(fault) | ProposalOutcome::Unconfirmed(fault) => {
                ControlReply::Refused(fault)
            }
        }
    }

    /// Proposes a command until it is decided, at most for `DECISION_TIMEOUT`. The outcome is that of
    /// all attempts together.
    async fn propose_repeatedly(&self, command: &ControlCommand) -> ProposalOutcome {
        let deadline = Instant::now() + DECISION_TIMEOUT;
        let mut is_unconfirmed = false;
        loop {
            let outcome = match self.quorum.leader() {
                Some(leader) => self.forward_proposal(leader, command).await,
                None => self.propose_locally(command).await,
            };
            let fault = match outcome {
                ProposalOutcome::Decided(_) => return outcome,
                ProposalOutcome::Refused(fault) => fault,
                ProposalOutcome::Unconfirmed(fault) => {
                    is_unconfirmed = true;
                    fault
                }
            };
            if Instant::now() >= deadline {
                return match is_unconfirmed {
                    true => ProposalOutcome::Unconfirmed(fault),
                    false => ProposalOutcome::Refused(fault),
                };
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    async fn forward_proposal(
        &self,
        leader: InstanceId,
        command: &ControlCommand,
    ) -> ProposalOutcome {
        let Some(client) = self.quorum.other_instances.get(&leader) else {
            return ProposalOutcome::Refused(no_quorum());
        };
        let decision = timeout(ATTEMPT_TIMEOUT, client.propose(command.clone())).await;
        match decision {
            // Also the answer of an instance that leads and did not hear from a quorum in time.
            Ok(Ok(ControlReply::Refused(fault))) if fault.kind == FaultKind::ControlUnreachable => {
                ProposalOutcome::Unconfirmed(fault)
            }
            Ok(Ok(ControlReply::Refused(fault))) if is_transient(fault.kind) => {
                ProposalOutcome::Refused(fault)
            }
            Ok(Ok(reply)) => ProposalOutcome::Decided(reply),
            Ok(Err(_)) | Err(_) => ProposalOutcome::Unconfirmed(no_quorum()),
        }
    }

    async fn propose_locally(&self, command: &ControlCommand) -> ProposalOutcome {
        let stamped = StampedCommand {
            time: wall_clock(),
            command: command.clone(),
        };
        let bytes = match codec::encode(&stamped) {
            Ok(bytes) if bytes.len() <= MAX_COMMAND_BYTES => bytes,
            Ok(bytes) => return oversized(format!("the command has {} bytes", bytes.len())),
            Err(error) => return oversized(error.to_string()),
        };
        let now = self.quorum.now();
        let proposed = self.quorum.core.borrow_mut().propose(now, bytes);
        let key = match proposed {
            Ok(key) => key,
            Err(error) => return refusal(&error),
        };
        let (done, decided) = oneshot::channel();
        self.quorum.pending_proposals.borrow_mut().insert(key, done);
        self.run_actions();
        let reply = tokio::select! {
            biased;
            reply = timeout(ATTEMPT_TIMEOUT, decided) => reply.ok().and_then(Result::ok),
            () = self.quorum.leadership_lost() => None,
        };
        self.quorum.pending_proposals.borrow_mut().remove(&key);
        match reply {
            Some(reply) => ProposalOutcome::Decided(reply),
            None => ProposalOutcome::Unconfirmed(no_quorum()),
        }
    }
}

impl ControlQuorum {
    /// Waits until this instance does not lead any more. Another one may have what was proposed here.
    async fn leadership_lost(&self) {
        while self.core.borrow().is_leader() {
            sleep(TICK_INTERVAL).await;
        }
    }

    /// The leader, if it is known and another instance.
    fn leader(&self) -> Option<InstanceId> {
        let core = self.core.borrow();
        let leader = core.leader()?.instance;
        self.other_instances.contains_key(&leader).then_some(leader)
    }
}

fn oversized(reason: String) -> ProposalOutcome {
    ProposalOutcome::Decided(ControlReply::Refused(
        FaultKind::OversizedBody.because(reason),
    ))
}

fn refusal(error: &ReplicaError) -> ProposalOutcome {
    let kind = match error {
        ReplicaError::NotLeader { .. } | ReplicaError::TransferringLeadership => {
            FaultKind::ControlUnreachable
        }
        ReplicaError::Congested => FaultKind::Overloaded,
        ReplicaError::StoreFull => FaultKind::StoreFull,
    };
    ProposalOutcome::Refused(kind.because(error.to_string()))
}

/// Whether another leader, or the same one later, may accept the command.
fn is_transient(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::Overloaded | FaultKind::StoreFull)
}

fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
