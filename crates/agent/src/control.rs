//! Connections to the control instances.
//!
//! The agent sends heartbeats to every control instance, so that each knows all endpoints, and
//! proposes commands through one of them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use fault::FaultKind;
use link::LinkSettings;
use link::control_client::{ControlClient, ControlEvent};
use member::pacer::{HeartbeatPacer, PacerSettings};
use settings::holder::{HolderError, UpdateOutcome};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{interval, sleep};
use wire::LinkMessage;
use wire::command::{ControlCommand, ControlReply};
use wire::id::name_id;
use wire::member::{AgentHeartbeat, EndpointRecord, MemberDigest};
use wire::message::SettingsUpdate;

use crate::core::AgentCore;

/// Interval of the checks whether a heartbeat is due.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a retry of a command that no control instance decided.
const PROPOSE_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Connections to all control instances.
pub struct ControlLinks {
    clients: Vec<Rc<ControlClient>>,
    /// Sequence number of the last heartbeat in this incarnation.
    sequence: Cell<u64>,
    /// Endpoint record of the last heartbeat that was sent to all control instances.
    last_sent_record: RefCell<Option<EndpointRecord>>,
    /// Index of the client that decided the last command, which is tried first.
    preferred: Cell<usize>,
}

/// Events of the connection to one control instance.
pub type ControlEvents = UnboundedReceiver<ControlEvent>;

impl ControlLinks {
    /// Starts a client for each of `addresses`, and returns the events of each.
    pub fn start(addresses: &[SocketAddr], settings: &LinkSettings) -> (Self, Vec<ControlEvents>) {
        let started = addresses.iter().map(|address| {
            let settings = settings.clone();
            ControlClient::start(vec![*address], settings)
        });
        let (clients, events) = started.unzip();
        let links = Self {
            clients,
            sequence: Cell::new(0),
            last_sent_record: RefCell::default(),
            preferred: Cell::new(0),
        };
        (links, events)
    }

    /// Proposes a command through one control instance after another until one decides it.
    ///
    /// # Errors
    /// `ControlUnreachable` if none decides it.
    pub async fn propose(&self, command: ControlCommand) -> fault::Result<ControlReply> {
        let mut last = FaultKind::ControlUnreachable.because("no control instance is known");
        let first = self.preferred.get();
        for step in 0..self.clients.len() {
            let index = (first + step) % self.clients.len();
            match self.clients[index].propose(command.clone()).await {
                Ok(ControlReply::Refused(fault)) if fault.kind == FaultKind::ControlUnreachable => {
                    last = fault;
                }
                Ok(reply) => {
                    self.preferred.set(index);
                    return Ok(reply);
                }
                Err(fault) => last = fault,
            }
        }
        Err(last)
    }

    /// Proposes a command until it is decided, and returns the decision.
    pub async fn propose_until_decided(&self, command: ControlCommand) -> ControlReply {
        loop {
            match self.propose(command.clone()).await {
                Ok(reply) => return reply,
                Err(fault) => log::warn!("agent: no decision from control; retrying: {fault}."),
            }
            sleep(PROPOSE_RETRY_PAUSE).await;
        }
    }
}

impl AgentCore {
    /// Sends a heartbeat to every control instance.
    pub fn send_heartbeats(&self) {
        let links = &self.control;
        let record = self.endpoint_record();
        let is_changed = links
            .last_sent_record
            .replace(Some(record.clone()))
            .as_ref()
            != Some(&record);
        for client in &links.clients {
            client.try_send(self.heartbeat(is_changed.then(|| record.clone())));
        }
    }

    fn heartbeat(&self, record: Option<EndpointRecord>) -> LinkMessage {
        let links = &self.control;
        links.sequence.set(links.sequence.get() + 1);
        LinkMessage::AgentHeartbeat(AgentHeartbeat {
            record,
            endpoint: self.endpoint,
            incarnation: self.incarnation(),
            sequence: links.sequence.get(),
            state: self.endpoint_state(),
            load: self.load(),
            settings: self.shared.fleet.load().version,
        })
    }
}

/// Sends heartbeats at a steady interval, and earlier when the state has changed or the load has
/// changed considerably. Runs until the process ends.
pub async fn send_heartbeats(core: Rc<AgentCore>) {
    let mut ticks = interval(HEARTBEAT_CHECK_INTERVAL);
    let mut pacer = HeartbeatPacer::new(PacerSettings::default());
    loop {
        ticks.tick().await;
        let (load, state, now) = (core.load(), core.endpoint_state(), Instant::now());
        if pacer.is_due(load, state, now) {
            pacer.record_sent(load, state, now);
            core.send_heartbeats();
            core.shared.metrics.set_load(load, load_limit(&core));
        }
    }
}

fn load_limit(core: &AgentCore) -> u32 {
    core.queue.borrow().hard_limit(Instant::now()).unwrap_or(0)
}

/// Abandons the claims of the agent's earlier incarnations, after which the endpoint may serve.
pub async fn abandon_claims(core: Rc<AgentCore>) {
    let command = ControlCommand::AbandonClaims {
        endpoint: core.endpoint,
    };
    core.control.propose_until_decided(command).await;
    core.has_abandoned_claims.set(true);
    core.refresh_state();
}

/// Handles the events of one control instance until the process ends.
pub async fn follow_control(core: Rc<AgentCore>, index: usize, mut events: ControlEvents) {
    while let Some(event) = events.recv().await {
        match event {
            ControlEvent::Connected => {
                let heartbeat = core.heartbeat(Some(core.endpoint_record()));
                core.control.clients[index].try_send(heartbeat);
            }
            ControlEvent::Disconnected => {
                log::info!("agent: connection to control lost: instance {index}.");
            }
            ControlEvent::Message(message) => handle_message(&core, index, *message),
        }
    }
}

fn handle_message(core: &Rc<AgentCore>, index: usize, message: LinkMessage) {
    match message {
        LinkMessage::Settings(update) => apply_settings(core, index, &update),
        LinkMessage::Members(digest) => observe_means(core, &digest),
        LinkMessage::Suspects(list) => {
            core.gate.borrow_mut().set_suspects(&list);
            core.start_gated();
        }
        LinkMessage::Quarantine(list) => {
            core.gate.borrow_mut().set_quarantined(&list);
            core.start_gated();
        }
        other => log::debug!(
            "agent: ignored an unexpected message from control: {}.",
            other.kind()
        ),
    }
}

fn apply_settings(core: &Rc<AgentCore>, index: usize, update: &SettingsUpdate) {
    let outcome = core.holder.borrow_mut().apply(update, Instant::now());
    match outcome {
        Ok(UpdateOutcome::InForce(version)) => {
            let fleet = core.holder.borrow().fleet().cloned().unwrap_or_default();
            core.install_fleet(fleet);
            core.send_heartbeats();
            log::info!("agent: settings version {version} is in force.");
        }
        Ok(_) => {}
        Err(HolderError::MissingBase { held, from }) => {
            log::info!(
                "agent: the update needs base version {from}, but the local version is {held}; \
                 reconnecting."
            );
            core.control.clients[index].reconnect();
        }
        Err(error) => log::error!("agent: settings update not applied: {error}."),
    }
}

fn observe_means(core: &Rc<AgentCore>, digest: &MemberDigest) {
    let Some(endpoint) = core.endpoint_settings() else {
        return;
    };
    let service = name_id(&endpoint.service);
    if let Some(mean) = digest.means.iter().find(|mean| mean.service == service) {
        core.queue.borrow_mut().observe_mean(mean, Instant::now());
    }
}
