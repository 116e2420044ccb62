//! Calls of a load pattern.

use std::time::Duration;

use argh::FromArgValue;
use derive_more::Display;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::engine::EngineRequest;

/// Length of a run.
pub const RUN_TIME: Duration = Duration::from_secs(20);
/// From when to when a pattern departs from the usual load.
pub const PEAK: std::ops::Range<Duration> = Duration::from_secs(5)..Duration::from_secs(11);
/// Calls a second of the usual load, which takes about half of all places.
const USUAL_RATE: f64 = 45.0;
/// Client accounts; the first sends most.
const ACCOUNTS: u64 = 10;
/// Shared parts of prompts of one kind.
const PARTS: u64 = 24;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LoadPattern {
    /// Four times the usual calls.
    #[display("burst")]
    Burst,
    /// Half of three times the usual calls share one prompt.
    #[display("hot-prompt")]
    HotPrompt,
    /// One account sends twenty times its usual calls.
    #[display("hot-account")]
    HotAccount,
    /// Three times the usual calls, whose callers return at once, and three times.
    #[display("angry-retries")]
    AngryRetries,
    /// A third of the engines is lost under twice the usual calls.
    #[display("engines-lost")]
    EnginesLost,
    /// A third of the engines takes four times as long under twice the usual calls.
    #[display("engines-slow")]
    EnginesSlow,
    /// The engines are replaced one after the other under twice the usual calls.
    #[display("release")]
    Release,
    /// Three times the usual calls, half of whose callers leave early.
    #[display("give-up")]
    GiveUp,
}

impl LoadPattern {
    /// Every pattern.
    pub const ALL: [Self; 8] = [
        Self::Burst,
        Self::HotPrompt,
        Self::HotAccount,
        Self::AngryRetries,
        Self::EnginesLost,
        Self::EnginesSlow,
        Self::Release,
        Self::GiveUp,
    ];

    /// Multiple of the usual calls during the peak.
    fn multiple(self) -> f64 {
        match self {
            Self::Burst => 4.0,
            Self::HotPrompt | Self::HotAccount | Self::AngryRetries | Self::GiveUp => 3.0,
            Self::EnginesLost | Self::EnginesSlow | Self::Release => 2.0,
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

/// One kind of call, as the sheets of the deployments describe it.
#[derive(Clone, Copy, Debug)]
pub struct CallShape {
    /// Its name.
    pub name: &'static str,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Share of all calls.
    pub share: f64,
    /// What an answer in time is worth; a late one is worth 0.3 of it.
    pub worth: f64,
    /// Time until the first event is late.
    pub objective: Duration,
    /// How long its callers wait.
    pub patience: Duration,
    /// Tokens that other calls share.
    pub shared_tokens: u32,
    /// Tokens of its own.
    pub own_tokens: u32,
    /// Tokens that it generates, on average.
    pub output_tokens: f64,
}

/// The kinds of call.
pub const SHAPES: [CallShape; 3] = [
    CallShape {
        name: "notice",
        rank: 0,
        share: 0.39,
        worth: 2.0,
        objective: Duration::from_millis(500),
        patience: Duration::from_secs(4),
        shared_tokens: 2041,
        own_tokens: 360,
        output_tokens: 23.0,
    },
    CallShape {
        name: "draft",
        rank: 1,
        share: 0.29,
        worth: 3.9,
        objective: Duration::from_millis(600),
        patience: Duration::from_secs(6),
        shared_tokens: 8620,
        own_tokens: 580,
        output_tokens: 52.0,
    },
    CallShape {
        name: "caption",
        rank: 2,
        share: 0.32,
        worth: 0.54,
        objective: Duration::from_millis(400),
        patience: Duration::from_secs(15),
        shared_tokens: 603,
        own_tokens: 110,
        output_tokens: 276.0,
    },
];

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct LoadCall {
    /// When its caller sends it first.
    pub at: Duration,
    /// Position of its kind in [`SHAPES`].
    pub shape: usize,
    /// Its client account.
    pub account: u64,
    /// Its shared part.
    pub part: u64,
    /// Tokens that it generates.
    pub output_tokens: u32,
    /// How long its caller waits.
    pub patience: Duration,
    /// How often its caller returns after a refusal.
    pub returns: u32,
    /// Whether its caller returns at once, whatever it is told.
    pub is_angry: bool,
}

impl LoadCall {
    /// What an attempt of the call asks of an engine.
    pub fn request(&self, attempt: usize, rank: u8) -> EngineRequest {
        let shape = &SHAPES[self.shape];
        EngineRequest {
            attempt,
            rank,
            part: (self.part, shape.shared_tokens),
            own_tokens: shape.own_tokens,
            output_tokens: self.output_tokens,
        }
    }
}

/// Draws the calls of a pattern in the order of their arrival.
pub fn draw_load(pattern: LoadPattern, seed: u64) -> Vec<LoadCall> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        let is_peak = PEAK.contains(&at);
        let multiple = if is_peak { pattern.multiple() } else { 1.0 };
        let gap = -(1.0 - rng.random::<f64>()).ln() / (USUAL_RATE * multiple);
        at += Duration::from_secs_f64(gap);
        if at >= RUN_TIME {
            return calls;
        }
        calls.push(draw_call(pattern, at, is_peak, &mut rng));
    }
}

fn draw_call(pattern: LoadPattern, at: Duration, is_peak: bool, rng: &mut Pcg64Mcg) -> LoadCall {
    let shape = draw_shape(rng.random());
    let kind = &SHAPES[shape];
    let skewed: f64 = rng.random::<f64>().powi(2);
    let mut call = LoadCall {
        at,
        shape,
        account: (skewed * ACCOUNTS as f64) as u64,
        part: shape as u64 * PARTS + rng.random_range(0..PARTS),
        output_tokens: (kind.output_tokens * (0.4 + 1.2 * rng.random::<f64>())) as u32,
        patience: kind.patience,
        returns: 1,
        is_angry: false,
    };
    let is_chosen = is_peak && rng.random_bool(0.5);
    match pattern {
        LoadPattern::HotPrompt if is_chosen => call.part = shape as u64 * PARTS,
        LoadPattern::HotAccount if is_chosen => call.account = ACCOUNTS - 1,
        LoadPattern::AngryRetries if is_peak => {
            call.is_angry = true;
            call.returns = 3;
        }
        LoadPattern::GiveUp if is_chosen => call.patience = kind.objective * 2,
        _ => {}
    }
    call
}

fn draw_shape(mut draw: f64) -> usize {
    let last = SHAPES.len() - 1;
    let found = SHAPES.iter().position(|shape| {
        draw -= shape.share;
        draw < 0.0
    });
    found.unwrap_or(last)
}
