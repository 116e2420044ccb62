//! The state of one member and its entry points.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::id::InstanceId;

use crate::action::ReplicaAction;
use crate::error::{ReplicaError, Result};
use crate::id::{
    ClusterId, LogIndex, MemberIdentity, MemberKey, PersistNumber, ProbeNumber, ReadTicket,
    TermNumber,
};
use crate::log::{EntryPayload, ReplicaLog};
use crate::message::{MessageBody, ReplicaMessage};
use crate::persist::PersistQueue;
use crate::progress::LeaderState;
use crate::record::{HardState, RecoveredState};
use crate::settings::ReplicaSettings;
use crate::snapshot::IncomingSnapshot;

/// Role of a member in its current term.
#[derive(Clone, Debug)]
pub(crate) enum ReplicaRole {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks the voters whether it would win an election, before it starts one.
    PreCandidate {
        /// Members that would vote for it.
        granted: BTreeSet<MemberKey>,
    },
    /// Stands for election.
    Candidate {
        /// Members that voted for it. Contains itself only once its own vote is durable.
        granted: BTreeSet<MemberKey>,
        /// Whether the last leader requested the election to transfer its leadership.
        is_transfer: bool,
    },
    /// Leads.
    Leader(Box<LeaderState>),
}

/// Consensus state of one member. Performs no I/O itself.
#[derive(Clone, Debug)]
pub struct ReplicaCore {
    pub(crate) settings: ReplicaSettings,
    pub(crate) own: MemberKey,
    /// Every instance that may hold a member, this one included.
    pub(crate) peers: Vec<InstanceId>,
    /// Whether this member may bootstrap a cluster.
    pub(crate) is_bootstrap_allowed: bool,
    /// The instances of which a majority bootstraps a cluster; `None` if all of `peers` must.
    pub(crate) founders: Option<Vec<InstanceId>>,
    /// Instances that are about to stop.
    pub(crate) leaving: BTreeSet<InstanceId>,
    pub(crate) rng: Pcg64,
    /// Random number that identifies this process in [`ClockStamp`](crate::message::ClockStamp)s.
    pub(crate) process_nonce: u64,
    /// Latest time passed in by the caller. Never decreases.
    pub(crate) now: Duration,
    pub(crate) hard: HardState,
    pub(crate) log: ReplicaLog,
    /// Last entry known to be committed, that is, durable on a quorum. Never decreases.
    pub(crate) commit: LogIndex,
    /// Last applied entry: at most `commit`, and durable on this member. Never decreases.
    pub(crate) applied: LogIndex,
    pub(crate) persist_queue: PersistQueue,
    /// Replies that wait until the hard state is durable, with the number of its write.
    pub(crate) deferred: VecDeque<(PersistNumber, ReplicaMessage)>,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<MemberKey>,
    /// When the last message of the leader of this term was received.
    pub(crate) leader_contact_at: Option<Duration>,
    /// Follower: the log matches that of the leader of this term up to this entry.
    pub(crate) matched: LogIndex,
    /// Follower: latest heartbeat round of the leader of this term.
    pub(crate) round: u64,
    /// Follower: when the last heartbeat round that a quorum answered began, or an earlier time.
    pub(crate) confirmed_at: Option<Duration>,
    /// When the next election is due.
    pub(crate) election_at: Duration,
    /// When the next probe is due.
    pub(crate) probe_at: Duration,
    /// The current round of probes.
    pub(crate) probe: ProbeNumber,
    /// Members that answered the current round of probes and belong to no cluster.
    pub(crate) empty_peers: BTreeMap<InstanceId, MemberIdentity>,
    /// Rounds of probes that ended without a bootstrap, although this member may begin one.
    pub(crate) partial_rounds: u32,
    /// First voters of this member's cluster that belong to another one, with that cluster.
    pub(crate) defectors: BTreeMap<MemberKey, ClusterId>,
    /// When this member gives up its cluster, which can never have a leader.
    pub(crate) abandon_at: Option<Duration>,
    /// A member of another cluster that was heard last, with its cluster.
    pub(crate) foreign: Option<(MemberKey, ClusterId)>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Bytes of the entries applied since the last snapshot.
    pub(crate) applied_bytes: usize,
    /// Last entry of the snapshot that was requested from the caller.
    pub(crate) requested_snapshot: Option<LogIndex>,
    /// Whether the data folder is full.
    pub(crate) store_full: bool,
    pub(crate) actions: Vec<ReplicaAction>,
}

impl ReplicaCore {
    /// Creates a member from the state recovered from its disk.
    ///
    /// `now` is the time since an arbitrary fixed moment; it must not decrease. `peers` are all
    /// instances that may hold a member, this one included. `seed` initialises the random numbers,
    /// among them the election timeouts and the nonce of the process, so each process needs a
    /// different one.
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
            founders: None,
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
            partial_rounds: 0,
            defectors: BTreeMap::new(),
            abandon_at: None,
            foreign: None,
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

    /// Removes and returns the pending actions, in order.
    pub fn take_actions(&mut self) -> Vec<ReplicaAction> {
        std::mem::take(&mut self.actions)
    }

