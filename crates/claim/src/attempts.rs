//! Agent: states of the submitted attempts.
//!
//! A table lasts for one incarnation of the agent. An attempt that ended or was refused is
//! remembered for longer than any frame can be in flight, so a delayed submit can't run it later.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use fault::{FaultKind, RunOutcome};
use wire::answer::AttemptKey;
use wire::id::{AttemptNumber, IncarnationNumber};

use crate::error::{Result, ensure};

/// Bounds of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// Attempts remembered. New ones are refused beyond that.
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

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It waits in the agent's queue.
    Queued,
    /// It was sent to the endpoint.
    Running,
    /// It was sent to the endpoint and has ended.
    Ended(RunOutcome),
    /// It was never sent to the endpoint and never will be.
    Refused(FaultKind),
    /// It was resumed or cancelled, but not submitted, in this incarnation, which will not run it.
    /// An earlier incarnation may have run it, so its outcome is never `NotRun`.
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
    /// It is new and queued now.
    Accepted {
        /// A running earlier attempt of the same request, which must be stopped.
        superseded: Option<AttemptKey>,
    },
    /// It was submitted before and is in this state; at most its answer is repeated.
    Duplicate(AttemptState),
    /// Refuse it; this submit does not run.
    Refuse(FaultKind),
}

/// What to do with a cancelled attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelVerdict {
    /// It had not started and never will.
    NotRun,
    /// It is running: stop its execution at the endpoint.
    Stop,
    /// It had ended or been refused before.
    Ended(AttemptState),
    /// It is unknown to this incarnation, which will not run it; an earlier one may have.
    Lost,
}

/// What to do with an attempt whose answer is to be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeVerdict {
    /// It is queued; its answer will be sent on the new connection.
    Wait,
    /// Send its answer from the replay buffer.
    Stream,
    /// It never ran and never will.
    Refused(FaultKind),
    /// It is unknown to this incarnation, which will not run it; an earlier one may have.
    Lost,
}

/// The attempts known to one incarnation of an agent.
#[derive(Debug)]
pub struct AttemptTable {
    incarnation: IncarnationNumber,
    limits: AttemptLimits,
    records: BTreeMap<AttemptKey, AttemptRecord>,
    /// Every inactive attempt, in the order in which they became inactive.
    ended: VecDeque<(Instant, AttemptKey)>,
}

#[derive(Clone, Copy, Debug)]
struct AttemptRecord {
    state: AttemptState,
    is_idempotent: bool,
}

impl AttemptTable {
    /// The empty table of a new incarnation.
    pub fn new(incarnation: IncarnationNumber, limits: AttemptLimits) -> Self {
        Self {
            incarnation,
            limits,
            records: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// The incarnation that this table belongs to.
    pub fn incarnation(&self) -> IncarnationNumber {
        self.incarnation
    }

    /// The state of an attempt.
    pub fn get(&self, key: AttemptKey) -> Option<AttemptState> {
        self.records.get(&key).map(|record| record.state)
    }

    /// Queues a submitted attempt, unless it must not run.
    pub fn submit(&mut self, now: Instant, key: AttemptKey, is_idempotent: bool) -> SubmitVerdict {
        self.evict_expired(now);
        match self.get(key) {
            Some(AttemptState::Lost) => return self.refuse_lost(key),
            Some(state) => return SubmitVerdict::Duplicate(state),
            None => {}
        }
        if self.records.len() >= self.limits.attempts {
            // The refusal can't be recorded, so the reply must not promise that the attempt never
            // runs.
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

    /// Starts a queued attempt. Nothing may be sent to the endpoint unless this returns true.
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

    /// Refuses a queued attempt. The outcome `NotRun` may be reported only if this returns true.
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

    /// Decides how an answer continues on a new connection. An attempt unknown to this incarnation
    /// is recorded as lost, so that a later submit of it is refused.
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

    /// Refuses all queued attempts and returns them.
    pub fn refuse_queued(&mut self, now: Instant, kind: FaultKind) -> Vec<AttemptKey> {
        self.settle_all(now, AttemptState::Queued, AttemptState::Refused(kind))
    }

    /// Ends all running attempts with an unknown outcome after a crash of the endpoint, and
    /// returns them.
    pub fn fail_running(&mut self, now: Instant) -> Vec<AttemptKey> {
        let unknown = AttemptState::Ended(RunOutcome::Unknown);
        self.settle_all(now, AttemptState::Running, unknown)
    }

    /// Attempts in `state`.
    pub fn in_state(&self, state: AttemptState) -> impl Iterator<Item = AttemptKey> {
        let records = self.records.iter();
        records.filter_map(move |(key, record)| (record.state == state).then_some(*key))
    }

    /// Removes the inactive attempts whose retention is over.
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
    /// The first broken invariant.
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
            "at most one attempt of a request is queued",
        )
    }

    fn has_single_queued(&self) -> bool {
        let queued: Vec<AttemptKey> = self.in_state(AttemptState::Queued).collect();
        queued
            .windows(2)
            .all(|pair| pair[0].request != pair[1].request)
    }

    /// Compares an attempt with the other attempts of its request. Returns the running attempt
    /// that it supersedes, or why it is refused.
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

    /// Refuses the queued attempts that `key` supersedes.
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

    /// Refuses a lost attempt whose submit arrives after all. An attempt is sent to one incarnation
    /// only, so no earlier one ran it and it can be recorded as refused.
    fn refuse_lost(&mut self, key: AttemptKey) -> SubmitVerdict {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = AttemptState::Refused(FaultKind::Fenced);
        }
        SubmitVerdict::Refuse(FaultKind::Fenced)
    }

    /// Records an attempt that never becomes active, unless it is known or the table is full.
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

    /// Moves an active attempt to an inactive state.
    fn settle(&mut self, now: Instant, key: AttemptKey, state: AttemptState) {
        debug_assert!(!state.is_active(), "settled attempts are inactive");
        if let Some(record) = self.records.get_mut(&key) {
            debug_assert!(record.state.is_active(), "an attempt settles once");
            record.state = state;
            self.ended.push_back((now, key));
        }
    }
}
