//! The possible steps of the simulation with their weights.

use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// One step of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SimulationStep {
    /// A caller sends a new request or resends an earlier one.
    SendRequest,
    /// A frame is delivered or dropped.
    Deliver,
    /// An endpoint starts an attempt or continues an answer.
    RunEndpoint,
    /// An agent and an entry propose their pending commands.
    SendCommands,
    /// An entry resumes an answer on a new connection.
    Reconnect,
    /// An agent stops the attempts whose entry no longer waits for them.
    LoseReaders,
    /// An entry gives up an attempt.
    LoseAttempt,
    /// A caller disconnects.
    Disconnect,
    /// The clock advances by a fraction of a second.
    ShortPause,
    /// A delayed duplicate of a proposal is committed.
    CommitDuplicate,
    /// The settings are changed, and an entry receives an update.
    Settings,
    /// An endpoint crashes.
    CrashEndpoint,
    /// An agent is restarted.
    RestartAgent,
    /// An entry is restarted.
    RestartEntry,
    /// A control instance is partitioned, or the partition ends.
    Partition,
    /// A control instance is restarted.
    RestartControl,
    /// An agent starts or stops draining.
    Drain,
    /// The clock advances beyond all deadlines and retentions.
    LongPause,
}

impl SimulationStep {
    /// Every step with its relative weight.
    pub const WEIGHTED: [(Self, u32); 18] = [
        (Self::SendRequest, 800),
        (Self::Deliver, 5_000),
        (Self::RunEndpoint, 3_000),
        (Self::SendCommands, 600),
        (Self::Reconnect, 120),
        (Self::LoseReaders, 40),
        (Self::LoseAttempt, 40),
        (Self::Disconnect, 60),
        (Self::ShortPause, 500),
        (Self::CommitDuplicate, 60),
        (Self::Settings, 40),
        (Self::CrashEndpoint, 8),
        (Self::RestartAgent, 8),
        (Self::RestartEntry, 8),
        (Self::Partition, 16),
        (Self::RestartControl, 8),
        (Self::Drain, 24),
        (Self::LongPause, 3),
    ];

    /// Draws a step by weight.
    pub fn draw(rng: &mut Pcg64Mcg) -> Self {
        let drawn = Self::WEIGHTED.choose_weighted(rng, |(_, weight)| *weight);
        drawn.map_or(Self::Deliver, |(step, _)| *step)
    }
}
