//! The settings that an entry or an agent holds, and their lease.
//!
//! A holder starts without settings after every start of its process. The first settings come
//! into force when a quorum has confirmed their version: a control instance that was cut off for
//! long can send an old tree, but can confirm nothing. From then on the version only grows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::{Display, Error};
use fault::FaultKind;
use wire::id::SettingsVersion;
use wire::message::SettingsUpdate;

use crate::fleet::FleetSettings;
use crate::policy::StaleKind;
use crate::tree::{SettingFault, SettingsTree};

/// Result of an update.
pub type Result<T> = std::result::Result<T, HolderError>;

/// Why an update is not applied although it is newer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HolderError {
    /// The update builds on a version that is not held; the sender must send the whole tree.
    #[display("version {held} is held, the update needs version {from}")]
    MissingBase {
        /// Version held.
        held: SettingsVersion,
        /// Version that the update builds on.
        from: SettingsVersion,
    },
    /// The update makes no valid tree.
    #[display("version {version} is not valid: {first}")]
    Invalid {
        /// Version of the update.
        version: SettingsVersion,
        /// The first fault.
        first: SettingFault,
    },
}

/// What an update did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// This version is in force now; it was not before.
    InForce(SettingsVersion),
    /// The version is held, and comes into force when a quorum confirms it.
    Pending(SettingsVersion),
    /// The version in force is confirmed; its lease is renewed.
    Renewed,
    /// The update is older than what is held and changed nothing.
    Outdated,
}

/// State of the settings lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// No settings are in force yet.
    Missing,
    /// The settings in force are confirmed recently enough.
    Current,
    /// No confirmation came within the lease.
    Lapsed,
}

/// Settings with the tree that deltas apply to.
#[derive(Clone, Debug)]
struct HeldVersion {
    tree: SettingsTree,
    fleet: Arc<FleetSettings>,
}

/// The settings of one process.
#[derive(Clone, Debug, Default)]
pub struct SettingsHolder {
    /// Newest version received.
    held: Option<HeldVersion>,
    /// When a quorum last confirmed a version of this holder. `None` means that nothing is in
    /// force. Never decreases.
    confirmed_at: Option<Instant>,
}

impl SettingsHolder {
    /// Version held, to be reported in heartbeats once in force; 0 before.
    pub fn version(&self) -> SettingsVersion {
        self.fleet().map_or(0, |fleet| fleet.version)
    }

    /// The settings in force.
    pub fn fleet(&self) -> Option<&Arc<FleetSettings>> {
        self.confirmed_at?;
        self.held.as_ref().map(|held| &held.fleet)
    }

    /// Applies an update from control that arrived at `now`.
    ///
    /// # Errors
    /// When the whole tree is needed; the version held stays in force.
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

    /// Time left of the lease at `now`; zero when it has lapsed or nothing is in force.
    pub fn lease_remaining(&self, now: Instant) -> Duration {
        let (Some(confirmed_at), Some(fleet)) = (self.confirmed_at, self.fleet()) else {
            return Duration::ZERO;
        };
        let age = now.saturating_duration_since(confirmed_at);
        fleet.settings_lease.saturating_sub(age)
    }

    /// Whether new work of `service` may start at `now`.
    ///
    /// # Errors
    /// `SettingsStale` without settings, or past the lease when the service's branch says
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
