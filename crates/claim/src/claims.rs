//! Control's replicated record of non-idempotent requests.
//!
//! The table is a deterministic part of the control state machine: the same commands with the
//! same timestamps produce the same table on every replica. A key passes through these states:
//!
//! ```text
//! (absent) -> Held -> Ran | Unknown -> expired -> (absent)
//!               \--> Released (the attempt never ran) -> Held by another attempt
//! ```
//!
//! Only `Released` leads back to `Held`, so at most one attempt runs under a key until the key is
//! removed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use fault::{FaultKind, RunOutcome};
use serde::{Deserialize, Serialize};
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, ClaimRequest, ControlReply, RecordedAnswer};
use wire::id::{AccountId, EndpointId, name_id};

use crate::error::{Result, ensure};
use crate::record::{
    ClaimLimits, ClaimRecord, ClaimState, EXPIRED_KEY_BYTES, MAX_KEY_BYTES, answer_bytes,
    record_bytes,
};

/// Identifies an expired key: the account and the hash of the key.
type ExpiredKey = (AccountId, u64);

/// Control's record of non-idempotent requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "ClaimSnapshot", into = "ClaimSnapshot")]
pub struct ClaimTable {
    limits: ClaimLimits,
    /// Latest command timestamp. Never decreases.
    now: Duration,
    records: BTreeMap<ClaimKey, ClaimRecord>,
    /// Index of `records` by due time.
    due: BTreeSet<(Duration, ClaimKey)>,
    /// Keys past their retention, each with the time at which it is removed.
    expired: BTreeMap<ExpiredKey, Duration>,
    /// Index of `expired` by the time of removal.
    expired_due: BTreeSet<(Duration, ExpiredKey)>,
    /// Keys whose record may hold an answer with headers or body, oldest first.
    bodies: VecDeque<ClaimKey>,
    /// Total bytes of the recorded answers.
    answer_bytes: usize,
    /// Bytes of all records in a snapshot, without their answers.
    record_bytes: usize,
}

/// The stored part of a table. The indexes and byte counts are computed from it on restore.
#[derive(Serialize, Deserialize)]
struct ClaimSnapshot {
    limits: ClaimLimits,
    now: Duration,
    records: Vec<(ClaimKey, ClaimRecord)>,
    expired: Vec<(ExpiredKey, Duration)>,
    bodies: Vec<ClaimKey>,
}

impl From<ClaimTable> for ClaimSnapshot {
    fn from(table: ClaimTable) -> Self {
        Self {
            limits: table.limits,
            now: table.now,
            records: table.records.into_iter().collect(),
            expired: table.expired.into_iter().collect(),
            bodies: table.bodies.into(),
        }
    }
}

impl From<ClaimSnapshot> for ClaimTable {
    fn from(snapshot: ClaimSnapshot) -> Self {
        let records: BTreeMap<_, _> = snapshot.records.into_iter().collect();
        let expired: BTreeMap<_, _> = snapshot.expired.into_iter().collect();
        Self {
            due: records
                .iter()
                .map(|(key, r)| (r.due, key.clone()))
                .collect(),
            answer_bytes: records.values().map(ClaimRecord::answer_bytes).sum(),
            record_bytes: records.keys().map(record_bytes).sum(),
            expired_due: expired.iter().map(|(key, due)| (*due, *key)).collect(),
            limits: snapshot.limits,
            now: snapshot.now,
            records,
            expired,
            bodies: snapshot.bodies.into(),
        }
    }
}

impl ClaimTable {
    /// An empty table with these bounds.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Applies a claim that the leader timestamped with `time`.
    ///
    /// The reply is `ClaimGranted` only to the one attempt that holds the key. A resent claim of
    /// that attempt is granted again, so a lost reply is harmless.
    pub fn claim(&mut self, time: Duration, request: &ClaimRequest) -> ControlReply {
        self.advance(time);
        if self.expired.contains_key(&expired_key(&request.claim)) {
            return refuse(
                FaultKind::KeyExpired,
                "the idempotency key is past its retention",
            );
        }
        let Some(record) = self.records.get(&request.claim) else {
            return self.grant_new(request);
        };
        if record.fingerprint != request.fingerprint {
            return refuse(
                FaultKind::KeyConflict,
                "the idempotency key was used with another request",
            );
        }
        match &record.state {
            ClaimState::Held => reply_held(record, request),
            ClaimState::Ran(Some(answer)) => ControlReply::ClaimAnswered(answer.clone()),
            ClaimState::Ran(None) => refuse(
                FaultKind::OutcomeUnknown,
                "the request ran and its answer was not kept; it is not run again",
            ),
            ClaimState::Unknown => refuse(
                FaultKind::OutcomeUnknown,
                "the request may have run or may still run once; it is not run again",
            ),
            ClaimState::Released => self.grant_released(request),
        }
    }

