//! Members, the messages between them, and the oracle.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use replica::{EntryPayload, MemberKey, ReplicaMessage, RoleKind};

use super::member::{FakeMember, MemberEvent, encode_values};

const MOST_MESSAGES: usize = 400;
const TICK: Duration = Duration::from_millis(20);
const QUIET_ROUNDS: usize = 2000;

/// What must hold whatever happens.
#[derive(Default)]
pub(crate) struct Oracle {
    /// Every entry that any member applied.
    pub(crate) applied: BTreeMap<u64, (u64, EntryPayload)>,
    leaders: BTreeMap<u64, MemberKey>,
    /// Proposed value by position and term.
    proposed: BTreeMap<(u64, u64), u64>,
    /// Values that a leader reported as accepted, by position.
    pub(crate) accepted: BTreeMap<u64, u64>,
    /// Last accepted position when a read began.
    reads: BTreeMap<u64, u64>,
}

pub(crate) struct Fleet {
    pub(crate) members: Vec<FakeMember>,
    peers: Vec<u64>,
    messages: Vec<ReplicaMessage>,
    cut: BTreeSet<(u64, u64)>,
    pub(crate) random: Pcg64,
    pub(crate) oracle: Oracle,
    next_value: u64,
    pub(crate) wipes: u32,
    pub(crate) crashes: u32,
}

impl Fleet {
    pub(crate) fn new(size: u64, seed: u64) -> Self {
        let peers: Vec<u64> = (1..=size).collect();
        let mut fleet = Self {
            members: peers.iter().map(|peer| FakeMember::new(*peer)).collect(),
            peers,
            messages: Vec::new(),
            cut: BTreeSet::new(),
            random: Pcg64::seed_from_u64(seed),
            oracle: Oracle::default(),
            next_value: 1,
            wipes: 0,
            crashes: 0,
        };
        for place in 0..fleet.members.len() {
            fleet.start(place);
        }
        fleet
    }

