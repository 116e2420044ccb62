//! The deterministic state machine behind the replicated log.

use std::collections::BTreeMap;
use std::time::Duration;

use claim::{ClaimTable, SuspectTable};
use fault::FaultKind;
use serde::{Deserialize, Serialize};
use settings::history::SettingsHistory;
use wire::codec::{self, CodecError};
use wire::command::{ControlCommand, ControlReply, StampedCommand};
use wire::id::{EndpointId, FenceNumber};

/// State that the control instances agree on. Equal logs give equal states.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// Every version of the settings.
    pub settings: SettingsHistory,
    /// Non-idempotent requests that were claimed.
    pub claims: ClaimTable,
    /// Requests that may crash endpoints.
    pub suspects: SuspectTable,
    /// Latest fencing number of each endpoint. Each number is issued once.
    fences: BTreeMap<EndpointId, FenceNumber>,
    /// Timestamp of the last command. Never decreases, even if the clock of a leader does or a new
    /// leader's clock is behind.
    time: Duration,
    /// Largest of `fences`.
    last_fence: FenceNumber,
}

impl ControlState {
    /// Applies the next command of the log.
    pub fn apply(&mut self, stamped: &StampedCommand) -> ControlReply {
        let time = self.time.max(stamped.time);
        self.time = time;
        self.claims.advance(time);
        self.suspects.advance(time);
        match &stamped.command {
            ControlCommand::ChangeSettings(change) => match self.settings.apply(change, time) {
                Ok(version) => ControlReply::SettingsAccepted(version),
                Err(fault) => ControlReply::Refused(fault),
            },
            ControlCommand::ClaimRequest(request) => self.claims.claim(time, request),
            ControlCommand::FinishClaim {
                claim,
                attempt,
                outcome,
                answer,
            } => self
                .claims
                .finish(time, claim, *attempt, *outcome, answer.clone()),
            ControlCommand::AbandonClaims { endpoint } => {
                self.claims.abandon(time, *endpoint);
                ControlReply::Recorded
            }
            ControlCommand::TakeFence { endpoint } => self.take_fence(*endpoint),
            ControlCommand::ReportCrash {
                endpoint,
                cache_epoch,
                suspects,
            } => self
                .suspects
                .report_crash(time, *endpoint, *cache_epoch, suspects),
            ControlCommand::ClearSuspect { fingerprint } => self.suspects.clear(time, *fingerprint),
            ControlCommand::TrySuspect {
                fingerprint,
                endpoint,
                attempt,
            } => self
                .suspects
                .try_suspect(time, *fingerprint, *endpoint, *attempt),
            ControlCommand::DropTrial {
                fingerprint,
                attempt,
            } => self.suspects.drop_trial(time, *fingerprint, *attempt),
            ControlCommand::LiftQuarantine { fingerprint } => {
                self.suspects.lift(time, *fingerprint)
            }
        }
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    /// The state can't be encoded.
    pub fn snapshot(&self) -> codec::Result<Vec<u8>> {
        codec::encode_state(self)
    }

    /// Decodes a state that [`Self::snapshot`] encoded.
    ///
    /// # Errors
    /// The bytes can't be decoded, or the state violates an invariant.
    pub fn restore(bytes: &[u8]) -> codec::Result<Self> {
        let state: Self = codec::decode_state(bytes)?;
        state
            .verify()
            .map_err(|reason| CodecError::Malformed { reason })?;
        Ok(state)
    }

    /// Checks the invariants.
    ///
    /// # Errors
    /// The first broken invariant.
    pub fn verify(&self) -> Result<(), String> {
        self.settings.verify()?;
        self.claims.verify().map_err(|fault| fault.to_string())?;
        self.suspects.verify().map_err(|fault| fault.to_string())?;
        if self.fences.values().any(|fence| *fence > self.last_fence) {
            return Err("a fencing number exceeds the last one taken".to_owned());
        }
        Ok(())
    }

    fn take_fence(&mut self, endpoint: EndpointId) -> ControlReply {
        let Some(fence) = self.last_fence.checked_add(1) else {
            return ControlReply::Refused(FaultKind::Internal.because("no fencing number is left"));
        };
        self.last_fence = fence;
        self.fences.insert(endpoint, fence);
        ControlReply::FenceTaken(fence)
    }
}
