//! Control: a committed log that three instances apply.
//!
//! One instance at a time may be partitioned. It goes on believing that it leads, but commits
//! nothing without a quorum. When it comes back it catches up by the log or by a snapshot.

use std::time::Duration;

use claim::{ClaimLimits, ClaimTable};
use control::state::ControlState;
use fault::Fault;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::command::{ControlCommand, ControlReply, StampedCommand};
use wire::id::SettingsVersion;

/// Control instances.
const INSTANCES: usize = 3;
/// Share of proposals that are lost on their way, before or after the commit.
const LOSS_SHARE: f64 = 0.08;
/// Share of proposals of which a duplicate arrives much later.
const LATE_SHARE: f64 = 0.05;
/// Bytes of recorded answers that the quorum keeps.
const ANSWER_BYTES: usize = 200_000;

/// An instance that has applied nothing.
fn empty_state() -> ControlState {
    let limits = ClaimLimits {
        answer_bytes: ANSWER_BYTES,
        ..ClaimLimits::default()
    };
    let mut state = ControlState::default();
    state.claims = ClaimTable::new(limits);
    state
}

/// The control quorum.
pub struct ControlQuorum {
    instances: Vec<ControlState>,
    /// The instance that is cut off.
    partitioned: Option<usize>,
    /// Commands that the partitioned instance missed.
    missed: Vec<StampedCommand>,
    /// Proposals that arrive again later.
    late: Vec<ControlCommand>,
    /// Clock of the leader.
    time: Duration,
}

impl Default for ControlQuorum {
    fn default() -> Self {
        Self {
            instances: (0..INSTANCES).map(|_| empty_state()).collect(),
            partitioned: None,
            missed: Vec::new(),
            late: Vec::new(),
            time: Duration::from_secs(1),
        }
    }
}

impl ControlQuorum {
    /// Proposes a command through any instance. `None`: no decision arrives, and the command may
    /// or may not be committed.
    pub fn propose(
        &mut self,
        rng: &mut Pcg64Mcg,
        command: &ControlCommand,
    ) -> Option<ControlReply> {
        if self.partitioned == Some(rng.random_range(0..INSTANCES)) {
            return None;
        }
        if rng.random_bool(LATE_SHARE) {
            self.late.push(command.clone());
        }
        if rng.random_bool(LOSS_SHARE) {
            return None;
        }
        let reply = self.commit(command);
        (!rng.random_bool(LOSS_SHARE)).then_some(reply)
    }

    /// Commits a duplicate of an earlier proposal.
    pub fn commit_late(&mut self, rng: &mut Pcg64Mcg) {
        if !self.late.is_empty() {
            let index = rng.random_range(0..self.late.len());
            let command = self.late.swap_remove(index);
            self.commit(&command);
        }
    }

    /// Cuts one instance off, or lets it come back.
    pub fn toggle_partition(&mut self, rng: &mut Pcg64Mcg) {
        match self.partitioned.take() {
            Some(index) => self.catch_up(index, rng.random_bool(0.5)),
            None => self.partitioned = Some(rng.random_range(0..INSTANCES)),
        }
    }

    /// Ends a partition.
    pub fn heal(&mut self) {
        if let Some(index) = self.partitioned.take() {
            self.catch_up(index, true);
        }
    }

    /// Restarts an instance, which then reads its snapshot.
    pub fn restart(&mut self, rng: &mut Pcg64Mcg) {
        let index = rng.random_range(0..INSTANCES);
        self.instances[index] = reread(&self.instances[index]);
    }

    /// Lets time pass on the leader's clock.
    pub fn pass(&mut self, time: Duration, is_long: bool) {
        self.time += time;
        if is_long {
            // No frame is on its way for that long.
            self.late.clear();
        }
    }

    /// Requests that run only alone, and requests that are refused.
    pub fn lists(&self) -> (Vec<u64>, Vec<u64>) {
        let suspects = &self.leader().suspects;
        (suspects.suspects(), suspects.quarantined())
    }

    /// Version of the settings.
    pub fn version(&self) -> SettingsVersion {
        self.leader().settings.version()
    }

    /// The settings as any instance, also a partitioned one, would send them.
    pub fn update(&self, rng: &mut Pcg64Mcg, held: u64) -> wire::message::SettingsUpdate {
        let index = rng.random_range(0..INSTANCES);
        self.instances[index].settings.update_since(held)
    }

    /// Claims that are held.
    pub fn held_claims(&mut self) -> usize {
        let time = self.time;
        let probe = ControlCommand::AbandonClaims { endpoint: 0 };
        self.commit(&probe);
        let claims = &mut self.instances[0].claims;
        claims.advance(time);
        claims.held()
    }

    /// Replicas that differ from the leader, and broken invariants.
    pub fn differences(&self) -> u64 {
        let leader = self.leader();
        let same = |(index, instance): (usize, &ControlState)| {
            Some(index) == self.partitioned || instance == leader
        };
        let differ = self
            .instances
            .iter()
            .enumerate()
            .filter(|pair| !same(*pair));
        let mut faults = differ.count() as u64;
        faults += u64::from(leader.verify().is_err());
        faults
    }

    fn commit(&mut self, command: &ControlCommand) -> ControlReply {
        let stamped = StampedCommand {
            time: self.time,
            command: command.clone(),
        };
        let mut reply = ControlReply::Refused(unreached());
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
            self.instances[index] = reread(&self.instances[other]);
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

fn unreached() -> Fault {
    fault::FaultKind::ControlUnreachable.because("no instance is left")
}

/// The state as it comes back from a snapshot.
fn reread(state: &ControlState) -> ControlState {
    let bytes = state.snapshot().expect("a state can be encoded");
    ControlState::restore(&bytes).expect("a snapshot can be decoded")
}