    /// Records the outcome of the attempt that holds a claim.
    ///
    /// A recorded outcome is final, as a caller may have received it; only `Unknown` may still
    /// become `Ran`. The outcome of an attempt that does not hold the claim is refused.
    pub fn finish(
        &mut self,
        time: Duration,
        claim: &ClaimKey,
        attempt: AttemptKey,
        outcome: RunOutcome,
        answer: Option<RecordedAnswer>,
    ) -> ControlReply {
        self.advance(time);
        let Some(record) = self.records.get(claim) else {
            return refuse(FaultKind::KeyExpired, "the claim is not recorded");
        };
        if record.attempt != attempt {
            return refuse(FaultKind::Fenced, "another attempt holds the claim");
        }
        let state = match (&record.state, outcome) {
            (ClaimState::Held | ClaimState::Unknown, RunOutcome::Ran) => {
                ClaimState::Ran(answer.map(|answer| self.limit_size(answer)))
            }
            (ClaimState::Held, RunOutcome::NotRun) => ClaimState::Released,
            (ClaimState::Held, RunOutcome::Unknown) => ClaimState::Unknown,
            _ => return ControlReply::ClaimFinished,
        };
        self.set_state(claim, state);
        self.evict_old_bodies();
        ControlReply::ClaimFinished
    }

