//! This gateway's member of the replicated log, and the disk behind it.
//!
//! The replicated state is the newest catalog and the evacuated failure domains. Consensus messages that fit into a datagram are sent
//! as one; larger ones go over links, one after the other for each gateway.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use clock::BootClock;

use control::disk::{DiskQueue, DiskReport, DiskReports, open_member, start_disk};
use relay::sole_version::routing_digest;
use replica::id::{
    ClusterId, LogIndex, MemberIdentity, ReadTicket, TermNumber, is_founding, new_identity,
};
use replica::{
    EntryPayload, LogEntry, MemberKey, ReplicaAction, ReplicaCore, ReplicaMessage, ReplicaSettings,
};
use store::{DataFolder, DiskFolder, MemberStore, OpenedMember};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout};
use wire::gateway::{
    CatalogText, EvacuationOrder, EvacuationState, GatewayDatagram, GatewayReply, GatewayRequest,
    StorageState, address_of,
};
use wire::id::InstanceId;
use wire::version_record::VersionRecord;

use crate::bootstrap::QuorumPeers;
use crate::catalog_codec::decode_catalog;
use crate::evacuation::{
    LogCommand, apply_order, decode_command, decode_snapshot, encode_command, encode_snapshot,
    recovered_evacuations,
};
use crate::node::GatewayNode;
use crate::version_record::{self, PROPOSAL_INTERVAL, additions};

/// Longest time between two ticks of the consensus core.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Voting members of the cluster at most.
const MAX_VOTERS: usize = 7;
/// Entries after which a snapshot is taken. Entries and snapshots each hold a whole catalog.
const SNAPSHOT_ENTRIES: u64 = 24;
/// Entries before the snapshot that are kept for members that lag behind.
const KEPT_ENTRIES: u64 = 6;
/// Large messages that wait for a link to one gateway at most. Further ones are dropped; the
/// consensus sends them again.
const SEND_QUEUE_MESSAGES: usize = 16;
/// Longest wait for the acknowledgement of a large message.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest wait until a proposal is applied, or a read is confirmed.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait until another gateway acknowledges a catalog that is pushed to it.
const INSTALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time for transferring the leadership.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);

type EntryKey = (LogIndex, TermNumber);

/// Consensus core and disk queue of one gateway, on one thread.
pub struct GatewayQuorum {
    core: RefCell<ReplicaCore>,
    /// `None` once the member has ended.
    disk: RefCell<Option<DiskQueue>>,
    identity: MemberIdentity,
    /// Whether the member gave up its cluster.
    is_abandoned: Cell<bool>,
    /// The other cluster that was logged last.
    named_foreign: Cell<Option<ClusterId>>,
    /// Notifies the proposer of each entry that is not applied yet.
    pending_proposals: RefCell<BTreeMap<EntryKey, oneshot::Sender<()>>>,
    pending_reads: RefCell<BTreeMap<ReadTicket, oneshot::Sender<()>>>,
    next_ticket: Cell<ReadTicket>,
    /// The newest catalog that was applied or restored from a snapshot but is not activated yet.
    staged: RefCell<Option<CatalogText>>,
    /// The evacuations by the entries that this member has applied. The node may know newer ones
    /// from other gateways, but the revision must count the entries of the log.
    evacuations: RefCell<EvacuationState>,
    /// Index and term of the last recovered entry, until it is known which of the recovered entries
    /// are committed.
    recovered_end: Cell<Option<EntryKey>>,
    /// The record of software versions as of the applied entries, and the last entry that held it.
    record: RefCell<VersionRecord>,
    record_index: Cell<LogIndex>,
    /// When this member last proposed the record.
    record_proposed_at: Cell<Option<Duration>>,
    send_queues: RefCell<HashMap<InstanceId, mpsc::Sender<Vec<u8>>>>,
    /// Clock of the consensus core. A leader that was suspended must not take itself for confirmed.
    clock: BootClock,
}

/// Opens the data folder and runs this gateway's member until the folder fails. The folder is
/// opened on a thread of its own, as the disk may hang.
///
/// # Errors
/// Always returns one: why the folder could not be opened, or failed.
pub async fn open_quorum(node: Rc<GatewayNode>, data: std::path::PathBuf) -> Result<(), String> {
    open_quorum_in(node, move || DiskFolder::open(&data)).await
}

