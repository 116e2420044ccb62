//! The history of the settings as a deterministic state machine.
//!
//! Every control instance applies the same committed changes in the same order, and therefore has
//! the same history. The time of a change is part of the command; no code here reads a clock.

use std::collections::VecDeque;
use std::time::Duration;

use fault::{Fault, FaultKind};
use serde::{Deserialize, Serialize};
use wire::command::{SettingEdit, SettingsChange};
use wire::id::SettingsVersion;
use wire::message::SettingsUpdate;

use crate::answer::{AnswerTable, ChangeAnswer};
use crate::diff::edit_line;
use crate::fleet::FleetSettings;
use crate::overlap::BranchSet;
use crate::tree::{SettingFault, SettingsTree};

/// Result of a change; the error is returned to the operator.
pub type Result<T> = fault::Result<T>;

/// Maximum number of versions whose edits are kept for diffs, rollbacks and conflict detection.
pub const MAX_RECORDS: usize = 5_000;
/// Maximum number of edits in one change.
pub const MAX_EDITS: usize = 1_000;
/// Maximum length of a change id in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 64;
/// Maximum size in bytes of the tree as text, and of the edits of one change.
pub const MAX_TREE_BYTES: usize = 2 * 1024 * 1024;
/// Maximum size in bytes of the edits and undo edits in all records. The newest record is kept
/// even if it alone is larger.
pub const MAX_RECORD_BYTES: usize = 2 * 1024 * 1024;
/// Maximum size in bytes of the stored message of a refused change, without the final note of how
/// many lines were left out.
const MAX_FAULT_MESSAGE_BYTES: usize = 2 * 1024;
/// Change id of [`SettingsHistory::first_change`].
const FIRST_CHANGE_ID: &str = "first-tree";

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Version that the change created.
    pub version: SettingsVersion,
    /// Version that the change is based on; less than `version`.
    pub base: SettingsVersion,
    /// Id of the change, chosen by the operator's client.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time of the change by the leader's clock, since the Unix epoch.
    pub time: Duration,
    /// The edits as sent.
    pub edits: Vec<SettingEdit>,
    /// The edits that restore the previous version.
    pub undo: Vec<SettingEdit>,
}

impl ChangeRecord {
    /// Size of the edits and undo edits in bytes.
    fn size(&self) -> usize {
        edits_size(&self.edits) + edits_size(&self.undo)
    }
}

/// The current settings and the changes that led to them, as far back as records are kept.
///
/// Each accepted change increments the version by one. Version 0 is the empty tree before the
/// first change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsHistory {
    /// Version of `tree`, and of the newest record.
    version: SettingsVersion,
    /// The current tree. Passes all checks, except at version 0.
    tree: SettingsTree,
    /// Records of consecutive versions, oldest first: at most [`MAX_RECORDS`], and at most
    /// [`MAX_RECORD_BYTES`] unless there is only one.
    records: VecDeque<ChangeRecord>,
    /// Total size of the edits and undo edits in `records`.
    record_bytes: usize,
    /// The first answer to each change id. Contains the change id of every record.
    answers: AnswerTable,
}

impl SettingsHistory {
    /// The change that creates version 1 from `tree`. Equal trees give equal changes, so every
    /// control instance can propose it; the first to be committed is accepted, and the others
    /// count as resends.
    pub fn first_change(tree: &SettingsTree) -> SettingsChange {
        SettingsChange {
            change_id: FIRST_CHANGE_ID.to_owned(),
            base: 0,
            operator: String::new(),
            edits: SettingsTree::default().diff(tree),
        }
    }

    /// Current version; 0 before the first change.
    pub fn version(&self) -> SettingsVersion {
        self.version
    }

    /// Current tree.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// Current settings with inheritance resolved; `None` before the first change.
    pub fn resolved(&self) -> Option<FleetSettings> {
        if self.version == 0 {
            return None;
        }
        self.tree.resolve(self.version).ok()
    }

