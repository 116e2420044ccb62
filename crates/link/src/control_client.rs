//! The connection of an entry or an agent to the control quorum.
//!
//! The client keeps a connection to one control instance and moves on to the next instance when the
//! connection ends. It matches decisions to proposals by ticket.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fault::{Fault, FaultKind};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{sleep, timeout};
use wire::LinkMessage;
use wire::command::{ControlCommand, ControlReply};
use wire::message::ControlProposal;

use crate::connection::{LinkSettings, connect};
use crate::receiver::LinkReceiver;
use crate::sender::LinkSender;

/// Delay before connecting to the next control instance.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Timeout of a proposal.
const DECISION_LIMIT: Duration = Duration::from_secs(3);

/// Event that the client reports to its owner.
#[derive(Debug)]
pub enum ControlEvent {
    /// A connection is open. The owner responds by sending its first heartbeat.
    Connected,
    /// A message other than a decision arrived.
    Message(Box<LinkMessage>),
    /// The connection ended.
    Disconnected,
}

/// The connection to the control quorum.
pub struct ControlClient {
    addresses: Vec<SocketAddr>,
    settings: LinkSettings,
    sender: RefCell<Option<LinkSender>>,
    /// Callers that wait for a decision, by ticket.
    pending_proposals: RefCell<HashMap<u64, oneshot::Sender<ControlReply>>>,
    next_ticket: Cell<u64>,
    events: mpsc::UnboundedSender<ControlEvent>,
    /// Signalled by [`ControlClient::reconnect`].
    reconnect_requested: Notify,
}

impl ControlClient {
    /// Starts a client that tries `addresses` in turn, starting with a random one.
    pub fn start(
        addresses: Vec<SocketAddr>,
        settings: LinkSettings,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<ControlEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let client = Rc::new(Self {
            addresses,
            settings,
            sender: RefCell::new(None),
            pending_proposals: RefCell::default(),
            next_ticket: Cell::new(1),
            events,
            reconnect_requested: Notify::new(),
        });
        actix_rt::spawn(Rc::clone(&client).keep_connected());
        (client, receiver)
    }

    /// Sends a message if a connection is open and its queue has capacity; drops it otherwise.
    pub fn try_send(&self, message: LinkMessage) {
        if let Some(sender) = self.sender.borrow().as_ref() {
            // A dropped heartbeat is superseded by the next one.
            let _ = sender.try_send(message);
        }
    }

    /// Drops the connection and opens a new one. A control instance starts each connection with its
    /// complete state, so a client that missed a change recovers.
    pub fn reconnect(&self) {
        self.reconnect_requested.notify_one();
    }

    /// Proposes a command and waits for the quorum's decision.
    ///
    /// # Errors
    /// [`FaultKind::ControlUnreachable`] when no decision arrives in time. The command may still
    /// be committed in that case; every command can safely be proposed again.
    pub async fn propose(&self, command: ControlCommand) -> fault::Result<ControlReply> {
        let ticket = self.next_ticket.replace(self.next_ticket.get() + 1);
        let (decision, decided) = oneshot::channel();
        self.pending_proposals.borrow_mut().insert(ticket, decision);
        let sent = self
            .send_proposal(ControlProposal { ticket, command })
            .await;
        let reply = match sent {
            true => timeout(DECISION_LIMIT, decided)
                .await
                .ok()
                .and_then(Result::ok),
            false => None,
        };
        self.pending_proposals.borrow_mut().remove(&ticket);
        reply.ok_or_else(unreachable_fault)
    }

    async fn send_proposal(&self, proposal: ControlProposal) -> bool {
        let sender = self.sender.borrow().clone();
        match sender {
            Some(sender) => sender.send(LinkMessage::Propose(proposal)).await.is_ok(),
            None => false,
        }
    }

    async fn keep_connected(self: Rc<Self>) {
        let mut index = rand::random_range(0..self.addresses.len().max(1));
        while !self.events.is_closed() {
            let Some(address) = self.addresses.get(index % self.addresses.len().max(1)) else {
                return;
            };
            match connect(*address, &self.settings).await {
                Ok(link) => self.serve_connection(link.sender, link.receiver).await,
                Err(error) => log::debug!(
                    "link: control instance {address} unreachable, trying the next one: {error}"
                ),
            }
            index += 1;
            sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn serve_connection(&self, sender: LinkSender, mut receiver: LinkReceiver) {
        *self.sender.borrow_mut() = Some(sender);
        let _ = self.events.send(ControlEvent::Connected);
        loop {
            let received = tokio::select! {
                received = receiver.next() => received,
                () = self.reconnect_requested.notified() => break,
            };
            match received {
                Ok(LinkMessage::Decided(decision)) => {
                    if let Some(decision_sender) =
                        self.pending_proposals.borrow_mut().remove(&decision.ticket)
                    {
                        let _ = decision_sender.send(decision.reply);
                    }
                }
                Ok(message) => {
                    let _ = self.events.send(ControlEvent::Message(Box::new(message)));
                }
                Err(error) => {
                    log::info!("link: control connection closed, reconnecting: {error}");
                    break;
                }
            }
        }
        *self.sender.borrow_mut() = None;
        self.pending_proposals.borrow_mut().clear();
        let _ = self.events.send(ControlEvent::Disconnected);
    }
}

fn unreachable_fault() -> Fault {
    FaultKind::ControlUnreachable.because("no control quorum answered")
}