    /// One random step.
    pub(crate) fn step(&mut self) {
        let place = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..1000) {
            0..560 => self.deliver_any(),
            560..700 => self.tick(place),
            700..890 => self.flush(place),
            890..960 => self.propose(place),
            960..970 => self.read(place),
            970..984 => self.start(place),
            984..990 => self.end_faults(place),
            990..992 => self.crash(place),
            992..994 => self.crash_in_write(place),
            994..995 => self.cut_link(place),
            995..997 => self.wipe(place),
            997..998 => self.fill_disk(place),
            998..999 => self.hand_over(place),
            _ => self.freeze(place),
        }
    }

    /// Ends all faults and runs until every member has applied everything.
    pub(crate) fn settle(&mut self) {
        self.cut.clear();
        let value = self.next_value;
        for _ in 0..QUIET_ROUNDS {
            for place in 0..self.members.len() {
                self.members[place].folder.0.borrow_mut().full = false;
                self.start(place);
                self.tick(place);
                self.flush(place);
                if !self.oracle.accepted.values().any(|known| *known >= value) {
                    self.propose(place);
                }
            }
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message);
            }
            if self.is_settled(value) {
                return;
            }
        }
        panic!("fleet does not settle");
    }

    fn is_settled(&self, value: u64) -> bool {
        let last = self.oracle.applied.keys().last();
        let same = self.members.iter().all(|member| {
            let running = member.running.as_ref();
            running.is_some_and(|running| Some(&running.applied) == last && running.core.is_voter())
        });
        same && self.oracle.accepted.values().any(|known| *known >= value)
    }

    pub(crate) fn start(&mut self, place: usize) {
        if self.members[place].running.is_none() {
            let peers = self.peers.clone();
            let events = self.members[place].start(&peers, &mut self.random);
            self.take(place, events);
        }
    }

    pub(crate) fn tick(&mut self, place: usize) {
        let events = self.members[place].tick(TICK);
        self.take(place, events);
    }

    /// The process stands still while time passes.
    fn freeze(&mut self, place: usize) {
        self.members[place].now += Duration::from_secs(3);
    }

    fn flush(&mut self, place: usize) {
        let most = self.random.random_range(1..6);
        let events = self.members[place].flush(most, &mut self.random);
        self.take(place, events);
    }

    fn deliver_any(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let number = self.random.random_range(0..self.messages.len().min(40));
        match self.random.random_range(0..20) {
            0 => drop(self.messages.remove(number)),
            1 => self.deliver(self.messages[number].clone()),
            _ => {
                let message = self.messages.remove(number);
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, message: ReplicaMessage) {
        if self.cut.contains(&(message.from.instance, message.to)) {
            return;
        }
        let bytes = message.encode().expect("message is small");
        let message = ReplicaMessage::decode(&bytes).expect("message is sound");
        let place = message.to as usize - 1;
        let events = self.members[place].receive(message);
        self.take(place, events);
    }

    pub(crate) fn propose(&mut self, place: usize) {
        let member = &mut self.members[place];
        let now = member.now;
        let Some(running) = &mut member.running else {
            return;
        };
        let command = encode_values(&[self.next_value]);
        let Ok(position) = running.core.propose(now, command) else {
            return;
        };
        self.oracle.proposed.insert(position, self.next_value);
        self.next_value += 1;
        let events = self.members[place].drain();
        self.take(place, events);
    }

    fn read(&mut self, place: usize) {
        let member = &mut self.members[place];
        let now = member.now;
        let Some(running) = &mut member.running else {
            return;
        };
        let ticket = self.random.random();
        let last = self.oracle.accepted.keys().last().copied().unwrap_or(0);
        if running.core.read(now, ticket).is_ok() {
            self.oracle.reads.insert(ticket, last);
        }
        let events = self.members[place].drain();
        self.take(place, events);
    }

    fn crash(&mut self, place: usize) {
        self.crashes += 1;
        self.members[place].crash(&mut self.random);
    }

    fn crash_in_write(&mut self, place: usize) {
        let after = self.random.random_range(0..8);
        self.members[place].folder.0.borrow_mut().crash_in = Some(after);
    }

    fn cut_link(&mut self, place: usize) {
        let own = self.peers[place];
        for other in self.peers.clone() {
            if self.random.random() {
                self.cut.insert((own, other));
                self.cut.insert((other, own));
            }
        }
    }

    fn fill_disk(&mut self, place: usize) {
        self.members[place].folder.0.borrow_mut().full = true;
    }

    fn end_faults(&mut self, place: usize) {
        self.cut.clear();
        self.members[place].folder.0.borrow_mut().full = false;
    }

    fn hand_over(&mut self, place: usize) {
        let member = &mut self.members[place];
        let now = member.now;
        if let Some(running) = &mut member.running {
            let _ = running.core.hand_over(now);
        }
        let events = self.members[place].drain();
        self.take(place, events);
    }

    /// Destroys a data folder, but never a second one before the first is replaced.
    pub(crate) fn wipe(&mut self, place: usize) {
        if self.members.len() > 1 && self.is_whole() {
            self.wipes += 1;
            self.members[place].wipe();
        }
    }

    /// Whether the last committed voters are exactly the data folders there are.
    pub(crate) fn is_whole(&self) -> bool {
        let mut sets = self.oracle.applied.values().rev();
        let last = sets.find_map(|(_, payload)| match payload {
            EntryPayload::Members(set) => Some(set),
            _ => None,
        });
        let keys: Vec<MemberKey> = self.members.iter().map(FakeMember::key).collect();
        last.is_some_and(|set| !set.is_joint() && set.voters == keys)
    }

    fn take(&mut self, place: usize, events: Vec<MemberEvent>) {
        for event in events {
            match event {
                MemberEvent::Sent(message) => {
                    self.messages.push(message);
                    if self.messages.len() > MOST_MESSAGES {
                        self.messages.remove(0);
                    }
                }
                MemberEvent::Applied(entry) => self.check_applied(entry),
                MemberEvent::Restored(index, values) => self.check_restored(index, &values),
                MemberEvent::ReadConfirmed(ticket) => self.check_read(place, ticket),
            }
        }
        self.check_leader(place);
    }

    fn check_applied(&mut self, entry: replica::LogEntry) {
        let key = (entry.index, entry.term);
        let content = (entry.term, entry.payload);
        let known = self.oracle.applied.entry(entry.index);
        let first = known.or_insert_with(|| content.clone());
        assert_eq!(*first, content, "entry {} was reverted", entry.index);
        if let Some(value) = self.oracle.proposed.get(&key) {
            self.oracle.accepted.insert(entry.index, *value);
        }
    }

    fn check_restored(&self, index: u64, values: &[u64]) {
        let entries = self.oracle.applied.range(..=index);
        let commands = entries.filter_map(|(_, (_, payload))| match payload {
            EntryPayload::Command(bytes) => Some(bytes.clone()),
            _ => None,
        });
        let expected: Vec<u8> = commands.flatten().collect();
        assert_eq!(encode_values(values), expected, "snapshot is another state");
    }

    fn check_read(&self, place: usize, ticket: u64) {
        let running = self.members[place].running.as_ref().expect("member runs");
        let last = self.oracle.reads[&ticket];
        assert!(running.applied >= last, "read misses an accepted change");
    }

    fn check_leader(&mut self, place: usize) {
        let member = &self.members[place];
        let Some(running) = &member.running else {
            return;
        };
        let status = running.core.status();
        if status.role == RoleKind::Leader {
            let first = self.oracle.leaders.entry(status.term).or_insert(status.own);
            assert_eq!(*first, status.own, "two leaders in term {}", status.term);
        }
    }
}
