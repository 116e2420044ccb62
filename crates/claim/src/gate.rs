//! Agent: which requests run, run alone, or are refused as quarantined.

use std::collections::{BTreeMap, BTreeSet};

use wire::answer::AttemptKey;
use wire::id::FingerprintHash;

use crate::error::{Result, ensure};

/// Admission of a request by the [`SuspectGate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateVerdict {
    /// Run it together with other requests.
    Run,
    /// Ask control for the permit, wait until the endpoint is idle, then run it alone.
    Alone,
    /// Refuse it: it is quarantined.
    Refuse,
}

/// Decides which requests may start: the agent's copy of control's lists of suspects and
/// quarantined requests, and the rule that a suspect runs alone.
#[derive(Debug, Default)]
pub struct SuspectGate {
    /// Suspects, as control last listed them.
    suspects: BTreeSet<FingerprintHash>,
    /// Quarantined requests, as control last listed them.
    quarantined: BTreeSet<FingerprintHash>,
    /// Requests that were running at a crash of this endpoint that control has not recorded yet.
    pending_reports: BTreeSet<FingerprintHash>,
    /// Permits granted by control: suspects that may run here, each as one attempt.
    permits: BTreeMap<FingerprintHash, AttemptKey>,
    /// The running request, if it is a suspect.
    running_suspect: Option<FingerprintHash>,
    /// Number of running requests.
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

    /// The verdict on a request. Asked on its arrival and again before it starts, as the lists may
    /// change in between.
    pub fn check(&self, fingerprint: FingerprintHash) -> GateVerdict {
        if self.quarantined.contains(&fingerprint) {
            GateVerdict::Refuse
        } else if self.is_suspect(fingerprint) {
            GateVerdict::Alone
        } else {
            GateVerdict::Run
        }
    }

    /// Stores control's permit to run a suspect as this attempt.
    pub fn permit(&mut self, key: AttemptKey, fingerprint: FingerprintHash) {
        self.permits.insert(fingerprint, key);
    }

    /// Whether control has granted a permit for this attempt.
    pub fn has_permit(&self, key: AttemptKey, fingerprint: FingerprintHash) -> bool {
        self.permits.get(&fingerprint) == Some(&key)
    }

    /// Whether the request may start now. While a suspect with a permit waits, no other request
    /// starts, so that the endpoint becomes idle.
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

    /// Records the start of a request for which [`Self::may_start`] holds.
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

    /// Records that a request ended without a crash. Returns whether it is a suspect, which is to
    /// be reported to control as cleared.
    pub fn ended(&mut self, fingerprint: FingerprintHash) -> bool {
        self.running = self.running.saturating_sub(1);
        if self.running_suspect == Some(fingerprint) {
            self.running_suspect = None;
        }
        self.permits.remove(&fingerprint);
        self.is_suspect(fingerprint)
    }

    /// Drops the unused permit of an attempt that was refused or cancelled before it started.
    /// Returns whether there was one, which is to be given back to control.
    pub fn drop_permit(&mut self, key: AttemptKey, fingerprint: FingerprintHash) -> bool {
        let is_unused =
            self.has_permit(key, fingerprint) && self.running_suspect != Some(fingerprint);
        if is_unused {
            self.permits.remove(&fingerprint);
        }
        is_unused
    }

    /// Records a crash of the endpoint with these requests running. They are suspects from now on.
    pub fn crashed(&mut self, in_flight: &[FingerprintHash]) {
        self.pending_reports.extend(in_flight);
        self.permits.clear();
        self.running_suspect = None;
        self.running = 0;
    }

    /// Records that control has recorded the crash and has sent the lists that include it.
    pub fn report_recorded(&mut self) {
        self.pending_reports.clear();
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first broken invariant.
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
