//! Bootstrap of a cluster, and joining an existing one.
//!
//! A member without a cluster probes all instances in rounds. The instance with the lowest id
//! bootstraps a cluster, but only when every other instance has answered in the same round that it
//! belongs to none either. An instance whose data folder was emptied finds others that belong to
//! the cluster, so it never bootstraps a second one.
//!
//! Where instances are discovered at run time, a majority of the founders is enough; a founder that
//! did not answer becomes a voter with an unknown data folder, which never votes and is replaced
//! once the instance joins. A data folder belongs to one cluster for life, so that of two
//! bootstraps, whose majorities share a founder, at most one gets a leader.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use wire::id::InstanceId;

use crate::action::ReplicaAction;
use crate::core::ReplicaCore;
use crate::id::{ClusterId, MemberIdentity, MemberKey, ProbeNumber, is_founding};
use crate::log::{EntryPayload, LogEntry};
use crate::member::MemberSet;
use crate::message::{MessageBody, ReplicaMessage};

/// Term of the first entry, which the bootstrapping member writes without an election.
const BOOTSTRAP_TERM: u64 = 1;
/// Rounds of probes without a bootstrap after which founders that are heard, but have not answered,
/// are no longer waited for: their data folders may be slow to open.
const MAX_PARTIAL_ROUNDS: u32 = 5;
/// Time between the finding that this member's cluster can't get a leader and its end. Several rounds
/// of probes, so that the members of the other cluster, which may be unable to get one either, learn
/// of this one.
const ABANDON_DELAY: Duration = Duration::from_secs(2);
/// Identity of a voter whose data folder was not known at the bootstrap. No data folder has it.
const UNKNOWN_FOLDER: MemberIdentity = 0;

impl ReplicaCore {
    /// Probes all instances when that is due, and bootstraps a cluster if the conditions are met.
    pub(crate) fn tick_non_voter(&mut self) {
        if self.now < self.probe_at {
            return;
        }
        self.probe_at = self.now + self.settings.election_min / 2;
        if self.is_bootstrap_allowed {
            self.partial_rounds += 1;
            self.bootstrap_if_ready();
        }
        self.probe_all();
        self.bootstrap_if_ready();
    }

    /// Announces this member to all instances. A member that was replaced without its knowledge
    /// still asks for votes; the probe makes the leader send it the log, from which it learns that
    /// it was replaced.
    pub(crate) fn probe_all(&mut self) {
        let probe = self.rng.random();
        self.probe = probe;
        self.empty_peers.clear();
        for instance in self.peers.clone() {
            if instance != self.own.instance {
                let message = self.message(instance, 0, MessageBody::Probe { probe });
                self.actions.push(ReplicaAction::Send(message));
            }
        }
    }

    pub(crate) fn on_probe(&mut self, message: &ReplicaMessage, probe: ProbeNumber) {
        let has_cluster = self.hard.cluster != 0;
        // The reply states this member's cluster, which others rely on for good.
        self.send_when_durable(message.from, MessageBody::ProbeReply { probe, has_cluster });
        let is_ours = message.cluster == 0 || message.cluster == self.hard.cluster;
        if is_ours {
            self.admit_learner(message.from);
        }
    }

    pub(crate) fn on_probe_reply(
        &mut self,
        message: &ReplicaMessage,
        probe: ProbeNumber,
        has_cluster: bool,
    ) {
        let from = message.from;
        if probe == self.probe && !has_cluster {
            self.empty_peers.insert(from.instance, from.identity);
            self.bootstrap_if_ready();
        }
        let is_foreign = self.hard.cluster != 0 && message.cluster != self.hard.cluster;
        if has_cluster && is_foreign {
            self.note_foreign(from, message.cluster);
        }
    }

    /// Records that a member belongs to another cluster, durably and for the life of its data
    /// folder. If so many first voters of this member's cluster do that the others are no quorum,
    /// this cluster never had a leader and never will: it is abandoned.
    fn note_foreign(&mut self, member: MemberKey, cluster: ClusterId) {
        self.foreign = Some((member, cluster));
        let Some(first) = self.first_voters().filter(|first| first.contains(member)) else {
            return;
        };
        self.defectors.insert(member, cluster);
        let may_vote =
            |voter: MemberKey| voter.identity != 0 && !self.defectors.contains_key(&voter);
        if self.commit == 0 && !first.has_quorum(may_vote) {
            self.abandon_at.get_or_insert(self.now + ABANDON_DELAY);
        }
    }

