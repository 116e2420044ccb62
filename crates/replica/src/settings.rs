//! Timeouts and limits.

use std::time::Duration;

/// Timeouts and limits of one member. All members use the same election timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Shortest wait for a leader before an election.
    pub election_min: Duration,
    /// Longest wait for a leader before an election. Above `election_min`.
    pub election_max: Duration,
    /// Longest wait before the first election of a process. It may be short: a leader that is alive
    /// is not displaced by an early election, and after all members were stopped there is no leader
    /// to wait for.
    pub first_election_max: Duration,
    /// Additional wait before an election for a member that should lead only when no other can, for
    /// example because its failure domain is far from the others.
    pub election_delay: Duration,
    /// Time between heartbeats. Well below `election_min`.
    pub heartbeat: Duration,
    /// Time without a reply from a voter after which a caught-up member of the same instance may
    /// replace it. A learner that has not replied for this long does not become a voter.
    pub replace_after: Duration,
    /// Number of voters up to which caught-up members of other instances are added. With 0, voters
    /// stay on the instances of the bootstrap.
    pub max_voters: usize,
    /// Time without a reply from a voter after which a caught-up member of another instance may
    /// replace it.
    pub replace_by_other_after: Duration,
    /// Smallest number of voters that a removal may leave. It must be more than twice the number of
    /// data folders that may be lost at once, so that every committed entry is in more data folders
    /// than that.
    pub min_voters: usize,
    /// Time without a reply after which a voter that no learner can replace is removed. A voter
    /// that is gone for good must not count towards the quorum when the next one is lost.
    pub remove_voter_after: Duration,
    /// Time without a reply after which the leader stops replicating to a learner.
    pub forget_learner_after: Duration,
    /// Size in bytes at which an append message takes no further entry. Its last entry may exceed
    /// this.
    pub max_append_bytes: usize,
    /// Unacknowledged entries of one member at which no more are sent to it.
    pub max_inflight_entries: u64,
    /// Uncommitted entries in the log at which proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Smallest number of entries that are applied between two snapshots.
    pub snapshot_entries: u64,
    /// Entries covered by the snapshot that stay in the log, up to its last one, for members that
    /// lag behind.
    pub kept_entries: u64,
    /// Largest number of bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            election_min: Duration::from_millis(400),
            election_max: Duration::from_millis(800),
            first_election_max: Duration::from_millis(250),
            election_delay: Duration::ZERO,
            heartbeat: Duration::from_millis(100),
            replace_after: Duration::from_secs(2),
            max_voters: 0,
            replace_by_other_after: Duration::from_millis(2500),
            min_voters: 3,
            remove_voter_after: Duration::from_millis(2500),
            forget_learner_after: Duration::from_secs(12),
            max_append_bytes: 256 * 1024,
            max_inflight_entries: 1024,
            max_uncommitted_entries: 16 * 1024,
            snapshot_entries: 4096,
            kept_entries: 1024,
            snapshot_chunk_bytes: 512 * 1024,
        }
    }
}
