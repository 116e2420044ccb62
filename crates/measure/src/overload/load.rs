//! Generates the calls of a load pattern.

use std::time::Duration;

use argh::FromArgValue;
use derive_more::Display;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::engine::EngineRequest;
use super::size::FleetSize;

/// Time in which calls arrive.
pub const RUN_TIME: Duration = Duration::from_secs(20);
/// Time range in which a pattern differs from the usual load.
pub const PEAK: std::ops::Range<Duration> = Duration::from_secs(5)..Duration::from_secs(11);
/// Calls per second of the usual load of a small fleet, which occupies about half of all slots.
const USUAL_RATE: f64 = 45.0;
/// Number of client accounts; account 0 sends the most calls.
const ACCOUNTS: u64 = 10;
/// Number of client accounts of the patterns with a surge.
const SURGE_ACCOUNTS: u64 = 24;
/// How many times its usual calls a surging account sends.
const SURGE_FACTOR: f64 = 7.0;
/// Share of the refused calls of a surge that are retried immediately, up to three times.
const SURGE_RETRY_SHARE: f64 = 0.3;
/// Period of the swinging rate.
const WAVE_PERIOD: Duration = Duration::from_secs(17);
/// Number of different shared prompt parts of each kind of call in a small fleet.
const PARTS_PER_KIND: f64 = 24.0;

/// What differs from the usual load during the peak.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LoadPattern {
    /// Four times the usual rate.
    #[display("burst")]
    Burst,
    /// Three times the usual rate; half of the calls share one prompt part per kind.
    #[display("hot-prompt")]
    HotPrompt,
    /// Three times the usual rate; half of the calls come from the account that usually sends the
    /// fewest, which is about thirty times its usual rate.
    #[display("hot-account")]
    HotAccount,
    /// Three times the usual rate; callers retry immediately after a refusal, up to three times.
    #[display("angry-retries")]
    AngryRetries,
    /// A third of the engines is down at twice the usual rate.
    #[display("engines-lost")]
    EnginesLost,
    /// A third of the engines is four times slower at twice the usual rate.
    #[display("engines-slow")]
    EnginesSlow,
    /// The engines are restarted one after the other at twice the usual rate.
    #[display("release")]
    Release,
    /// Three times the usual rate; half of the callers disconnect early.
    #[display("give-up")]
    GiveUp,
    /// One and a half times the usual rate all the time; the largest of 24 accounts sends seven
    /// times its usual calls, of which callers retry three in ten immediately.
    #[display("surge-one")]
    SurgeOne,
    /// The same with three accounts of middle size.
    #[display("surge-three")]
    SurgeThree,
    /// A rate that swings by half around one and a half times the usual one, in 17 s.
    #[display("wave")]
    Wave,
    /// Two and a half times the usual rate; all callers reach the gateways of one third, and those
    /// of the next third every 2 s.
    #[display("moving")]
    Moving,
    /// One and three quarters of the usual rate; for 15 % of the time, work at an engine takes two and a
    /// half times as long, which changes about every 600 ms.
    #[display("engines-flap")]
    EnginesFlap,
    /// One and three quarters of the usual rate; a tenth of the engines is four and a half times slower
    /// for about 3 s at a time.
    #[display("engines-uneven")]
    EnginesUneven,
}

impl LoadPattern {
    /// Every pattern.
    pub const ALL: [Self; 14] = [
        Self::Burst,
        Self::HotPrompt,
        Self::HotAccount,
        Self::AngryRetries,
        Self::EnginesLost,
        Self::EnginesSlow,
        Self::Release,
        Self::GiveUp,
        Self::SurgeOne,
        Self::SurgeThree,
        Self::Wave,
        Self::Moving,
        Self::EnginesFlap,
        Self::EnginesUneven,
    ];

