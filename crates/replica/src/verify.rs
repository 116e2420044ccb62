//! Invariants of a member, checked by tests after every step.

use crate::core::{ReplicaCore, ReplicaRole};
use crate::progress::LeaderState;

impl ReplicaCore {
    /// Checks every invariant.
    ///
    /// # Panics
    /// When an invariant does not hold.
    pub fn verify(&self) {
        self.verify_log();
        self.verify_positions();
        if let ReplicaRole::Leader(state) = &self.role {
            self.verify_leader(state);
        }
    }

    fn verify_log(&self) {
        let mut index = self.log.start_index();
        let mut term = self.log.term_at(index).unwrap_or(0);
        for entry in self.log.entries() {
            assert_eq!(entry.index, index + 1, "log has a gap");
            assert!(
                entry.term >= term,
                "term decreases at entry {}",
                entry.index
            );
            index = entry.index;
            term = entry.term;
        }
        assert!(term <= self.hard.term, "entry of a future term");
        let snapshot = self.log.snapshot_index();
        assert!(
            snapshot >= self.log.start_index(),
            "entries after the snapshot are missing"
        );
        assert!(
            snapshot <= self.log.last_index(),
            "snapshot is beyond the log"
        );
        let voters = &self.log.members().1.voters;
        for pair in voters.windows(2) {
            assert!(
                pair[0].instance != pair[1].instance,
                "instance has two voters"
            );
        }
    }

    fn verify_positions(&self) {
        assert!(
            self.commit <= self.log.last_index(),
            "committed beyond the log"
        );
        assert!(self.applied <= self.commit, "applied before its commit");
        assert!(
            self.persist_queue.hard.term <= self.hard.term,
            "durable term is ahead"
        );
        let durable = self.persist_queue.index;
        assert!(durable <= self.log.last_index(), "durable beyond the log");
    }

    fn verify_leader(&self, state: &LeaderState) {
        assert_eq!(self.leader, Some(self.own), "leader knows another leader");
        assert_eq!(
            self.persist_queue.hard, self.hard,
            "hard state of the leader is not durable"
        );
        let first = self.log.term_at(state.first_index);
        let is_own = first.is_none_or(|term| term == self.hard.term);
        assert!(is_own, "first entry of the term is missing");
        for (member, peer) in &state.progress {
            assert!(*member != self.own, "leader replicates to itself");
            assert!(
                peer.matched < peer.next,
                "next entry of {member:?} is matched already"
            );
            assert!(
                peer.next <= self.log.last_index() + 1,
                "next entry of {member:?} is beyond the log"
            );
        }
        for member in self.log.members().1.all() {
            let known = member == self.own || state.progress.contains_key(&member);
            assert!(known, "leader does not replicate to voter {member:?}");
        }
    }
}
