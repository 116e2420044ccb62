//! Members, the messages between them, and their faults.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use replica::{MemberKey, ReplicaMessage};

use super::member::{FakeMember, MemberEvent, encode_values};
use super::oracle::Oracle;

const MOST_MESSAGES: usize = 400;
const QUIET_ROUNDS: usize = 2000;
/// Least time of a tick in a fleet that grows: a lost voter is removed within the quiet rounds.
const GROWING_PACE: Duration = Duration::from_millis(15);

pub(crate) struct Fleet {
    pub(crate) members: Vec<FakeMember>,
    peers: Vec<u64>,
    /// Members that left for good.
    pub(crate) gone: BTreeSet<usize>,
    messages: Vec<ReplicaMessage>,
    cut: BTreeSet<(u64, u64)>,
    pub(crate) random: Pcg64,
    pub(crate) oracle: Oracle,
    next_value: u64,
    pub(crate) wipes: u32,
    pub(crate) swaps: u32,
    pub(crate) crashes: u32,
}

impl Fleet {
    pub(crate) fn new(size: u64, seed: u64) -> Self {
        let peers: Vec<u64> = (1..=size).collect();
        let mut random = Pcg64::seed_from_u64(seed);
        let mut member = |peer: &u64| {
            let pace = Duration::from_millis(random.random_range(5..40));
            FakeMember::new(*peer, pace)
        };
        let members = peers.iter().map(&mut member).collect();
        let mut fleet = Self {
            members,
            peers,
            gone: BTreeSet::new(),
            messages: Vec::new(),
            cut: BTreeSet::new(),
            random,
            oracle: Oracle::default(),
            next_value: 1,
            wipes: 0,
            swaps: 0,
            crashes: 0,
        };
        for place in 0..fleet.members.len() {
            fleet.start(place);
        }
        fleet
    }

    /// A fleet whose first `founders` members found the log; the others join when they start.
    pub(crate) fn growing(founders: u64, most: usize, seed: u64) -> Self {
        let mut fleet = Self::new(founders, seed);
        for member in &mut fleet.members {
            member.settings.max_voters = most;
            member.pace = member.pace.max(GROWING_PACE);
            member.running = None;
            member.folder = super::folder::FakeFolder::default();
        }
        fleet.messages.clear();
        for place in 0..fleet.members.len() {
            fleet.start(place);
        }
        fleet
    }

    /// Adds a member with an empty folder, and tells all members of it.
    pub(crate) fn join(&mut self) -> usize {
        let place = self.members.len();
        self.peers.push(place as u64 + 1);
        let mut member = FakeMember::new(place as u64 + 1, GROWING_PACE);
        member.settings = self.members[0].settings.clone();
        self.members.push(member);
        for member in &mut self.members {
            if let Some(running) = &mut member.running {
                running.core.set_peers(self.peers.clone());
            }
        }
        self.start(place);
        place
    }

    /// Tells all members that one is about to stop.
    pub(crate) fn announce_leave(&mut self, place: usize) {
        let instance = self.members[place].instance;
        for member in &mut self.members {
            if let Some(running) = &mut member.running {
                running.core.set_leaving([instance]);
            }
        }
    }

    /// Voters of the last committed set.
    pub(crate) fn voters(&self) -> usize {
        self.oracle.last_members().map_or(0, |set| set.voters.len())
    }

    /// Takes a member away for good.
    pub(crate) fn leave(&mut self, place: usize) {
        self.members[place].wipe();
        self.gone.insert(place);
    }

    /// One random step.
    pub(crate) fn step(&mut self) {
        let place = self.random.random_range(0..self.members.len());
        match self.random.random_range(0..1000) {
            0..560 => self.deliver_any(),
            560..700 => self.tick(place),
            700..890 => self.flush(place),
            890..950 => self.propose(place),
            950..970 => self.read(place),
            970..984 => self.start(place),
            984..987 => self.end_faults(place),
            987..988 => self.swap_folder(place),
            988..990 => self.crash(place),
            990..992 => self.crash_in_write(place),
            992..993 => self.cut_links(place),
            993..995 => self.isolate(place),
            995..997 => self.wipe(place),
            997..998 => self.fill_disk(place),
            998..999 => self.transfer_leadership(place),
            _ => self.freeze(place),
        }
    }

    /// Ends all faults and runs until every member has applied everything.
    pub(crate) fn settle(&mut self) {
        self.return_folders();
        self.run_until_settled();
    }

    /// The same with the folders that there are.
    pub(crate) fn run_until_settled(&mut self) {
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
        let statuses = self.members.iter().map(|member| {
            let running = member.running.as_ref();
            running.map(|running| running.core.status())
        });
        let statuses: Vec<_> = statuses.collect();
        panic!("fleet does not settle: {statuses:#?}");
    }

    /// Runs all members but the idle one until they accept a change.
    pub(crate) fn run_others(&mut self, idle: Option<usize>) -> bool {
        let value = self.next_value;
        for _ in 0..QUIET_ROUNDS {
            for place in (0..self.members.len()).filter(|place| Some(*place) != idle) {
                self.tick(place);
                self.flush(place);
                self.propose(place);
            }
            for message in std::mem::take(&mut self.messages) {
                self.deliver(message);
            }
            if self.oracle.accepted.values().any(|known| *known >= value) {
                return true;
            }
        }
        false
    }