    /// Accounts that send [`SURGE_FACTOR`] times their usual calls during the peak.
    pub fn surging(self) -> &'static [u64] {
        match self {
            Self::SurgeOne => &[0],
            Self::SurgeThree => &[1, 2, 4],
            _ => &[],
        }
    }

    /// Number of client accounts; account 0 sends the most calls.
    pub fn accounts(self) -> u64 {
        match self.surging() {
            [] => ACCOUNTS,
            _ => SURGE_ACCOUNTS,
        }
    }

    /// Returns the call rate at a time as a multiple of the usual rate.
    fn rate_factor(self, at: Duration) -> f64 {
        let is_peak = PEAK.contains(&at);
        match self {
            Self::SurgeOne | Self::SurgeThree => 1.5,
            Self::EnginesFlap | Self::EnginesUneven => 1.75,
            Self::Wave => {
                let turns = at.as_secs_f64() / WAVE_PERIOD.as_secs_f64();
                1.5 * (1.0 + 0.5 * (turns * std::f64::consts::TAU).sin())
            }
            _ if is_peak => self.peak_factor(),
            _ => 1.0,
        }
    }

    fn peak_factor(self) -> f64 {
        match self {
            Self::Burst => 4.0,
            Self::HotPrompt | Self::HotAccount | Self::AngryRetries | Self::GiveUp => 3.0,
            Self::EnginesLost | Self::EnginesSlow | Self::Release => 2.0,
            Self::Moving => 2.5,
            _ => 1.0,
        }
    }
}

impl FromArgValue for LoadPattern {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|one| one.to_string() == value);
        let names: Vec<String> = Self::ALL.iter().map(Self::to_string).collect();
        found.ok_or_else(|| format!("one of {}", names.join(", ")))
    }
}

/// One kind of call, with the figures of the deployments' descriptions.
#[derive(Clone, Copy, Debug)]
pub struct CallKind {
    /// Name in the results.
    pub name: &'static str,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// Share of all calls.
    pub share: f64,
    /// Worth of an answer in time; a late one is worth 0.3 of it.
    pub worth: f64,
    /// Time after which the first token is late.
    pub objective: Duration,
    /// Time after which callers give up.
    pub caller_timeout: Duration,
    /// Prompt tokens of the part that is shared with other calls.
    pub shared_tokens: u32,
    /// Prompt tokens after the shared part.
    pub own_tokens: u32,
    /// Mean number of generated tokens.
    pub output_tokens: f64,
}

/// The kinds of call.
pub const CALL_KINDS: [CallKind; 3] = [
    CallKind {
        name: "notice",
        rank: 0,
        share: 0.39,
        worth: 2.0,
        objective: Duration::from_millis(500),
        caller_timeout: Duration::from_secs(4),
        shared_tokens: 2041,
        own_tokens: 360,
        output_tokens: 23.0,
    },
    CallKind {
        name: "draft",
        rank: 1,
        share: 0.29,
        worth: 3.9,
        objective: Duration::from_millis(600),
        caller_timeout: Duration::from_secs(6),
        shared_tokens: 8620,
        own_tokens: 580,
        output_tokens: 52.0,
    },
    CallKind {
        name: "caption",
        rank: 2,
        share: 0.32,
        worth: 0.54,
        objective: Duration::from_millis(400),
        caller_timeout: Duration::from_secs(15),
        shared_tokens: 603,
        own_tokens: 110,
        output_tokens: 276.0,
    },
];

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct LoadCall {
    /// When the caller first sends it.
    pub at: Duration,
    /// Index of its kind in [`CALL_KINDS`].
    pub kind: usize,
    /// Number of the client account.
    pub account: u64,
    /// Number of the shared prompt part.
    pub part: u64,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Time after which the caller gives up.
    pub caller_timeout: Duration,
    /// Most retries after refusals.
    pub max_retries: u32,
    /// Whether the caller retries immediately, without the backoff that the refusal asks for.
    pub retries_immediately: bool,
}

impl LoadCall {
    /// Returns the engine request of an attempt of the call.
    pub fn request(&self, attempt: usize, rank: u8) -> EngineRequest {
        let kind = &CALL_KINDS[self.kind];
        EngineRequest {
            attempt,
            rank,
            part: (self.part, kind.shared_tokens),
            own_tokens: kind.own_tokens,
            output_tokens: self.output_tokens,
        }
    }
}

