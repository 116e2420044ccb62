//! The history of the settings as a deterministic state machine.
//!
//! Every control instance applies the same committed changes in the same order and so holds the
//! same history. Time comes in with the command; nothing here reads a clock.

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

/// Result of a change; the error is what the operator is told.
pub type Result<T> = fault::Result<T>;

/// Versions whose edits are kept for diff, rollback and the comparison of racing changes.
pub const MAX_RECORDS: usize = 5_000;
/// Edits of one change.
pub const MAX_EDITS: usize = 1_000;
/// Length of a change id in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 64;
/// Size of the tree as text, and of the edits of one change.
pub const MAX_TREE_BYTES: usize = 2 * 1024 * 1024;
/// Size of the edits of all records, there and back. The newest record is kept in any case.
pub const MAX_RECORD_BYTES: usize = 2 * 1024 * 1024;
/// Size of the message of a refused change.
const MAX_MESSAGE_BYTES: usize = 2 * 1024;
/// Change id of [`SettingsHistory::first_change`].
const FIRST_CHANGE_ID: &str = "first-tree";

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Version that the change made.
    pub version: SettingsVersion,
    /// Version that the operator saw; less than `version`.
    pub base: SettingsVersion,
    /// The operator's id of the change.
    pub change_id: String,
    /// Name of the operator.
    pub operator: String,
    /// Time of the leader that took the change, since the Unix epoch.
    pub time: Duration,
    /// The edits as sent.
    pub edits: Vec<SettingEdit>,
    /// The edits that lead back to the version before.
    pub undo: Vec<SettingEdit>,
}

impl ChangeRecord {
    /// Size of its edits, there and back.
    fn size(&self) -> usize {
        edits_size(&self.edits) + edits_size(&self.undo)
    }
}

/// Every version of the settings, as far back as records are kept.
///
/// The version only grows, by one with each accepted change. Version 0 is the empty tree before
/// the first change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsHistory {
    /// Version of `tree`; the version of the last record.
    version: SettingsVersion,
    /// The current tree. Passes every check, but for version 0.
    tree: SettingsTree,
    /// Consecutive versions, oldest first, at most [`MAX_RECORDS`] and, but for the newest, at
    /// most [`MAX_RECORD_BYTES`].
    records: VecDeque<ChangeRecord>,
    /// Size of the edits in `records`.
    record_bytes: usize,
    /// The first answer to each change id. Holds the id of every record.
    answers: AnswerTable,
}

impl SettingsHistory {
    /// The change that makes `tree` the first version. Equal trees give equal changes, so that
    /// every control instance may propose it; the first one committed is accepted.
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

    /// The accepted changes that are kept, oldest first.
    pub fn records(&self) -> impl DoubleEndedIterator<Item = &ChangeRecord> {
        self.records.iter()
    }

    /// Takes a committed change and answers it.
    ///
    /// A change id that was answered before gets the first answer again and changes nothing, also
    /// when the resend names another base.
    ///
    /// # Errors
    /// `VersionConflict` when the same branches changed since the base version, with what changed;
    /// `InvalidSettings` with every fault; `KeyConflict` when the change id belongs to another
    /// change; `MalformedRequest` when a limit is exceeded.
    pub fn apply(&mut self, change: &SettingsChange, time: Duration) -> Result<SettingsVersion> {
        check_request(change)?;
        if let Some(answer) = self.answers.replay(change) {
            return answer;
        }
        let decision = self.apply_edits(change);
        let answer = match decision {
            Ok(undo) => ChangeAnswer::Accepted(self.commit(change, undo, time)),
            Err(fault) => ChangeAnswer::Refused(truncated(fault)),
        };
        self.answers.record(change, answer.clone());
        answer.into_result()
    }

    /// The tree of an earlier version; `None` when it is no longer kept or does not exist.
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

    /// The edits that lead from one version to another, in either direction. To roll back, send
    /// those from the current version to the one wanted as a new change.
    pub fn diff(&self, from: SettingsVersion, to: SettingsVersion) -> Option<Vec<SettingEdit>> {
        let before = self.tree_at(from)?;
        let after = self.tree_at(to)?;
        Some(before.diff(&after))
    }

    /// What an instance at version `held` needs to reach the current version.
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

    /// Re-checks every invariant.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    pub fn verify(&self) -> std::result::Result<(), String> {
        let newest = self.records.back().map_or(0, |record| record.version);
        ensure(newest == self.version, "the last record is not the version")?;
        ensure(self.records.len() <= MAX_RECORDS, "too many records")?;
        let bytes: usize = self.records.iter().map(ChangeRecord::size).sum();
        ensure(bytes == self.record_bytes, "the records' size is wrong")?;
        let is_small = bytes <= MAX_RECORD_BYTES || self.records.len() == 1;
        ensure(is_small, "the records are too large")?;
        let mut expected = self.oldest();
        for record in &self.records {
            expected += 1;
            ensure(record.version == expected, "records are not consecutive")?;
            ensure(record.base < record.version, "a base is not older")?;
            let answer = self.answers.accepted(&record.change_id);
            ensure(answer == Some(record.version), "a record has no answer")?;
        }
        if self.version > 0 {
            let checked = self.tree.resolve(self.version);
            ensure(checked.is_ok(), "the tree does not pass its checks")?;
        }
        self.verify_replay()?;
        self.answers.verify(self.version)
    }

    fn verify_replay(&self) -> std::result::Result<(), String> {
        let oldest = self.tree_at(self.oldest()).ok_or("undo does not apply")?;
        let mut tree = oldest;
        for record in &self.records {
            tree.edit(&record.edits)
                .map_err(|_| "a record does not apply")?;
        }
        ensure(tree == self.tree, "the records do not lead to the tree")
    }

    /// Changes the tree, or leaves it as it is; returns the edits that undo the change.
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

    /// Refuses a change that was based on something that is not so any more.
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

    fn commit(
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

    /// The oldest version whose tree can be rebuilt.
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

/// The fault that reports every fault of a tree.
pub fn invalid(faults: Vec<SettingFault>) -> Fault {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    FaultKind::InvalidSettings.because(lines.join("\n"))
}

/// Cuts a long message at a line, so that recorded answers stay small.
fn truncated(mut fault: Fault) -> Fault {
    if fault.message.len() <= MAX_MESSAGE_BYTES {
        return fault;
    }
    let mut kept = String::new();
    let lines: Vec<&str> = fault.message.lines().collect();
    let mut count = 0;
    for line in &lines {
        if kept.len() + line.len() + 1 > MAX_MESSAGE_BYTES {
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
