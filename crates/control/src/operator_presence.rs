//! Which entries and agents were heard of, and with which settings.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use watch::InstanceRole;
use watch::status::InstanceStatus;
use wire::id::{IncarnationNumber, InstanceId, SettingsVersion};
use wire::member::{AgentHeartbeat, EntryHeartbeat};

/// Silence after which an instance is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// One instance.
#[derive(Clone, Debug, PartialEq)]
struct PresenceRow {
    name: String,
    /// Never decreases.
    incarnation: IncarnationNumber,
    settings: SettingsVersion,
    heard: Instant,
}

/// The entries and agents that were heard of lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PresenceTable {
    rows: BTreeMap<(u8, InstanceId), PresenceRow>,
}

impl PresenceTable {
    /// Takes the heartbeat of an entry.
    pub fn note_entry(&mut self, beat: &EntryHeartbeat, now: Instant) {
        let key = (InstanceRole::Entry as u8, beat.instance);
        let row = PresenceRow {
            name: beat.name.clone(),
            incarnation: beat.incarnation,
            settings: beat.settings,
            heard: now,
        };
        self.note(key, row);
    }

    /// Takes the heartbeat of an agent. It has the name of its endpoint.
    pub fn note_agent(&mut self, beat: &AgentHeartbeat, now: Instant) {
        let key = (InstanceRole::Agent as u8, beat.endpoint);
        let known = self.rows.get(&key).map(|row| row.name.clone());
        let name = beat.record.as_ref().map(|record| record.name.clone());
        let Some(name) = name.or(known) else { return };
        let row = PresenceRow {
            name,
            incarnation: beat.incarnation,
            settings: beat.settings,
            heard: now,
        };
        self.note(key, row);
    }

    /// The instances, entries first, by name.
    pub fn instances(&mut self, now: Instant) -> Vec<InstanceStatus> {
        let silence = |row: &PresenceRow| now.saturating_duration_since(row.heard);
        self.rows.retain(|_, row| silence(row) < FORGET_AFTER);
        let mut found: Vec<(u8, InstanceStatus)> = self
            .rows
            .iter()
            .map(|((role, _), row)| (*role, status_of(*role, row, silence(row))))
            .collect();
        found.sort_by(|left, right| (left.0, &left.1.name).cmp(&(right.0, &right.1.name)));
        found.into_iter().map(|(_, status)| status).collect()
    }

    /// Keeps the newer life, and of one life the newer settings: a late heartbeat that came by
    /// way of another control instance shows nothing older.
    fn note(&mut self, key: (u8, InstanceId), mut row: PresenceRow) {
        if let Some(known) = self.rows.get(&key) {
            if row.incarnation < known.incarnation {
                return;
            }
            if row.incarnation == known.incarnation {
                row.settings = row.settings.max(known.settings);
            }
        }
        self.rows.insert(key, row);
    }
}

fn status_of(role: u8, row: &PresenceRow, silence: Duration) -> InstanceStatus {
    let is_entry = role == InstanceRole::Entry as u8;
    InstanceStatus {
        name: row.name.clone(),
        role: if is_entry {
            InstanceRole::Entry
        } else {
            InstanceRole::Agent
        },
        domain: String::new(),
        settings: row.settings,
        silence,
    }
}
