//! Invariants of the whole cluster, which hold under every fault.

use std::collections::BTreeMap;

use replica::{EntryPayload, LogEntry, MemberKey, MemberSet, ReplicaStatus, RoleKind};

use super::machine::command_of;

/// Record of applied entries, accepted values, reads and leaders.
#[derive(Default)]
pub(crate) struct Oracle {
    /// Every entry that any member applied.
    pub(crate) applied: BTreeMap<u64, (u64, EntryPayload)>,
    leaders: BTreeMap<u64, MemberKey>,
    /// Proposed values by index and term of their entry.
    pub(crate) proposed: BTreeMap<(u64, u64), u64>,
    /// Accepted values by index of their entry.
    pub(crate) accepted: BTreeMap<u64, u64>,
    /// Index of the last accepted entry when a read began, by the read's ticket.
    pub(crate) reads: BTreeMap<u64, u64>,
}

impl Oracle {
    pub(crate) fn check_applied(&mut self, entry: LogEntry) {
        let key = (entry.index, entry.term);
        let content = (entry.term, entry.payload);
        let known = self.applied.entry(entry.index);
        let first = known.or_insert_with(|| content.clone());
        assert_eq!(*first, content, "entry {} was reverted", entry.index);
        if let Some(value) = self.proposed.get(&key) {
            self.accepted.insert(entry.index, *value);
        }
    }

    pub(crate) fn check_restored(&self, index: u64, values: &[u64]) {
        let entries = self.applied.range(..=index);
        let commands = entries.filter_map(|(_, (_, payload))| match payload {
            EntryPayload::Command(bytes) => Some(bytes.clone()),
            _ => None,
        });
        let expected: Vec<u8> = commands.flatten().collect();
        let restored: Vec<u8> = values.iter().copied().flat_map(command_of).collect();
        assert_eq!(restored, expected, "snapshot is another state");
    }

    pub(crate) fn check_leader(&mut self, status: &ReplicaStatus) {
        if status.role == RoleKind::Leader {
            let first = self.leaders.entry(status.term).or_insert(status.own);
            assert_eq!(*first, status.own, "two leaders in term {}", status.term);
        }
    }

    /// The last committed voters.
    pub(crate) fn last_members(&self) -> Option<MemberSet> {
        let mut entries = self.applied.values().rev();
        entries.find_map(|(_, payload)| match payload {
            EntryPayload::Members(set) => Some(set.clone()),
            _ => None,
        })
    }
}