    /// Advances the time and carries out what is due: probes, elections and heartbeats.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        self.abandon_if_due();
        if !self.is_voter() {
            self.tick_non_voter();
        } else if matches!(self.role, ReplicaRole::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_at && self.is_cluster_durable() {
            self.start_pre_vote();
        }
    }

    /// Latest time at which [`Self::tick`] must be called next.
    pub fn next_tick(&self) -> Duration {
        if !self.is_voter() {
            return self.probe_at;
        }
        match &self.role {
            ReplicaRole::Leader(state) => state.heartbeat_at,
            _ => self.election_at,
        }
    }

    /// Appends a command to the log if this member leads. Returns the index and the term of its
    /// entry; the command is accepted when an entry with both is applied.
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

    /// Starts a read: asks a quorum whether this member still leads. Answered by an action with
    /// `ticket`.
    ///
    /// # Errors
    /// When this member does not lead, or is transferring its leadership.
    pub fn read(&mut self, now: Duration, ticket: ReadTicket) -> Result<()> {
        self.advance(now);
        self.check_leading()?;
        self.start_read(ticket);
        Ok(())
    }

    /// Sets whether the data folder is full. A leader whose data folder is full transfers its
    /// leadership, and any member with a full one waits longer before it starts an election.
    pub fn set_store_full(&mut self, full: bool) {
        if full == self.store_full {
            return;
        }
        self.store_full = full;
        let due_at = self.election_at;
        self.reset_election();
        if !full {
            self.election_at = self.election_at.min(due_at);
        }
    }

    /// Whether this member takes its data folder for full.
    pub fn is_store_full(&self) -> bool {
        self.store_full
    }

    /// Replaces the instances that may hold a member. This one is always included.
    pub fn set_peers(&mut self, mut peers: Vec<InstanceId>) {
        if !peers.contains(&self.own.instance) {
            peers.push(self.own.instance);
        }
        peers.sort_unstable();
        peers.dedup();
        self.peers = peers;
    }

    /// Sets the instances that are about to stop. Their voters are removed without waiting for
    /// `remove_voter_after`, as long as `min_voters` remain; they may join again later.
    pub fn set_leaving(&mut self, instances: impl IntoIterator<Item = InstanceId>) {
        self.leaving = instances.into_iter().collect();
    }

    /// Sets whether this member may bootstrap a cluster. A caller that discovers the other
    /// instances only at run time must forbid it until it knows every instance that may bootstrap
    /// one.
    pub fn set_bootstrap_allowed(&mut self, allowed: bool) {
        self.is_bootstrap_allowed = allowed;
    }

    /// Sets the instances that count in the bootstrap. A majority of them is needed, and all of them
    /// become voters, so that any two bootstraps have an instance in common and at most one of them
    /// gets a leader. Every instance must be given the same ones, except for some that can't hold a
    /// member. Without this call, all peers must take part.
    pub fn set_founders(&mut self, mut founders: Vec<InstanceId>) {
        founders.sort_unstable();
        founders.dedup();
        self.founders = Some(founders);
    }

    /// The cluster of this member; `None` if it belongs to none.
    pub fn cluster(&self) -> Option<ClusterId> {
        (self.hard.cluster != 0).then_some(self.hard.cluster)
    }

    /// A member that belongs to another cluster than this one, and that cluster. Two clusters are
    /// never merged: which of them holds the accepted commands is for operators to decide.
    pub fn foreign_cluster(&self) -> Option<(MemberKey, ClusterId)> {
        self.foreign
    }

    /// Last entry that the snapshot of this member covers.
    pub fn snapshot_index(&self) -> LogIndex {
        self.log.snapshot_index()
    }

    /// Whether this member belongs to a cluster.
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

    /// Upper bound of the time since a quorum confirmed that the state applied by this member is
    /// the latest; `None` when that is unknown.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        if self.applied < self.commit {
            return None;
        }
        self.commit_age(now)
    }

    /// Upper bound of the time since a quorum confirmed that `commit` is the latest committed
    /// entry; `None` when that is unknown.
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

    /// Whether the id of this member's cluster is durable. A bootstrapping member that let others
    /// join before that could lose the id of their cluster in a crash.
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

    /// Schedules the first election of this process at a random time.
    fn set_first_election(&mut self) {
        let fraction: f64 = self.rng.random_range(0.2..1.0);
        let wait = self.settings.first_election_max.mul_f64(fraction);
        self.election_at = self.now + self.settings.election_delay + wait;
    }

    /// Schedules the next election at a random time.
    pub(crate) fn reset_election(&mut self) {
        let spread = self.settings.election_max - self.settings.election_min;
        let fraction: f64 = self.rng.random_range(0.0..1.0);
        let mut wait = self.settings.election_min + self.settings.election_delay;
        if self.store_full {
            wait += 2 * self.settings.election_max;
        }
        self.election_at = self.now + wait + spread.mul_f64(fraction);
    }

    /// Sends a message at once. Everything that it promises must be durable already.
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