/// Like [`open_quorum`], in the folder that `open_folder` opens.
///
/// # Errors
/// As those of [`open_quorum`].
pub async fn open_quorum_in<F: DataFolder + Send + 'static>(
    node: Rc<GatewayNode>,
    open_folder: impl Fn() -> store::Result<F> + Clone + Send + 'static,
) -> Result<(), String> {
    let mut origin = match node.settings.borrow().first_start {
        true => FolderOrigin::FirstStart,
        false => FolderOrigin::LaterStart,
    };
    loop {
        let end = run_member(&node, open_folder.clone(), origin).await?;
        let QuorumEnd::Abandoned = end;
        origin = FolderOrigin::Abandoned;
    }
}

/// How a data folder is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FolderOrigin {
    /// A new folder is one of the first start of all gateways.
    FirstStart,
    /// A new folder replaces one that was lost.
    LaterStart,
    /// The content is dropped: it belongs to a cluster that never had a leader.
    Abandoned,
}

/// Why a member ended without a failure.
enum QuorumEnd {
    /// Its cluster can never have a leader.
    Abandoned,
}

/// Opens the data folder and runs its member until it fails or gives up its cluster.
async fn run_member<F: DataFolder + Send + 'static>(
    node: &Rc<GatewayNode>,
    open_folder: impl Fn() -> store::Result<F> + Clone + Send + 'static,
    origin: FolderOrigin,
) -> Result<QuorumEnd, String> {
    let opening = open_member(move || open_store(open_folder()?, origin)).await;
    let (store, opened) = opening.map_err(|error| error.to_string())?;
    let own = MemberKey {
        instance: node.own,
        identity: opened.identity,
    };
    log::info!(is_new = opened.is_new, cut_bytes = opened.cut_bytes; "gateway: data folder opened");
    let (disk, reports) = start_disk(store);
    let settings = ReplicaSettings {
        max_voters: MAX_VOTERS,
        min_voters: node.min_voters(),
        snapshot_entries: SNAPSHOT_ENTRIES,
        kept_entries: KEPT_ENTRIES,
        ..ReplicaSettings::default()
    };
    let recovered = &opened.recovered;
    let snapshot = recovered.snapshot.as_ref();
    let snapshot = snapshot.map(|snapshot| (snapshot.index, &snapshot.state[..]));
    let recovered_end = recovered.entries.last().map(|last| (last.index, last.term));
    if let Some(evacuations) = recovered_evacuations(snapshot, &recovered.entries) {
        node.recover_evacuations(evacuations);
    }
    let mut core = ReplicaCore::new(
        settings,
        own,
        vec![own.instance],
        opened.recovered,
        Duration::ZERO,
        rand::random(),
    );
    core.set_bootstrap_allowed(false);
    let quorum = Rc::new(GatewayQuorum {
        core: RefCell::new(core),
        disk: RefCell::new(Some(disk)),
        identity: opened.identity,
        is_abandoned: Cell::new(false),
        named_foreign: Cell::new(None),
        pending_proposals: RefCell::default(),
        pending_reads: RefCell::default(),
        next_ticket: Cell::new(1),
        staged: RefCell::default(),
        evacuations: RefCell::default(),
        recovered_end: Cell::new(recovered_end),
        record: RefCell::default(),
        record_index: Cell::new(0),
        record_proposed_at: Cell::new(None),
        send_queues: RefCell::default(),
        clock: BootClock::start(),
    });
    *node.quorum.borrow_mut() = Some(Rc::clone(&quorum));
    let mut reports = reports;
    let reason = node.run_quorum(&quorum, &mut reports).await;
    if !quorum.is_abandoned.get() {
        return Err(reason);
    }
    log::error!(
        "gateway: the cluster {} of the data folder never had a leader, as its voters belong to \
         others; the folder is emptied and joins anew",
        quorum.cluster().unwrap_or_default()
    );
    *node.quorum.borrow_mut() = None;
    // The disk thread ends with its queue and then unlocks the folder.
    quorum.disk.take();
    while reports.recv().await.is_some() {}
    Ok(QuorumEnd::Abandoned)
}

fn open_store<F: DataFolder>(
    folder: F,
    origin: FolderOrigin,
) -> store::Result<(MemberStore<F>, OpenedMember)> {
    let identity = new_identity(rand::random(), origin == FolderOrigin::FirstStart);
    match origin {
        FolderOrigin::Abandoned => MemberStore::start_over(folder, identity),
        FolderOrigin::FirstStart | FolderOrigin::LaterStart => MemberStore::open(folder, identity),
    }
}

impl GatewayQuorum {
    fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// The cluster of this member; `None` if it belongs to none.
    pub fn cluster(&self) -> Option<ClusterId> {
        self.core.borrow().cluster()
    }

