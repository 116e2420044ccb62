//! What may happen in one step, with its weight.

use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// One thing that may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorldStep {
    /// A caller sends a request, or sends one again.
    Ask,
    /// A frame arrives, or gets lost.
    Deliver,
    /// An endpoint works.
    Work,
    /// Entries and agents send control what they owe.
    Pay,
    /// A link is found silent and its streams are resumed.
    Reconnect,
    /// An agent finds that nobody reads some of its answers.
    LoseReaders,
    /// An entry gives an attempt up.
    Lose,
    /// A caller leaves.
    Leave,
    /// Time passes.
    Pause,
    /// A late duplicate of a proposal is committed.
    CommitLate,
    /// Settings are changed, or sent to an entry.
    Settings,
    /// An endpoint crashes.
    CrashEndpoint,
    /// An agent is restarted.
    RestartAgent,
    /// An entry is restarted.
    RestartEntry,
    /// A control instance is cut off, or comes back.
    Partition,
    /// A control instance is restarted.
    RestartControl,
    /// An agent begins to drain, or ends it.
    Drain,
    /// A long time passes.
    LongPause,
}

impl WorldStep {
    /// Every step with its weight.
    pub const WEIGHTED: [(Self, u32); 18] = [
        (Self::Ask, 800),
        (Self::Deliver, 5_000),
        (Self::Work, 3_000),
        (Self::Pay, 600),
        (Self::Reconnect, 120),
        (Self::LoseReaders, 40),
        (Self::Lose, 40),
        (Self::Leave, 60),
        (Self::Pause, 500),
        (Self::CommitLate, 60),
        (Self::Settings, 40),
        (Self::CrashEndpoint, 8),
        (Self::RestartAgent, 8),
        (Self::RestartEntry, 8),
        (Self::Partition, 16),
        (Self::RestartControl, 8),
        (Self::Drain, 24),
        (Self::LongPause, 3),
    ];

    /// A step drawn by weight.
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        let drawn = Self::WEIGHTED.choose_weighted(rng, |(_, weight)| *weight);
        drawn.map_or(Self::Deliver, |(step, _)| *step)
    }
}
