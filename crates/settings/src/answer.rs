//! Deduplication of changes: stores the first answer to each change id, which is returned for
//! resends.

use std::collections::{BTreeMap, VecDeque};

use fault::{Fault, FaultKind};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use wire::command::SettingsChange;
use wire::id::SettingsVersion;

use crate::history::{MAX_RECORDS, Result};

/// Maximum number of accepted changes whose ids are stored. It is larger than [`MAX_RECORDS`], so
/// that an id is kept longer than the record of its version. A change whose base version is older
/// than the records is refused, so a resend with the original base is never applied again.
pub(crate) const MAX_ACCEPTED_IDS: usize = 20_000;
/// Maximum number of refused changes whose ids are stored.
pub(crate) const MAX_REFUSED_IDS: usize = 500;

const _: () = assert!(MAX_ACCEPTED_IDS > MAX_RECORDS);

/// Digest of the operator and the edits of a change. The base version is left out, so that a script
/// that reads the current version again before a resend still gets the first answer.
type ChangeDigest = [u8; 16];

/// Answer to a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ChangeAnswer {
    /// Accepted as this version.
    Accepted(SettingsVersion),
    /// Refused with this fault; the tree is unchanged.
    Refused(Fault),
}

impl ChangeAnswer {
    pub(crate) fn into_result(self) -> Result<SettingsVersion> {
        match self {
            Self::Accepted(version) => Ok(version),
            Self::Refused(fault) => Err(fault),
        }
    }
}

/// A stored answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct AnswerRecord {
    /// Digest of the change.
    digest: ChangeDigest,
    /// The first answer.
    answer: ChangeAnswer,
}

/// Bounded table of answers by change id. Accepted and refused changes have separate limits, so
/// that refused changes cannot evict accepted ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct AnswerTable {
    /// Contains exactly the ids in the two queues.
    answers: BTreeMap<String, AnswerRecord>,
    /// Ids of accepted changes, oldest first, at most [`MAX_ACCEPTED_IDS`].
    accepted: VecDeque<String>,
    /// Ids of refused changes, oldest first, at most [`MAX_REFUSED_IDS`].
    refused: VecDeque<String>,
}

impl AnswerTable {
    /// The first answer to the change id, or a conflict if the id belongs to another change; `None`
    /// for a new id.
    pub(crate) fn replay(&self, change: &SettingsChange) -> Option<Result<SettingsVersion>> {
        let record = self.answers.get(&change.change_id)?;
        if record.digest != digest_of(change) {
            let message = "this change id belongs to another change; choose a new one";
            return Some(Err(FaultKind::KeyConflict.because(message)));
        }
        Some(record.answer.clone().into_result())
    }

    /// Stores the first answer to a change. If there are then too many accepted or refused changes,
    /// the oldest one of that kind is evicted.
    pub(crate) fn record(&mut self, change: &SettingsChange, answer: ChangeAnswer) {
        let (queue, limit) = match answer {
            ChangeAnswer::Accepted(_) => (&mut self.accepted, MAX_ACCEPTED_IDS),
            ChangeAnswer::Refused(_) => (&mut self.refused, MAX_REFUSED_IDS),
        };
        queue.push_back(change.change_id.clone());
        if queue.len() > limit
            && let Some(oldest) = queue.pop_front()
        {
            self.answers.remove(&oldest);
        }
        let record = AnswerRecord {
            digest: digest_of(change),
            answer,
        };
        let earlier = self.answers.insert(change.change_id.clone(), record);
        debug_assert!(earlier.is_none(), "a change id is answered once");
    }

    /// The version that an accepted change created.
    pub(crate) fn accepted(&self, change_id: &str) -> Option<SettingsVersion> {
        match self.answers.get(change_id)?.answer {
            ChangeAnswer::Accepted(version) => Some(version),
            ChangeAnswer::Refused(_) => None,
        }
    }

    /// Checks the invariants, given the current version.
    pub(crate) fn verify(&self, current: SettingsVersion) -> std::result::Result<(), String> {
        if self.answers.len() != self.accepted.len() + self.refused.len() {
            return Err("the answers do not match the queues of change ids".to_owned());
        }
        if self.accepted.len() > MAX_ACCEPTED_IDS || self.refused.len() > MAX_REFUSED_IDS {
            return Err("the answers exceed their limit".to_owned());
        }
        let mut previous = 0;
        for id in &self.accepted {
            let version = self
                .accepted(id)
                .ok_or("an accepted change id has no version")?;
            if version <= previous || version > current {
                return Err("the versions of accepted changes do not increase".to_owned());
            }
            previous = version;
        }
        Ok(())
    }
}

fn digest_of(change: &SettingsChange) -> ChangeDigest {
    let mut hasher = Sha256::new();
    update_text(&mut hasher, &change.operator);
    for edit in &change.edits {
        update_text(&mut hasher, &edit.path);
        match &edit.value {
            None => hasher.update([0]),
            Some(value) => {
                hasher.update([1]);
                update_text(&mut hasher, value);
            }
        }
    }
    let hash = hasher.finalize();
    let mut digest = ChangeDigest::default();
    digest.copy_from_slice(&hash[..size_of::<ChangeDigest>()]);
    digest
}

/// Hashes a string with its length as a prefix, so that different lists of strings cannot give the
/// same input.
fn update_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_be_bytes());
    hasher.update(text.as_bytes());
}
