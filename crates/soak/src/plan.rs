//! The seeded series of faults.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// One fault. Places are taken modulo what there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A gateway is killed.
    Kill(usize),
    /// A gateway is killed and its data folder destroyed.
    DeleteData(usize),
    /// A gateway stands still.
    Freeze(usize),
    /// A gateway is asked to stop.
    Stop(usize),
    /// All gateways are killed at once.
    KillAll,
    /// Connections to an endpoint are closed.
    CutEndpoint(usize),
    /// Open connections to an endpoint fall silent.
    StallEndpoint(usize),
    /// What an endpoint sends on open connections is lost.
    MuteEndpoint(usize),
    /// An endpoint takes no new connections.
    RefuseEndpoint(usize),
    /// Bytes to and from an endpoint are late.
    DelayEndpoint(usize),
    /// An endpoint drains.
    DrainEndpoint(usize),
    /// The list refuses.
    ListRateLimited,
    /// The list is slow.
    ListSlow,
    /// The list holds entries that can't be read.
    ListInvalid,
}

impl FaultKind {
    fn draw(random: &mut Pcg64) -> Self {
        let index = random.random_range(0..64);
        match random.random_range(0..16) {
            0 | 1 => Self::Kill(index),
            2 => Self::DeleteData(index),
            3 | 4 => Self::Freeze(index),
            5 => Self::Stop(index),
            6 => Self::KillAll,
            7 => Self::CutEndpoint(index),
            8 => Self::StallEndpoint(index),
            9 => Self::MuteEndpoint(index),
            10 => Self::RefuseEndpoint(index),
            11 => Self::DelayEndpoint(index),
            12 => Self::DrainEndpoint(index),
            13 => Self::ListRateLimited,
            14 => Self::ListSlow,
            _ => Self::ListInvalid,
        }
    }

    /// Whether the fault takes a gateway away, of which one at a time is borne.
    pub fn is_gateway_fault(self) -> bool {
        matches!(
            self,
            Self::Kill(_) | Self::DeleteData(_) | Self::Freeze(_) | Self::Stop(_) | Self::KillAll
        )
    }
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// What happens.
    pub kind: FaultKind,
    /// When, from the start of the load.
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
}

/// Longest pause between two faults in milliseconds.
const MAX_GAP_MS: u64 = 1500;
/// Longest duration of a fault in milliseconds.
const MAX_DURATION_MS: u64 = 2500;

/// Draws the faults of a run. They may overlap, but for those that take a gateway away.
pub fn draw_plan(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(random.random_range(0..MAX_GAP_MS));
    let mut gateways_recovered_at = Duration::ZERO;
    while at < length {
        let kind = FaultKind::draw(&mut random);
        let duration = Duration::from_millis(random.random_range(200..MAX_DURATION_MS));
        let is_tolerated = !kind.is_gateway_fault() || at >= gateways_recovered_at;
        if is_tolerated {
            plan.push(PlannedFault { kind, at, duration });
        }
        if is_tolerated && kind.is_gateway_fault() {
            gateways_recovered_at = at + duration + RECOVERY_TIME;
        }
        at += Duration::from_millis(random.random_range(0..MAX_GAP_MS));
    }
    plan
}

/// Time that a gateway has to catch up before the next one is taken away. A wiped one is a voter
/// again after that.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
