//! Agent: which attempts were submitted, may run, or never will.
//!
//! One table lives as long as one life of the agent. An attempt that ended or was refused is
//! remembered for longer than any frame can be on its way, so it can't run later.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use fault::{FaultKind, RunOutcome};
use wire::answer::AttemptKey;
use wire::id::{AttemptNumber, IncarnationNumber};

use crate::error::{Result, ensure};

/// Bounds of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Attempts remembered. New ones are refused beyond.
    pub attempts: usize,
    /// Time for which an attempt is remembered after its end.
    pub retention: Duration,
}

impl Default for AttemptLimits {
    fn default() -> Self {
        Self {
            attempts: 200_000,
            retention: Duration::from_secs(10 * 60),
        }
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Waits for its turn.
    Queued,
    /// The endpoint has it.
    Running,
    /// The endpoint had it.
    Ended(RunOutcome),
    /// The endpoint never had it and never will.
    Refused(FaultKind),
    /// It was resumed or cancelled without having been submitted in this life, which will not run
    /// it. An earlier life may have, so it is never called not run.
    Lost,
}

impl AttemptState {
    /// Whether the attempt may still change.
    pub fn is_active(self) -> bool {
        matches!(self, Self::Queued | Self::Running)
    }
}

/// What to do with a submitted attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitVerdict {
    /// New: it is queued now. An earlier attempt that it replaces has to be stopped.
    Accepted {
        /// The earlier attempt, which is running.
        superseded: Option<AttemptKey>,
    },
    /// A duplicate; nothing to do but to repeat what was said.
    Duplicate(AttemptState),
    /// Refuse it; it can't run later.
    Refuse(FaultKind),
}

/// What to do with a cancelled attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelVerdict {
    /// It had not started and never will.
    NotRun,
    /// It is running: stop the endpoint's work on it.
    Stop,
    /// It had ended.
    Ended(AttemptState),
    /// This life has not seen it and will not run it; an earlier life may have.
    Lost,
}

/// What to do with an attempt whose answer is to continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeVerdict {
    /// It waits for its turn; its answer will go to the new connection.
    Wait,
    /// Send from its tail.
    Stream,
    /// It never ran and never will.
    Refused(FaultKind),
    /// This life has not seen it and will not run it; an earlier life may have.
    Lost,
}

/// The attempts that one life of an agent has seen.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: IncarnationNumber,
    limits: AttemptLimits,
    records: BTreeMap<AttemptKey, AttemptRecord>,
    /// Exactly the attempts that are not active, in the order in which they ended.
    ended: VecDeque<(Instant, AttemptKey)>,
}

#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    state: AttemptState,
    is_idempotent: bool,
}

impl AttemptTable {
    /// The empty table of a new life.
    pub fn new(incarnation: IncarnationNumber, limits: AttemptLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// The life that this table belongs to.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.incarnation
    }

    /// The state of an attempt.
    pub fn get(&self, key: AttemptKey) -> Option<AttemptState> {
        self.records.get(&key).map(|record| record.state)
    }

    /// Takes a submitted attempt into the queue, unless it may not run.
    pub fn submit(&mut self, now: Instant, key: AttemptKey, is_idempotent: bool) -> SubmitVerdict {
        self.evict_expired(now);
        match self.get(key) {
            Some(AttemptState::Lost) => return self.refuse_lost(key),
            Some(state) => return SubmitVerdict::Duplicate(state),
            None => {}
        }
        if self.records.len() >= self.limits.attempts {
            // It can't be remembered, so nothing may be promised about it.
            return SubmitVerdict::Refuse(FaultKind::Internal);
        }
        let (superseded, refusal) = self.compare_siblings(key, is_idempotent);
        if let Some(kind) = refusal {
            self.insert_ended(now, key, AttemptState::Refused(kind));
            return SubmitVerdict::Refuse(kind);
        }
        self.fence_earlier(now, key);
        let record = AttemptRecord {
            state: AttemptState::Queued,
            is_idempotent,
        };
        self.records.insert(key, record);
        SubmitVerdict::Accepted { superseded }
    }