/// Generates the calls of a pattern in order of arrival, for a fleet of some size.
pub fn draw_load(pattern: LoadPattern, size: FleetSize, seed: u64) -> Vec<LoadCall> {
    let mut calls = draw_base(pattern, size, seed);
    let is_surging =
        |call: &LoadCall| PEAK.contains(&call.at) && pattern.surging().contains(&call.account);
    let copied: Vec<LoadCall> = calls.iter().copied().filter(is_surging).collect();
    let mut rng = Pcg64Mcg::seed_from_u64(!seed);
    let peak = (PEAK.end - PEAK.start).as_secs_f64();
    for _ in 1..SURGE_FACTOR as u32 {
        for call in &copied {
            let mut call = *call;
            call.at = PEAK.start + Duration::from_secs_f64(peak * rng.random::<f64>());
            if rng.random_bool(SURGE_RETRY_SHARE) {
                call.retries_immediately = true;
                call.max_retries = 3;
            }
            calls.push(call);
        }
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// Generates the calls of a pattern without the additional calls of a surge.
pub fn draw_base(pattern: LoadPattern, size: FleetSize, seed: u64) -> Vec<LoadCall> {
    let usual_rate = USUAL_RATE * size.scale();
    let parts = (PARTS_PER_KIND * size.scale()) as u64;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let is_peak = PEAK.contains(&at);
        let rate_factor = pattern.rate_factor(at);
        let gap = -(1.0 - rng.random::<f64>()).ln() / (usual_rate * rate_factor);
        at += Duration::from_secs_f64(gap);
        if at >= RUN_TIME {
            return calls;
        }
        calls.push(draw_call(pattern, parts, at, is_peak, &mut rng));
    }
}

/// Draws a call. There are `parts` shared prompt parts of each kind.
fn draw_call(
    pattern: LoadPattern,
    parts: u64,
    at: Duration,
    is_peak: bool,
    rng: &mut Pcg64Mcg,
) -> LoadCall {
    let kind = draw_kind(rng.random());
    let call_kind = &CALL_KINDS[kind];
    let skewed: f64 = rng.random::<f64>().powi(2);
    let mut call = LoadCall {
        at,
        kind,
        account: (skewed * pattern.accounts() as f64) as u64,
        part: kind as u64 * parts + rng.random_range(0..parts),
        output_tokens: (call_kind.output_tokens * (0.4 + 1.2 * rng.random::<f64>())) as u32,
        caller_timeout: call_kind.caller_timeout,
        max_retries: 1,
        retries_immediately: false,
    };
    let is_chosen = is_peak && rng.random_bool(0.5);
    match pattern {
        LoadPattern::HotPrompt if is_chosen => call.part = kind as u64 * parts,
        LoadPattern::HotAccount if is_chosen => call.account = ACCOUNTS - 1,
        LoadPattern::AngryRetries if is_peak => {
            call.retries_immediately = true;
            call.max_retries = 3;
        }
        LoadPattern::GiveUp if is_chosen => call.caller_timeout = call_kind.objective * 2,
        _ => {}
    }
    call
}

fn draw_kind(mut draw: f64) -> usize {
    let last = CALL_KINDS.len() - 1;
    let found = CALL_KINDS.iter().position(|kind| {
        draw -= kind.share;
        draw < 0.0
    });
    found.unwrap_or(last)
}

/// Draws the slowdowns of an engine's machine until `end`.
pub fn draw_speeds(
    pattern: LoadPattern,
    end: Duration,
    rng: &mut Pcg64Mcg,
) -> Vec<(Duration, f64)> {
    // Mean time between changes, share of the slow spells and slowdown in them.
    let (mean_time, slow_share, slowdown) = match pattern {
        LoadPattern::EnginesFlap => (Duration::from_millis(600), 0.15, 2.5),
        _ => (Duration::from_secs(3), 0.1, 4.5),
    };
    let mut speeds = Vec::new();
    let mut at = Duration::ZERO;
    while at < end {
        let is_slow = rng.random_bool(slow_share);
        speeds.push((at, if is_slow { slowdown } else { 1.0 }));
        at += mean_time.mul_f64(0.5 + rng.random::<f64>());
    }
    speeds
}