    /// The records of accepted changes that are still kept, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &ChangeRecord> {
        self.records.iter()
    }

    /// Applies a committed change.
    ///
    /// A resend of an earlier change id returns the first answer again and has no effect, even if
    /// the resend has another base version.
    ///
    /// # Errors
    /// `VersionConflict` if the same branches changed since the base version, with the conflicting
    /// edits, or if the base version does not exist or is no longer kept; `InvalidSettings` with
    /// every fault, or if the tree would exceed [`MAX_TREE_BYTES`]; `KeyConflict` if the change id
    /// belongs to another change; `MalformedRequest` if the change id is malformed, or the change
    /// has no edits, too many edits or too large ones.
    pub fn apply(&mut self, change: &SettingsChange, time: Duration) -> Result<SettingsVersion> {
        check_request(change)?;
        if let Some(answer) = self.answers.replay(change) {
            return answer;
        }
        let decision = self.apply_edits(change);
        let answer = match decision {
            Ok(undo) => ChangeAnswer::Accepted(self.append_record(change, undo, time)),
            Err(fault) => ChangeAnswer::Refused(truncated(fault)),
        };
        self.answers.record(change, answer.clone());
        answer.into_result()
    }

    /// The tree at `version`; `None` if the version is no longer kept or does not exist.
    pub fn tree_at(&self, version: SettingsVersion) -> Option<SettingsTree> {
        if version > self.version || version < self.oldest() {
            return None;
        }
        let mut tree = self.tree.clone();
        let later = self.records.iter().rev();
        for record in later.take_while(|record| record.version > version) {
            tree.edit(&record.undo).ok()?;
        }
        Some(tree)
    }

    /// The edits that lead from one version to another, in either direction. A rollback is a new
    /// change with the edits from the current version to an earlier one.
    pub fn diff(&self, from: SettingsVersion, to: SettingsVersion) -> Option<Vec<SettingEdit>> {
        let before = self.tree_at(from)?;
        let after = self.tree_at(to)?;
        Some(before.diff(&after))
    }

    /// The update for an instance at version `held`: a confirmation if it is current, the edits
    /// since then if they are known and smaller than the tree, or else the full tree. An instance
    /// without settings is at version 0 and gets the full tree.
    pub fn update_since(&self, held: SettingsVersion) -> SettingsUpdate {
        let version = self.version;
        if held == version {
            return SettingsUpdate::Confirmed { version };
        }
        let text = self.tree.to_text();
        match self.edits_since(held) {
            Some(edits) if held > 0 && edits_size(&edits) < text.len() => SettingsUpdate::Delta {
                from: held,
                version,
                edits,
            },
            _ => SettingsUpdate::Full { version, text },
        }
    }

    /// Checks all invariants.
    ///
    /// # Errors
    /// The first invariant that is violated.
    pub fn verify(&self) -> std::result::Result<(), String> {
        let newest = self.records.back().map_or(0, |record| record.version);
        ensure(
            newest == self.version,
            "the newest record does not have the current version",
        )?;
        ensure(self.records.len() <= MAX_RECORDS, "too many records")?;
        let bytes: usize = self.records.iter().map(ChangeRecord::size).sum();
        ensure(
            bytes == self.record_bytes,
            "the recorded size of the records is wrong",
        )?;
        let is_small = bytes <= MAX_RECORD_BYTES || self.records.len() == 1;
        ensure(is_small, "the records exceed their size limit")?;
        let mut expected = self.oldest();
        for record in &self.records {
            expected += 1;
            ensure(record.version == expected, "records are not consecutive")?;
            ensure(
                record.base < record.version,
                "the base of a record is not older",
            )?;
            let answer = self.answers.accepted(&record.change_id);
            ensure(
                answer == Some(record.version),
                "a record has no matching answer",
            )?;
        }
        if self.version > 0 {
            let checked = self.tree.resolve(self.version);
            ensure(checked.is_ok(), "the tree does not pass its checks")?;
        }
        self.verify_replay()?;
        self.answers.verify(self.version)
    }

    fn verify_replay(&self) -> std::result::Result<(), String> {
        let oldest = self
            .tree_at(self.oldest())
            .ok_or("the undo edits of a record do not apply")?;
        let mut tree = oldest;
        for record in &self.records {
            tree.edit(&record.edits)
                .map_err(|_| "the edits of a record do not apply")?;
        }
        ensure(
            tree == self.tree,
            "replaying the records does not give the current tree",
        )
    }

    /// Applies the edits to the tree and returns the undo edits. On an error, the tree is
    /// unchanged.
    fn apply_edits(&mut self, change: &SettingsChange) -> Result<Vec<SettingEdit>> {
        self.check_base(change)?;
        let undo = self.tree.edit(&change.edits).map_err(invalid)?;
        if let Err(fault) = self.check_tree() {
            let restored = self.tree.edit(&undo);
            debug_assert!(restored.is_ok(), "a change can be undone");
            return Err(fault);
        }
        Ok(undo)
    }

    fn check_tree(&self) -> Result<()> {
        self.tree.resolve(self.version + 1).map_err(invalid)?;
        if self.tree.to_text().len() > MAX_TREE_BYTES {
            let message = format!("the tree would exceed {MAX_TREE_BYTES} bytes");
            return Err(FaultKind::InvalidSettings.because(message));
        }
        Ok(())
    }

    /// Refuses a change if its base version does not exist or is no longer kept, or if the same
    /// branches have changed since that version.
    fn check_base(&self, change: &SettingsChange) -> Result<()> {
        let current = self.version;
        let base = change.base;
        if base > current {
            let message = format!("base version {base} does not exist; version {current} is last");
            return Err(FaultKind::VersionConflict.because(message));
        }
        if base < self.oldest() {
            let message = format!("base version {base} is too old; version {current} is current");
            return Err(FaultKind::VersionConflict.because(message));
        }
        let branches = BranchSet::of(&change.edits);
        let since = self.records.iter().filter(|record| record.version > base);
        let conflicts: Vec<&ChangeRecord> = since
            .filter(|record| branches.overlaps(&BranchSet::of(&record.edits)))
            .collect();
        if conflicts.is_empty() {
            return Ok(());
        }
        Err(FaultKind::VersionConflict.because(conflict_message(base, current, &conflicts)))
    }

    fn append_record(
        &mut self,
        change: &SettingsChange,
        undo: Vec<SettingEdit>,
        time: Duration,
    ) -> SettingsVersion {
        self.version += 1;
        let record = ChangeRecord {
            version: self.version,
            base: change.base,
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
            time,
            edits: change.edits.clone(),
            undo,
        };
        self.record_bytes += record.size();
        self.records.push_back(record);
        self.drop_old_records();
        debug_assert!(change.base < self.version);
        self.version
    }

    fn drop_old_records(&mut self) {
        while self.records.len() > 1 {
            let is_full = self.records.len() > MAX_RECORDS || self.record_bytes > MAX_RECORD_BYTES;
            if !is_full {
                break;
            }
            let oldest = self.records.pop_front();
            self.record_bytes -= oldest.map_or(0, |record| record.size());
        }
    }

    /// The oldest version whose tree can still be reconstructed.
    fn oldest(&self) -> SettingsVersion {
        self.version - self.records.len() as u64
    }

    fn edits_since(&self, held: SettingsVersion) -> Option<Vec<SettingEdit>> {
        if held > self.version || held < self.oldest() {
            return None;
        }
        let since = self.records.iter().filter(|record| record.version > held);
        Some(since.flat_map(|record| record.edits.clone()).collect())
    }
}