    /// Starts a queued attempt. Nothing may reach the endpoint unless this returns true.
    #[must_use]
    pub fn start(&mut self, key: AttemptKey) -> bool {
        match self.records.get_mut(&key) {
            Some(record) if record.state == AttemptState::Queued => {
                record.state = AttemptState::Running;
                true
            }
            _ => false,
        }
    }

    /// Refuses a queued attempt. "Not run" may be said only if this returns true.
    #[must_use]
    pub fn refuse(&mut self, now: Instant, key: AttemptKey, kind: FaultKind) -> bool {
        let is_queued = self.get(key) == Some(AttemptState::Queued);
        if is_queued {
            self.settle(now, key, AttemptState::Refused(kind));
        }
        is_queued
    }

    /// Records the end of a running attempt.
    pub fn end(&mut self, now: Instant, key: AttemptKey, outcome: RunOutcome) {
        if self.get(key) == Some(AttemptState::Running) {
            self.settle(now, key, AttemptState::Ended(outcome));
        }
    }

    /// Cancels an attempt, whether or not it has been submitted.
    pub fn cancel(&mut self, now: Instant, key: AttemptKey) -> CancelVerdict {
        match self.get(key) {
            None | Some(AttemptState::Lost) => {
                self.insert_ended(now, key, AttemptState::Lost);
                CancelVerdict::Lost
            }
            Some(AttemptState::Queued) => {
                self.settle(now, key, AttemptState::Refused(FaultKind::Cancelled));
                CancelVerdict::NotRun
            }
            Some(AttemptState::Running) => CancelVerdict::Stop,
            Some(state) => CancelVerdict::Ended(state),
        }
    }

    /// Finds out how an answer continues on a new connection. An attempt that this life has not
    /// seen is fenced.
    pub fn resume(&mut self, now: Instant, key: AttemptKey) -> ResumeVerdict {
        match self.get(key) {
            None | Some(AttemptState::Lost) => {
                self.insert_ended(now, key, AttemptState::Lost);
                ResumeVerdict::Lost
            }
            Some(AttemptState::Queued) => ResumeVerdict::Wait,
            Some(AttemptState::Running | AttemptState::Ended(_)) => ResumeVerdict::Stream,
            Some(AttemptState::Refused(kind)) => ResumeVerdict::Refused(kind),
        }
    }

    /// Refuses everything that waits, and returns it.
    pub fn refuse_queued(&mut self, now: Instant, kind: FaultKind) -> Vec<AttemptKey> {
        self.settle_all(now, AttemptState::Queued, AttemptState::Refused(kind))
    }

    /// Ends everything that runs with an unknown outcome, as the endpoint crashed, and returns it.
    pub fn fail_running(&mut self, now: Instant) -> Vec<AttemptKey> {
        let unknown = AttemptState::Ended(RunOutcome::Unknown);
        self.settle_all(now, AttemptState::Running, unknown)
    }

    /// Attempts in `state`.
    pub fn in_state(&self, state: AttemptState) -> impl Iterator<Item = AttemptKey> {
        let records = self.records.iter();
        records.filter_map(move |(key, record)| (record.state == state).then_some(*key))
    }

