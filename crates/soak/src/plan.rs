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
        let place = random.random_range(0..64);
        match random.random_range(0..16) {
            0 | 1 => Self::Kill(place),
            2 => Self::DeleteData(place),
            3 | 4 => Self::Freeze(place),
            5 => Self::Stop(place),
            6 => Self::KillAll,
            7 => Self::CutEndpoint(place),
            8 => Self::StallEndpoint(place),
            9 => Self::MuteEndpoint(place),
            10 => Self::RefuseEndpoint(place),
            11 => Self::DelayEndpoint(place),
            12 => Self::DrainEndpoint(place),
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
const MOST_GAP_MS: u64 = 1500;
/// Longest duration of a fault in milliseconds.
const MOST_LASTS_MS: u64 = 2500;

/// Draws the faults of a run. They may overlap, but for those that take a gateway away.
pub fn draw_plan(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(random.random_range(0..MOST_GAP_MS));
    let mut gateways_back_at = Duration::ZERO;
    while at < length {
        let kind = FaultKind::draw(&mut random);
        let duration = Duration::from_millis(random.random_range(200..MOST_LASTS_MS));
        let is_borne = !kind.is_gateway_fault() || at >= gateways_back_at;
        if is_borne {
            plan.push(PlannedFault { kind, at, duration });
        }
        if is_borne && kind.is_gateway_fault() {
            gateways_back_at = at + duration + CATCH_UP;
        }
        at += Duration::from_millis(random.random_range(0..MOST_GAP_MS));
    }
    plan
}

/// Time that a gateway has to catch up before the next one is taken away. A wiped one is a voter
/// again after that.
const CATCH_UP: Duration = Duration::from_secs(5);