fn check_request(change: &SettingsChange) -> Result<()> {
    let id = &change.change_id;
    let is_id = !id.is_empty()
        && id.len() <= MAX_CHANGE_ID_BYTES
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    if !is_id {
        let message = format!("a change id is 1 to {MAX_CHANGE_ID_BYTES} visible ASCII characters");
        return Err(FaultKind::MalformedRequest.because(message));
    }
    if change.edits.is_empty() {
        return Err(FaultKind::MalformedRequest.because("the change has no edits"));
    }
    if change.edits.len() > MAX_EDITS {
        let message = format!("a change has at most {MAX_EDITS} edits");
        return Err(FaultKind::MalformedRequest.because(message));
    }
    if edits_size(&change.edits) > MAX_TREE_BYTES {
        let message = format!("the edits exceed {MAX_TREE_BYTES} bytes");
        return Err(FaultKind::MalformedRequest.because(message));
    }
    Ok(())
}

fn edits_size(edits: &[SettingEdit]) -> usize {
    let sizes = edits
        .iter()
        .map(|edit| edit.path.len() + edit.value.as_ref().map_or(0, String::len));
    sizes.sum()
}

fn conflict_message(
    base: SettingsVersion,
    current: SettingsVersion,
    conflicts: &[&ChangeRecord],
) -> String {
    let mut message =
        format!("the same branches changed since version {base}; version {current} is current");
    for record in conflicts {
        for edit in &record.edits {
            let line = edit_line(edit);
            let (version, operator) = (record.version, &record.operator);
            message.push_str(&format!("\nversion {version} by {operator}: {line}"));
        }
    }
    message
}

/// Combines all faults of a tree into one `InvalidSettings` fault.
pub fn invalid(faults: Vec<SettingFault>) -> Fault {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    FaultKind::InvalidSettings.because(lines.join("\n"))
}

/// Truncates a long message at a line break, because the answer is stored in the history.
fn truncated(mut fault: Fault) -> Fault {
    if fault.message.len() <= MAX_FAULT_MESSAGE_BYTES {
        return fault;
    }
    let mut kept = String::new();
    let lines: Vec<&str> = fault.message.lines().collect();
    let mut count = 0;
    for line in &lines {
        if kept.len() + line.len() + 1 > MAX_FAULT_MESSAGE_BYTES {
            break;
        }
        kept.push_str(line);
        kept.push('\n');
        count += 1;
    }
    kept.push_str(&format!("and {} more", lines.len() - count));
    fault.message = kept;
    fault
}

fn ensure(condition: bool, message: &str) -> std::result::Result<(), String> {
    if condition {
        Ok(())
    } else {
        Err(message.to_owned())
    }
}
