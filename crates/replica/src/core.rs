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
use crate::member::MemberSet;
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
        handed_over: bool,
    },
    /// Leads.
    Leader(Box<LeaderState>),
}

/// The kind of a member's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoleKind {
    /// Belongs to no log yet, or catches up without a vote.
    Joining,
    /// Follows a leader or waits for one.
    Follower,
    /// Seeks election.
    Candidate,
    /// Leads.
    Leader,
}

/// A member as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// This member.
    pub own: MemberKey,
    /// Its role.
    pub role: RoleKind,
    /// Its term.
    pub term: TermNumber,
    /// The leader that it knows.
    pub leader: Option<MemberKey>,
    /// The voters.
    pub members: MemberSet,
    /// Last entry that it holds.
    pub last_index: LogIndex,
    /// Last entry that it knows to be committed.
    pub commit: LogIndex,
    /// Last entry that it applied.
    pub applied: LogIndex,
    /// First entry that only the snapshot holds is at or before this one.
    pub start_index: LogIndex,
}

/// One member of the control quorum, without any input or output of its own.
#[derive(Clone, Debug)]
pub struct ReplicaCore {
    pub(crate) settings: ReplicaSettings,
    pub(crate) own: MemberKey,
    /// Every instance that may hold a member, this one included.
    pub(crate) peers: Vec<InstanceId>,
    pub(crate) generator: Pcg64,
    /// Random number of this process.
    pub(crate) life: u64,
    /// Latest time that came in. Never runs backwards.
    pub(crate) now: Duration,
    pub(crate) hard: HardState,
    pub(crate) log: ReplicaLog,
    /// At most the last entry that a quorum holds durably. Never falls.
    pub(crate) commit: LogIndex,
    /// At most `commit`, and durable here. Never falls.
    pub(crate) applied: LogIndex,
    pub(crate) persists: PersistQueue,
    /// Vote requests and replies that wait until the hard state is durable.
    pub(crate) held: VecDeque<(PersistNumber, ReplicaMessage)>,
    pub(crate) role: ReplicaRole,
    pub(crate) leader: Option<MemberKey>,
    /// When the leader of this term was heard last.
    pub(crate) leader_at: Option<Duration>,
    /// Follower: entries up to here agree with the leader of this term.
    pub(crate) agreed: LogIndex,
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
    pub(crate) unformed: BTreeMap<InstanceId, MemberIdentity>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Snapshot that the caller was asked for.
    pub(crate) wanted_snapshot: Option<LogIndex>,
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
        let mut generator = Pcg64::seed_from_u64(seed);
        let life = generator.random();
        let hard = recovered.hard;
        let log = ReplicaLog::recover(recovered);
        let mut core = Self {
            settings,
            own,
            peers,
            generator,
            life,
            now,
            hard,
            commit: log.snapshot_index(),
            applied: 0,
            persists: PersistQueue::recovered(hard, log.last_index()),
            log,
            held: VecDeque::new(),
            role: ReplicaRole::Follower,
            leader: None,
            leader_at: None,
            agreed: 0,
            round: 0,
            confirmed_at: None,
            election_at: now,
            probe_at: now,
            probe: 0,
            unformed: BTreeMap::new(),
            incoming: None,
            wanted_snapshot: None,
            store_full: false,
            actions: Vec::new(),
        };
        core.reset_election();
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
            self.tick_joining();
        } else if matches!(self.role, ReplicaRole::Leader(_)) {
            self.tick_leader();
        } else if self.now >= self.election_at && self.is_founded() {
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

    /// Takes a message of another member.
    pub fn receive(&mut self, now: Duration, message: ReplicaMessage) {
        self.advance(now);
        if message.to != self.own.instance || message.from.instance == self.own.instance {
            return;
        }
        match message.body {
            MessageBody::Probe { probe } => self.on_probe(&message, probe),
            MessageBody::ProbeReply { probe, formed } => {
                self.on_probe_reply(message.from, probe, formed);
            }
            _ if message.identity == self.own.identity => self.receive_own(message),
            _ => {}
        }
    }

    /// Appends a command to the log if this member leads. Returns its position and term; the
    /// command is accepted when exactly that entry is applied.
    ///
    /// # Errors
    /// When this member can't take the command; the command has no effect then.
    pub fn propose(&mut self, now: Duration, command: Vec<u8>) -> Result<(LogIndex, TermNumber)> {
        self.advance(now);
        self.check_leading()?;
        if self.store_full {
            return Err(ReplicaError::StoreFull);
        }
        if self.log.last_index() - self.commit >= self.settings.waiting_entries {
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

    /// The caller can't write, or can again.
    pub fn set_store_full(&mut self, full: bool) {
        self.store_full = full;
    }

    /// Whether this member leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Whether this member counts towards quorums.
    pub fn is_voter(&self) -> bool {
        self.log.members().1.contains(self.own)
    }

    /// Time since a quorum confirmed that what this member has committed is the latest, at most.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        let at = match &self.role {
            ReplicaRole::Leader(state) if self.commit >= state.first_index => {
                Some(state.confirmed.1)
            }
            ReplicaRole::Leader(_) => None,
            _ => self.confirmed_at,
        };
        at.map(|at| now.saturating_sub(at))
    }

    /// This member as operators see it.
    pub fn status(&self) -> ReplicaStatus {
        let role = match &self.role {
            _ if !self.is_voter() => RoleKind::Joining,
            ReplicaRole::Follower => RoleKind::Follower,
            ReplicaRole::PreCandidate { .. } | ReplicaRole::Candidate { .. } => RoleKind::Candidate,
            ReplicaRole::Leader(_) => RoleKind::Leader,
        };
        ReplicaStatus {
            own: self.own,
            role,
            term: self.hard.term,
            leader: self.leader,
            members: self.log.members().1.clone(),
            last_index: self.log.last_index(),
            commit: self.commit,
            applied: self.applied,
            start_index: self.log.start_index(),
        }
    }

    /// Whether the membership in a log is durable. A founder that let others join before that
    /// could forget the log that they belong to.
    fn is_founded(&self) -> bool {
        self.persists.hard.cluster != 0
    }

    fn check_leading(&self) -> Result<()> {
        match &self.role {
            ReplicaRole::Leader(state) if state.hand_over.is_some() => {
                Err(ReplicaError::HandingOver)
            }
            ReplicaRole::Leader(_) => Ok(()),
            _ => Err(ReplicaError::NotLeader {
                leader: self.leader,
            }),
        }
    }

    /// Takes a message for this member's own data folder.
    fn receive_own(&mut self, message: ReplicaMessage) {
        if self.hard.cluster == 0 {
            self.hard.cluster = message.cluster;
        }
        if message.cluster == 0 || message.cluster != self.hard.cluster {
            return;
        }
        if self.must_ignore(&message) {
            return;
        }
        let is_question = matches!(message.body, MessageBody::PreVote { .. });
        if message.term > self.hard.term && !is_question {
            self.enter_term(message.term);
        }
        if message.term < self.hard.term && !self.accepts_old(&message.body) {
            self.answer_old(&message);
            return;
        }
        self.dispatch(message);
    }

    /// Whether a vote request comes while the leader is alive.
    fn must_ignore(&self, message: &ReplicaMessage) -> bool {
        match message.body {
            MessageBody::Vote { handed_over, .. } => !handed_over && self.hears_leader(),
            _ => false,
        }
    }

    /// Messages that mean the same in a later term.
    fn accepts_old(&self, body: &MessageBody) -> bool {
        matches!(body, MessageBody::PreVoteReply { .. })
    }

    /// Tells the sender of an outdated message about the term.
    fn answer_old(&mut self, message: &ReplicaMessage) {
        let body = match &message.body {
            MessageBody::PreVote { election, .. } => MessageBody::PreVoteReply {
                election: *election,
                granted: false,
            },
            MessageBody::Vote { .. }
            | MessageBody::Append { .. }
            | MessageBody::SnapshotChunk { .. } => MessageBody::VoteReply { granted: false },
            _ => return,
        };
        self.send_held(message.from, body);
    }

    fn dispatch(&mut self, message: ReplicaMessage) {
        let from = message.from;
        match message.body {
            MessageBody::Probe { .. } | MessageBody::ProbeReply { .. } => {}
            MessageBody::PreVote {
                election,
                last_index,
                last_term,
            } => self.on_pre_vote(from, election, (last_term, last_index)),
            MessageBody::PreVoteReply { election, granted } => {
                self.on_pre_vote_reply(from, election, granted);
            }
            MessageBody::Vote {
                last_index,
                last_term,
                ..
            } => self.on_vote(from, (last_term, last_index)),
            MessageBody::VoteReply { granted } => self.on_vote_reply(from, granted),
            MessageBody::Append { .. } => self.on_append(from, message.body),
            MessageBody::AppendReply {
                index,
                round,
                stamp,
            } => self.on_append_reply(from, index, round, stamp),
            MessageBody::AppendReject {
                prev_index,
                hint,
                round,
            } => self.on_append_reject(from, prev_index, hint, round),
            MessageBody::SnapshotChunk { .. } => self.on_snapshot_chunk(from, message.body),
            MessageBody::SnapshotReply {
                index,
                offset,
                round,
            } => self.on_snapshot_reply(from, index, offset, round),
            MessageBody::HandOver => self.on_hand_over(),
        }
    }

    fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Sets the next election to a random moment.
    pub(crate) fn reset_election(&mut self) {
        let spread = self.settings.election_max - self.settings.election_min;
        let share: f64 = self.generator.random_range(0.0..1.0);
        let wait = self.settings.election_min + self.settings.election_delay;
        self.election_at = self.now + wait + spread.mul_f64(share);
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
