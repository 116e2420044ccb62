//! Times and sizes.

use std::time::Duration;

/// Times and sizes of one member. All members use equal election times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSettings {
    /// Shortest wait for a leader before an election.
    pub election_min: Duration,
    /// Longest wait for a leader before an election. Above `election_min`.
    pub election_max: Duration,
    /// Longest wait before the first election of a process. A leader that is alive keeps its place
    /// whatever this is, and after a stop of all members nobody has to wait for one.
    pub first_election_max: Duration,
    /// Extra wait of a member that should lead only when no other can, for example because its
    /// failure domain is far from the others.
    pub election_delay: Duration,
    /// Time between heartbeats. Well below `election_min`.
    pub heartbeat: Duration,
    /// Silence of a voter after which a caught-up member of the same instance may replace it.
    pub replace_after: Duration,
    /// Voters up to which caught-up members of other instances join. 0 keeps the instances that
    /// founded the log.
    pub max_voters: usize,
    /// Silence of a voter after which a caught-up member of another instance may replace it.
    pub replace_by_other_after: Duration,
    /// Voters that removals leave at least: more than twice the data folders that may be lost at
    /// once, as what is accepted then stands in more folders than that.
    pub min_voters: usize,
    /// Silence after which a voter without a successor is removed. A voter that is gone for good
    /// must not count while the next one may be lost.
    pub remove_voter_after: Duration,
    /// Silence after which a member without a vote is forgotten.
    pub forget_learner_after: Duration,
    /// Largest payload of one append message in bytes; a single larger entry goes alone.
    pub max_append_bytes: usize,
    /// Entries that may be on their way to one member.
    pub max_inflight_entries: u64,
    /// Entries that may wait for the quorum before proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Least number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Entries before the snapshot that stay in the log for members that lag.
    pub kept_entries: u64,
    /// Bytes of a snapshot sent in one message.
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
