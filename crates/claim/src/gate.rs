//! Agent: which requests run, run alone, or are refused as quarantined.

use std::collections::{BTreeMap, BTreeSet};

use wire::answer::AttemptKey;
use wire::id::FingerprintHash;

use crate::error::{Result, ensure};

/// What the agent does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Run it like any other.
    Run,
    /// Ask control for the permit, wait until the endpoint is idle, then run it alone.
    Alone,
    /// Refuse it.
    Refuse,
}

/// The agent's copy of control's lists and the rule for running suspects alone.
#[derive(Debug, Default)]
pub struct SuspectGate {
    /// Control's lists.
    suspects: BTreeSet<FingerprintHash>,
    quarantined: BTreeSet<FingerprintHash>,
    /// Requests of a crash here whose report control has not recorded yet.
    pending_reports: BTreeSet<FingerprintHash>,
    /// Suspects that control permits to run here, each as one attempt.
    permits: BTreeMap<FingerprintHash, AttemptKey>,
    /// The suspect that is running.
    running_suspect: Option<FingerprintHash>,
    /// Requests that are running.
    running: usize,
}

impl SuspectGate {
    /// Replaces the list of suspects.
    pub fn set_suspects(&mut self, list: &[FingerprintHash]) {
        self.suspects = list.iter().copied().collect();
    }

    /// Replaces the list of quarantined requests.
    pub fn set_quarantined(&mut self, list: &[FingerprintHash]) {
        self.quarantined = list.iter().copied().collect();
    }

    /// What to do with a request on its arrival, and again before it starts.
    pub fn check(&self, fingerprint: FingerprintHash) -> GateVerdict {
        if self.quarantined.contains(&fingerprint) {
            GateVerdict::Refuse
        } else if self.is_suspect(fingerprint) {
            GateVerdict::Alone
        } else {
            GateVerdict::Run
        }
    }

    /// Control granted the permit to run a suspect as this attempt.
    pub fn permit(&mut self, key: AttemptKey, fingerprint: FingerprintHash) {
        self.permits.insert(fingerprint, key);
    }

    /// Whether control's permit for this attempt of a suspect is at hand.
    pub fn has_permit(&self, key: AttemptKey, fingerprint: FingerprintHash) -> bool {
        self.permits.get(&fingerprint) == Some(&key)
    }

    /// Whether the request may start now. While a suspect waits with its permit, the agent starts
    /// nothing else, so that the endpoint becomes idle.
    pub fn may_start(&self, key: AttemptKey, fingerprint: FingerprintHash) -> bool {
        match self.check(fingerprint) {
            GateVerdict::Refuse => false,
            GateVerdict::Alone => self.running == 0 && self.has_permit(key, fingerprint),
            GateVerdict::Run => {
                let is_free = self.permits.is_empty() || self.has_permit(key, fingerprint);
                self.running_suspect.is_none() && is_free
            }
        }
    }

    /// A request started; it was allowed to.
    pub fn started(&mut self, key: AttemptKey, fingerprint: FingerprintHash) {
        debug_assert!(
            self.may_start(key, fingerprint),
            "only what may start is started"
        );
        self.running += 1;
        if self.is_suspect(fingerprint) {
            self.running_suspect = Some(fingerprint);
        }
    }

    /// A request ended without a crash. Returns whether to report it to control as cleared.
    pub fn ended(&mut self, fingerprint: FingerprintHash) -> bool {
        self.running = self.running.saturating_sub(1);
        if self.running_suspect == Some(fingerprint) {
            self.running_suspect = None;
        }
        self.permits.remove(&fingerprint);
        self.is_suspect(fingerprint)
    }

    /// An attempt was refused or cancelled before it started. Returns whether to give its permit
    /// back to control.
    pub fn drop_permit(&mut self, key: AttemptKey, fingerprint: FingerprintHash) -> bool {
        let is_unused =
            self.has_permit(key, fingerprint) && self.running_suspect != Some(fingerprint);
        if is_unused {
            self.permits.remove(&fingerprint);
        }
        is_unused
    }

    /// The endpoint crashed with these requests running. They are suspects from now on.
    pub fn crashed(&mut self, in_flight: &[FingerprintHash]) {
        self.pending_reports.extend(in_flight);
        self.permits.clear();
        self.running_suspect = None;
        self.running = 0;
    }

    /// Control recorded the report of the crash and sent its lists after it.
    pub fn report_recorded(&mut self) {
        self.pending_reports.clear();
    }

    /// Requests that are running.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first one that is broken.
    pub fn verify(&self) -> Result<()> {
        ensure(
            self.running_suspect.is_none() || self.running == 1,
            "a suspect runs alone",
        )
    }

    fn is_suspect(&self, fingerprint: FingerprintHash) -> bool {
        self.suspects.contains(&fingerprint) || self.pending_reports.contains(&fingerprint)
    }
}