    /// Whether the data folder was created at the first start of all gateways, so that it may take
    /// part in the bootstrap.
    pub fn is_founding(&self) -> bool {
        is_founding(self.identity)
    }

    /// Logs another cluster when a member of it is first heard.
    fn name_foreign_cluster(&self) {
        let core = self.core.borrow();
        let Some((member, foreign)) = core.foreign_cluster() else {
            return;
        };
        if self.named_foreign.replace(Some(foreign)) != Some(foreign) {
            log::error!(
                cluster = core.cluster().unwrap_or_default(),
                other = foreign,
                peer = address_of(member.instance).to_string().as_str();
                "gateway: a peer belongs to another cluster; clusters are not merged"
            );
        }
    }

    /// Whether this member belongs to a cluster.
    pub fn has_cluster(&self) -> bool {
        self.core.borrow().has_cluster()
    }

    /// Whether this member is the leader.
    pub fn is_leader(&self) -> bool {
        self.core.borrow().is_leader()
    }

    /// Waits until this member does not lead any more. Another one may have what was proposed here.
    async fn leadership_lost(&self) {
        while self.is_leader() {
            sleep(TICK_INTERVAL).await;
        }
    }

    /// The term and the leader that this member knows.
    pub fn leader(&self) -> Option<(u64, InstanceId)> {
        let status = self.core.borrow().status();
        let leader = status.leader?;
        Some((status.term, leader.instance))
    }

    /// The term in which this member is the leader, if a majority has confirmed it so lately that
    /// no other member can lead.
    pub fn confirmed_term(&self) -> Option<u64> {
        let core = self.core.borrow();
        let status = core.status();
        let age = core.confirmed_age(self.now())?;
        let is_confirmed = core.is_leader() && age < ReplicaSettings::default().election_min;
        is_confirmed.then_some(status.term)
    }

    /// Stages a catalog to be activated, unless a version at least as new is staged.
    fn stage(&self, text: CatalogText) {
        let mut staged = self.staged.borrow_mut();
        if staged
            .as_ref()
            .is_none_or(|held| held.version < text.version)
        {
            *staged = Some(text);
        }
    }

    /// Records that the entries up to this one are applied. Entries of a later term than the
    /// recovered ones follow all of those that are committed.
    fn note_applied(&self, (index, term): EntryKey) {
        let end = self.recovered_end.get();
        let end = end.filter(|(last, last_term)| index < *last && term <= *last_term);
        self.recovered_end.set(end);
    }

    /// Adds the routing of a catalog to the record. Each catalog of the log is counted, also one
    /// that is not activated because a newer one follows.
    fn record_routing(&self, text: &CatalogText) {
        if let Ok(catalog) = decode_catalog(text) {
            let digest = routing_digest(&catalog);
            self.record.borrow_mut().add_routing(digest);
        }
    }

    fn apply(&self, entry: LogEntry) {
        self.note_applied((entry.index, entry.term));
        if let EntryPayload::Command(bytes) = &entry.payload {
            let applied = match version_record::decode_command(bytes) {
                Some(record) => record.map(|record| {
                    self.record.borrow_mut().merge(&record);
                    self.record_index.set(entry.index);
                }),
                None => decode_command(bytes).map(|command| match command {
                    LogCommand::Catalog(text) => {
                        self.record_routing(&text);
                        self.stage(text);
                    }
                    LogCommand::Evacuate(order) => {
                        apply_order(&mut self.evacuations.borrow_mut(), &order);
                    }
                }),
            };
            if let Err(error) = applied {
                log::error!(
                    "gateway: log entry {} can't be decoded and is skipped: {error}",
                    entry.index
                );
            }
        }
        let proposer = self
            .pending_proposals
            .borrow_mut()
            .remove(&(entry.index, entry.term));
        if let Some(done) = proposer {
            // Sending fails if the proposer has stopped waiting.
            let _ = done.send(());
        }
    }

    /// Sets the gateways that may be members, those that are about to stop, and whether this member
    /// may bootstrap a cluster.
    pub fn set_peers(&self, peers: QuorumPeers) {
        let mut core = self.core.borrow_mut();
        core.set_peers(peers.peers);
        core.set_leaving(peers.leaving);
        core.set_founders(peers.founders);
        core.set_bootstrap_allowed(peers.may_bootstrap);
    }
}

impl GatewayNode {
    /// Smallest number of voters of the quorum: more than twice the number of disks that may be
    /// lost at once.
    pub fn min_voters(&self) -> usize {
        2 * self.settings.borrow().tolerated_losses + 1
    }