    /// The leader of the latest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |place: &usize| {
            let running = self.members[*place].running.as_ref();
            running.is_some_and(|running| running.core.is_leader())
        };
        let leaders = (0..self.members.len()).filter(leads);
        leaders.max_by_key(|place| {
            let running = self.members[*place].running.as_ref();
            running.map(|running| running.core.status().term)
        })
    }

    fn present(&self) -> impl Iterator<Item = &FakeMember> {
        let members = self.members.iter().enumerate();
        let present = members.filter(|(place, _)| !self.gone.contains(place));
        present.map(|(_, member)| member)
    }

    fn is_settled(&self, value: u64) -> bool {
        let last = self.oracle.applied.keys().last();
        let same = self.present().all(|member| {
            let running = member.running.as_ref();
            running.is_some_and(|running| Some(&running.applied) == last && running.core.is_voter())
        });
        same && self.is_whole() && self.oracle.accepted.values().any(|known| *known >= value)
    }

    pub(crate) fn start(&mut self, place: usize) {
        if self.members[place].running.is_none() && !self.gone.contains(&place) {
            let peers = self.peers.clone();
            let events = self.members[place].start(&peers, &mut self.random);
            self.take(place, events);
        }
    }

    pub(crate) fn tick(&mut self, place: usize) {
        let events = self.members[place].tick();
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

    pub(crate) fn read(&mut self, place: usize) {
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

    fn cut_links(&mut self, place: usize) {
        let own = self.peers[place];
        for other in self.peers.clone() {
            if self.random.random() {
                self.cut.insert((own, other));
                self.cut.insert((other, own));
            }
        }
    }

    pub(crate) fn isolate(&mut self, place: usize) {
        let own = self.peers[place];
        for other in &self.peers {
            self.cut.insert((own, *other));
            self.cut.insert((*other, own));
        }
    }

    /// Takes a folder away, or brings it back. One sound folder at most is away, and a voter's is
    /// taken only while no other is lost.
    pub(crate) fn swap_folder(&mut self, place: usize) {
        let own = self.peers[place];
        let stashed = self.members[place].stashed_identity();
        let voters = self
            .oracle
            .last_members()
            .map_or(Vec::new(), |set| set.voters);
        let brings_voter = voters.iter().any(|voter| Some(voter.identity) == stashed);
        let mut others = self.members.iter().filter(|other| other.instance != own);
        let none_away = others.all(|other| other.stash.is_none());
        if self.members.len() > 1 && none_away && (brings_voter || self.is_whole()) {
            self.swaps += 1;
            self.members[place].swap_folder(&mut self.random);
        }
    }

    /// Destroys a folder that is away, once no member counts it.
    fn drop_stash(&mut self, place: usize) {
        let stashed = self.members[place].stashed_identity();
        let is_counted = self.members.iter().any(|member| {
            let members = member
                .running
                .as_ref()
                .map(|running| running.core.status().members);
            let all = members.map_or(Vec::new(), |set| set.all());
            all.iter().any(|key| Some(key.identity) == stashed)
        });
        if !is_counted && self.is_whole() {
            self.members[place].stash = None;
        }
    }

    /// Gives every member the folder that is a voter's.
    fn return_folders(&mut self) {
        let voters = self
            .oracle
            .last_members()
            .map_or(Vec::new(), |set| set.voters);
        for place in 0..self.members.len() {
            let member = &mut self.members[place];
            let identities: Vec<u64> = voters.iter().map(|voter| voter.identity).collect();
            let is_voter = identities.contains(&member.identity);
            let stashed = member.stashed_identity();
            if !is_voter && stashed.is_some_and(|identity| identities.contains(&identity)) {
                member.swap_folder(&mut self.random);
            }
        }
    }

    pub(crate) fn fill_disk(&mut self, place: usize) {
        self.members[place].folder.0.borrow_mut().full = true;
    }

    fn end_faults(&mut self, place: usize) {
        self.drop_stash(place);
        self.cut.clear();
        self.members[place].folder.0.borrow_mut().full = false;
    }

    fn transfer_leadership(&mut self, place: usize) {
        let member = &mut self.members[place];
        let now = member.now;
        if let Some(running) = &mut member.running {
            let _ = running.core.transfer_leadership(now);
        }
        let events = self.members[place].drain();
        self.take(place, events);
    }

    /// Destroys a data folder, but never a second one before the first is replaced.
    pub(crate) fn wipe(&mut self, place: usize) {
        let none_away = self.members.iter().all(|member| member.stash.is_none());
        if self.members.len() > 1 && self.is_whole() && none_away {
            self.wipes += 1;
            self.members[place].wipe();
        }
    }

    /// Whether the last committed voters are exactly the data folders there are.
    fn is_whole(&self) -> bool {
        let keys: Vec<MemberKey> = self.present().map(FakeMember::key).collect();
        self.oracle
            .last_members()
            .is_some_and(|set| !set.is_joint() && set.voters == keys)
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
                MemberEvent::Applied(entry) => self.oracle.check_applied(entry),
                MemberEvent::Restored(index, values) => self.oracle.check_restored(index, &values),
                MemberEvent::ReadConfirmed(ticket) => self.check_read(place, ticket),
            }
        }
        self.check_leader(place);
    }

    fn check_read(&self, place: usize, ticket: u64) {
        let running = self.members[place].running.as_ref().expect("member runs");
        let last = self.oracle.reads[&ticket];
        assert!(running.applied >= last, "read misses an accepted change");
    }

    fn check_leader(&mut self, place: usize) {
        if let Some(running) = &self.members[place].running {
            self.oracle.check_leader(&running.core.status());
        }
    }
}
