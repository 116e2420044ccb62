//! Bootstrap of a cluster, and joining an existing one.
//!
//! A member without a cluster probes all instances in rounds. The instance with the lowest id
//! bootstraps a cluster, but only when every other instance has answered in the same round that it
//! belongs to none either. An instance whose data folder was emptied finds others that belong to
//! the cluster, so it never bootstraps a second one.

use rand::RngExt;

use crate::action::ReplicaAction;
use crate::core::ReplicaCore;
use crate::id::{MemberKey, ProbeNumber};
use crate::log::{EntryPayload, LogEntry};
use crate::member::MemberSet;
use crate::message::{MessageBody, ReplicaMessage};

/// Term of the first entry, which the bootstrapping member writes without an election.
const BOOTSTRAP_TERM: u64 = 1;

impl ReplicaCore {
    /// Probes all instances when that is due, and bootstraps a cluster if the conditions are met.
    pub(crate) fn tick_non_voter(&mut self) {
        if self.now < self.probe_at {
            return;
        }
        self.probe_at = self.now + self.settings.election_min / 2;
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
        self.send(message.from, MessageBody::ProbeReply { probe, has_cluster });
        let is_ours = message.cluster == 0 || message.cluster == self.hard.cluster;
        if is_ours {
            self.admit_learner(message.from);
        }
    }

    pub(crate) fn on_probe_reply(
        &mut self,
        from: MemberKey,
        probe: ProbeNumber,
        has_cluster: bool,
    ) {
        if probe == self.probe && !has_cluster {
            self.empty_peers.insert(from.instance, from.identity);
            self.bootstrap_if_ready();
        }
    }

    fn bootstrap_if_ready(&mut self) {
        if !self.is_bootstrap_allowed {
            return;
        }
        let own = self.own.instance;
        let is_lowest = self.peers.iter().all(|peer| *peer >= own);
        let answered = |peer: &u64| *peer == own || self.empty_peers.contains_key(peer);
        let all_empty = self.peers.iter().all(answered);
        if self.hard.cluster == 0 && is_lowest && all_empty {
            self.bootstrap();
        }
    }

    fn bootstrap(&mut self) {
        let others = self.empty_peers.iter();
        let mut voters: Vec<MemberKey> = others
            .map(|(instance, identity)| MemberKey {
                instance: *instance,
                identity: *identity,
            })
            .collect();
        voters.push(self.own);
        self.hard.cluster = self.own.identity;
        self.hard.term = BOOTSTRAP_TERM;
        self.hard.vote = Some(self.own);
        let entry = LogEntry {
            index: 1,
            term: BOOTSTRAP_TERM,
            payload: EntryPayload::Members(MemberSet::new(voters)),
        };
        self.log.append(entry.clone());
        self.persist_entries(None, vec![entry]);
        self.reset_election();
    }
}