    /// Drives the consensus core until the data folder fails. Returns why it failed.
    async fn run_quorum(
        self: &Rc<Self>,
        quorum: &Rc<GatewayQuorum>,
        reports: &mut DiskReports,
    ) -> String {
        self.run_actions(quorum);
        while !quorum.is_abandoned.get() {
            match timeout(TICK_INTERVAL, reports.recv()).await {
                Ok(Some(DiskReport::Durable(number))) => {
                    let mut core = quorum.core.borrow_mut();
                    core.set_store_full(false);
                    core.persisted(number);
                }
                Ok(Some(DiskReport::Full)) => {
                    log::error!("gateway: the disk of the data folder is full");
                    quorum.core.borrow_mut().set_store_full(true);
                }
                Ok(Some(DiskReport::Failed(error))) => return error.to_string(),
                Ok(None) => return "the disk thread ended".to_owned(),
                Err(_) => {}
            }
            quorum.core.borrow_mut().tick(quorum.now());
            self.run_actions(quorum);
            quorum.name_foreign_cluster();
        }
        "the cluster was abandoned".to_owned()
    }

    /// Hands a message of another member to the consensus core.
    pub fn receive_replica(self: &Rc<Self>, quorum: &Rc<GatewayQuorum>, message: ReplicaMessage) {
        quorum.core.borrow_mut().receive(quorum.now(), message);
        self.run_actions(quorum);
    }

    /// Proposes a catalog and waits until it is applied, if this gateway is the leader.
    pub async fn replace_as_leader(self: &Rc<Self>, text: CatalogText) -> GatewayReply {
        let Some(quorum) = self.quorum() else {
            return GatewayReply::NotLeader(self.directory.borrow().leader(self.now()));
        };
        if text.version <= self.catalog_version() {
            return GatewayReply::Done;
        }
        let reply = self.commit(&quorum, &LogCommand::Catalog(text)).await;
        if reply == GatewayReply::Done {
            self.push_newest();
        }
        reply
    }

    /// Proposes an order and waits until it is applied, if this gateway is the leader. A repeated
    /// order is committed again, as the entry that first carried it may be known here and not yet
    /// be committed.
    pub async fn evacuate_as_leader(self: &Rc<Self>, order: EvacuationOrder) -> GatewayReply {
        let Some(quorum) = self.quorum() else {
            return GatewayReply::NotLeader(self.directory.borrow().leader(self.now()));
        };
        self.commit(&quorum, &LogCommand::Evacuate(order)).await
    }

    /// Proposes a command and waits until it is applied.
    async fn commit(
        self: &Rc<Self>,
        quorum: &Rc<GatewayQuorum>,
        command: &LogCommand,
    ) -> GatewayReply {
        let command = match encode_command(command) {
            Ok(command) => command,
            Err(error) => {
                log::error!("gateway: command can't be encoded for the log: {error}");
                return GatewayReply::NoQuorum;
            }
        };
        let proposed = quorum.core.borrow_mut().propose(quorum.now(), command);
        let key = match proposed {
            Ok(key) => key,
            Err(error) => {
                log::info!("gateway: command not proposed: {error}");
                return not_leader(quorum);
            }
        };
        let (done, applied) = oneshot::channel();
        quorum.pending_proposals.borrow_mut().insert(key, done);
        self.run_actions(quorum);
        let is_applied = tokio::select! {
            biased;
            outcome = timeout(COMMIT_TIMEOUT, applied) => matches!(outcome, Ok(Ok(()))),
            () = quorum.leadership_lost() => false,
        };
        quorum.pending_proposals.borrow_mut().remove(&key);
        match is_applied {
            true => GatewayReply::Done,
            false => GatewayReply::NoQuorum,
        }
    }

    /// The newest catalog, confirmed by a quorum, if this gateway is the leader.
    pub async fn read_as_leader(self: &Rc<Self>) -> GatewayReply {
        match self.confirm_read().await {
            Ok(_) => GatewayReply::Catalog(self.newest_catalog()),
            Err(reply) => reply,
        }
    }

    /// The record of software versions, confirmed by a quorum, if this gateway is the leader.
    pub async fn read_versions_as_leader(self: &Rc<Self>) -> GatewayReply {
        match self.confirm_read().await {
            Ok(quorum) => GatewayReply::Versions(quorum.record.borrow().clone()),
            Err(reply) => reply,
        }
    }

