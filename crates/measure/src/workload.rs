//! Request sequences modelled after the deployments.
//!
//! One request arrives in each step. A sequence depends only on its settings and seed, so every
//! policy is measured on the same requests.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{Rng, RngExt};
use rand_pcg::Pcg64Mcg;

/// Number of a step, starting with 0.
pub(crate) type StepNumber = u64;
/// Number of a chat.
pub(crate) type ChatNumber = u32;
/// Number of a client account.
pub(crate) type AccountNumber = u32;

/// Mean share of the slots that are occupied.
const UTILIZATION: f64 = 0.8;
/// Requests that each endpoint runs at once.
pub(crate) const SLOTS: u32 = 32;
/// Mean duration of a request.
const MEAN_DURATION: Duration = Duration::from_secs(8);
/// Largest number of endpoints of a small service, which has fewer accounts.
const SMALL_SERVICE_ENDPOINTS: usize = 16;
/// Client accounts of a small service.
const SMALL_SERVICE_ACCOUNTS: u32 = 10;
/// Client accounts of a large service.
const LARGE_SERVICE_ACCOUNTS: u32 = 2100;
/// Probability that a chat continues after an answer.
const RETURN_PROBABILITY: f64 = 0.85;
/// Probability that a returning chat does so within minutes rather than hours.
const SOON_PROBABILITY: f64 = 0.9;
/// Mean time between an answer and a return within minutes.
const SOON_GAP: Duration = Duration::from_secs(120);
/// Mean time between an answer and a return within hours.
const LATE_GAP: Duration = Duration::from_secs(2 * 60 * 60);
/// Probability that a caller sends no warm hint.
const NO_HINT_PROBABILITY: f64 = 0.1;
/// Tokens of an account's common prompt: minimum and width of the range.
const PROMPT_TOKENS: (u32, u32) = (400, 1200);
/// Tokens that a turn adds: minimum and width of the range.
const TURN_TOKENS: (u32, u32) = (100, 600);

/// Parameters of a request sequence.
#[derive(Clone, Debug)]
pub(crate) struct WorkloadSettings {
    pub(crate) seed: u64,
    pub(crate) endpoints: usize,
    pub(crate) entries: usize,
    /// Percent of the traffic that comes from one account.
    pub(crate) surge: u32,
    /// Endpoint restarts per 1,000 requests.
    pub(crate) churn: u32,
    pub(crate) requests: usize,
}

/// One request of the sequence.
#[derive(Clone, Debug)]
pub(crate) struct RequestSpec {
    pub(crate) entry: usize,
    pub(crate) account: AccountNumber,
    pub(crate) chat: ChatNumber,
    /// Tokens of the account's common prompt.
    pub(crate) prompt_tokens: u32,
    /// Tokens of the chat before this turn, including the common prompt; 0 for a new chat.
    pub(crate) context_tokens: u32,
    /// Tokens that this turn adds.
    pub(crate) turn_tokens: u32,
    /// Steps from start to end, at least 1.
    pub(crate) duration: StepNumber,
    pub(crate) has_hint: bool,
}

/// A restart of an endpoint, which aborts its running requests and empties its cache.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RestartSpec {
    pub(crate) step: StepNumber,
    pub(crate) endpoint: usize,
}

/// The requests, one in each step, and the restarts of a trial.
pub(crate) struct RequestSequence {
    pub(crate) settings: WorkloadSettings,
    pub(crate) requests: Vec<RequestSpec>,
    /// Restarts in order of their steps.
    pub(crate) restarts: Vec<RestartSpec>,
    /// Simulated time of one step.
    pub(crate) step_time: Duration,
    /// Mean duration of a request in steps.
    pub(crate) mean_duration: f64,
}

/// A chat between two turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ChatTurn {
    due: StepNumber,
    chat: ChatNumber,
    account: AccountNumber,
    tokens: u32,
}

impl RequestSequence {
    /// Generates a sequence.
    pub(crate) fn generate(settings: &WorkloadSettings) -> Self {
        let mean_duration = UTILIZATION * settings.endpoints as f64 * f64::from(SLOTS);
        let step_time = MEAN_DURATION.div_f64(mean_duration);
        let mut generator = SequenceGenerator {
            settings,
            step_time,
            mean_duration,
            accounts: account_prompts(settings),
            rng: Pcg64Mcg::new(u128::from(settings.seed) + 1),
            returns: BinaryHeap::new(),
            chats: 0,
        };
        let steps = 0..settings.requests as StepNumber;
        let requests = steps.map(|step| generator.next_request(step)).collect();
        let restarts = generator.restarts();
        Self {
            settings: settings.clone(),
            requests,
            restarts,
            step_time,
            mean_duration,
        }
    }