    /// Gives up this member's cluster when that is due.
    pub(crate) fn abandon_if_due(&mut self) {
        if self.commit == 0 && self.abandon_at.is_some_and(|at| self.now >= at) {
            self.abandon_at = None;
            self.actions.push(ReplicaAction::Abandon);
        }
    }

    /// The voters of the first entry, if the log still holds it.
    fn first_voters(&self) -> Option<MemberSet> {
        match &self.log.entry(1)?.payload {
            EntryPayload::Members(members) => Some(members.clone()),
            _ => None,
        }
    }

    fn bootstrap_if_ready(&mut self) {
        if !self.is_bootstrap_allowed || self.hard.cluster != 0 {
            return;
        }
        let own = self.own;
        let answered =
            |peer: &InstanceId| *peer == own.instance || self.empty_peers.contains_key(peer);
        let Some(founders) = &self.founders else {
            let is_lowest = self.peers.iter().all(|peer| *peer >= own.instance);
            if is_lowest && self.peers.iter().all(answered) {
                self.bootstrap(self.empty_peers.clone());
            }
            return;
        };
        let mut present = self.peers.iter().filter(|peer| founders.contains(peer));
        let is_round_whole = present.all(answered);
        if !is_round_whole && self.partial_rounds < MAX_PARTIAL_ROUNDS {
            return;
        }
        let others = self.empty_peers.iter();
        let others: BTreeMap<InstanceId, MemberIdentity> = others
            .filter(|(instance, _)| founders.contains(instance))
            .map(|(instance, identity)| (*instance, *identity))
            .collect();
        // If no founder belongs to a cluster, none has committed anything, unless more disks were
        // lost than a quorum outlives. Otherwise only folders of the first start count.
        let is_everyone = others.len() + 1 == founders.len();
        let takes_part = |identity: MemberIdentity| is_everyone || is_founding(identity);
        let mut lower = others.range(..own.instance);
        let is_lowest = !lower.any(|(_, identity)| is_founding(*identity));
        let count = others
            .values()
            .filter(|identity| takes_part(**identity))
            .count()
            + 1;
        if !is_founding(own.identity) || !is_lowest || count * 2 <= founders.len() {
            return;
        }
        let voters = founders.iter().filter(|founder| **founder != own.instance);
        let voters = voters.map(|founder| {
            let identity = others.get(founder).copied();
            let identity = identity.filter(|identity| takes_part(*identity));
            (*founder, identity.unwrap_or(UNKNOWN_FOLDER))
        });
        let voters = voters.collect();
        self.bootstrap(voters);
    }

    /// Writes the first entry, whose voters are this member and `others`.
    fn bootstrap(&mut self, others: BTreeMap<InstanceId, MemberIdentity>) {
        let others = others.into_iter();
        let mut voters: Vec<MemberKey> = others
            .map(|(instance, identity)| MemberKey { instance, identity })
            .collect();
        voters.push(self.own);
        self.hard.cluster = self.own.identity;
        self.hard.vote = Some(self.own);
        self.begin_log(MemberSet::new(voters));
        // The election is due as soon as the entry is durable.
        self.election_at = self.now;
    }

    /// Joins the cluster whose first entry another member sent, or adds the entry if this member
    /// joined without it.
    pub(crate) fn on_found(&mut self, cluster: ClusterId, members: MemberSet) {
        let is_ours = self.hard.cluster == 0 || self.hard.cluster == cluster;
        if cluster == 0 || !is_ours || self.log.last_index() > 0 || !members.contains(self.own) {
            return;
        }
        self.hard.cluster = cluster;
        self.begin_log(members);
        self.reset_election();
    }

    fn begin_log(&mut self, members: MemberSet) {
        self.hard.term = self.hard.term.max(BOOTSTRAP_TERM);
        let entry = LogEntry {
            index: 1,
            term: BOOTSTRAP_TERM,
            payload: EntryPayload::Members(members),
        };
        self.log.append(entry.clone());
        self.persist_entries(None, vec![entry]);
    }

    /// Sends the first entry to the voters that it names, as long as nothing is known to be
    /// committed: some of them may not have joined yet, and any member that holds the entry can
    /// complete the bootstrap if the one that wrote it is lost.
    pub(crate) fn announce_founding(&mut self) {
        let Some(members) = self.first_voters().filter(|_| self.commit == 0) else {
            return;
        };
        for member in members.all() {
            if member != self.own && member.identity != UNKNOWN_FOLDER {
                let members = members.clone();
                self.send(member, MessageBody::Found { members });
            }
        }
    }
}
