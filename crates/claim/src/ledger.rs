//! Entry: what may still be done, and said, about one request.

use fault::{Fault, FaultKind, RunOutcome};
use wire::answer::AttemptKey;
use wire::id::{AttemptNumber, RequestId};

use crate::error::{Result, ensure};

/// The attempts of one request, as far as they bear on its outcome.
///
/// An attempt is sent once, to one life of one agent. While it is open nobody but that agent can
/// say what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallLedger {
    request: RequestId,
    is_idempotent: bool,
    /// Number of the latest attempt; 0 before the first.
    latest: AttemptNumber,
    /// Whether the latest attempt was sent and its end is not known.
    is_open: bool,
    /// Whether some attempt may have run without its end being known.
    may_have_run: bool,
    /// Whether some attempt ran to its end.
    has_run: bool,
}

impl CallLedger {
    /// A request of which nothing was sent.
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
    /// Never while one is open, nor after one that ran; after one that may have run only if a
    /// second execution is harmless.
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

    /// The key that the next attempt will have, for a claim ahead of sending.
    pub fn next_key(&self) -> AttemptKey {
        AttemptKey {
            request: self.request,
            attempt: self.latest + 1,
        }
    }

    /// The agent said how the attempt ended. Reports about other attempts change nothing.
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

    /// The end of the attempt will not be learnt: its agent or the way there is gone.
    pub fn mark_lost(&mut self, key: AttemptKey) {
        self.close(key, RunOutcome::Unknown);
    }

    /// Whether the attempt is the one whose answer is awaited.
    pub fn is_current(&self, key: AttemptKey) -> bool {
        self.is_open && key == self.key()
    }

    /// What the caller may be told now.
    pub fn outcome(&self) -> RunOutcome {
        if self.has_run {
            RunOutcome::Ran
        } else if self.is_open || self.may_have_run {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// The fault to tell the caller when `fault` ends the request.
    ///
    /// A fault that claims "not run" is replaced when some attempt may have run.
    pub fn final_fault(&self, fault: Fault) -> Fault {
        if fault.outcome() != RunOutcome::NotRun || self.outcome() == RunOutcome::NotRun {
            return fault;
        }
        FaultKind::ConnectionLost.because(format!("an attempt may have run; then: {fault}"))
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first one that is broken.
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
