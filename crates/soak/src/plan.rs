//! The seeded sequence of faults.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// One fault. Indices are taken modulo the number of gateways or endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A gateway is killed with SIGKILL.
    Kill(usize),
    /// A gateway is killed with SIGKILL and its data folder, if it has one, is deleted.
    DeleteData(usize),
    /// A gateway is suspended with SIGSTOP.
    Freeze(usize),
    /// A gateway is stopped gracefully with SIGTERM.
    Stop(usize),
    /// All gateways are killed with SIGKILL.
    KillAll,
    /// Open connections to an endpoint are closed.
    CutEndpoint(usize),
    /// Open connections to an endpoint stop forwarding bytes in both directions, but stay open.
    StallEndpoint(usize),
    /// Bytes from an endpoint are dropped on open connections; those to it are still forwarded.
    MuteEndpoint(usize),
    /// New connections to an endpoint are closed at once.
    RefuseEndpoint(usize),
    /// Bytes to and from an endpoint are delayed.
    DelayEndpoint(usize),
    /// An endpoint crashes, as it also does when it runs the request that crashes endpoints.
    CrashEndpoint(usize),
    /// The list shows an endpoint as draining.
    DrainEndpoint(usize),
    /// The endpoint list refuses requests with status 429.
    ListRateLimited,
    /// The endpoint list answers with a delay.
    ListSlow,
    /// The endpoint list contains entries that can't be parsed.
    ListInvalid,
    /// An endpoint names a limit, in calls per second.
    LimitEndpoint(usize, u32),
    /// An endpoint turns all calls away and asks for rest, in milliseconds.
    RestEndpoint(usize, u32),
    /// An endpoint says that it leaves, which the list does not show, and is replaced at the end.
    LeaveEndpoint(usize),
}

impl FaultKind {
    fn draw(random: &mut Pcg64) -> Self {
        let index = random.random_range(0..64);
        match random.random_range(0..18) {
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
            15 => Self::ListInvalid,
            _ => Self::CrashEndpoint(index),
        }
    }

    fn draw_statement(random: &mut Pcg64) -> Self {
        let index = random.random_range(0..64);
        match random.random_range(0..3) {
            0 => Self::LimitEndpoint(index, random.random_range(1..12)),
            1 => Self::RestEndpoint(index, random.random_range(900..3000)),
            _ => Self::LeaveEndpoint(index),
        }
    }

    /// Whether the fault makes one or all gateways unavailable. Only one such fault at a time is
    /// tolerated.
    pub fn is_gateway_fault(self) -> bool {
        matches!(
            self,
            Self::Kill(_) | Self::DeleteData(_) | Self::Freeze(_) | Self::Stop(_) | Self::KillAll
        )
    }
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// The fault.
    pub kind: FaultKind,
    /// Start, measured from the start of the load.
    pub at: Duration,
    /// Time until the fault is ended.
    pub duration: Duration,
}

/// Exclusive upper bound of the time between two drawn faults, in milliseconds.
const MAX_GAP_MS: u64 = 1500;
/// Exclusive upper bound of the duration of a fault, in milliseconds.
const MAX_DURATION_MS: u64 = 2500;

/// Draws the faults of a run. Faults may overlap, except those that make gateways unavailable.
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

/// Time between the starts of two statements of endpoints, in milliseconds.
const STATEMENT_GAP_MS: std::ops::Range<u64> = 1500..5000;
/// Time for which an endpoint states something, in milliseconds.
const STATEMENT_MS: std::ops::Range<u64> = 4000..9000;

/// Draws what endpoints state during a run, beside the faults of [`draw_plan`].
pub fn draw_statements(seed: u64, length: Duration) -> Vec<PlannedFault> {
    let mut random = Pcg64::seed_from_u64(seed.wrapping_add(1 << 41));
    let mut plan = Vec::new();
    let mut at = Duration::from_millis(random.random_range(STATEMENT_GAP_MS));
    while at < length {
        plan.push(PlannedFault {
            kind: FaultKind::draw_statement(&mut random),
            at,
            duration: Duration::from_millis(random.random_range(STATEMENT_MS)),
        });
        at += Duration::from_millis(random.random_range(STATEMENT_GAP_MS));
    }
    plan
}

/// Minimum time between the end of a gateway fault and the next gateway fault. In this time the
/// gateway catches up, and one whose data folder was deleted becomes a voter again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
