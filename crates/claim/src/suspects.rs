//! Control's replicated record of requests that may crash endpoints.
//!
//! Every request that was running when an endpoint crashed is suspected. A suspect runs only
//! alone, and only with a permit, which one attempt at a time holds. This is its trial. It is
//! cleared when it completes and quarantined when its endpoint crashes, so a request that always
//! crashes its endpoint crashes at most two: one together with other requests, one in its trial.
//!
//! ```text
//! (absent) -> Suspected -> OnTrial -> (absent) when it completes
//!                 ^            \----> Quarantined when the endpoint crashes or the trial times out
//!                 \------------------/ when the quarantine is over
//! ```

use std::collections::BTreeMap;
use std::time::Duration;

use fault::FaultKind;
use serde::{Deserialize, Serialize};
use wire::answer::AttemptKey;
use wire::command::ControlReply;
use wire::id::{EndpointId, FingerprintHash};

use crate::claims::refuse;
use crate::error::{Result, ensure};

/// Crashes after which a request is quarantined.
pub const CRASHES_TO_QUARANTINE: u32 = 2;
/// Crash count of a request whose quarantine is over: one more crash quarantines it again.
const CRASHES_AFTER_QUARANTINE: u32 = CRASHES_TO_QUARANTINE - 1;

/// Bound on the remembered crashes, as a multiple of [`SuspectLimits::requests`].
const COUNTED_CRASHES_PER_REQUEST: usize = 4;

/// Bounds of the table. They are part of the snapshot, so they are equal on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectLimits {
    /// Requests recorded. In a full table, a new one replaces the suspect whose suspicion ends
    /// first.
    pub requests: usize,
    /// Time for which a request is suspected without running.
    pub suspicion: Duration,
    /// Time within which a trial must end. One that does not leads to a quarantine, like a crash.
    pub trial: Duration,
    /// Time for which a request is quarantined.
    pub quarantine: Duration,
}

impl Default for SuspectLimits {
    fn default() -> Self {
        Self {
            requests: 16_384,
            suspicion: Duration::from_secs(60 * 60),
            trial: Duration::from_secs(15 * 60),
            quarantine: Duration::from_secs(60 * 60),
        }
    }
}

/// What may be done with a recorded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectStage {
    /// It may run, alone and with a permit.
    Suspected,
    /// This attempt may run it, alone.
    OnTrial(AttemptKey),
    /// It is refused at every endpoint.
    Quarantined,
}

/// One recorded request, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// What may be done with it.
    pub stage: SuspectStage,
    /// Crashes of endpoints that were running it.
    pub crashes: u32,
    /// Endpoint that crashed last, or that holds the permit.
    pub endpoint: EndpointId,
    /// When the stage ends without a command, on the clock of the command timestamps.
    pub due: Duration,
}

/// Control's record of requests that may crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectTable {
    limits: SuspectLimits,
    /// Latest command timestamp. Never decreases.
    now: Duration,
    rows: BTreeMap<FingerprintHash, SuspectRow>,
    /// Crashes already counted, by endpoint, cache epoch and request, each with the time at which
    /// it is forgotten. Makes [`Self::report_crash`] idempotent.
    counted_crashes: BTreeMap<(EndpointId, u64, FingerprintHash), Duration>,
}

impl SuspectTable {
    /// An empty table with these bounds.
    pub fn new(limits: SuspectLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Counts a crash of `endpoint` against the requests that were running there. A crash is
    /// identified by the cache epoch that it ended. It counts once against each request, even if
    /// the agent resends its report or several entries report the requests that they had there.
    pub fn report_crash(
        &mut self,
        time: Duration,
        endpoint: EndpointId,
        cache_epoch: u64,
        suspects: &[FingerprintHash],
    ) -> ControlReply {
        self.advance(time);
        let forget_at = self.now + self.limits.suspicion;
        for fingerprint in suspects {
            let crash = (endpoint, cache_epoch, *fingerprint);
            if self.counted_crashes.insert(crash, forget_at).is_none() {
                self.count_crash(*fingerprint, endpoint);
            }
            if self.counted_crashes.len() > COUNTED_CRASHES_PER_REQUEST * self.limits.requests {
                // Many crashes in a short time fill the table. The evicted crash counts again if
                // its report is resent.
                self.counted_crashes.pop_first();
            }
        }
        ControlReply::Recorded
    }

    /// Requests the permit to run a suspect alone, as `attempt` at `endpoint`. The reply
    /// `Recorded` grants it.
    pub fn try_suspect(
        &mut self,
        time: Duration,
        fingerprint: FingerprintHash,
        endpoint: EndpointId,
        attempt: AttemptKey,
    ) -> ControlReply {
        self.advance(time);
        let due = self.now + self.limits.trial;
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return ControlReply::Recorded;
        };
        match row.stage {
            SuspectStage::Suspected => {
                row.stage = SuspectStage::OnTrial(attempt);
                row.endpoint = endpoint;
                row.due = due;
                ControlReply::Recorded
            }
            SuspectStage::OnTrial(holder) if holder == attempt => ControlReply::Recorded,
            SuspectStage::OnTrial(_) => refuse(
                FaultKind::Overloaded,
                "the request is suspected of crashing endpoints and another attempt is running",
            ),
            SuspectStage::Quarantined => refuse(
                FaultKind::Quarantined,
                "the request crashed endpoints and is quarantined",
            ),
        }
    }

