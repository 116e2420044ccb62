//! The connection to the control quorum.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fault::FaultKind;
use link::control_client::{ControlClient, ControlEvent};
use settings::holder::{HolderError, UpdateOutcome};
use tokio::sync::mpsc::{self, UnboundedReceiver};
use tokio::sync::oneshot;
use tokio::time::interval;
use wire::LinkMessage;
use wire::command::{ControlCommand, ControlReply};
use wire::id::name_id;
use wire::member::EntryHeartbeat;
use wire::message::SettingsUpdate;

use crate::core::EntryCore;

/// Interval of the heartbeats to control.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the queue of proposals to the main thread.
const PROPOSAL_QUEUE_CAPACITY: usize = 1024;

/// A command that an HTTP worker hands to the main thread.
pub struct ProposalRequest {
    command: ControlCommand,
    reply: oneshot::Sender<fault::Result<ControlReply>>,
}

/// The queue through which HTTP workers propose commands to the control quorum.
#[derive(Clone)]
pub struct ProposalQueue(mpsc::Sender<ProposalRequest>);

impl ProposalQueue {
    /// A queue, and the receiving end that [`serve_proposals`] processes.
    pub fn new() -> (Self, mpsc::Receiver<ProposalRequest>) {
        let (sender, receiver) = mpsc::channel(PROPOSAL_QUEUE_CAPACITY);
        (Self(sender), receiver)
    }

    /// Proposes a command and waits for the quorum's decision.
    ///
    /// # Errors
    /// `ControlUnreachable` when no decision arrives in time; the command may still be committed.
    pub async fn propose(&self, command: ControlCommand) -> fault::Result<ControlReply> {
        let (reply, answer) = oneshot::channel();
        let sent = self.0.send(ProposalRequest { command, reply }).await;
        match sent {
            Ok(()) => answer.await.unwrap_or_else(|_| Err(unreachable_fault())),
            Err(_) => Err(unreachable_fault()),
        }
    }
}

/// Forwards proposals to the control connection until the process ends.
pub async fn serve_proposals(
    client: Rc<ControlClient>,
    mut requests: mpsc::Receiver<ProposalRequest>,
) {
    while let Some(request) = requests.recv().await {
        let client = Rc::clone(&client);
        actix_rt::spawn(async move {
            let reply = client.propose(request.command).await;
            let _ = request.reply.send(reply);
        });
    }
}

/// Sends heartbeats and applies messages from control until the process ends.
pub async fn follow_control(
    core: Arc<EntryCore>,
    client: Rc<ControlClient>,
    mut events: UnboundedReceiver<ControlEvent>,
) {
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    let mut session = ControlSession {
        core,
        client,
        is_first_digest: true,
    };
    loop {
        tokio::select! {
            _ = ticks.tick() => session.send_heartbeat(),
            event = events.recv() => match event {
                Some(event) => session.handle_event(event),
                None => return,
            },
        }
    }
}

/// Handles the messages of the control connection, across reconnections.
struct ControlSession {
    core: Arc<EntryCore>,
    client: Rc<ControlClient>,
    /// Whether the next digest is the first of its connection, which lists all endpoints.
    is_first_digest: bool,
}

impl ControlSession {
    fn send_heartbeat(&self) {
        let name = self.core.settings.instance.name.clone();
        self.client
            .try_send(LinkMessage::EntryHeartbeat(EntryHeartbeat {
                instance: name_id(&name),
                name,
                domain_name: self.core.settings.instance.failure_domain.clone(),
                incarnation: self.core.incarnation,
                settings: self.core.fleet.load().version,
            }));
    }

    fn handle_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Connected => {
                self.is_first_digest = true;
                self.send_heartbeat();
            }
            ControlEvent::Disconnected => log::warn!("entry: connection to control lost."),
            ControlEvent::Message(message) => self.handle_message(*message),
        }
    }

    fn handle_message(&mut self, message: LinkMessage) {
        match message {
            LinkMessage::Settings(update) => self.apply_settings(&update),
            LinkMessage::Members(digest) => {
                self.core
                    .selector
                    .observe_digest(&digest, self.is_first_digest);
                self.is_first_digest = false;
            }
            LinkMessage::Warm(digest) => self.core.selector.lock().table.observe_warm(&digest),
            LinkMessage::Suspects(_) | LinkMessage::Quarantine(_) => {}
            other => log::debug!("entry: ignored a message from control: {other:?}."),
        }
    }

    fn apply_settings(&self, update: &SettingsUpdate) {
        let mut holder = self.core.holder();
        match holder.apply(update, Instant::now()) {
            Ok(UpdateOutcome::InForce(version)) => {
                let fleet = holder.fleet().cloned().unwrap_or_default();
                drop(holder);
                self.core.selector.place_models(&fleet);
                self.core.fleet.store(fleet);
                self.core.metrics.process.set_settings_version(version);
                log::info!("entry: settings version {version} is in force.");
                self.send_heartbeat();
            }
            Ok(_) => {}
            Err(HolderError::MissingBase { held, from }) => {
                drop(holder);
                log::info!(
                    "entry: the update needs base version {from}, but the local version is {held}; \
                     reconnecting."
                );
                self.client.reconnect();
            }
            Err(error) => log::error!("entry: settings update not applied: {error}."),
        }
    }
}

fn unreachable_fault() -> fault::Fault {
    FaultKind::ControlUnreachable.because("no control quorum answered")
}
