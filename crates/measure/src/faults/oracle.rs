//! Counts what must never happen, from what endpoints execute and what callers are told.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use fault::RunOutcome;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use wire::answer::AttemptKey;
use wire::command::{ClaimKey, RecordedAnswer};
use wire::id::{FingerprintHash, RequestId};

/// Crashes that one request may cause.
const CRASH_BOUND: u32 = 2;
/// Longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 160;

/// What must never happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Answers called whole that are not, and requests that never end.
    pub lost: u64,
    /// Second executions of an attempt or of a non-idempotent request.
    pub doubled: u64,
    /// Bytes of another answer.
    pub crossed: u64,
    /// Requests called not run that ran, before or after.
    pub false_not_run: u64,
    /// Decisions and settings that changed back, and replicas that differ.
    pub reverted: u64,
    /// Crashes of one request beyond the bound.
    pub over_crashed: u64,
}

/// How much happened, to show that a run was no idle one.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkCounts {
    /// Requests of callers.
    pub requests: u64,
    /// Executions at endpoints.
    pub executions: u64,
    /// Requests told as ran.
    pub told_ran: u64,
    /// Requests told as not run.
    pub told_not_run: u64,
    /// Requests told as unknown.
    pub told_unknown: u64,
    /// Resends that got a recorded answer.
    pub answers_replayed: u64,
    /// Crashes of endpoints.
    pub crashes: u64,
    /// Requests refused as quarantined.
    pub quarantined: u64,
}

/// Knows what happened.
#[derive(Default)]
pub struct RunOracle {
    /// What must never happen.
    pub counts: FaultCounts,
    /// How much happened.
    pub work: WorkCounts,
    started: BTreeSet<AttemptKey>,
    /// The first execution of each non-idempotent request, by key or else by request.
    once: BTreeMap<(Option<ClaimKey>, RequestId), (AttemptKey, FingerprintHash)>,
    ran: BTreeSet<RequestId>,
    told_not_run: BTreeSet<RequestId>,
    /// Keys whose answer a caller has.
    settled: BTreeSet<ClaimKey>,
    crashes: BTreeMap<FingerprintHash, u32>,
}

/// The answer that an endpoint gives to an attempt; no two are alike.
pub fn answer_of(key: AttemptKey) -> Bytes {
    let mut rng = Pcg64Mcg::new(key.request ^ u128::from(key.attempt) << 64);
    let length = rng.random_range(0..MAX_ANSWER_BYTES);
    (0..length).map(|_| rng.random::<u8>()).collect()
}

impl RunOracle {
    /// An endpoint begins to execute an attempt.
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
            let name = claim.map_or((None, key.request), |claim| (Some(claim.clone()), 0));
            is_double |= self.once.insert(name, (key, fingerprint)).is_some();
        }
        self.counts.doubled += u64::from(is_double);
        self.counts.false_not_run += u64::from(self.told_not_run.contains(&key.request));
        self.counts.reverted += u64::from(claim.is_some_and(|key| self.settled.contains(key)));
        self.ran.insert(key.request);
    }

    /// A caller is told the outcome of its request.
    pub fn tell(&mut self, request: RequestId, outcome: RunOutcome) {
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

    /// A caller gets bytes of the answer to an attempt.
    pub fn deliver(&mut self, key: AttemptKey, offset: usize, bytes: &[u8]) {
        let answer = answer_of(key);
        let own = answer.get(offset..offset + bytes.len());
        self.counts.crossed += u64::from(own != Some(bytes));
    }

    /// A caller's answer is called whole.
    pub fn complete(&mut self, key: AttemptKey, length: usize) {
        self.counts.lost += u64::from(length != answer_of(key).len());
    }

    /// A caller gets the recorded answer of its key, for the work that it asked for.
    pub fn replay(
        &mut self,
        claim: &ClaimKey,
        fingerprint: FingerprintHash,
        answer: &RecordedAnswer,
    ) {
        self.work.answers_replayed += 1;
        let first = self.once.get(&(Some(claim.clone()), 0));
        let own = first.filter(|(_, work)| *work == fingerprint);
        let own = own.map(|(key, _)| answer_of(*key));
        let is_own = own.is_some() && (answer.body.is_none() || answer.body == own);
        self.counts.crossed += u64::from(!is_own);
        self.settle(claim);
    }

    /// A caller has the answer of its key.
    pub fn settle(&mut self, claim: &ClaimKey) {
        self.settled.insert(claim.clone());
    }

    /// A request crashes an endpoint that executes it.
    pub fn crash(&mut self, fingerprint: FingerprintHash) {
        self.work.crashes += 1;
        let crashes = self.crashes.entry(fingerprint).or_default();
        *crashes += 1;
        self.counts.over_crashed += u64::from(*crashes > CRASH_BOUND);
    }
}
