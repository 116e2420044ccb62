//! A simulated member: consensus, store and state machine.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64;
use replica::{
    EntryPayload, LogEntry, MemberKey, PersistBatch, ReplicaAction, ReplicaCore, ReplicaMessage,
    ReplicaSettings,
};
use store::{MemberStore, StoreError};

use super::folder::FakeFolder;
use super::machine::FakeMachine;

/// Effects of a running member that the cluster or the oracle handles.
#[derive(Debug)]
pub(crate) enum MemberEvent {
    Sent(ReplicaMessage),
    Applied(LogEntry),
    Restored(u64, Vec<u64>),
    ReadConfirmed(u64),
}

/// The state of a member that it loses in a crash.
pub(crate) struct RunningMember {
    pub(crate) core: ReplicaCore,
    store: MemberStore<FakeFolder>,
    pending: Vec<PersistBatch>,
    pub(crate) machine: FakeMachine,
    pub(crate) applied: u64,
}

pub(crate) struct FakeMember {
    pub(crate) instance: u64,
    pub(crate) folder: FakeFolder,
    pub(crate) identity: u64,
    pub(crate) running: Option<RunningMember>,
    pub(crate) now: Duration,
    /// Time that passes at a tick; clocks of members run at different speeds.
    pub(crate) tick_interval: Duration,
    /// Settings of its consensus.
    pub(crate) settings: ReplicaSettings,
    /// An intact data folder that was detached, with its identity.
    pub(crate) detached: Option<(FakeFolder, u64)>,
}

pub(crate) fn fuzz_settings() -> ReplicaSettings {
    ReplicaSettings {
        max_append_bytes: 120,
        max_inflight_entries: 8,
        snapshot_entries: 12,
        kept_entries: 4,
        snapshot_chunk_bytes: 24,
        ..ReplicaSettings::default()
    }
}

impl FakeMember {
    pub(crate) fn new(instance: u64, tick_interval: Duration) -> Self {
        Self {
            instance,
            folder: FakeFolder::default(),
            identity: 0,
            running: None,
            now: Duration::ZERO,
            tick_interval,
            settings: fuzz_settings(),
            detached: None,
        }
    }

    pub(crate) fn key(&self) -> MemberKey {
        MemberKey {
            instance: self.instance,
            identity: self.identity,
        }
    }

    pub(crate) fn start(&mut self, peers: &[u64], rng: &mut Pcg64) -> Vec<MemberEvent> {
        let new_identity = rng.random_range(1..u64::MAX);
        let opened = MemberStore::open(self.folder.clone(), new_identity);
        let (store, opened) = match opened {
            Ok(opened) => opened,
            Err(StoreError::Io(_) | StoreError::Full) => {
                self.crash(rng);
                return Vec::new();
            }
            Err(error) => panic!("store can't be opened after a crash: {error}"),
        };
        self.identity = opened.identity;
        let core = ReplicaCore::new(
            self.settings.clone(),
            self.key(),
            peers.to_vec(),
            opened.recovered,
            self.now,
            rng.random(),
        );
        self.running = Some(RunningMember {
            core,
            store,
            pending: Vec::new(),
            machine: FakeMachine::default(),
            applied: 0,
        });
        self.drain()
    }

    pub(crate) fn crash(&mut self, rng: &mut Pcg64) {
        self.running = None;
        self.folder.0.borrow_mut().crash(rng);
    }

    /// Destroys the data folder.
    pub(crate) fn wipe(&mut self) {
        self.running = None;
        self.folder = FakeFolder::default();
        self.identity = 0;
    }

    /// Stops the member and exchanges its data folder for the detached one, or for an empty one if
    /// none is detached.
    pub(crate) fn swap_folder(&mut self, rng: &mut Pcg64) {
        self.crash(rng);
        let own = (self.folder.clone(), self.identity);
        let (folder, identity) = self.detached.replace(own).unwrap_or_default();
        self.folder = folder;
        self.identity = identity;
    }

    pub(crate) fn detached_identity(&self) -> Option<u64> {
        self.detached.as_ref().map(|(_, identity)| *identity)
    }

    pub(crate) fn tick(&mut self) -> Vec<MemberEvent> {
        self.now += self.tick_interval;
        let now = self.now;
        if let Some(running) = &mut self.running {
            running.core.tick(now);
        }
        self.drain()
    }

    pub(crate) fn receive(&mut self, message: ReplicaMessage) -> Vec<MemberEvent> {
        let now = self.now;
        if let Some(running) = &mut self.running {
            running.core.receive(now, message);
        }
        self.drain()
    }

    /// Writes up to `limit` pending operations. A failed write crashes the member unless the disk
    /// is full.
    pub(crate) fn flush(&mut self, limit: usize, rng: &mut Pcg64) -> Vec<MemberEvent> {
        let Some(running) = &mut self.running else {
            return Vec::new();
        };
        let count = limit.min(running.pending.len());
        if count == 0 {
            return Vec::new();
        }
        match running.store.write(&running.pending[..count]) {
            Ok(number) => {
                running.pending.drain(..count);
                running.core.set_store_full(false);
                running.core.persisted(number);
                self.drain()
            }
            Err(StoreError::Full) => {
                running.core.set_store_full(true);
                Vec::new()
            }
            Err(_) => {
                self.crash(rng);
                Vec::new()
            }
        }
    }

    /// Carries out the actions that need no other member.
    pub(crate) fn drain(&mut self) -> Vec<MemberEvent> {
        let Some(running) = &mut self.running else {
            return Vec::new();
        };
        let mut events = Vec::new();
        running.core.verify();
        for action in running.core.take_actions() {
            match action {
                ReplicaAction::Send(message) => events.push(MemberEvent::Sent(message)),
                ReplicaAction::Persist(batch) => running.pending.push(batch),
                ReplicaAction::Restore(snapshot) => {
                    running.machine = FakeMachine::restore(&snapshot.state);
                    running.applied = snapshot.index;
                    let values = running.machine.values.clone();
                    events.push(MemberEvent::Restored(snapshot.index, values));
                }
                ReplicaAction::Apply(entry) => {
                    assert_eq!(entry.index, running.applied + 1, "applied out of order");
                    running.applied = entry.index;
                    if let EntryPayload::Command(bytes) = &entry.payload {
                        running.machine.apply(bytes);
                    }
                    events.push(MemberEvent::Applied(entry));
                }
                ReplicaAction::TakeSnapshot(index) => {
                    assert_eq!(index, running.applied, "snapshot of another state");
                    let state = running.machine.snapshot();
                    running.core.snapshot_taken(index, state);
                }
                ReplicaAction::ReadConfirmed(ticket) => {
                    events.push(MemberEvent::ReadConfirmed(ticket));
                }
                ReplicaAction::ReadFailed(_)
                | ReplicaAction::RoleChanged
                | ReplicaAction::Abandon => {}
            }
        }
        let is_done = running.core.clone().take_actions().is_empty();
        if !is_done {
            events.extend(self.drain());
        }
        events
    }
}
