//! The local copy of the settings in an entry or an agent, and its lease.
//!
//! The copy is not persistent: each process starts without settings. Settings first come into
//! force when a quorum confirms the version received, because a control instance that has been
//! partitioned for a long time can send an outdated tree but cannot confirm it. After that, newer
//! versions come into force as they arrive, and the version never decreases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use fault::FaultKind;
use wire::id::SettingsVersion;
use wire::message::SettingsUpdate;

use crate::fleet::FleetSettings;
use crate::policy::StaleKind;
use crate::tree::{SettingFault, SettingsTree};

/// Result of applying an update.
pub type Result<T> = std::result::Result<T, HolderError>;

/// Why an update that is newer than the local copy was not applied.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HolderError {
    /// The update is based on a version other than the local one, or confirms a newer one; the
    /// sender must send the full tree.
    #[display("the update needs base version {from}, but the local version is {held}")]
    MissingBase {
        /// Version of the local copy.
        held: SettingsVersion,
        /// Version that the update is based on or confirms.
        from: SettingsVersion,
    },
    /// Applying the update does not give a valid tree.
    #[display("settings version {version} is not valid: {first}")]
    Invalid {
        /// Version of the update.
        version: SettingsVersion,
        /// The first fault.
        first: SettingFault,
    },
}

/// Effect of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// This version has just come into force.
    InForce(SettingsVersion),
    /// The version is stored, and comes into force when a quorum confirms it.
    Pending(SettingsVersion),
    /// The version in force was confirmed, which renews the lease.
    Renewed,
    /// The update is not newer than the local copy and had no effect.
    Outdated,
}

/// State of the settings lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// No settings are in force yet.
    Missing,
    /// The last confirmation is not older than the lease.
    Current,
    /// The last confirmation is older than the lease.
    Lapsed,
}

/// Resolved settings, with the tree that later deltas are applied to.
#[derive(Clone, Debug)]
struct HeldVersion {
    tree: SettingsTree,
    fleet: Arc<FleetSettings>,
}

/// The local copy of the settings in one process.
#[derive(Clone, Debug, Default)]
pub struct SettingsHolder {
    /// Newest version received.
    held: Option<HeldVersion>,
    /// When a quorum last confirmed the version that was held at that time; never decreases. `None`
    /// means that no settings are in force.
    confirmed_at: Option<Instant>,
}

impl SettingsHolder {
    /// Version in force, as reported in heartbeats; 0 while none is in force.
    pub fn version(&self) -> SettingsVersion {
        self.fleet().map_or(0, |fleet| fleet.version)
    }

    /// The settings in force.
    pub fn fleet(&self) -> Option<&Arc<FleetSettings>> {
        self.confirmed_at?;
        self.held.as_ref().map(|held| &held.fleet)
    }

    /// Applies an update that arrived from a control instance at `now`.
    ///
    /// # Errors
    /// The update is based on another version or is not valid. The local copy is unchanged.
    pub fn apply(&mut self, update: &SettingsUpdate, now: Instant) -> Result<UpdateOutcome> {
        match update {
            SettingsUpdate::Full { version, text } => {
                if *version <= self.held_version() {
                    return Ok(UpdateOutcome::Outdated);
                }
                let tree = SettingsTree::parse(text).map_err(|list| invalid(*version, list))?;
                self.hold(*version, tree)
            }
            SettingsUpdate::Delta {
                from,
                version,
                edits,
            } => {
                let held = self.held_version();
                if *version <= held {
                    return Ok(UpdateOutcome::Outdated);
                }
                let base = self.held.as_ref().filter(|_| held == *from);
                let base = base.ok_or(HolderError::MissingBase { held, from: *from })?;
                let tree = base
                    .tree
                    .edited(edits)
                    .map_err(|list| invalid(*version, list))?;
                self.hold(*version, tree)
            }
            SettingsUpdate::Confirmed { version } => self.confirm(*version, now),
        }
    }

    /// State of the lease at `now`.
    pub fn lease_state(&self, now: Instant) -> LeaseState {
        let (Some(confirmed_at), Some(fleet)) = (self.confirmed_at, self.fleet()) else {
            return LeaseState::Missing;
        };
        if now.saturating_duration_since(confirmed_at) <= fleet.settings_lease {
            LeaseState::Current
        } else {
            LeaseState::Lapsed
        }
    }

    /// Remaining time of the lease at `now`; zero if it has lapsed or no settings are in force.
    pub fn lease_remaining(&self, now: Instant) -> Duration {
        let (Some(confirmed_at), Some(fleet)) = (self.confirmed_at, self.fleet()) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(confirmed_at);
        fleet.settings_lease.saturating_sub(age)
    }

    /// Checks that new requests to `service` may start at `now`.
    ///
    /// # Errors
    /// `SettingsStale` if no settings are in force, or if the lease has lapsed and the service has
    /// `when_stale = "step-out"`.
    pub fn check_lease(&self, service: &str, now: Instant) -> fault::Result<()> {
        let Some(fleet) = self.fleet() else {
            let message = "no settings are in force yet";
            return Err(FaultKind::SettingsStale.because(message));
        };
        let found = fleet.services.get(service);
        let policy = found.map_or(&fleet.policy, |service| &service.policy);
        let is_lapsed = self.lease_state(now) == LeaseState::Lapsed;
        if is_lapsed && policy.when_stale == StaleKind::StepOut {
            let message = "the settings lease has lapsed and this service steps out";
            return Err(FaultKind::SettingsStale.because(message));
        }
        Ok(())
    }

    fn held_version(&self) -> SettingsVersion {
        self.held.as_ref().map_or(0, |held| held.fleet.version)
    }

    fn hold(&mut self, version: SettingsVersion, tree: SettingsTree) -> Result<UpdateOutcome> {
        let fleet = tree
            .resolve(version)
            .map_err(|list| invalid(version, list))?;
        debug_assert!(version > self.held_version());
        self.held = Some(HeldVersion {
            tree,
            fleet: Arc::new(fleet),
        });
        if self.confirmed_at.is_some() {
            Ok(UpdateOutcome::InForce(version))
        } else {
            Ok(UpdateOutcome::Pending(version))
        }
    }

    fn confirm(&mut self, version: SettingsVersion, now: Instant) -> Result<UpdateOutcome> {
        let held = self.held_version();
        if version > held {
            let from = version;
            return Err(HolderError::MissingBase { held, from });
        }
        if version < held {
            return Ok(UpdateOutcome::Outdated);
        }
        let is_first = self.confirmed_at.is_none();
        let latest = self.confirmed_at.map_or(now, |earlier| earlier.max(now));
        self.confirmed_at = Some(latest);
        if is_first {
            Ok(UpdateOutcome::InForce(version))
        } else {
            Ok(UpdateOutcome::Renewed)
        }
    }
}

fn invalid(version: SettingsVersion, mut faults: Vec<SettingFault>) -> HolderError {
    let first = faults.remove(0);
    HolderError::Invalid { version, first }
}
