//! Counts violations of the guarantees from what endpoints execute and what callers are told.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use fault::RunOutcome;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, RecordedAnswer};
use wire::id::{FingerprintHash, RequestId};

/// Endpoint crashes that one request may cause.
const MAX_CRASHES: u32 = 2;
/// Exclusive upper bound of an answer's length in bytes.
const MAX_ANSWER_BYTES: usize = 160;

/// Violations of the guarantees; all counts must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Corrupt answers, incomplete answers that were reported complete, requests without an end,
    /// and claims that stay held.
    pub lost: u64,
    /// Repeated executions of an attempt or of a non-idempotent request.
    pub doubled: u64,
    /// Deliveries of bytes that belong to another answer.
    pub crossed: u64,
    /// Requests that were reported as not run but ran before or after that.
    pub false_not_run: u64,
    /// Executions under a key that a caller has the answer for, decisions and settings that were
    /// reverted, replicas that diverge, and violated invariants.
    pub reverted: u64,
    /// Crashes beyond the bound for one request.
    pub over_crashed: u64,
}

/// Activity of a run, which shows that the guarantees were exercised.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCounts {
    /// Requests that callers sent.
    pub requests: u64,
    /// Executions that endpoints started.
    pub executions: u64,
    /// Requests reported to their callers as ran.
    pub told_ran: u64,
    /// Requests reported to their callers as not run.
    pub told_not_run: u64,
    /// Requests reported to their callers with an unknown outcome.
    pub told_unknown: u64,
    /// Resent requests that got a recorded answer.
    pub answers_replayed: u64,
    /// Endpoint crashes that a request caused.
    pub crashes: u64,
    /// Requests that were refused because they are quarantined.
    pub quarantined: u64,
}

/// Observes executions and results, and counts violations.
#[derive(Default)]
pub struct RunOracle {
    /// Violations so far.
    pub counts: FaultCounts,
    /// Activity so far.
    pub work: WorkCounts,
    started: BTreeSet<AttemptKey>,
    /// Last execution of each non-idempotent request, by idempotency key or, without one, by
    /// request id.
    executions: BTreeMap<(Option<ClaimKey>, RequestId), (AttemptKey, FingerprintHash)>,
    ran: BTreeSet<RequestId>,
    told_not_run: BTreeSet<RequestId>,
    /// Keys for which a caller got an answer.
    settled: BTreeSet<ClaimKey>,
    crashes: BTreeMap<FingerprintHash, u32>,
}

/// Returns the answer of an endpoint to an attempt, which is pseudorandom and seeded by the
/// attempt.
pub fn answer_of(key: AttemptKey) -> Bytes {
    let mut rng = Pcg64Mcg::new(key.request ^ u128::from(key.attempt) << 64);
    let length = rng.random_range(0..MAX_ANSWER_BYTES);
    (0..length).map(|_| rng.random::<u8>()).collect()
}

impl RunOracle {
    /// Records that an endpoint starts to execute an attempt.
    pub fn start(
        &mut self,
        key: AttemptKey,
        fingerprint: FingerprintHash,
        is_idempotent: bool,
        claim: Option<&ClaimKey>,
    ) {
        self.work.executions += 1;
        let mut is_double = !self.started.insert(key);
        if !is_idempotent {
            let execution_key = claim.map_or((None, key.request), |claim| (Some(claim.clone()), 0));
            is_double |= self
                .executions
                .insert(execution_key, (key, fingerprint))
                .is_some();
        }
        self.counts.doubled += u64::from(is_double);
        self.counts.false_not_run += u64::from(self.told_not_run.contains(&key.request));
        self.counts.reverted += u64::from(claim.is_some_and(|key| self.settled.contains(key)));
        self.ran.insert(key.request);
    }

    /// Records the outcome that a caller is told.
    pub fn record_outcome(&mut self, request: RequestId, outcome: RunOutcome) {
        match outcome {
            RunOutcome::Ran => self.work.told_ran += 1,
            RunOutcome::Unknown => self.work.told_unknown += 1,
            RunOutcome::NotRun => {
                self.work.told_not_run += 1;
                self.counts.false_not_run += u64::from(self.ran.contains(&request));
                self.told_not_run.insert(request);
            }
        }
    }

    /// Checks bytes of an answer that a caller gets against the answer to its attempt.
    pub fn deliver(&mut self, key: AttemptKey, offset: usize, bytes: &[u8]) {
        let answer = answer_of(key);
        let own = answer.get(offset..offset + bytes.len());
        self.counts.crossed += u64::from(own != Some(bytes));
    }

    /// Checks the length of an answer that is reported complete.
    pub fn complete(&mut self, key: AttemptKey, length: usize) {
        self.counts.lost += u64::from(length != answer_of(key).len());
    }

    /// Checks a recorded answer that a caller gets for its key: it must belong to the execution of
    /// the same request content.
    pub fn replay(
        &mut self,
        claim: &ClaimKey,
        fingerprint: FingerprintHash,
        answer: &RecordedAnswer,
    ) {
        self.work.answers_replayed += 1;
        let execution = self.executions.get(&(Some(claim.clone()), 0));
        let own = execution.filter(|(_, executed)| *executed == fingerprint);
        let own = own.map(|(key, _)| answer_of(*key));
        let is_own = own.is_some() && (answer.body.is_none() || answer.body == own);
        self.counts.crossed += u64::from(!is_own);
        self.settle(claim);
    }

    /// Records that a caller got the answer for its key.
    pub fn settle(&mut self, claim: &ClaimKey) {
        self.settled.insert(claim.clone());
    }

    /// Records that a request crashed the endpoint that executed it.
    pub fn crash(&mut self, fingerprint: FingerprintHash) {
        self.work.crashes += 1;
        let crashes = self.crashes.entry(fingerprint).or_default();
        *crashes += 1;
        self.counts.over_crashed += u64::from(*crashes > MAX_CRASHES);
    }
}
