//! Entry: outcomes of one request's attempts, and whether it may be sent again.

use fault::{Fault, FaultKind, RunOutcome};
use wire::answer::AttemptKey;
use wire::id::{AttemptNumber, RequestId};

use crate::error::{Result, ensure};

/// Outcomes of the attempts of one request.
///
/// An attempt is sent once, to one incarnation of one agent. Until it is closed, only that agent
/// knows its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallLedger {
    request: RequestId,
    is_idempotent: bool,
    /// Number of the latest attempt; 0 before the first.
    latest: AttemptNumber,
    /// Whether the latest attempt was sent and neither closed nor marked lost.
    is_open: bool,
    /// Whether the outcome of some attempt is unknown, so that it may have run.
    may_have_run: bool,
    /// Whether some attempt ran.
    has_run: bool,
}

impl CallLedger {
    /// The ledger of a request of which no attempt has been sent.
    pub fn new(request: RequestId, is_idempotent: bool) -> Self {
        Self {
            request,
            is_idempotent,
            latest: 0,
            is_open: false,
            may_have_run: false,
            has_run: false,
        }
    }

    /// Whether another attempt may be sent.
    ///
    /// Never while one is open or after one that ran. After one that may have run, only if the
    /// request is idempotent.
    pub fn may_send(&self) -> bool {
        !self.is_open && !self.has_run && (self.is_idempotent || !self.may_have_run)
    }

    /// Opens the next attempt, if it may be sent. Call it right before sending.
    pub fn open(&mut self) -> Option<AttemptKey> {
        if !self.may_send() {
            return None;
        }
        self.latest += 1;
        self.is_open = true;
        Some(self.key())
    }

    /// The key that the next attempt will have, for a claim that precedes sending.
    pub fn next_key(&self) -> AttemptKey {
        AttemptKey {
            request: self.request,
            attempt: self.latest + 1,
        }
    }

    /// Records the outcome that the agent reported. Ignored unless the attempt is the open one.
    pub fn close(&mut self, key: AttemptKey, outcome: RunOutcome) {
        if key != self.key() || !self.is_open {
            return;
        }
        self.is_open = false;
        match outcome {
            RunOutcome::Ran => self.has_run = true,
            RunOutcome::Unknown => self.may_have_run = true,
            RunOutcome::NotRun => {}
        }
    }

    /// Records that the outcome can't be learnt any more, because the agent or the connection to
    /// it is lost.
    pub fn mark_lost(&mut self, key: AttemptKey) {
        self.close(key, RunOutcome::Unknown);
    }

    /// Whether the attempt is the one whose answer is awaited.
    pub fn is_current(&self, key: AttemptKey) -> bool {
        self.is_open && key == self.key()
    }

    /// The outcome of the request as far as it is known, as the caller may be told.
    pub fn outcome(&self) -> RunOutcome {
        if self.has_run {
            RunOutcome::Ran
        } else if self.is_open || self.may_have_run {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// The fault to answer the caller with when `fault` ends the request.
    ///
    /// A fault whose outcome is `NotRun` is replaced if some attempt may have run.
    pub fn final_fault(&self, fault: Fault) -> Fault {
        if fault.outcome() != RunOutcome::NotRun || self.outcome() == RunOutcome::NotRun {
            return fault;
        }
        FaultKind::ConnectionLost.because(format!("an attempt may have run; then: {fault}"))
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first broken invariant.
    pub fn verify(&self) -> Result<()> {
        let is_sent = self.is_open || self.may_have_run || self.has_run;
        ensure(
            !is_sent || self.latest > 0,
            "only sent attempts have outcomes",
        )?;
        ensure(
            self.is_idempotent || !(self.is_open && self.may_have_run),
            "no second attempt after one that may have run",
        )
    }

    fn key(&self) -> AttemptKey {
        AttemptKey {
            request: self.request,
            attempt: self.latest,
        }
    }
}
