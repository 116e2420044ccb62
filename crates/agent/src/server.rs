//! Connections from entries.

use std::rc::Rc;

use link::{Link, LinkSender, LinkSettings, PeerRole, accept};
use tokio::net::{TcpListener, TcpStream};
use wire::LinkMessage;

use crate::run::run_attempt;
use crate::state::AgentState;

/// Accepts connections until the process ends.
pub async fn serve_links(listener: TcpListener, settings: LinkSettings, state: Rc<AgentState>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let served = serve_link(stream, settings.clone(), Rc::clone(&state));
                actix_rt::spawn(served);
            }
            Err(error) => log::warn!("agent: accepting failed: {error}"),
        }
    }
}

async fn serve_link(stream: TcpStream, settings: LinkSettings, state: Rc<AgentState>) {
    let Link {
        peer,
        sender,
        mut receiver,
    } = match accept(stream, &settings).await {
        Ok(link) => link,
        Err(error) => {
            log::warn!("agent: refused a connection: {error}");
            return;
        }
    };
    if peer.role != PeerRole::Entry {
        log::warn!("agent: {} is no entry", peer.name);
        return;
    }
    loop {
        match receiver.next().await {
            Ok(message) => handle_message(&state, &sender, message),
            Err(error) => {
                log::debug!("agent: connection of {} ended: {error}", peer.name);
                return;
            }
        }
    }
}

fn handle_message(state: &Rc<AgentState>, sender: &LinkSender, message: LinkMessage) {
    match message {
        LinkMessage::Submit(submit) => {
            actix_rt::spawn(run_attempt(Rc::clone(state), *submit, sender.clone()));
        }
        LinkMessage::Cancel(cancel) => {
            if let Some(handle) = state.attempts.borrow().get(&cancel.key) {
                handle.notify_one();
            }
        }
        other => log::debug!("agent: entry sent {other:?}"),
    }
}
