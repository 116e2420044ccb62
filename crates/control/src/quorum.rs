//! This instance's member of the control quorum: consensus, disk and the other instances.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fault::{Fault, FaultKind};
use link::control_client::{ControlClient, ControlEvent};
use link::{LinkIdentity, LinkSettings};
use replica::id::{LogIndex, ReadTicket, TermNumber};
use replica::{
    EntryPayload, LogEntry, MemberKey, ReplicaAction, ReplicaCore, ReplicaMessage, ReplicaSettings,
    ReplicaStatus,
};
use settings::process::ControlSettings;
use store::{DiskFolder, MemberStore};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use wire::LinkMessage;
use wire::codec;
use wire::command::{ControlReply, StampedCommand};
use wire::id::{InstanceId, name_id};

use crate::disk::{DiskQueue, DiskReport, DiskReports, start_disk};
use crate::node::ControlNode;

/// Time between two ticks of the consensus.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for one try at another instance or for one entry.
pub(crate) const TRY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Age of the quorum's last confirmation up to which this instance speaks for the quorum.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1500);
/// Longest duration of handing over the leadership.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Position and term of a proposed entry.
pub(crate) type EntryKey = (LogIndex, TermNumber);

/// Consensus, disk and connections of one control instance, on one thread.
pub struct ControlQuorum {
    pub(crate) core: RefCell<ReplicaCore>,
    disk: DiskQueue,
    /// Every other instance of the quorum.
    pub(crate) other_instances: BTreeMap<InstanceId, Rc<ControlClient>>,
    /// Proposals of this instance that are not applied yet.
    pub(crate) pending_proposals: RefCell<BTreeMap<EntryKey, oneshot::Sender<ControlReply>>>,
    pending_reads: RefCell<BTreeMap<ReadTicket, oneshot::Sender<()>>>,
    next_ticket: Cell<ReadTicket>,
    /// The clock of the consensus starts here.
    started: Instant,
}

impl ControlQuorum {
    /// Recovers the data folder and joins the quorum. Runs inside the runtime.
    ///
    /// # Errors
    /// A data folder that can't be used.
    pub fn open(
        settings: &ControlSettings,
        links: &LinkSettings,
    ) -> store::Result<(Self, DiskReports)> {
        let folder = DiskFolder::open(&settings.data)?;
        let (store, opened) = MemberStore::open(folder, rand::random_range(1..u64::MAX))?;
        let own = MemberKey {
            instance: name_id(&settings.instance.name),
            identity: opened.identity,
        };
        if opened.is_new {
            log::info!("control: the data folder is empty; this is a new member.");
        }
        let (disk, reports) = start_disk(store);
        let other_instances = connect_other_instances(settings, links);
        let peers = other_instances
            .keys()
            .copied()
            .chain([own.instance])
            .collect();
        let core = ReplicaCore::new(
            ReplicaSettings::default(),
            own,
            peers,
            opened.recovered,
            Duration::ZERO,
            rand::random(),
        );
        let quorum = Self {
            core: RefCell::new(core),
            disk,
            other_instances,
            pending_proposals: RefCell::default(),
            pending_reads: RefCell::default(),
            next_ticket: Cell::new(1),
            started: Instant::now(),
        };
        Ok((quorum, reports))
    }

    /// This member as operators see it.
    pub fn status(&self) -> ReplicaStatus {
        self.core.borrow().status()
    }

