//! The deterministic state machine behind the replicated log.

use std::collections::HashMap;

use fault::FaultKind;
use settings::{FleetSettings, SettingsTree};
use wire::command::{ControlCommand, ControlReply, SettingsChange, StampedCommand};
use wire::id::SettingsVersion;

/// State that the control instances agree on. Equal logs give equal states.
#[derive(Clone, Debug, Default)]
pub struct ControlState {
    /// Version in force; grows by one with each accepted change.
    pub version: SettingsVersion,
    /// Tree in force; always resolves without faults.
    pub tree: SettingsTree,
    /// The tree, resolved.
    pub fleet: FleetSettings,
    /// First answers of settings changes, by change id.
    answers: HashMap<String, ControlReply>,
}

impl ControlState {
    /// A state whose first version is `tree`.
    ///
    /// # Errors
    /// Every fault of the tree.
    pub fn first(tree: SettingsTree) -> settings::tree::Result<Self> {
        let fleet = tree.resolve(1)?;
        Ok(Self {
            version: 1,
            tree,
            fleet,
            answers: HashMap::new(),
        })
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, stamped: &StampedCommand) -> ControlReply {
        match &stamped.command {
            ControlCommand::ChangeSettings(change) => self.change_settings(change),
            other => {
                let message = format!("{other:?} is not supported");
                ControlReply::Refused(FaultKind::Internal.because(message))
            }
        }
    }

    fn change_settings(&mut self, change: &SettingsChange) -> ControlReply {
        if let Some(answer) = self.answers.get(&change.change_id) {
            return answer.clone();
        }
        let reply = self.try_change(change);
        self.answers.insert(change.change_id.clone(), reply.clone());
        reply
    }

    fn try_change(&mut self, change: &SettingsChange) -> ControlReply {
        if change.base != self.version {
            let message = format!("based on version {}, now {}", change.base, self.version);
            return ControlReply::Refused(FaultKind::VersionConflict.because(message));
        }
        let version = self.version + 1;
        let checked = self.tree.edited(&change.edits);
        let checked = checked.and_then(|tree| Ok((tree.resolve(version)?, tree)));
        match checked {
            Ok((fleet, tree)) => {
                (self.version, self.tree, self.fleet) = (version, tree, fleet);
                ControlReply::SettingsAccepted(version)
            }
            Err(faults) => {
                let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
                ControlReply::Refused(FaultKind::InvalidSettings.because(texts.join("; ")))
            }
        }
    }
}
