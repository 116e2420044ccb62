//! The state of one member and its entry points.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::id::InstanceId;

use crate::action::ReplicaAction;
use crate::error::{ReplicaError, Result};
use crate::id::{
    LogIndex, MemberIdentity, MemberKey, PersistNumber, ProbeNumber, ReadTicket, TermNumber,
};
use crate::log::{EntryPayload, ReplicaLog};
use crate::message::{MessageBody, ReplicaMessage};
use crate::persist::PersistQueue;
use crate::progress::LeaderState;
use crate::record::{HardState, RecoveredState};
use crate::settings::ReplicaSettings;
use crate::snapshot::IncomingSnapshot;

/// What a member does in its term.
#[derive(Clone, Debug)]
pub(crate) enum ReplicaRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could succeed.
    PreCandidate {
        /// Members that would vote for it.
        granted: BTreeSet<MemberKey>,
    },
    /// Stands for election.
    Candidate {
        /// Members that voted for it. Contains itself only once its own vote is durable.
        granted: BTreeSet<MemberKey>,
        /// Whether the last leader asked for the election.
        is_transfer: bool,
    },
    /// Leads.
    Leader(Box<LeaderState>),
}

/// One member of the control quorum, without any input or output of its own.
#[derive(Clone, Debug)]
pub struct ReplicaCore {
    pub(crate) settings: ReplicaSettings,
    pub(crate) own: MemberKey,
    /// Every instance that may hold a member, this one included.
    pub(crate) peers: Vec<InstanceId>,
    /// Whether this member may found a log.
    pub(crate) is_bootstrap_allowed: bool,
    /// Instances that are about to stop.
    pub(crate) leaving: BTreeSet<InstanceId>,
    pub(crate) rng: Pcg64,
    /// Random number of this process.
    pub(crate) process_nonce: u64,
    /// Latest time that came in. Never runs backwards.
    pub(crate) now: Duration,
    pub(crate) hard: HardState,
    pub(crate) log: ReplicaLog,
    /// At most the last entry that a quorum holds durably. Never falls.
    pub(crate) commit: LogIndex,
    /// At most `commit`, and durable here. Never falls.
    pub(crate) applied: LogIndex,
    pub(crate) persist_queue: PersistQueue,
    /// Vote requests and replies that wait until the hard state is durable.
    pub(crate) deferred: VecDeque<(PersistNumber, ReplicaMessage)>,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<MemberKey>,
    /// When the leader of this term was heard last.
    pub(crate) leader_contact_at: Option<Duration>,
    /// Follower: entries up to here agree with the leader of this term.
    pub(crate) matched: LogIndex,
    /// Follower: latest round of the leader of this term.
    pub(crate) round: u64,
    /// Follower: when the last round that a quorum answered began, at the latest.
    pub(crate) confirmed_at: Option<Duration>,
    /// When the next election is due.
    pub(crate) election_at: Duration,
    /// When the next probe is due.
    pub(crate) probe_at: Duration,
    /// The current round of probes.
    pub(crate) probe: ProbeNumber,
    /// Empty members that answered in the current round of probes.
    pub(crate) empty_peers: BTreeMap<InstanceId, MemberIdentity>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Bytes of the entries applied since the last snapshot.
    pub(crate) applied_bytes: usize,
    /// Snapshot that the caller was asked for.
    pub(crate) requested_snapshot: Option<LogIndex>,
    /// Whether the data folder refuses more data.
    pub(crate) store_full: bool,
    pub(crate) actions: Vec<ReplicaAction>,
}

impl ReplicaCore {
    /// A member with what it found on its disk.
    ///
    /// `now` is the time since any fixed moment; it must not run backwards. `peers` are all
    /// instances of the quorum, this one included. `seed` spreads the elections.
    pub fn new(
        settings: ReplicaSettings,
        own: MemberKey,
        peers: Vec<InstanceId>,
        recovered: RecoveredState,
        now: Duration,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let process_nonce = rng.random();
        let hard = recovered.hard;
        let log = ReplicaLog::recover(recovered);
        let mut core = Self {
            settings,
            own,
            peers,
            is_bootstrap_allowed: true,
            leaving: BTreeSet::new(),
            rng,
            process_nonce,
            now,
            hard,
            commit: log.snapshot_index(),
            applied: 0,
            persist_queue: PersistQueue::recovered(hard, log.last_index()),
            log,
            deferred: VecDeque::new(),
            role: ReplicaRole::Follower,
            leader: None,
            leader_contact_at: None,
            matched: 0,
            round: 0,
            confirmed_at: None,
            election_at: now,
            probe_at: now,
            probe: 0,
            empty_peers: BTreeMap::new(),
            incoming: None,
            applied_bytes: 0,
            requested_snapshot: None,
            store_full: false,
            actions: Vec::new(),
        };
        core.set_first_election();
        core.apply_committed();
        core
    }

    /// Takes the actions that are due, in order.
    pub fn take_actions(&mut self) -> Vec<ReplicaAction> {
        std::mem::take(&mut self.actions)
    }

