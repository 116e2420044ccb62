//! The voters and their quorums.

use serde::{Deserialize, Serialize};
use wire::id::InstanceId;

use crate::id::{LogIndex, MemberKey};

/// A change of the voters that adds at most one member and removes at most one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// A member becomes a voter.
    Add(MemberKey),
    /// A member replaces a voter.
    Replace {
        /// The replaced voter.
        old: MemberKey,
        /// The new voter.
        new: MemberKey,
    },
    /// A voter is removed.
    Remove(MemberKey),
}

impl VoterChange {
    /// The voter that is removed and the member that is added.
    fn parts(self) -> (Option<MemberKey>, Option<MemberKey>) {
        match self {
            Self::Add(new) => (None, Some(new)),
            Self::Replace { old, new } => (Some(old), Some(new)),
            Self::Remove(old) => (Some(old), None),
        }
    }
}

/// The members that count towards quorums.
///
/// During a change, a quorum is a majority of the old voters and a majority of the new ones. So it
/// shares a member with every quorum before the change and with every quorum after it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    /// The voters. At most one per instance.
    pub voters: Vec<MemberKey>,
    /// The voters before the change that is under way; empty when there is none.
    pub outgoing: Vec<MemberKey>,
}

impl MemberSet {
    /// Creates a set of voters without a change under way.
    pub fn new(mut voters: Vec<MemberKey>) -> Self {
        voters.sort_unstable();
        Self {
            voters,
            outgoing: Vec::new(),
        }
    }

    /// Whether a change of the voters is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `member` counts towards a quorum.
    pub fn contains(&self, member: MemberKey) -> bool {
        self.voters.contains(&member) || self.outgoing.contains(&member)
    }

    /// Every member that counts towards a quorum, once.
    pub fn all(&self) -> Vec<MemberKey> {
        let mut members = self.voters.clone();
        members.extend(&self.outgoing);
        members.sort_unstable();
        members.dedup();
        members
    }

    /// The voter on `instance`.
    pub fn voter_of(&self, instance: InstanceId) -> Option<MemberKey> {
        let mut voters = self.voters.iter();
        voters.find(|voter| voter.instance == instance).copied()
    }

    /// Whether the members for which `agrees` returns true are a quorum.
    pub fn has_quorum(&self, agrees: impl Fn(MemberKey) -> bool) -> bool {
        self.quorum_value(|member| u64::from(agrees(member))) == 1
    }

    /// The highest value that every member of some quorum has reached.
    pub fn quorum_value(&self, value: impl Fn(MemberKey) -> LogIndex) -> LogIndex {
        let reached = majority_value(&self.voters, &value);
        if self.is_joint() {
            reached.min(majority_value(&self.outgoing, &value))
        } else {
            reached
        }
    }

    /// The joint set that begins `change`.
    pub fn enter_joint(&self, change: VoterChange) -> Self {
        debug_assert!(!self.is_joint(), "one change at a time");
        let (old, new) = change.parts();
        let kept = self.voters.iter().copied();
        let kept = kept.filter(|voter| Some(*voter) != old);
        let voters = kept.chain(new).collect();
        Self {
            outgoing: self.voters.clone(),
            ..Self::new(voters)
        }
    }

    /// The set after the change that is under way.
    pub fn leave_joint(&self) -> Self {
        Self::new(self.voters.clone())
    }
}

fn majority_value(group: &[MemberKey], value: impl Fn(MemberKey) -> u64) -> u64 {
    let mut values: Vec<u64> = group.iter().map(|member| value(*member)).collect();
    values.sort_unstable();
    let below_majority = values.len().saturating_sub(1) / 2;
    values.get(below_majority).copied().unwrap_or(0)
}