    /// Proposes the record with what is missing in it, or again if a snapshot has covered the entry
    /// that held it. Snapshots hold the catalog only.
    pub fn propose_versions(
        self: &Rc<Self>,
        quorum: &Rc<GatewayQuorum>,
        seen: &VersionRecord,
        is_first_start: bool,
    ) {
        let now = self.now();
        let is_recent = |at: Duration| now < at + PROPOSAL_INTERVAL;
        if !quorum.is_leader() || quorum.record_proposed_at.get().is_some_and(is_recent) {
            return;
        }
        let record = additions(&quorum.record.borrow(), seen, is_first_start, now);
        let is_covered = quorum.record_index.get() <= quorum.core.borrow().snapshot_index();
        let is_empty = record.versions.is_empty();
        if is_empty || (record == *quorum.record.borrow() && !is_covered) {
            return;
        }
        let Ok(command) = version_record::encode_command(&record) else {
            log::error!("gateway: the record of software versions is too large for the log");
            return;
        };
        quorum.record_proposed_at.set(Some(now));
        let proposed = quorum.core.borrow_mut().propose(quorum.now(), command);
        match proposed {
            Ok(_) => self.run_actions(quorum),
            Err(error) => log::debug!("gateway: software versions not proposed: {error}"),
        }
    }

    /// Waits until a quorum has confirmed that this gateway leads.
    ///
    /// # Errors
    /// The reply to who has asked.
    async fn confirm_read(self: &Rc<Self>) -> Result<Rc<GatewayQuorum>, GatewayReply> {
        let Some(quorum) = self.quorum() else {
            let leader = self.directory.borrow().leader(self.now());
            return Err(GatewayReply::NotLeader(leader));
        };
        let ticket = quorum.next_ticket.replace(quorum.next_ticket.get() + 1);
        let (done, confirmed) = oneshot::channel();
        quorum.pending_reads.borrow_mut().insert(ticket, done);
        let started = quorum.core.borrow_mut().read(quorum.now(), ticket);
        self.run_actions(&quorum);
        if started.is_err() {
            quorum.pending_reads.borrow_mut().remove(&ticket);
            return Err(not_leader(&quorum));
        }
        let outcome = timeout(COMMIT_TIMEOUT, confirmed).await;
        quorum.pending_reads.borrow_mut().remove(&ticket);
        match outcome {
            Ok(Ok(())) => Ok(quorum),
            _ => Err(GatewayReply::NoQuorum),
        }
    }