    /// Returns `time` in steps, rounded up and at least 1.
    pub(crate) fn steps(&self, time: Duration) -> StepNumber {
        steps_of(time, self.step_time)
    }
}

struct SequenceGenerator<'a> {
    settings: &'a WorkloadSettings,
    step_time: Duration,
    mean_duration: f64,
    /// Tokens of each account's common prompt.
    accounts: Vec<u32>,
    rng: Pcg64Mcg,
    returns: BinaryHeap<Reverse<ChatTurn>>,
    chats: ChatNumber,
}

impl SequenceGenerator<'_> {
    fn next_request(&mut self, step: StepNumber) -> RequestSpec {
        let is_due = |turn: &Reverse<ChatTurn>| turn.0.due <= step;
        let turn = match self.returns.peek() {
            Some(turn) if is_due(turn) => self.returns.pop().map(|turn| turn.0),
            _ => None,
        };
        let turn = turn.unwrap_or_else(|| self.new_chat(step));
        let prompt_tokens = self.accounts[turn.account as usize];
        let turn_tokens = TURN_TOKENS.0 + self.rng.random_range(0..TURN_TOKENS.1);
        let duration = exponential(self.mean_duration, &mut self.rng).ceil() as StepNumber;
        let duration = duration.max(1);
        let context = turn.tokens.max(prompt_tokens) + turn_tokens;
        self.schedule_return(step + duration, turn, context);
        let has_no_hint = self.rng.random_bool(NO_HINT_PROBABILITY);
        RequestSpec {
            entry: self.rng.random_range(0..self.settings.entries),
            account: turn.account,
            chat: turn.chat,
            prompt_tokens,
            context_tokens: turn.tokens,
            turn_tokens,
            duration,
            has_hint: !has_no_hint,
        }
    }

    fn new_chat(&mut self, step: StepNumber) -> ChatTurn {
        self.chats += 1;
        ChatTurn {
            due: step,
            chat: self.chats,
            account: self.draw_account(),
            tokens: 0,
        }
    }

    /// Draws account 0 for the surge and otherwise an account by Zipf's law, by which a few
    /// accounts send most requests.
    fn draw_account(&mut self) -> AccountNumber {
        if self.rng.random_range(0..100) < self.settings.surge {
            return 0;
        }
        let count = self.accounts.len() as f64;
        let draw = self.rng.random_range(0.0..1.0);
        let rank = f64::powf(count, draw) as AccountNumber;
        rank.min(self.accounts.len() as AccountNumber - 1)
    }

    fn schedule_return(&mut self, end: StepNumber, turn: ChatTurn, tokens: u32) {
        if !self.rng.random_bool(RETURN_PROBABILITY) {
            return;
        }
        let is_soon = self.rng.random_bool(SOON_PROBABILITY);
        let mean_gap = if is_soon { SOON_GAP } else { LATE_GAP };
        let gap = mean_gap.mul_f64(exponential(1.0, &mut self.rng));
        let due = end + steps_of(gap, self.step_time);
        let turn = ChatTurn {
            due,
            tokens,
            ..turn
        };
        self.returns.push(Reverse(turn));
    }

    fn restarts(&mut self) -> Vec<RestartSpec> {
        let count = self.settings.requests * self.settings.churn as usize / 1000;
        let steps = self.settings.requests as StepNumber;
        let endpoints = self.settings.endpoints;
        let mut restarts: Vec<RestartSpec> = (0..count)
            .map(|_| RestartSpec {
                step: self.rng.random_range(0..steps),
                endpoint: self.rng.random_range(0..endpoints),
            })
            .collect();
        restarts.sort_by_key(|restart| restart.step);
        restarts
    }
}

fn account_prompts(settings: &WorkloadSettings) -> Vec<u32> {
    let is_small = settings.endpoints <= SMALL_SERVICE_ENDPOINTS;
    let count = if is_small {
        SMALL_SERVICE_ACCOUNTS
    } else {
        LARGE_SERVICE_ACCOUNTS
    };
    let mut rng = Pcg64Mcg::new(u128::from(settings.seed));
    let mut draw = || PROMPT_TOKENS.0 + rng.random_range(0..PROMPT_TOKENS.1);
    (0..count).map(|_| draw()).collect()
}

fn exponential<R: Rng>(mean: f64, rng: &mut R) -> f64 {
    -mean * f64::ln(1.0 - rng.random_range(0.0..1.0))
}

fn steps_of(time: Duration, step_time: Duration) -> StepNumber {
    (time.as_secs_f64() / step_time.as_secs_f64())
        .ceil()
        .max(1.0) as StepNumber
}
