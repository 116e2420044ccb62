//! Connections from entries and agents.

use std::rc::Rc;
use std::time::Duration;

use link::{Link, LinkSender, LinkSettings, accept};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::interval;
use wire::LinkMessage;
use wire::message::ControlDecision;

use crate::node::ControlNode;

/// Time between two digests.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts connections until the process ends.
pub async fn serve_links(listener: TcpListener, settings: LinkSettings, node: Rc<ControlNode>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_link(stream, settings.clone(), Rc::clone(&node)));
            }
            Err(error) => log::warn!("control: accepting failed: {error}"),
        }
    }
}

/// Sends digests until the process ends.
pub async fn send_digests(node: Rc<ControlNode>) {
    let mut ticks = interval(DIGEST_INTERVAL);
    loop {
        ticks.tick().await;
        node.broadcast(&LinkMessage::Members(node.digest()));
        node.broadcast(&LinkMessage::Settings(node.confirmation()));
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
            log::warn!("control: refused a connection: {error}");
            return;
        }
    };
    log::info!("control: {} connected", peer.name);
    for message in node.greeting() {
        let _ = sender.send(message).await;
    }
    node.peers.borrow_mut().push(sender.clone());
    loop {
        match receiver.next().await {
            Ok(message) => handle_message(&node, &sender, message),
            Err(error) => {
                log::info!("control: {} disconnected: {error}", peer.name);
                return;
            }
        }
    }
}

fn handle_message(node: &Rc<ControlNode>, sender: &LinkSender, message: LinkMessage) {
    match message {
        LinkMessage::AgentHeartbeat(beat) => {
            let mut beat = beat;
            let mut endpoints = node.endpoints.borrow_mut();
            let known = endpoints
                .get(&beat.endpoint)
                .and_then(|known| known.record.clone());
            beat.record = beat.record.or(known);
            endpoints.insert(beat.endpoint, beat);
        }
        LinkMessage::EntryHeartbeat(beat) => {
            log::debug!("control: entry {} is alive", beat.name);
        }
        LinkMessage::Propose(proposal) => {
            let (node, sender) = (Rc::clone(node), sender.clone());
            actix_rt::spawn(async move {
                let reply = node.propose(proposal.command).await;
                let decision = ControlDecision {
                    ticket: proposal.ticket,
                    reply,
                };
                let _ = sender.send(LinkMessage::Decided(decision)).await;
            });
        }
        other => log::debug!("control: unexpected {other:?}"),
    }
}