    /// Forgets what ended long ago.
    pub fn evict_expired(&mut self, now: Instant) {
        while let Some((ended, key)) = self.ended.front().copied()
            && now.saturating_duration_since(ended) >= self.limits.retention
        {
            self.ended.pop_front();
            self.records.remove(&key);
        }
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first one that is broken.
    pub fn verify(&self) -> Result<()> {
        let active = self
            .records
            .values()
            .filter(|r| r.state.is_active())
            .count();
        let inactive = self.records.len() - active;
        ensure(
            inactive == self.ended.len(),
            "every inactive attempt ended once",
        )?;
        let is_inactive = |(_, key): &(Instant, AttemptKey)| {
            self.get(*key).is_some_and(|state| !state.is_active())
        };
        ensure(
            self.ended.iter().all(is_inactive),
            "ended attempts are inactive",
        )?;
        ensure(
            self.records.len() <= self.limits.attempts,
            "attempts are bounded",
        )?;
        ensure(
            self.has_single_queued(),
            "one attempt of a request waits at most",
        )
    }

    fn has_single_queued(&self) -> bool {
        let queued: Vec<AttemptKey> = self.in_state(AttemptState::Queued).collect();
        queued
            .windows(2)
            .all(|pair| pair[0].request != pair[1].request)
    }

    /// Looks at the other attempts of the same request: what to stop, and why to refuse.
    fn compare_siblings(
        &self,
        key: AttemptKey,
        is_idempotent: bool,
    ) -> (Option<AttemptKey>, Option<FaultKind>) {
        let mut superseded = None;
        for (sibling, record) in self.siblings(key) {
            if sibling.attempt > key.attempt {
                return (None, Some(FaultKind::Fenced));
            }
            let repeats = !(is_idempotent && record.is_idempotent);
            match record.state {
                AttemptState::Running if repeats => return (None, Some(FaultKind::StillRunning)),
                AttemptState::Running => superseded = Some(*sibling),
                AttemptState::Ended(_) | AttemptState::Lost if repeats => {
                    return (None, Some(FaultKind::OutcomeUnknown));
                }
                _ => {}
            }
        }
        (superseded, None)
    }

    /// Fences queued attempts that `key` replaces.
    fn fence_earlier(&mut self, now: Instant, key: AttemptKey) {
        let queued =
            |(_, record): &(&AttemptKey, &AttemptRecord)| record.state == AttemptState::Queued;
        let earlier: Vec<AttemptKey> = self.siblings(key).filter(queued).map(|s| *s.0).collect();
        for sibling in earlier {
            self.settle(now, sibling, AttemptState::Refused(FaultKind::Fenced));
        }
    }

    fn siblings(&self, key: AttemptKey) -> impl Iterator<Item = (&AttemptKey, &AttemptRecord)> {
        let numbered = |attempt| AttemptKey { attempt, ..key };
        self.records
            .range(numbered(AttemptNumber::MIN)..=numbered(AttemptNumber::MAX))
    }

    /// A lost attempt is submitted after all, so it was on its way to this life and to no other.
    fn refuse_lost(&mut self, key: AttemptKey) -> SubmitVerdict {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = AttemptState::Refused(FaultKind::Fenced);
        }
        SubmitVerdict::Refuse(FaultKind::Fenced)
    }

    /// Remembers an attempt that never becomes active, unless it is known.
    fn insert_ended(&mut self, now: Instant, key: AttemptKey, state: AttemptState) {
        if self.records.len() >= self.limits.attempts || self.records.contains_key(&key) {
            return;
        }
        let record = AttemptRecord {
            state,
            is_idempotent: true,
        };
        self.records.insert(key, record);
        self.ended.push_back((now, key));
    }

    fn settle_all(
        &mut self,
        now: Instant,
        from: AttemptState,
        to: AttemptState,
    ) -> Vec<AttemptKey> {
        let keys: Vec<AttemptKey> = self.in_state(from).collect();
        for key in &keys {
            self.settle(now, *key, to);
        }
        keys
    }

    /// Moves an active attempt to a final state.
    fn settle(&mut self, now: Instant, key: AttemptKey, state: AttemptState) {
        debug_assert!(!state.is_active(), "settled attempts are inactive");
        if let Some(record) = self.records.get_mut(&key) {
            debug_assert!(record.state.is_active(), "an attempt settles once");
            record.state = state;
            self.ended.push_back((now, key));
        }
    }
}
