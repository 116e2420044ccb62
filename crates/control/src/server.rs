//! Connections from entries, agents and other control instances.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use kernel::limits::max_links;
use link::{
    Link, LinkError, LinkIdentity, LinkReceiver, LinkSender, LinkSettings, PeerRole, accept,
};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{interval, sleep};
use wire::LinkMessage;
use wire::command::ControlReply;
use wire::message::ControlDecision;

use crate::members::PeerRecord;
use crate::node::ControlNode;

/// Interval between checks whether a digest is due.
const DIGEST_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the settings version is confirmed to entries and agents.
const SETTINGS_CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a new connection checks for the quorum's confirmation, until it is greeted.
const GREETING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a greeted connection checks for the quorum's confirmation.
const QUORUM_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time without the quorum's confirmation after which connections of entries and agents are closed,
/// so that they try another instance.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after `accept` failed. The usual cause is a lack of file descriptors, so that an immediate
/// retry would fail as well.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections until the process ends.
pub async fn serve_links(listener: TcpListener, settings: LinkSettings, node: Rc<ControlNode>) {
    let max_links = max_links();
    // Each open link holds a clone.
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open) > max_links => {
                log::warn!("control: link closed: limit of {max_links} links reached.");
            }
            Ok((stream, _)) => {
                let link = serve_link(stream, settings.clone(), Rc::clone(&node));
                let counted = Rc::clone(&open);
                actix_rt::spawn(async move {
                    link.await;
                    drop(counted);
                });
            }
            Err(error) => {
                log::warn!("control: failed to accept a connection: {error}.");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sends digests and confirmations until the process ends.
pub async fn send_digests(node: Rc<ControlNode>) {
    let mut ticks = interval(DIGEST_CHECK_INTERVAL);
    let mut confirmed_at = Instant::now();
    loop {
        ticks.tick().await;
        if let Some(digest) = node.members.tick() {
            node.send_digest(&digest);
        }
        if confirmed_at.elapsed() >= SETTINGS_CONFIRMATION_INTERVAL && node.quorum.is_confirmed() {
            confirmed_at = Instant::now();
            node.broadcast(&LinkMessage::Settings(node.confirmation()));
        }
    }
}

async fn serve_link(stream: TcpStream, settings: LinkSettings, node: Rc<ControlNode>) {
    let Link {
        peer,
        sender,
        mut receiver,
    } = match accept(stream, &settings).await {
        Ok(link) => link,
        Err(error) => {
            log::warn!("control: closed an incoming connection whose handshake failed: {error}.");
            return;
        }
    };
    log::info!("control: {} connected.", peer.name);
    if peer.role == PeerRole::Control {
        let error = serve_instance(&node, &peer, &sender, &mut receiver).await;
        log::info!("control: connection from {} ended: {error}.", peer.name);
        return;
    }
    let record = Rc::new(PeerRecord {
        name: peer.name,
        role: peer.role,
        sender,
        agent: Cell::new(None),
    });
    tokio::select! {
        error = serve_client(&node, &record, &mut receiver) => {
            log::info!("control: connection from {} ended: {error}.", record.name);
        }
        () = greet_and_watch(&node, &record) => {
            log::warn!("control: disconnecting {}: no quorum confirms this instance.", record.name);
        }
    }
    if let Some((endpoint, incarnation)) = record.agent.get() {
        node.members.observe_close(endpoint, incarnation);
    }
}

/// Serves another control instance until the connection ends.
async fn serve_instance(
    node: &Rc<ControlNode>,
    peer: &LinkIdentity,
    sender: &LinkSender,
    receiver: &mut LinkReceiver,
) -> LinkError {
    loop {
        match receiver.next().await {
            Ok(LinkMessage::Replica(bytes)) => node.receive_replica(peer, &bytes),
            Ok(LinkMessage::EntryHeartbeat(heartbeat)) => node.members.observe_entry(heartbeat),
            Ok(LinkMessage::Propose(proposal)) => {
                let (node, sender) = (Rc::clone(node), sender.clone());
                actix_rt::spawn(async move {
                    let reply = node.propose_as_leader(proposal.command).await;
                    send_decision(&sender, proposal.ticket, reply).await;
                });
            }
            Ok(other) => log::debug!(
                "control: ignored an unexpected message from a control instance: {other:?}."
            ),
            Err(error) => return error,
        }
    }
}

/// Serves an entry or an agent until the connection ends.
async fn serve_client(
    node: &Rc<ControlNode>,
    peer: &PeerRecord,
    receiver: &mut LinkReceiver,
) -> LinkError {
    loop {
        match receiver.next().await {
            Ok(message) => handle_message(node, peer, message),
            Err(error) => return error,
        }
    }
}

/// Greets a new connection and adds it to the peers once a quorum confirms this instance. Returns
/// when no quorum has confirmed it for [`UNCONFIRMED_TIMEOUT`], so that the client tries another
/// instance.
async fn greet_and_watch(node: &Rc<ControlNode>, peer: &Rc<PeerRecord>) {
    let mut greeted = false;
    let mut confirmed_at = Instant::now();
    while confirmed_at.elapsed() < UNCONFIRMED_TIMEOUT {
        if node.quorum.is_confirmed() {
            confirmed_at = Instant::now();
        }
        if !greeted && node.quorum.is_confirmed() {
            greeted = true;
            for message in node.greeting() {
                let _ = peer.sender.send(message).await;
            }
            node.peers.borrow_mut().push(Rc::clone(peer));
        }
        let pause = if greeted {
            QUORUM_POLL_INTERVAL
        } else {
            GREETING_POLL_INTERVAL
        };
        sleep(pause).await;
    }
}

async fn send_decision(sender: &LinkSender, ticket: u64, reply: ControlReply) {
    let decision = ControlDecision { ticket, reply };
    let _ = sender.send(LinkMessage::Decided(decision)).await;
}

fn handle_message(node: &Rc<ControlNode>, peer: &PeerRecord, message: LinkMessage) {
    match message {
        LinkMessage::AgentHeartbeat(heartbeat) => {
            peer.agent
                .set(Some((heartbeat.endpoint, heartbeat.incarnation)));
            node.members.observe_agent(&heartbeat);
        }
        LinkMessage::EntryHeartbeat(heartbeat) => {
            // An entry sends heartbeats to one control instance only; forwarding them lets every
            // instance report all entries.
            node.quorum
                .send_to_other_instances(&LinkMessage::EntryHeartbeat(heartbeat.clone()));
            node.members.observe_entry(heartbeat);
        }
        LinkMessage::Propose(proposal) => {
            let (node, sender) = (Rc::clone(node), peer.sender.clone());
            actix_rt::spawn(async move {
                let reply = node.propose(proposal.command).await;
                send_decision(&sender, proposal.ticket, reply).await;
            });
        }
        other => log::debug!(
            "control: ignored an unexpected message from an entry or agent: {}.",
            other.kind()
        ),
    }
}