    /// Transfers the leadership if this gateway is the leader, and waits until it is not, at most
    /// `LEADERSHIP_TRANSFER_TIMEOUT`.
    pub async fn transfer_leadership(self: &Rc<Self>) {
        let Some(quorum) = self.quorum() else {
            return;
        };
        let deadline = Instant::now() + LEADERSHIP_TRANSFER_TIMEOUT;
        while quorum.is_leader() && Instant::now() < deadline {
            if let Err(error) = quorum.core.borrow_mut().transfer_leadership(quorum.now()) {
                log::debug!("gateway: leadership transfer not started: {error}");
            }
            self.run_actions(&quorum);
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Carries out the actions of the consensus core until there are none, then obeys the applied
    /// evacuations and activates the staged catalog.
    fn run_actions(self: &Rc<Self>, quorum: &Rc<GatewayQuorum>) {
        loop {
            let actions = quorum.core.borrow_mut().take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                self.run_action(quorum, action);
            }
        }
        // Evacuations come first, so that a gateway that restarts has no catalog, and sends no
        // calls, before it obeys those of its log.
        let revision = quorum.evacuations.borrow().revision;
        if revision > self.evacuations.borrow().state().revision {
            let evacuations = quorum.evacuations.borrow().clone();
            self.install_evacuations(evacuations, "log");
        }
        if quorum.recovered_end.get().is_none() {
            self.settle_evacuations();
        }
        self.install_staged(quorum);
        let record = quorum.record.borrow().clone();
        self.note_recorded(&record);
    }

    /// Activates the newest of the applied catalogs. After a restart many entries are applied in a
    /// row, and activating the older catalogs would be wasted work.
    fn install_staged(&self, quorum: &GatewayQuorum) {
        if let Some(text) = quorum.staged.take() {
            self.install(text, "log");
        }
    }

    fn run_action(self: &Rc<Self>, quorum: &Rc<GatewayQuorum>, action: ReplicaAction) {
        match action {
            ReplicaAction::Send(message) => self.send_replica(quorum, &message),
            ReplicaAction::Persist(batch) => {
                if let Some(disk) = quorum.disk.borrow().as_ref() {
                    // Sending fails if the disk thread has ended, which ends the process.
                    let _ = disk.send(batch);
                }
            }
            ReplicaAction::Restore(snapshot) => match decode_snapshot(&snapshot.state) {
                Ok((text, evacuations)) => {
                    quorum.record_routing(&text);
                    quorum.stage(text);
                    *quorum.evacuations.borrow_mut() = evacuations;
                    quorum.note_applied((snapshot.index, snapshot.term));
                }
                Err(error) => log::error!("gateway: snapshot can't be decoded: {error}"),
            },
            ReplicaAction::Apply(entry) => quorum.apply(entry),
            ReplicaAction::TakeSnapshot(index) => {
                self.install_staged(quorum);
                let evacuations = quorum.evacuations.borrow();
                match encode_snapshot(&self.newest_catalog(), &evacuations) {
                    Ok(state) => quorum.core.borrow_mut().snapshot_taken(index, state),
                    Err(error) => log::error!("gateway: no snapshot taken: {error}"),
                }
            }
            ReplicaAction::ReadConfirmed(ticket) => {
                if let Some(done) = quorum.pending_reads.borrow_mut().remove(&ticket) {
                    // Sending fails if the reader has stopped waiting.
                    let _ = done.send(());
                }
            }
            ReplicaAction::ReadFailed(ticket) => {
                quorum.pending_reads.borrow_mut().remove(&ticket);
            }
            ReplicaAction::RoleChanged => log_role(quorum),
            ReplicaAction::Abandon => quorum.is_abandoned.set(true),
        }
    }

    /// Sends the newest catalog to the live gateways that belong to no cluster and report an older
    /// one.
    fn push_newest(self: &Rc<Self>) {
        let text = self.newest_catalog();
        let directory = self.directory.borrow();
        let behind = directory.live(self.now()).filter(|(_, heartbeat)| {
            heartbeat.storage != StorageState::Formed && heartbeat.catalog < text.version
        });
        for (instance, _) in behind {
            self.send_evacuations(instance);
            let (node, request) = (Rc::clone(self), GatewayRequest::Install(text.clone()));
            actix_rt::spawn(async move {
                if let Err(error) = node.send_request(instance, &request, INSTALL_TIMEOUT).await {
                    log::debug!(
                        "gateway: catalog not pushed to {}: {error}",
                        address_of(instance)
                    );
                }
            });
        }
    }

    fn send_replica(self: &Rc<Self>, quorum: &GatewayQuorum, message: &ReplicaMessage) {
        let bytes = match message.encode() {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("gateway: consensus message can't be encoded and is dropped: {error}");
                return;
            }
        };
        let datagram = GatewayDatagram::Replica(bytes);
        if self.send_datagram(message.to, &datagram) {
            return;
        }
        let GatewayDatagram::Replica(bytes) = datagram else {
            return;
        };
        let mut send_queues = quorum.send_queues.borrow_mut();
        let send_queue = send_queues
            .entry(message.to)
            .or_insert_with(|| self.open_send_queue(message.to));
        // Sending fails if the queue is full. The message is dropped then, as on a lossy network.
        let _ = send_queue.try_send(bytes);
    }

    fn open_send_queue(self: &Rc<Self>, to: InstanceId) -> mpsc::Sender<Vec<u8>> {
        let (sender, mut messages) = mpsc::channel::<Vec<u8>>(SEND_QUEUE_MESSAGES);
        let node = Rc::clone(self);
        actix_rt::spawn(async move {
            while let Some(bytes) = messages.recv().await {
                let request = GatewayRequest::Replica(bytes);
                if let Err(error) = node.send_request(to, &request, MESSAGE_TIMEOUT).await {
                    log::debug!(
                        "gateway: consensus message not delivered to {}: {error}",
                        address_of(to)
                    );
                }
            }
        });
        sender
    }
}

fn not_leader(quorum: &GatewayQuorum) -> GatewayReply {
    GatewayReply::NotLeader(quorum.leader().map(|(_, leader)| leader))
}

fn log_role(quorum: &GatewayQuorum) {
    let status = quorum.core.borrow().status();
    let leader = status
        .leader
        .map(|leader| address_of(leader.instance).to_string());
    log::info!(
        role = format!("{:?}", status.role).as_str(),
        term = status.term,
        leader = leader.as_deref().unwrap_or("-"),
        voters = status.members.voters.len();
        "gateway: role or leader changed"
    );
}
