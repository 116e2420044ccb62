//! The one way to propose a command: here when this instance leads, else at the leader.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fault::{Fault, FaultKind};
use replica::ReplicaError;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use wire::codec::{self, MAX_MESSAGE_BYTES};
use wire::command::{ControlCommand, ControlReply, StampedCommand};
use wire::id::InstanceId;

use crate::node::ControlNode;
use crate::quorum::{ControlQuorum, TRY_LIMIT, no_quorum};

/// Pause before a proposal is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the quorum's decision on a proposal, over all tries.
const DECISION_LIMIT: Duration = Duration::from_millis(2500);

/// Largest encoded command. An entry must fit into a message between the instances.
const MAX_COMMAND_BYTES: usize = MAX_MESSAGE_BYTES / 2;

/// A try to commit a command.
enum TryOutcome {
    Decided(ControlReply),
    /// Not known to be committed. Proposing again is safe for every command.
    Again(Fault),
}

impl ControlNode {
    /// Proposes a command and waits until it is committed and applied, here or at the leader.
    pub async fn propose(&self, command: ControlCommand) -> ControlReply {
        let deadline = Instant::now() + DECISION_LIMIT;
        loop {
            let outcome = match self.quorum.leader() {
                Some(leader) => self.propose_at(leader, &command).await,
                None => self.propose_here(&command).await,
            };
            match outcome {
                TryOutcome::Decided(reply) => return reply,
                TryOutcome::Again(fault) if Instant::now() >= deadline => {
                    return ControlReply::Refused(fault);
                }
                TryOutcome::Again(_) => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Answers a proposal that another control instance passed on. It is not passed on again.
    pub async fn propose_as_leader(&self, command: ControlCommand) -> ControlReply {
        match self.propose_here(&command).await {
            TryOutcome::Decided(reply) => reply,
            TryOutcome::Again(fault) => ControlReply::Refused(fault),
        }
    }

    async fn propose_at(&self, leader: InstanceId, command: &ControlCommand) -> TryOutcome {
        let Some(client) = self.quorum.others.get(&leader) else {
            return TryOutcome::Again(no_quorum());
        };
        let decision = timeout(TRY_LIMIT, client.propose(command.clone())).await;
        match decision {
            Ok(Ok(ControlReply::Refused(fault))) if may_pass(fault.kind) => {
                TryOutcome::Again(fault)
            }
            Ok(Ok(reply)) => TryOutcome::Decided(reply),
            Ok(Err(_)) | Err(_) => TryOutcome::Again(no_quorum()),
        }
    }

    async fn propose_here(&self, command: &ControlCommand) -> TryOutcome {
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
        self.quorum.waiting.borrow_mut().insert(key, done);
        self.run_actions();
        let reply = timeout(TRY_LIMIT, decided).await;
        self.quorum.waiting.borrow_mut().remove(&key);
        match reply {
            Ok(Ok(reply)) => TryOutcome::Decided(reply),
            _ => TryOutcome::Again(no_quorum()),
        }
    }
}

impl ControlQuorum {
    /// The leader, when it is another instance.
    fn leader(&self) -> Option<InstanceId> {
        let core = self.core.borrow();
        let leader = core.leader()?.instance;
        self.others.contains_key(&leader).then_some(leader)
    }
}

fn oversized(reason: String) -> TryOutcome {
    TryOutcome::Decided(ControlReply::Refused(
        FaultKind::OversizedBody.because(reason),
    ))
}

fn refusal(error: &ReplicaError) -> TryOutcome {
    let kind = match error {
        ReplicaError::NotLeader { .. } | ReplicaError::TransferringLeadership => {
            FaultKind::ControlUnreachable
        }
        ReplicaError::Congested => FaultKind::Overloaded,
        ReplicaError::StoreFull => FaultKind::StoreFull,
    };
    TryOutcome::Again(kind.because(error.to_string()))
}

/// Whether another leader, or the same one a little later, may decide otherwise.
fn may_pass(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::ControlUnreachable | FaultKind::Overloaded | FaultKind::StoreFull
    )
}

fn wall_clock() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