    /// Whether a quorum confirmed recently that what is applied here is the latest.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_age()
            .is_some_and(|age| age <= MAX_CONFIRMATION_AGE)
    }

    /// Time since a quorum confirmed that what is applied here is the latest, at most.
    fn confirmed_age(&self) -> Option<Duration> {
        self.core.borrow().confirmed_age(self.now())
    }

    /// Sends a message to every other instance of the quorum.
    pub fn send_to_other_instances(&self, message: &LinkMessage) {
        for other in self.other_instances.values() {
            other.tell(message.clone());
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Opens a connection to every other instance; the messages that come back on them are answers.
fn connect_other_instances(
    settings: &ControlSettings,
    links: &LinkSettings,
) -> BTreeMap<InstanceId, Rc<ControlClient>> {
    let mut other_instances = BTreeMap::new();
    let own = &settings.instance.name;
    for peer in settings.peers.iter().filter(|peer| peer.name != *own) {
        let (client, events) = ControlClient::start(vec![peer.link], links.clone());
        actix_rt::spawn(ignore_events(events));
        other_instances.insert(name_id(&peer.name), client);
    }
    other_instances
}

async fn ignore_events(mut events: UnboundedReceiver<ControlEvent>) {
    while events.recv().await.is_some() {}
}

impl ControlNode {
    /// Waits until a quorum confirms that everything committed before is applied here.
    ///
    /// # Errors
    /// [`FaultKind::ControlUnreachable`] when no quorum does in time.
    pub async fn confirm_read(&self) -> fault::Result<()> {
        let ticket = self.quorum.next_ticket.get();
        self.quorum.next_ticket.set(ticket + 1);
        let (done, confirmed) = oneshot::channel();
        self.quorum.pending_reads.borrow_mut().insert(ticket, done);
        let now = self.quorum.now();
        let started = self.quorum.core.borrow_mut().read(now, ticket);
        self.run_actions();
        let is_confirmed = match started {
            Ok(()) => matches!(timeout(TRY_TIMEOUT, confirmed).await, Ok(Ok(()))),
            Err(_) => self.wait_for_confirmation(now).await,
        };
        self.quorum.pending_reads.borrow_mut().remove(&ticket);
        if is_confirmed {
            Ok(())
        } else {
            Err(no_quorum())
        }
    }

    /// Waits until the leader told this follower of a round that began at `since` or later.
    async fn wait_for_confirmation(&self, since: Duration) -> bool {
        while self.quorum.now() < since + TRY_TIMEOUT {
            let age = self.quorum.confirmed_age();
            if age.is_some_and(|age| self.quorum.now().saturating_sub(age) >= since) {
                return true;
            }
            sleep(TICK_INTERVAL).await;
        }
        false
    }

    /// Takes a message of another control instance.
    pub fn receive_replica(&self, peer: &LinkIdentity, bytes: &[u8]) {
        let message = match ReplicaMessage::decode(bytes) {
            Ok(message) if message.from.instance == name_id(&peer.name) => message,
            Ok(_) => {
                log::warn!("control: {} speaks for another instance.", peer.name);
                return;
            }
            Err(error) => {
                log::warn!("control: {} sent no message: {error}.", peer.name);
                return;
            }
        };
        let now = self.quorum.now();
        self.quorum.core.borrow_mut().receive(now, message);
        self.run_actions();
    }

    /// Drives the consensus until the data folder fails.
    pub async fn run_quorum(&self, mut reports: DiskReports) -> String {
        self.run_actions();
        loop {
            let report = timeout(TICK_INTERVAL, reports.recv()).await;
            match report {
                Ok(Some(DiskReport::Durable(number))) => {
                    let mut core = self.quorum.core.borrow_mut();
                    core.set_store_full(false);
                    core.persisted(number);
                }
                Ok(Some(DiskReport::Full)) => {
                    log::error!("control: the disk of the data folder is full.");
                    self.quorum.core.borrow_mut().set_store_full(true);
                }
                Ok(Some(DiskReport::Failed(error))) => return error.to_string(),
                Ok(None) => return "the disk thread ended".to_owned(),
                Err(_) => {}
            }
            self.quorum.core.borrow_mut().tick(self.quorum.now());
            self.run_actions();
        }
    }

    /// Hands the leadership over, if it is held here, and waits until that is done.
    pub async fn hand_over(&self) {
        let until = Instant::now() + HAND_OVER_TIMEOUT;
        while self.quorum.core.borrow().is_leader() && Instant::now() < until {
            let now = self.quorum.now();
            let _ = self.quorum.core.borrow_mut().transfer_leadership(now);
            self.run_actions();
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Carries out what the consensus decided.
    pub(crate) fn run_actions(&self) {
        let mut changed = false;
        loop {
            let actions = self.quorum.core.borrow_mut().take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                changed |= changes_state(&action);
                self.run_action(action);
            }
        }
        if changed {
            self.publish();
        }
    }

    fn run_action(&self, action: ReplicaAction) {
        match action {
            ReplicaAction::Send(message) => self.quorum.send(&message),
            ReplicaAction::Persist(batch) => {
                // A closed queue means that the disk failed, which ends the process.
                let _ = self.quorum.disk.send(batch);
            }
            ReplicaAction::Restore(snapshot) => self.restore(&snapshot.state),
            ReplicaAction::Apply(entry) => self.apply(entry),
            ReplicaAction::TakeSnapshot(index) => self.take_snapshot(index),
            ReplicaAction::ReadConfirmed(ticket) => {
                if let Some(done) = self.quorum.pending_reads.borrow_mut().remove(&ticket) {
                    let _ = done.send(());
                }
            }
            ReplicaAction::ReadFailed(ticket) => {
                self.quorum.pending_reads.borrow_mut().remove(&ticket);
            }
            ReplicaAction::RoleChanged => self.quorum.log_role(),
        }
    }

    fn apply(&self, entry: LogEntry) {
        let EntryPayload::Command(bytes) = entry.payload else {
            return;
        };
        let stamped = match codec::decode_as::<StampedCommand>(&bytes) {
            Ok(stamped) => stamped,
            Err(error) => {
                log::error!("control: entry {} is no command: {error}.", entry.index);
                return;
            }
        };
        let reply = self.state.borrow_mut().apply(&stamped);
        let key = (entry.index, entry.term);
        if let Some(done) = self.quorum.pending_proposals.borrow_mut().remove(&key) {
            let _ = done.send(reply);
        }
    }

    fn restore(&self, bytes: &[u8]) {
        match crate::state::ControlState::restore(bytes) {
            Ok(state) => *self.state.borrow_mut() = state,
            Err(error) => {
                log::error!("control: the snapshot can't be read: {error}.");
                std::process::exit(1);
            }
        }
    }

    fn take_snapshot(&self, index: LogIndex) {
        let bytes = self.state.borrow().snapshot();
        match bytes {
            Ok(bytes) => {
                let mut core = self.quorum.core.borrow_mut();
                core.snapshot_taken(index, bytes);
            }
            Err(error) => log::error!("control: no snapshot was taken: {error}."),
        }
    }
}

impl ControlQuorum {
    fn send(&self, message: &ReplicaMessage) {
        let Some(other) = self.other_instances.get(&message.to) else {
            return;
        };
        match message.encode() {
            Ok(bytes) => other.tell(LinkMessage::Replica(bytes)),
            Err(error) => log::error!("control: a message is too large: {error}."),
        }
    }

    fn log_role(&self) {
        let status = self.status();
        let leader = status.leader.map(|leader| leader.instance);
        log::info!(
            "control: role {:?} in term {}, leader {leader:x?}.",
            status.role,
            status.term
        );
    }
}

fn changes_state(action: &ReplicaAction) -> bool {
    matches!(action, ReplicaAction::Apply(_) | ReplicaAction::Restore(_))
}

pub(crate) fn no_quorum() -> Fault {
    FaultKind::ControlUnreachable.because("no control quorum answered")
}
