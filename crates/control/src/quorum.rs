//! This instance's member of the control quorum: consensus, disk and the other instances.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
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
use store::{DataFolder, DiskFolder, MemberStore, OpenedMember};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};
use wire::LinkMessage;
use wire::codec;
use wire::command::{ControlReply, StampedCommand};
use wire::id::{InstanceId, name_id};

use crate::disk::{DiskQueue, DiskReport, DiskReports, open_member, start_disk};
use crate::node::ControlNode;

/// Interval between ticks of the consensus.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of one attempt to commit a command or to confirm a read.
pub(crate) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum age of the quorum's last confirmation at which this instance still counts as up to date.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1500);
/// Timeout of a leadership transfer.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Index and term of a proposed log entry.
pub(crate) type EntryKey = (LogIndex, TermNumber);

/// Consensus, disk queue and connections to the other instances of one control instance. Used on
/// one thread; the disk is written by another.
pub struct ControlQuorum {
    pub(crate) core: RefCell<ReplicaCore>,
    disk: DiskQueue,
    /// Connections to the other instances of the quorum.
    pub(crate) other_instances: BTreeMap<InstanceId, Rc<ControlClient>>,
    /// Proposals of this instance that are not applied yet, with the sender of their reply.
    pub(crate) pending_proposals: RefCell<BTreeMap<EntryKey, oneshot::Sender<ControlReply>>>,
    pending_reads: RefCell<BTreeMap<ReadTicket, oneshot::Sender<()>>>,
    next_ticket: Cell<ReadTicket>,
    /// Zero of the consensus clock.
    started: Instant,
}

impl ControlQuorum {
    /// Opens and recovers the data folder, and starts the member. Waits for room on a full disk that has
    /// to be written first.
    ///
    /// # Errors
    /// The data folder can't be opened or recovered.
    pub async fn open(
        settings: &ControlSettings,
        links: &LinkSettings,
    ) -> store::Result<(Self, DiskReports)> {
        let data = settings.data.clone();
        let opened = open_member(move || open_store(&data)).await?;
        Ok(Self::start(settings, links, opened))
    }

    /// Starts the disk thread and connects to the other instances. Must be called inside the runtime.
    pub fn start<F: DataFolder + Send + 'static>(
        settings: &ControlSettings,
        links: &LinkSettings,
        (store, opened): (MemberStore<F>, OpenedMember),
    ) -> (Self, DiskReports) {
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
        (quorum, reports)
    }

    /// Status of this member for operators.
    pub fn status(&self) -> ReplicaStatus {
        self.core.borrow().status()
    }

    /// Whether a quorum has confirmed recently that the state applied here is the latest.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed_age()
            .is_some_and(|age| age <= MAX_CONFIRMATION_AGE)
    }

    /// Upper bound on the time since a quorum confirmed that the state applied here is the latest.
    fn confirmed_age(&self) -> Option<Duration> {
        self.core.borrow().confirmed_age(self.now())
    }

    /// Sends a message to every other instance of the quorum.
    pub fn send_to_other_instances(&self, message: &LinkMessage) {
        for other in self.other_instances.values() {
            other.try_send(message.clone());
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

fn open_store(data: &Path) -> store::Result<(MemberStore<DiskFolder>, OpenedMember)> {
    let folder = DiskFolder::open(data)?;
    MemberStore::open(folder, rand::random_range(1..u64::MAX))
}

/// Opens a connection to every other instance. Replies to proposals are handled by the client; its
/// other events are ignored, as the other instances send their messages on their own connections.
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
    /// Waits until a quorum confirms that everything committed before this call is applied here.
    ///
    /// # Errors
    /// [`FaultKind::ControlUnreachable`] when no quorum confirms it in time.
    pub async fn confirm_read(&self) -> fault::Result<()> {
        let ticket = self.quorum.next_ticket.get();
        self.quorum.next_ticket.set(ticket + 1);
        let (done, confirmed) = oneshot::channel();
        self.quorum.pending_reads.borrow_mut().insert(ticket, done);
        let now = self.quorum.now();
        let started = self.quorum.core.borrow_mut().read(now, ticket);
        self.run_actions();
        let is_confirmed = match started {
            Ok(()) => matches!(timeout(ATTEMPT_TIMEOUT, confirmed).await, Ok(Ok(()))),
            Err(_) => self.wait_for_confirmation(now).await,
        };
        self.quorum.pending_reads.borrow_mut().remove(&ticket);
        if is_confirmed {
            Ok(())
        } else {
            Err(no_quorum())
        }
    }

    /// Waits until the leader has confirmed a round that began at `since` or later to this
    /// follower. Returns false on a timeout, and at once if this follower lacks the latest state and can't
    /// apply it, as its disk is full.
    async fn wait_for_confirmation(&self, since: Duration) -> bool {
        while self.quorum.now() < since + ATTEMPT_TIMEOUT {
            let age = self.quorum.confirmed_age();
            if age.is_some_and(|age| self.quorum.now().saturating_sub(age) >= since) {
                return true;
            }
            if age.is_none() && self.quorum.core.borrow().is_store_full() {
                return false;
            }
            sleep(TICK_INTERVAL).await;
        }
        false
    }

    /// Handles a consensus message of another control instance.
    pub fn receive_replica(&self, peer: &LinkIdentity, bytes: &[u8]) {
        let message = match ReplicaMessage::decode(bytes) {
            Ok(message) if message.from.instance == name_id(&peer.name) => message,
            Ok(_) => {
                log::warn!(
                    "control: dropped a message of {} that names another sender.",
                    peer.name
                );
                return;
            }
            Err(error) => {
                log::warn!(
                    "control: dropped an invalid message of {}: {error}.",
                    peer.name
                );
                return;
            }
        };
        let now = self.quorum.now();
        self.quorum.core.borrow_mut().receive(now, message);
        self.run_actions();
    }

    /// Runs the consensus until the data folder fails. Returns the reason.
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
                    log::error!(
                        "control: the disk of the data folder is full; the writes are retried."
                    );
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

    /// Transfers the leadership if this instance leads, and waits until it does not lead any more
    /// or the timeout is over.
    pub async fn transfer_leadership(&self) {
        let until = Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT;
        while self.quorum.core.borrow().is_leader() && Instant::now() < until {
            let now = self.quorum.now();
            let _ = self.quorum.core.borrow_mut().transfer_leadership(now);
            self.run_actions();
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Executes the pending actions of the consensus and publishes the state if it changed.
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
                // The queue is closed only after the data folder failed, which stops the process.
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
            ReplicaAction::Abandon => log::error!(
                "control: the cluster of the data folder never had a leader, as its voters belong \
                 to others; empty the folder to let this instance join them"
            ),
        }
    }

    fn apply(&self, entry: LogEntry) {
        let EntryPayload::Command(bytes) = entry.payload else {
            return;
        };
        let stamped = match codec::decode_as::<StampedCommand>(&bytes) {
            Ok(stamped) => stamped,
            Err(error) => {
                log::error!(
                    "control: skipped log entry {}, an invalid command: {error}.",
                    entry.index
                );
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
                log::error!("control: exiting: the snapshot can't be restored: {error}.");
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
            Err(error) => log::error!("control: can't encode the state for a snapshot: {error}."),
        }
    }
}

impl ControlQuorum {
    fn send(&self, message: &ReplicaMessage) {
        let Some(other) = self.other_instances.get(&message.to) else {
            return;
        };
        match message.encode() {
            Ok(bytes) => other.try_send(LinkMessage::Replica(bytes)),
            Err(error) => log::error!("control: dropped a message that can't be encoded: {error}."),
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
