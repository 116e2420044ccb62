//! Simulated engine with slots, a queue ordered by rank and a cache of shared prompt parts.

use std::collections::VecDeque;
use std::time::Duration;

use relay::load_report::LoadReport;

/// Requests that an engine runs at once. Fewer than in a real engine, so that few callers saturate
/// it.
pub const SLOTS: usize = 8;
/// Most requests that wait at an engine.
const MAX_WAITING: usize = 24;
/// Time of a decoding step, in which each running request gets one token.
const STEP_TIME: Duration = Duration::from_micros(6350);
/// Time that each running request adds to a decoding step.
const STEP_TIME_PER_REQUEST: Duration = Duration::from_nanos(1150);
/// Prompt tokens that are processed per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 42.8;
/// Capacity of the cache in tokens.
const CACHE_TOKENS: u32 = 316_802;

/// A request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// Number of the attempt.
    pub attempt: usize,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Shared part of the prompt and its number of tokens.
    pub part: (u64, u32),
    /// Prompt tokens after the shared part.
    pub own_tokens: u32,
    /// Tokens to generate.
    pub output_tokens: u32,
}

/// A request that occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct StartedRun {
    /// Number of the attempt.
    pub attempt: usize,
    /// Time from its start to its first token.
    pub first_token: Duration,
    /// Time from its start to its end.
    pub total: Duration,
}

/// A simulated engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    /// Attempts that run.
    pub running: Vec<usize>,
    /// Requests that wait, the next to run first.
    waiting: VecDeque<EngineRequest>,
    /// Cached prompt parts with their tokens, the most recently used last.
    cache: VecDeque<(u64, u32)>,
    /// Factor by which all durations are multiplied.
    pub slowdown: f64,
    /// Slowdowns of its machine with the times from which on they apply, in order. Empty for an
    /// engine that does not state its speed.
    pub speeds: Vec<(Duration, f64)>,
    /// Whether the engine accepts requests.
    pub is_up: bool,
}

impl Default for SimulatedEngine {
    fn default() -> Self {
        Self {
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            slowdown: 1.0,
            speeds: Vec::new(),
            is_up: true,
        }
    }
}

impl SimulatedEngine {
    /// Queues a request. Returns `false` if the queue is full or the engine is down.
    pub fn push(&mut self, request: EngineRequest) -> bool {
        if !self.is_up || self.waiting.len() >= MAX_WAITING {
            return false;
        }
        let index = self
            .waiting
            .iter()
            .position(|other| other.rank > request.rank);
        let index = index.unwrap_or(self.waiting.len());
        self.waiting.insert(index, request);
        true
    }

    /// Starts the next waiting request if a slot is free.
    pub fn start(&mut self, now: Duration) -> Option<StartedRun> {
        if self.running.len() >= SLOTS {
            return None;
        }
        let request = self.waiting.pop_front()?;
        self.running.push(request.attempt);
        let cold = request.own_tokens + self.touch(request.part);
        let prefill = Duration::from_secs_f64(f64::from(cold) / PREFILL_TOKENS_PER_MS / 1000.0);
        let step = STEP_TIME + STEP_TIME_PER_REQUEST * self.running.len() as u32;
        Some(StartedRun {
            attempt: request.attempt,
            first_token: self.elapsed(now, prefill + step),
            total: self.elapsed(now, prefill + step * request.output_tokens.max(1)),
        })
    }

    /// Time from `now` until work is done that takes `work` at the usual speed.
    fn elapsed(&self, now: Duration, work: Duration) -> Duration {
        let mut left = work.mul_f64(self.slowdown);
        let mut at = now;
        let first = self.speeds.partition_point(|(from, _)| *from <= now);
        let mut slowdown = self.machine_slowdown(now);
        for (until, next) in &self.speeds[first..] {
            let done = (*until - at).div_f64(slowdown);
            if done >= left {
                break;
            }
            left -= done;
            (at, slowdown) = (*until, *next);
        }
        at - now + left.mul_f64(slowdown)
    }

    fn machine_slowdown(&self, now: Duration) -> f64 {
        let next = self.speeds.partition_point(|(from, _)| *from <= now);
        let current = next.checked_sub(1).map(|index| self.speeds[index].1);
        current.unwrap_or(1.0)
    }

    /// Marks a prompt part as most recently used. Returns the number of its tokens that were not
    /// cached.
    fn touch(&mut self, part: (u64, u32)) -> u32 {
        let found = self.cache.iter().position(|cached| cached.0 == part.0);
        let known = found.and_then(|index| self.cache.remove(index));
        self.cache.push_back(part);
        while self.cache.iter().map(|cached| cached.1).sum::<u32>() > CACHE_TOKENS {
            self.cache.pop_front();
        }
        if known.is_some() { 0 } else { part.1 }
    }

    /// Removes a running or waiting request. Returns whether there was one.
    pub fn remove(&mut self, attempt: usize) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|running| *running != attempt);
        self.waiting.retain(|waiting| waiting.attempt != attempt);
        before > self.running.len() + self.waiting.len()
    }

    /// Stops the engine and empties its cache. Returns the attempts that ran or waited.
    pub fn stop(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.cache.clear();
        let mut held = std::mem::take(&mut self.running);
        let waiting = std::mem::take(&mut self.waiting);
        held.extend(waiting.into_iter().map(|request| request.attempt));
        held
    }

    /// Returns the load report that accompanies answers.
    pub fn report(&self, now: Duration) -> LoadReport {
        let states_speed = !self.speeds.is_empty();
        LoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            work_percent: states_speed.then(|| (self.machine_slowdown(now) * 100.0) as u32),
        }
    }
}
