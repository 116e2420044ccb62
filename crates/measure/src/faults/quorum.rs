//! The control quorum: a committed log that three instances apply.
//!
//! At most one instance is partitioned at a time. It may still believe that it is the leader, but
//! can't commit without a quorum. When the partition ends, it catches up from the log or from a
//! snapshot.

use std::time::Duration;

use claim::{ClaimLimits, ClaimTable};
use control::state::ControlState;
use fault::Fault;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::command::{ControlCommand, ControlReply, StampedCommand};
use wire::id::SettingsVersion;

/// Number of control instances.
const INSTANCES: usize = 3;
/// Probability that a proposal is lost before its commit, and that its reply is lost after it.
const LOSS_PROBABILITY: f64 = 0.08;
/// Probability that a duplicate of a proposal is kept for a later commit.
const DUPLICATE_PROBABILITY: f64 = 0.05;
/// Limit of the recorded answers in bytes.
const MAX_ANSWER_BYTES: usize = 200_000;

/// The state of an instance before its first command.
fn empty_state() -> ControlState {
    let limits = ClaimLimits {
        answer_bytes: MAX_ANSWER_BYTES,
        ..ClaimLimits::default()
    };
    let mut state = ControlState::default();
    state.claims = ClaimTable::new(limits);
    state
}

/// The control quorum.
pub struct ControlQuorum {
    instances: Vec<ControlState>,
    /// The partitioned instance.
    partitioned: Option<usize>,
    /// Commands committed since the partition began.
    missed: Vec<StampedCommand>,
    /// Duplicates of proposals, to be committed later.
    duplicates: Vec<ControlCommand>,
    /// The leader's clock, which stamps commands.
    time: Duration,
}

impl Default for ControlQuorum {
    fn default() -> Self {
        Self {
            instances: (0..INSTANCES).map(|_| empty_state()).collect(),
            partitioned: None,
            missed: Vec::new(),
            duplicates: Vec::new(),
            time: Duration::from_secs(1),
        }
    }
}

impl ControlQuorum {
    /// Proposes a command through a random instance. Returns `None` if no reply arrives; the
    /// command may have been committed nevertheless.
    pub fn propose(
        &mut self,
        rng: &mut Pcg64Mcg,
        command: &ControlCommand,
    ) -> Option<ControlReply> {
        if self.partitioned == Some(rng.random_range(0..INSTANCES)) {
            return None;
        }
        if rng.random_bool(DUPLICATE_PROBABILITY) {
            self.duplicates.push(command.clone());
        }
        if rng.random_bool(LOSS_PROBABILITY) {
            return None;
        }
        let reply = self.commit(command);
        (!rng.random_bool(LOSS_PROBABILITY)).then_some(reply)
    }

    /// Commits a duplicate of an earlier proposal.
    pub fn commit_duplicate(&mut self, rng: &mut Pcg64Mcg) {
        if !self.duplicates.is_empty() {
            let index = rng.random_range(0..self.duplicates.len());
            let command = self.duplicates.swap_remove(index);
            self.commit(&command);
        }
    }

    /// Partitions a random instance, or ends the current partition.
    pub fn toggle_partition(&mut self, rng: &mut Pcg64Mcg) {
        match self.partitioned.take() {
            Some(index) => self.catch_up(index, rng.random_bool(0.5)),
            None => self.partitioned = Some(rng.random_range(0..INSTANCES)),
        }
    }

    /// Ends the partition, if there is one.
    pub fn end_partition(&mut self) {
        if let Some(index) = self.partitioned.take() {
            self.catch_up(index, true);
        }
    }

    /// Restarts a random instance, which restores its state from a snapshot.
    pub fn restart(&mut self, rng: &mut Pcg64Mcg) {
        let index = rng.random_range(0..INSTANCES);
        self.instances[index] = restore_from_snapshot(&self.instances[index]);
    }

    /// Advances the leader's clock.
    pub fn advance_clock(&mut self, time: Duration, is_long: bool) {
        self.time += time;
        if is_long {
            // No proposal is delayed for that long.
            self.duplicates.clear();
        }
    }

    /// Returns the fingerprints of suspects, which run alone, and of quarantined requests, which
    /// are refused.
    pub fn suspect_lists(&self) -> (Vec<u64>, Vec<u64>) {
        let suspects = &self.leader().suspects;
        (suspects.suspects(), suspects.quarantined())
    }

    /// Returns the current version of the settings.
    pub fn version(&self) -> SettingsVersion {
        self.leader().settings.version()
    }

    /// Returns the settings update that a random instance, possibly the partitioned one, sends to a
    /// holder of version `held`.
    pub fn update(&self, rng: &mut Pcg64Mcg, held: u64) -> wire::message::SettingsUpdate {
        let index = rng.random_range(0..INSTANCES);
        self.instances[index].settings.update_since(held)
    }

    /// Returns the number of claims that are still held at the current time.
    pub fn held_claims(&mut self) -> usize {
        let time = self.time;
        let probe = ControlCommand::AbandonClaims { endpoint: 0 };
        self.commit(&probe);
        let claims = &mut self.instances[0].claims;
        claims.advance(time);
        claims.held()
    }

    /// Returns the number of reachable replicas that differ from the leader, plus 1 if the leader's
    /// invariants are violated.
    pub fn count_divergences(&self) -> u64 {
        let leader = self.leader();
        let same = |(index, instance): (usize, &ControlState)| {
            Some(index) == self.partitioned || instance == leader
        };
        let differ = self
            .instances
            .iter()
            .enumerate()
            .filter(|pair| !same(*pair));
        let mut divergences = differ.count() as u64;
        divergences += u64::from(leader.verify().is_err());
        divergences
    }

    fn commit(&mut self, command: &ControlCommand) -> ControlReply {
        let stamped = StampedCommand {
            time: self.time,
            command: command.clone(),
        };
        let mut reply = ControlReply::Refused(unreachable_fault());
        for (index, instance) in self.instances.iter_mut().enumerate() {
            if self.partitioned != Some(index) {
                reply = instance.apply(&stamped);
            }
        }
        if self.partitioned.is_some() {
            self.missed.push(stamped);
        }
        reply
    }

    fn catch_up(&mut self, index: usize, by_snapshot: bool) {
        let missed = std::mem::take(&mut self.missed);
        if by_snapshot {
            let other = (index + 1) % INSTANCES;
            self.instances[index] = restore_from_snapshot(&self.instances[other]);
            return;
        }
        for stamped in &missed {
            self.instances[index].apply(stamped);
        }
    }

    fn leader(&self) -> &ControlState {
        let index = (0..INSTANCES).find(|index| self.partitioned != Some(*index));
        &self.instances[index.unwrap_or(0)]
    }
}

fn unreachable_fault() -> Fault {
    fault::FaultKind::ControlUnreachable.because("no instance is left")
}

/// Encodes a state as a snapshot and restores it.
fn restore_from_snapshot(state: &ControlState) -> ControlState {
    let bytes = state.snapshot().expect("a state can be encoded");
    ControlState::restore(&bytes).expect("a snapshot can be decoded")
}