    /// Sets every held claim of `endpoint` to `Unknown`. Called after a restart of the endpoint's
    /// agent, which no longer knows their outcomes.
    pub fn abandon(&mut self, time: Duration, endpoint: EndpointId) {
        self.advance(time);
        let is_held = |r: &ClaimRecord| r.endpoint == endpoint && r.state == ClaimState::Held;
        let held = self.records.iter().filter(|(_, record)| is_held(record));
        let keys: Vec<ClaimKey> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.set_state(&key, ClaimState::Unknown);
        }
    }

    /// Advances the clock to `time`, expires records past their retention and removes expired keys
    /// that are due.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now.max(time);
        while let Some((due, _)) = self.due.first()
            && *due <= self.now
        {
            self.expire_first();
        }
        while let Some((due, key)) = self.expired_due.first().copied()
            && due <= self.now
        {
            self.expired_due.remove(&(due, key));
            self.expired.remove(&key);
        }
    }

    /// The record of `claim`.
    pub fn get(&self, claim: &ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(claim)
    }

    /// Number of keys kept, expired ones included.
    pub fn len(&self) -> usize {
        self.records.len() + self.expired.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of claims whose attempt may run.
    pub fn held(&self) -> usize {
        let records = self.records.values();
        records
            .filter(|record| record.state == ClaimState::Held)
            .count()
    }

    /// Bytes of all records and expired keys in a snapshot, without the answers.
    pub fn key_bytes(&self) -> usize {
        self.record_bytes + EXPIRED_KEY_BYTES * self.expired.len()
    }

    /// Total bytes of the recorded answers.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first broken invariant.
    pub fn verify(&self) -> Result<()> {
        ensure(
            self.due.len() == self.records.len(),
            "one due time per record",
        )?;
        ensure(
            self.expired_due.len() == self.expired.len(),
            "one due time per expired key",
        )?;
        for (key, record) in &self.records {
            ensure(
                self.due.contains(&(record.due, key.clone())),
                "due times match",
            )?;
            ensure(record.due > self.now, "no record is overdue")?;
            ensure(
                !self.expired.contains_key(&expired_key(key)),
                "an expired key has no record",
            )?;
        }
        let bytes: usize = self.records.values().map(ClaimRecord::answer_bytes).sum();
        ensure(bytes == self.answer_bytes, "recorded bytes are counted")?;
        let kept: usize = self.records.keys().map(record_bytes).sum();
        ensure(kept == self.record_bytes, "bytes of keys are counted")?;
        ensure(
            self.key_bytes() <= self.limits.key_bytes,
            "keys are bounded",
        )?;
        ensure(
            bytes <= self.limits.answer_bytes,
            "recorded bytes are bounded",
        )
    }

    fn grant_new(&mut self, request: &ClaimRequest) -> ControlReply {
        if request.claim.key.len() > MAX_KEY_BYTES {
            return refuse(
                FaultKind::MalformedRequest,
                "the idempotency key is too long",
            );
        }
        let cost = record_bytes(&request.claim);
        if self.key_bytes() + cost > self.limits.key_bytes {
            return refuse(FaultKind::StoreFull, "too many idempotency keys are kept");
        }
        self.record_bytes += cost;
        let (min, max) = (self.limits.min_retention, self.limits.max_retention);
        let retention = request.retention.clamp(min, max);
        let record = ClaimRecord {
            fingerprint: request.fingerprint,
            attempt: request.attempt,
            endpoint: request.endpoint,
            state: ClaimState::Held,
            retention,
            due: self.now + retention,
        };
        self.due.insert((record.due, request.claim.clone()));
        self.records.insert(request.claim.clone(), record);
        ControlReply::ClaimGranted
    }

    fn grant_released(&mut self, request: &ClaimRequest) -> ControlReply {
        let Some(record) = self.records.get_mut(&request.claim) else {
            return refuse(FaultKind::Internal, "the claim is not recorded");
        };
        let last = record.attempt;
        if request.attempt.request == last.request && request.attempt <= last {
            return refuse(FaultKind::Fenced, "the attempt was given up");
        }
        record.attempt = request.attempt;
        record.endpoint = request.endpoint;
        self.set_state(&request.claim, ClaimState::Held);
        ControlReply::ClaimGranted
    }

    /// Changes the state of a record and restarts its retention.
    fn set_state(&mut self, claim: &ClaimKey, state: ClaimState) {
        let Some(record) = self.records.get_mut(claim) else {
            return;
        };
        self.due.remove(&(record.due, claim.clone()));
        self.answer_bytes -= record.answer_bytes();
        record.state = state;
        record.due = self.now + record.retention;
        self.answer_bytes += record.answer_bytes();
        if record.answer_bytes() > 0 {
            self.bodies.push_back(claim.clone());
        }
        self.due.insert((record.due, claim.clone()));
    }

    fn expire_first(&mut self) {
        let Some((due, claim)) = self.due.pop_first() else {
            return;
        };
        let Some(mut record) = self.records.remove(&claim) else {
            return;
        };
        match record.state {
            ClaimState::Held => {
                record.state = ClaimState::Unknown;
                record.due = due + record.retention;
                self.due.insert((record.due, claim.clone()));
                self.records.insert(claim, record);
            }
            ClaimState::Released => self.record_bytes -= record_bytes(&claim),
            ClaimState::Ran(_) | ClaimState::Unknown => {
                self.answer_bytes -= record.answer_bytes();
                self.record_bytes -= record_bytes(&claim);
                let key = expired_key(&claim);
                let forget_at = due + self.limits.expired_retention;
                self.expired.insert(key, forget_at);
                self.expired_due.insert((forget_at, key));
            }
        }
    }

    /// Drops the body, then the headers, of an answer that exceeds the limit for one answer.
    fn limit_size(&self, mut answer: RecordedAnswer) -> RecordedAnswer {
        if answer_bytes(&answer) > self.limits.max_answer_bytes {
            answer.body = None;
        }
        if answer_bytes(&answer) > self.limits.max_answer_bytes {
            answer.headers.clear();
        }
        answer
    }

    fn evict_old_bodies(&mut self) {
        while self.answer_bytes > self.limits.answer_bytes {
            let Some(claim) = self.bodies.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&claim) else {
                continue;
            };
            self.answer_bytes -= record.answer_bytes();
            if let ClaimState::Ran(Some(answer)) = &mut record.state {
                answer.body = None;
                answer.headers.clear();
            }
        }
    }
}

fn reply_held(record: &ClaimRecord, request: &ClaimRequest) -> ControlReply {
    if record.attempt != request.attempt {
        return refuse(FaultKind::StillRunning, "the request is still running");
    }
    if record.endpoint != request.endpoint {
        return refuse(
            FaultKind::Fenced,
            "the attempt is bound to another endpoint",
        );
    }
    ControlReply::ClaimGranted
}

fn expired_key(claim: &ClaimKey) -> ExpiredKey {
    (claim.account, name_id(&claim.key))
}

pub(crate) fn refuse(kind: FaultKind, message: &str) -> ControlReply {
    ControlReply::Refused(kind.because(message))
}