    /// Ends the trial of an attempt that was refused or stopped. It proves nothing, so the request
    /// is suspected again.
    pub fn drop_trial(
        &mut self,
        time: Duration,
        fingerprint: FingerprintHash,
        attempt: AttemptKey,
    ) -> ControlReply {
        self.advance(time);
        let due = self.now + self.limits.suspicion;
        if let Some(row) = self.rows.get_mut(&fingerprint)
            && row.stage == SuspectStage::OnTrial(attempt)
        {
            row.stage = SuspectStage::Suspected;
            row.due = due;
        }
        ControlReply::Recorded
    }

    /// Records that a request completed without a crash. It is cleared, unless it is quarantined
    /// for its crashes. One that is quarantined only because its trial timed out is cleared.
    pub fn clear(&mut self, time: Duration, fingerprint: FingerprintHash) -> ControlReply {
        self.advance(time);
        let is_cleared = |row: &SuspectRow| {
            row.stage != SuspectStage::Quarantined || row.crashes < CRASHES_TO_QUARANTINE
        };
        if self.rows.get(&fingerprint).is_some_and(is_cleared) {
            self.rows.remove(&fingerprint);
        }
        ControlReply::Recorded
    }

    /// Lifts a quarantine or a suspicion on request of an operator.
    pub fn lift(&mut self, time: Duration, fingerprint: FingerprintHash) -> ControlReply {
        self.advance(time);
        self.rows.remove(&fingerprint);
        ControlReply::Recorded
    }

    /// Advances the clock to `time` and ends the stages that are due.
    pub fn advance(&mut self, time: Duration) {
        self.now = self.now.max(time);
        let now = self.now;
        self.counted_crashes.retain(|_, forget_at| *forget_at > now);
        let is_due = |(_, row): &(&FingerprintHash, &SuspectRow)| row.due <= now;
        let due: Vec<FingerprintHash> = self.rows.iter().filter(is_due).map(|r| *r.0).collect();
        for fingerprint in due {
            self.end_stage(fingerprint);
        }
    }

    /// Requests that run only alone and with a permit.
    pub fn suspects(&self) -> Vec<FingerprintHash> {
        self.select(|stage| stage != SuspectStage::Quarantined)
    }

    /// Requests that are refused.
    pub fn quarantined(&self) -> Vec<FingerprintHash> {
        self.select(|stage| stage == SuspectStage::Quarantined)
    }

    /// Everything recorded, for operators.
    pub fn rows(&self) -> impl Iterator<Item = (FingerprintHash, &SuspectRow)> {
        self.rows
            .iter()
            .map(|(fingerprint, row)| (*fingerprint, row))
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first broken invariant.
    pub fn verify(&self) -> Result<()> {
        for row in self.rows.values() {
            let may_run = row.stage != SuspectStage::Quarantined;
            ensure(row.due > self.now, "no stage is overdue")?;
            ensure(row.crashes > 0, "suspicion follows a crash")?;
            ensure(
                !may_run || row.crashes < CRASHES_TO_QUARANTINE,
                "a request that crashed often enough is quarantined",
            )?;
        }
        let max_counted = COUNTED_CRASHES_PER_REQUEST * self.limits.requests;
        ensure(
            self.counted_crashes.len() <= max_counted,
            "counted crashes are bounded",
        )?;
        ensure(
            self.rows.len() <= self.limits.requests,
            "requests are bounded",
        )
    }

    fn select(&self, wanted: impl Fn(SuspectStage) -> bool) -> Vec<FingerprintHash> {
        let rows = self.rows.iter().filter(|(_, row)| wanted(row.stage));
        rows.map(|(fingerprint, _)| *fingerprint).collect()
    }

    fn count_crash(&mut self, fingerprint: FingerprintHash, endpoint: EndpointId) {
        let crashes = self.rows.get(&fingerprint).map_or(0, |row| row.crashes) + 1;
        if crashes == 1 && !self.make_room() {
            return;
        }
        let row = if crashes >= CRASHES_TO_QUARANTINE {
            self.quarantine_row(crashes, endpoint)
        } else {
            self.suspect_row(crashes, endpoint)
        };
        self.rows.insert(fingerprint, row);
    }

    /// Ends the stage of a row that is due.
    fn end_stage(&mut self, fingerprint: FingerprintHash) {
        let Some(row) = self.rows.remove(&fingerprint) else {
            return;
        };
        let next = match row.stage {
            SuspectStage::Suspected => return,
            SuspectStage::OnTrial(_) => self.quarantine_row(row.crashes, row.endpoint),
            SuspectStage::Quarantined => self.suspect_row(CRASHES_AFTER_QUARANTINE, row.endpoint),
        };
        self.rows.insert(fingerprint, next);
    }

    fn quarantine_row(&self, crashes: u32, endpoint: EndpointId) -> SuspectRow {
        SuspectRow {
            stage: SuspectStage::Quarantined,
            crashes,
            endpoint,
            due: self.now + self.limits.quarantine,
        }
    }

    fn suspect_row(&self, crashes: u32, endpoint: EndpointId) -> SuspectRow {
        SuspectRow {
            stage: SuspectStage::Suspected,
            crashes,
            endpoint,
            due: self.now + self.limits.suspicion,
        }
    }

    /// Makes room for one more row by evicting a suspect. Returns false if every recorded request
    /// is quarantined or on trial.
    fn make_room(&mut self) -> bool {
        if self.rows.len() < self.limits.requests {
            return true;
        }
        let evictable = self
            .rows
            .iter()
            .filter(|(_, row)| row.stage == SuspectStage::Suspected);
        let first = evictable.min_by_key(|(fingerprint, row)| (row.due, **fingerprint));
        let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else {
            return false;
        };
        self.rows.remove(&fingerprint);
        true
    }
}