    /// Advances the time and does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        if !self.is_voter() {
            self.tick_non_voter();
        } else if matches!(self.role, ReplicaRole::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_at && self.is_cluster_durable() {
            self.start_pre_vote();
        }
    }

    /// When `tick` is due at the latest.
    pub fn next_tick(&self) -> Duration {
        if !self.is_voter() {
            return self.probe_at;
        }
        match &self.role {
            ReplicaRole::Leader(state) => state.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Appends a command to the log if this member leads. Returns its position and term; the
    /// command is accepted when exactly that entry is applied.
    ///
    /// # Errors
    /// When this member can't take the command; the command has no effect then.
    pub fn propose(&mut self, now: Duration, command: Vec<u8>) -> Result<(LogIndex, TermNumber)> {
        self.advance(now);
        if self.is_leader() && self.store_full {
            return Err(ReplicaError::StoreFull);
        }
        self.check_leading()?;
        if self.log.last_index() - self.commit >= self.settings.max_uncommitted_entries {
            return Err(ReplicaError::Congested);
        }
        let index = self.append_own(EntryPayload::Command(command));
        self.send_appends();
        Ok((index, self.hard.term))
    }

    /// Asks a quorum whether this member still leads. Answered by an action with `ticket`.
    ///
    /// # Errors
    /// When this member does not lead.
    pub fn read(&mut self, now: Duration, ticket: ReadTicket) -> Result<()> {
        self.advance(now);
        self.check_leading()?;
        self.start_read(ticket);
        Ok(())
    }

    /// The caller can't write, or can again. A leader that can't write hands over, and a member
    /// that can't write leaves elections to others for longer.
    pub fn set_store_full(&mut self, full: bool) {
        if full && !self.store_full {
            self.store_full = true;
            self.reset_election();
        }
        self.store_full = full;
    }

    /// Replaces the instances that may hold a member; this one is among them in any case.
    pub fn set_peers(&mut self, mut peers: Vec<InstanceId>) {
        if !peers.contains(&self.own.instance) {
            peers.push(self.own.instance);
        }
        peers.sort_unstable();
        peers.dedup();
        self.peers = peers;
    }

    /// Sets the instances that are about to stop. Their members lose their vote at once, while
    /// enough others remain; they join again when they come back.
    pub fn set_leaving(&mut self, instances: impl IntoIterator<Item = InstanceId>) {
        self.leaving = instances.into_iter().collect();
    }

    /// Allows or forbids this member to found a log. Who learns of the other instances only while
    /// it runs must forbid it until it knows all that may found one.
    pub fn set_bootstrap_allowed(&mut self, allowed: bool) {
        self.is_bootstrap_allowed = allowed;
    }

    /// Whether this member belongs to a log.
    pub fn has_cluster(&self) -> bool {
        self.hard.cluster != 0
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Whether this member counts towards quorums.
    pub fn is_voter(&self) -> bool {
        self.log.members().1.contains(self.own)
    }

    /// The leader that this member knows.
    pub fn leader(&self) -> Option<MemberKey> {
        self.leader
    }

    /// Time since a quorum confirmed that what this member has applied is the latest, at most.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        if self.applied < self.commit {
            return None;
        }
        self.commit_age(now)
    }

    /// Time since a quorum confirmed that what this member knows to be committed is the latest.
    pub(crate) fn commit_age(&self, now: Duration) -> Option<Duration> {
        let at = match &self.role {
            ReplicaRole::Leader(state) if self.commit >= state.first_index => {
                Some(state.confirmed.1)
            }
            ReplicaRole::Leader(_) => None,
            _ => self.confirmed_at,
        };
        at.map(|at| now.saturating_sub(at))
    }

    /// Whether the membership in a log is durable. A founder that let others join before that
    /// could forget the log that they belong to.
    fn is_cluster_durable(&self) -> bool {
        self.persist_queue.hard.cluster != 0
    }

    fn check_leading(&self) -> Result<()> {
        match &self.role {
            ReplicaRole::Leader(state) if state.transfer.is_some() => {
                Err(ReplicaError::TransferringLeadership)
            }
            ReplicaRole::Leader(_) => Ok(()),
            _ => Err(ReplicaError::NotLeader {
                leader: self.leader,
            }),
        }
    }

    pub(crate) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Sets the first election of this process to a random moment.
    fn set_first_election(&mut self) {
        let fraction: f64 = self.rng.random_range(0.2..1.0);
        let wait = self.settings.first_election_max.mul_f64(fraction);
        self.election_at = self.now + self.settings.election_delay + wait;
    }

    /// Sets the next election to a random moment.
    pub(crate) fn reset_election(&mut self) {
        let spread = self.settings.election_max - self.settings.election_min;
        let fraction: f64 = self.rng.random_range(0.0..1.0);
        let mut wait = self.settings.election_min + self.settings.election_delay;
        if self.store_full {
            wait += 2 * self.settings.election_max;
        }
        self.election_at = self.now + wait + spread.mul_f64(fraction);
    }

    /// Sends a message that promises nothing about durable state.
    pub(crate) fn send(&mut self, to: MemberKey, body: MessageBody) {
        let message = self.message(to.instance, to.identity, body);
        self.check_durable(&message);
        self.actions.push(ReplicaAction::Send(message));
    }

    pub(crate) fn message(
        &self,
        to: InstanceId,
        identity: MemberIdentity,
        body: MessageBody,
    ) -> ReplicaMessage {
        ReplicaMessage {
            cluster: self.hard.cluster,
            from: self.own,
            to,
            identity,
            term: self.hard.term,
            body,
        }
    }
}
